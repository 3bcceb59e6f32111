#include <cstdio>
#include <iostream>

#include <cxxopts.hpp>

#include "dispatch/sim/LoadReplay.h"

namespace {

void printMetrics(std::string_view Name,
                  const anvil::sim::ReplayMetrics &Metrics) {
  std::printf("%-20s %.3f ", std::string(Name).c_str(), Metrics.m_ValueShare);
  for (const double Each : Metrics.m_ValueShareByKind)
    std::printf(" %.3f", Each);
  std::printf("  %.3f  %6.0f  %5.0f ", Metrics.m_WorstValueShare,
              Metrics.m_LostCoreSeconds, Metrics.m_Starts);
  // The large profile has too many workspaces for a line.
  constexpr size_t MaxWorkspaces = 4;
  if (Metrics.m_ValueShareByWorkspace.size() <= MaxWorkspaces)
    for (const double Each : Metrics.m_ValueShareByWorkspace)
      std::printf(" %.3f", Each);
  std::printf("\n");
}

double secondsOf(anvil::Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

void printLate(uint64_t Seed, const anvil::sim::JobResult &Late,
               anvil::Duration Objective) {
  const anvil::sim::JobPlan &Plan = *Late.m_Plan;
  std::printf("  seed %llu %s %s sent %.2f wait %.2f took %.2f objective %.2f:",
              static_cast<unsigned long long>(Seed), Plan.m_Id.c_str(),
              Plan.m_Queue.c_str(), secondsOf(Plan.m_SubmitAfter),
              secondsOf(Late.m_FirstStartAt - Late.m_SentAt),
              secondsOf(Late.m_EndedAt - Late.m_SentAt), secondsOf(Objective));
  for (const anvil::wire::StepSpec &Step : Plan.m_Spec.steps)
    std::printf(" %dx%dgpu %.1fs%s%s%s", Step.tasks, Step.perTask.accelerators,
                static_cast<double>(Step.estimateMs) / 1000,
                Step.gang ? " gang" : "", Step.rackLocal ? " rack" : "",
                Step.checkpointing ? " checkpoints" : "");
  std::printf("\n");
}

void replayProfile(std::string_view Name,
                   const anvil::sim::DeploymentProfile &Profile,
                   const cxxopts::ParseResult &Parsed) {
  const std::string WantedProfile = Parsed["sheet"].as<std::string>();
  if (!WantedProfile.empty() && WantedProfile != Name)
    return;
  std::printf("%s\n%-21svalue  by kind            worst  lost core s  starts  "
              "by workspace\n",
              std::string(Name).c_str(), "pattern");
  const std::string WantedPattern = Parsed["pattern"].as<std::string>();
  anvil::sim::ReplayHooks Hooks;
  if (Parsed["late"].as<bool>())
    Hooks.m_OnLate = printLate;
  const std::string Text = Parsed["trace"].as<std::string>();
  if (!Text.empty())
    Hooks.m_Trace = [&](anvil::TimePoint Now, const std::string &Line) {
      if (Line.find(Text) != std::string::npos)
        std::printf("%9.4f %s\n",
                    static_cast<double>(anvil::microsOf(Now)) / 1e6,
                    Line.c_str());
    };
  for (const anvil::sim::LoadPattern &Each : anvil::sim::loadPatterns())
    if (WantedPattern.empty() || WantedPattern == Each.m_Name)
      printMetrics(
          Each.m_Name,
          anvil::sim::replayLoad(Profile, Each, Parsed["first"].as<uint64_t>(),
                                 Parsed["count"].as<uint64_t>(), Hooks));
}

} // namespace

// Replays the load patterns by which placement is judged and prints the share
// of the value that callers got.
int main(int Count, char **Arguments) {
  cxxopts::Options Flags("dispatch_replay",
                         "Prints what callers get under typical loads.");
  Flags.add_options()("first", "first seed",
                      cxxopts::value<uint64_t>()->default_value("1"))(
      "count", "number of seeds",
      cxxopts::value<uint64_t>()->default_value("50"))(
      "late", "print each job that missed its objective",
      cxxopts::value<bool>()->default_value("false"))(
      "trace", "print events that contain this text",
      cxxopts::value<std::string>()->default_value(""))(
      "sheet", "replay only the deployment profile of this name",
      cxxopts::value<std::string>()->default_value(""))(
      "pattern", "replay only the load pattern of this name",
      cxxopts::value<std::string>()->default_value(""));
  const cxxopts::ParseResult Parsed = Flags.parse(Count, Arguments);
  replayProfile("sizing", anvil::sim::sizingProfile(), Parsed);
  replayProfile("reorder", anvil::sim::reorderProfile(), Parsed);
  replayProfile("large", anvil::sim::largeSizingProfile(), Parsed);
  return 0;
}
