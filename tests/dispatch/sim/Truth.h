#ifndef ANVIL_TESTS_DISPATCH_SIM_TRUTH_H
#define ANVIL_TESTS_DISPATCH_SIM_TRUTH_H

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "anvil/base/Time.h"
#include "workload_types.h"

namespace anvil::sim {

using TaskKey = std::tuple<std::string, int32_t, int32_t, int32_t>;

inline TaskKey keyOf(const wire::TaskRef &Ref) {
  return {Ref.jobId, Ref.occurrence, Ref.step, Ref.index};
}

/// A job as callers submit it, with what the scheduler is not told.
struct JobPlan {
  Duration m_At{0};
  std::string m_Id;
  std::string m_Queue;
  std::string m_Workspace;
  wire::WorkloadSpec m_Spec;
  /// Work of each task of each step on a sound worker.
  std::vector<std::vector<Duration>> m_Work;
  /// Share of the runs that fail by their own fault.
  double m_FailShare = 0;
  /// Every run fails.
  bool m_Hopeless = false;
  /// Time after the submission at which it is cancelled; zero is never.
  Duration m_CancelAfter{0};
  double m_Weight = 1;
  double m_LateWeight = 0.5;
};

/// What the workers did, and the promises that it breaks.
class Truth {
public:
  void started(const wire::TaskRef &Task, int64_t Run, TimePoint Now);
  void ended(const wire::TaskRef &Task, int64_t Run,
             wire::RunEndKind::type Kind, TimePoint Now);
  /// The worker was told that the end is durable.
  void noted(const wire::TaskRef &Task, int64_t Run,
             wire::RunEndKind::type Kind);
  void submitted(const JobPlan &Job) { m_Jobs[Job.m_Id] = &Job; }
  void cancelAcknowledged(const std::string &Job, TimePoint Now) {
    m_Cancelled[Job] = Now;
  }
  void completed(const std::string &Job);

  /// Returns the first broken promise, or an empty text.
  const std::string &violation() const { return m_Violation; }
  int64_t starts() const { return m_Starts; }
  int64_t ends(wire::RunEndKind::type Kind) const;
  /// Accelerator-weighted core seconds that were worked and not kept.
  double m_WastedCoreSeconds = 0;

private:
  void broken(const std::string &Text);

  std::map<std::string, const JobPlan *> m_Jobs;
  std::map<TaskKey, std::set<int64_t>> m_Running;
  std::set<TaskKey> m_Done;
  std::set<TaskKey> m_NotedDone;
  std::map<TaskKey, int64_t> m_NotedFailures;
  std::map<std::string, TimePoint> m_Cancelled;
  std::map<wire::RunEndKind::type, int64_t> m_Ends;
  int64_t m_Starts = 0;
  std::string m_Violation;
};

} // namespace anvil::sim

#endif // ANVIL_TESTS_DISPATCH_SIM_TRUTH_H
