#ifndef ANVIL_SRC_DISPATCH_JOBRANK_H
#define ANVIL_SRC_DISPATCH_JOBRANK_H

#include <map>
#include <string>
#include <vector>

#include "RunTimes.h"
#include "RunTracker.h"
#include "anvil/workload/WorkloadState.h"

namespace anvil::dispatch::internal {

/// How urgent a job is at the time of a plan.
struct JobUrgency {
  /// Shortest time in which the rest of the job can complete.
  Duration m_CriticalPathLeft{0};
  /// How long its start can be delayed without missing its objective; negative
  /// if it misses the objective in any case.
  Duration m_Slack{0};
  /// The same for the time after which it earns nothing.
  Duration m_LateSlack{0};
  /// Order among jobs of equal priority; the highest rank goes first.
  double m_Rank = 0;
};

/// Ranks jobs of equal priority by the value that callers lose if the jobs
/// wait.
///
/// The rank is the apparent tardiness cost: the value that the job can still
/// earn, divided by its remaining work and discounted by its slack. A job earns
/// its whole value within its objective, a part of it within three times the
/// objective, and nothing later.
class JobRank {
public:
  explicit JobRank(const RunTimes &Times) : m_Times(Times) {}

  void clear() {
    m_FirstSeen.clear();
    m_MeanWork.clear();
  }
  /// Records the arrival time and the work of jobs that were not seen before,
  /// and removes jobs that are not live any more.
  void update(const workload::WorkloadState &State, TimePoint Now);
  JobUrgency urgencyOf(const wire::JobRecord &Job, const RunTracker &Tracker,
                       TimePoint Now) const;
  TimePoint firstSeen(const std::string &Job, TimePoint Now) const;

private:
  struct Work {
    Duration m_CriticalPath{0};     ///< Time that the whole job takes at least.
    Duration m_CriticalPathLeft{0}; ///< The same for what is not done.
    double m_CoreSecondsLeft = 0;
  };
  struct Mean {
    double m_Count = 0;
    double m_Value = 0;
  };
  double wholeWork(const wire::JobRecord &Job) const;
  Work workOf(const wire::JobRecord &Job, const RunTracker &Tracker,
              TimePoint Now) const;

  const RunTimes &m_Times;
  std::map<std::string, TimePoint> m_FirstSeen;
  /// Mean work of the jobs of each queue, in core seconds.
  std::map<std::string, Mean> m_MeanWork;
};

/// Returns the resources of a task as a single number: its cores, with each
/// accelerator counted as eight.
double coresOf(const wire::ResourceAmounts &Amounts);

} // namespace anvil::dispatch::internal

#endif // ANVIL_SRC_DISPATCH_JOBRANK_H
