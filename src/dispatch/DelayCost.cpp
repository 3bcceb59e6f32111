#include "DelayCost.h"

#include <algorithm>

#include "Durations.h"
#include "Steps.h"

namespace anvil::dispatch::internal {

namespace {

/// What the stops of one job's runs cost.
struct VictimJob {
  const wire::JobRecord *m_Job = nullptr;
  /// Time from now until the stopped runs would have ended when started again.
  Duration m_EndsAfter{0};
  double m_RepeatedCoreSeconds = 0;
};

} // namespace

const JobUrgency &DelayCost::urgencyOf(const wire::JobRecord &Job) {
  const auto Known = m_Urgency.find(Job.id);
  if (Known != m_Urgency.end())
    return Known->second;
  return m_Urgency.emplace(Job.id, m_Rank.urgencyOf(Job, m_Tracker, m_Now))
      .first->second;
}

double DelayCost::ofWaiting(const wire::JobRecord &Job, Duration Sooner,
                            std::optional<Duration> Later) {
  const JobUrgency &Urgency = urgencyOf(Job);
  const double ValueLater = Later ? Urgency.valueAfter(*Later) : 0;
  return Urgency.valueAfter(Sooner) - ValueLater;
}

double DelayCost::ofEviction(const Fleet &PlanFleet, const Eviction &Chosen,
                             Duration HeldFor) {
  std::map<std::string, VictimJob> Jobs;
  for (const Share &Each : Chosen.m_Placement.m_Shares)
    for (const RunView &Run : PlanFleet.workers()[Each.m_Worker].m_Runs) {
      const bool Stopped =
          std::any_of(Chosen.m_Victims.begin(), Chosen.m_Victims.end(),
                      [&](const wire::RunRef &Victim) {
                        return Victim.task == Run.m_Task;
                      });
      if (!Stopped)
        continue;
      VictimJob &Victim = Jobs[Run.m_Job->id];
      Victim.m_Job = Run.m_Job;
      Victim.m_EndsAfter =
          std::max(Victim.m_EndsAfter,
                   HeldFor + durationOf(Run.m_Forecast.m_WorkLeftSeconds));
      const double Members = runsTogether(*Run.m_Spec) ? Run.m_Spec->tasks : 1;
      const double Repeated =
          Members * coresOf(Run.m_Amounts) * Run.m_Forecast.m_UnsavedSeconds;
      // All members of a gang stop with the first one.
      Victim.m_RepeatedCoreSeconds =
          runsTogether(*Run.m_Spec)
              ? std::max(Victim.m_RepeatedCoreSeconds, Repeated)
              : Victim.m_RepeatedCoreSeconds + Repeated;
    }
  double Cost = 0;
  for (const auto &[Id, Victim] : Jobs) {
    const JobUrgency &Urgency = urgencyOf(*Victim.m_Job);
    const Duration Delay = std::max<Duration>(
        Duration(0), Victim.m_EndsAfter - Urgency.m_CriticalPathLeft);
    Cost += Urgency.valueAfter(Duration(0)) - Urgency.valueAfter(Delay);
    Cost += Urgency.m_Weight * Victim.m_RepeatedCoreSeconds /
            std::max(1.0, Urgency.m_WholeWork);
  }
  return Cost;
}

} // namespace anvil::dispatch::internal
