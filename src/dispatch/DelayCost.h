#ifndef ANVIL_SRC_DISPATCH_DELAYCOST_H
#define ANVIL_SRC_DISPATCH_DELAYCOST_H

#include <map>
#include <string>

#include "JobRank.h"
#include "Preemption.h"
#include "RunTracker.h"

namespace anvil::dispatch::internal {

/// Compares what callers lose if an urgent job waits with what they lose if
/// less urgent runs are stopped for it.
///
/// Answers a load in which large urgent gangs need more room than is free: if
/// only little work may be stopped for them, they wait until they are worthless
/// beside work that has time.
///
/// Usage: create one for each plan.
class DelayCost {
public:
  DelayCost(const JobRank &Rank, const RunTracker &Tracker, TimePoint Now)
      : m_Rank(Rank), m_Tracker(Tracker), m_Now(Now) {}

  /// Returns the value that the callers of a job lose if it starts after \p
  /// Later instead of after \p Sooner. An absent \p Later stands for a start
  /// that can't be foreseen.
  double ofWaiting(const wire::JobRecord &Job, Duration Sooner,
                   std::optional<Duration> Later);
  /// Returns the value that the callers of the stopped runs lose if these wait
  /// for at least \p HeldFor before they start again: the delay of their jobs,
  /// and the room that the work takes which is done again.
  double ofEviction(const Fleet &PlanFleet, const Eviction &Chosen,
                    Duration HeldFor);

private:
  const JobUrgency &urgencyOf(const wire::JobRecord &Job);

  const JobRank &m_Rank;
  const RunTracker &m_Tracker;
  TimePoint m_Now;
  std::map<std::string, JobUrgency> m_Urgency; ///< By job.
};

} // namespace anvil::dispatch::internal

#endif // ANVIL_SRC_DISPATCH_DELAYCOST_H
