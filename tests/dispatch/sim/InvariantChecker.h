#ifndef ANVIL_TESTS_DISPATCH_SIM_INVARIANTCHECKER_H
#define ANVIL_TESTS_DISPATCH_SIM_INVARIANTCHECKER_H

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

/// A job as a caller submits it, and what the scheduler is not told about it.
struct JobPlan {
  Duration m_SubmitAfter{0};
  std::string m_Id;
  std::string m_Queue;
  std::string m_Workspace;
  wire::WorkloadSpec m_Spec;
  /// Work of each task of each step on a healthy worker.
  std::vector<std::vector<Duration>> m_Work;
  /// Share of the runs that fail by the fault of their task.
  double m_FailShare = 0;
  /// Every run fails.
  bool m_AlwaysFails = false;
  /// Time after the submission at which the job is cancelled; zero for never.
  Duration m_CancelAfter{0};
  double m_Weight = 1;
  double m_LateWeight = 0.5;
};

/// Records what the workers do and checks the invariants of scheduling: a task
/// runs once at a time, not after its end was acknowledged, not before the
/// steps that it depends on, and not after its job was cancelled.
class InvariantChecker {
public:
  void runStarted(const wire::TaskRef &Task, int64_t Run, TimePoint Now);
  void runEnded(const wire::TaskRef &Task, int64_t Run,
                wire::RunEndKind::type Kind, TimePoint Now);
  /// The worker was told that the end is committed.
  void endAcknowledged(const wire::TaskRef &Task, int64_t Run,
                       wire::RunEndKind::type Kind);
  void jobSubmitted(const JobPlan &Job) { m_Jobs[Job.m_Id] = &Job; }
  void cancelAcknowledged(const std::string &Job, TimePoint Now) {
    m_Cancelled[Job] = Now;
  }
  void jobCompleted(const std::string &Job);

  /// Returns the first violation, or an empty text.
  const std::string &violation() const { return m_Violation; }
  int64_t starts() const { return m_Starts; }
  int64_t ends(wire::RunEndKind::type Kind) const;
  /// Core seconds of work that was lost; an accelerator counts as eight cores.
  double m_WastedCoreSeconds = 0;

private:
  void recordViolation(const std::string &Text);

  std::map<std::string, const JobPlan *> m_Jobs;
  std::map<TaskKey, std::set<int64_t>> m_Running;
  std::set<TaskKey> m_Done;
  std::set<TaskKey> m_AcknowledgedDone;
  std::map<TaskKey, int64_t> m_AcknowledgedFailures;
  std::map<std::string, TimePoint> m_Cancelled;
  std::map<wire::RunEndKind::type, int64_t> m_Ends;
  int64_t m_Starts = 0;
  std::string m_Violation;
};

} // namespace anvil::sim

#endif // ANVIL_TESTS_DISPATCH_SIM_INVARIANTCHECKER_H
