#include <cstdint>
#include <cxxopts.hpp>
#include <iostream>

#include "raft/support/Simulator.h"

namespace {

using anvil::raft::sim::SimOptions;
using anvil::raft::sim::SimReport;
using anvil::raft::sim::Simulator;

SimReport exploreSeed(uint64_t Seed, uint64_t Steps) {
  SimOptions Options;
  Options.m_Seed = Seed;
  Options.m_Voters = 3 + static_cast<int>(Seed % 3);
  return Simulator(Options).run(Steps);
}

void add(SimReport &Total, const SimReport &Run) {
  Total.m_Steps += Run.m_Steps;
  Total.m_Committed += Run.m_Committed;
  Total.m_Operations += Run.m_Operations;
  Total.m_Elections += Run.m_Elections;
  Total.m_Crashes += Run.m_Crashes;
  Total.m_Losses += Run.m_Losses;
  Total.m_Promotions += Run.m_Promotions;
  Total.m_Installs += Run.m_Installs;
}

} // namespace

/// Runs the simulator for a range of seeds and prints each failing seed and the
/// totals. Exits with 1 if a seed failed.
int main(int ArgCount, char **Args) {
  cxxopts::Options Flags(
      "raft_explorer",
      "Runs replicated logs under seeded faults and checks their properties");
  cxxopts::OptionAdder Add = Flags.add_options();
  Add("seeds", "number of seeds",
      cxxopts::value<uint64_t>()->default_value("100"));
  Add("first-seed", "first seed",
      cxxopts::value<uint64_t>()->default_value("1"));
  Add("steps", "events in each run",
      cxxopts::value<uint64_t>()->default_value("20000"));
  Add("stop", "stop at the first failure");
  const cxxopts::ParseResult Parsed = Flags.parse(ArgCount, Args);
  const auto First = Parsed["first-seed"].as<uint64_t>();
  const auto Seeds = Parsed["seeds"].as<uint64_t>();
  SimReport Total;
  uint64_t Failures = 0;
  for (uint64_t Seed = First; Seed < First + Seeds; ++Seed) {
    const SimReport Run = exploreSeed(Seed, Parsed["steps"].as<uint64_t>());
    add(Total, Run);
    if (!Run.m_Failure)
      continue;
    ++Failures;
    std::cout << "seed=" << Seed << " step=" << Run.m_Steps
              << " failure: " << *Run.m_Failure << "\n";
    if (Parsed.count("stop") > 0)
      break;
  }
  std::cout << "seeds=" << Seeds << " failures=" << Failures
            << " steps=" << Total.m_Steps << " committed=" << Total.m_Committed
            << " operations=" << Total.m_Operations
            << " elections=" << Total.m_Elections
            << " crashes=" << Total.m_Crashes << " losses=" << Total.m_Losses
            << " promotions=" << Total.m_Promotions
            << " snapshot_installs=" << Total.m_Installs << "\n";
  return Failures == 0 ? 0 : 1;
}
