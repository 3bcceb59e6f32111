#ifndef ANVIL_SRC_DISPATCH_JOBRANK_H
#define ANVIL_SRC_DISPATCH_JOBRANK_H

#include <map>
#include <string>
#include <vector>

#include "RunTimes.h"
#include "RunTracker.h"
#include "anvil/workload/WorkloadState.h"

namespace anvil::dispatch::internal {

/// How urgent a job is at the moment of a plan.
struct JobUrgency {
  /// Time that the job needs at least until its end.
  Duration m_ChainLeft{0};
  /// Time for which its start can wait until it misses its objective; negative
  /// if it misses it anyway.
  Duration m_Slack{0};
  /// Order among jobs of equal priority; the highest goes first.
  double m_Rank = 0;
};

/// Ranks jobs of equal priority by what their callers lose if they wait.
///
/// The rank is the apparent tardiness cost: the value that the job still can
/// earn by the work that it takes, discounted by its slack. A job earns its
/// whole value within its objective, a part up to three times the objective,
/// and nothing later.
class JobRank {
public:
  explicit JobRank(const RunTimes &Times) : m_Times(Times) {}

  void clear() {
    m_FirstSeen.clear();
    m_MeanWork.clear();
  }
  /// Remembers when jobs came, for those that were not seen before.
  void update(const workload::WorkloadState &State, TimePoint Now);
  JobUrgency urgencyOf(const wire::JobRecord &Job, const RunTracker &Tracker,
                       TimePoint Now) const;
  TimePoint firstSeen(const std::string &Job, TimePoint Now) const;

private:
  struct Work {
    Duration m_Chain{0};     ///< Of the whole job.
    Duration m_ChainLeft{0}; ///< Of what is not done.
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
  /// Mean work of the jobs of a queue, in core seconds.
  std::map<std::string, Mean> m_MeanWork;
};

/// Returns what a task takes of a worker, as a single number: its cores, where
/// an accelerator counts as eight.
double coresOf(const wire::ResourceAmounts &Amounts);

} // namespace anvil::dispatch::internal

#endif // ANVIL_SRC_DISPATCH_JOBRANK_H
