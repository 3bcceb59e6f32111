#ifndef ANVIL_WORKLOAD_WORKLOADSTATE_H
#define ANVIL_WORKLOAD_WORKLOADSTATE_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"

#include "workload_types.h"

namespace anvil::workload {

/// A job changed its phase.
struct JobChanged {
  std::string m_Job;
  wire::JobPhase::type m_Phase = wire::JobPhase::QUEUED;
  std::string m_Reason;
};

/// A run was placed on a worker.
struct RunPlaced {
  wire::TaskRef m_Task;
  int64_t m_Run = 0;
  wire::WorkerIncarnation m_Worker;
  std::string m_Reason;
};

/// A run was ordered to stop. It holds its resources until RunEnded.
struct RunStopping {
  wire::TaskRef m_Task;
  int64_t m_Run = 0;
  wire::WorkerIncarnation m_Worker;
  std::string m_Reason;
};

/// A run ended and its resources are free.
struct RunEnded {
  wire::TaskRef m_Task;
  int64_t m_Run = 0;
  wire::WorkerIncarnation m_Worker;
  wire::RunEndKind::type m_Kind = wire::RunEndKind::DONE;
  std::string m_Detail;
};

/// An incarnation of a worker registered, was replaced or was lost.
struct WorkerChanged {
  wire::WorkerIncarnation m_Incarnation;
  bool m_Registered = false;
  std::string m_Reason;
};

/// A policy document came into force.
struct PolicyChanged {
  int64_t m_Version = 0;
};

/// Operators took an availability zone out of service or brought it back.
struct ZoneWithdrawalChanged {
  std::string m_Zone;
  bool m_Withdrawn = false;
};

/// One change of the workload state.
using WorkloadEvent =
    std::variant<JobChanged, RunPlaced, RunStopping, RunEnded, WorkerChanged,
                 PolicyChanged, ZoneWithdrawalChanged>;

/// Receives each change in order, during apply(). It must not call apply().
using WorkloadEventHook = std::function<void(const WorkloadEvent &)>;

/// A run that the state places on a worker, and whether it is to stop.
struct WantedRun {
  wire::TaskRef m_Task;
  int64_t m_Run = 0;
  bool m_Stop = false;
};

/// Limits of what the state keeps. They must be the same on all replicas.
struct WorkloadLimits {
  /// Jobs that have not ended: several times what 4,600 jobs a day, most of
  /// them running for hours, add up to.
  size_t m_MaxLiveJobs = 20'000;
  /// Total size of the payloads of all jobs that have not ended, in bytes.
  int64_t m_MaxPayloadBytes = 32LL << 20;
  /// Ended jobs whose status is kept: three days at 4,600 jobs a day.
  size_t m_MaxEndedJobs = 16'384;
};

/// Applies committed commands and holds the durable state of multi-step jobs,
/// the workers that run them and the policy that admits them.
///
/// Usage: construct or restore() one for each replica, apply() every committed
/// command in log order, and read the state through the accessors. Equal
/// commands give equal results and equal snapshot bytes on every replica. This
/// class reads no clock and does no I/O. It is not thread safe.
class WorkloadState {
public:
  /// Orders incarnations by worker id and start time in milliseconds.
  using IncarnationKey = std::pair<std::string, int64_t>;

  WorkloadState();
  explicit WorkloadState(WorkloadLimits Limits);

  /// Returns the state that snapshot() wrote.
  ///
  /// Errors: WorkloadErrc::BadSnapshot.
  static absl::StatusOr<WorkloadState> restore(std::string_view Snapshot,
                                               WorkloadLimits Limits);

  /// Applies the command at log position \p Index. The status is INVALID,
  /// without any change, if the index is not higher than that of the last
  /// command.
  wire::WorkloadResult apply(const wire::WorkloadCommand &Command,
                             int64_t Index);

  /// Returns the whole state as bytes.
  std::string snapshot() const;

  /// Sets the receiver of changes, which is not part of a snapshot; may be
  /// empty.
  void setEventHook(WorkloadEventHook Hook) { m_Hook = std::move(Hook); }

  /// Returns the record of a job as apply() would store it if \p Queue is the
  /// queue of its address, without its position in the log.
  static wire::JobRecord makeRecord(const wire::SubmitWorkload &Submit,
                                    const wire::QueuePolicy &Queue);

  int64_t appliedIndex() const { return m_AppliedIndex; }

  /// Returns the policy in force; its version is 0 until one is put.
  const wire::PolicyDocument &policy() const { return m_Policy; }

  /// Returns the index of the last change of an availability zone; 0 before
  /// the first.
  int64_t zoneRevision() const { return m_ZoneRevision; }
  /// Returns the availability zones that are out of service.
  const std::set<std::string> &withdrawnZones() const {
    return m_WithdrawnZones;
  }

  /// Returns the registered replicas by id.
  const std::map<int64_t, wire::ReplicaAddress> &replicas() const {
    return m_Replicas;
  }

  /// Returns the job, which may have ended, or null if it is not known or was
  /// cancelled before it was handed in.
  const wire::JobRecord *job(std::string_view Id) const;

  /// Returns the ids of the jobs that have not ended or still have runs, by log
  /// position of their submission.
  const std::map<int64_t, std::string> &liveJobs() const { return m_LiveJobs; }

  /// Returns the registered workers by id.
  const std::map<std::string, wire::WorkerRecord> &workers() const {
    return m_Workers;
  }

  /// Returns earlier incarnations of workers whose runs are not known to be
  /// over: a late order may still start such a run in the incarnation that
  /// replaced them.
  const std::map<IncarnationKey, wire::WorkerRecord> &formerWorkers() const {
    return m_FormerWorkers;
  }

  /// Returns the worker if \p Incarnation is the registered one, or null.
  const wire::WorkerRecord *
  worker(const wire::WorkerIncarnation &Incarnation) const;

  /// Returns the runs that are placed on a worker, ordered by task.
  std::vector<WantedRun>
  wantedRuns(const wire::WorkerIncarnation &Incarnation) const;

  /// Returns the task, or null if its job, occurrence, step or index does not
  /// exist or its occurrence is done.
  const wire::TaskRecord *task(const wire::TaskRef &Ref) const;

  /// Returns the number of jobs of which no task was started yet, by the queue
  /// that their address selects now. Queues without such jobs are left out.
  std::map<std::string, int64_t> pendingByQueue() const;

  /// Returns the maintenance waves by number.
  const std::map<int64_t, wire::WaveRecord> &waves() const { return m_Waves; }

  /// Returns the first inconsistency of the state, or an empty text. Walks the
  /// whole state; meant for tests.
  std::string findViolation() const;

private:
  using TaskKey = std::tuple<std::string, int32_t, int32_t, int32_t>;

  wire::WorkloadResult dispatch(const wire::WorkloadCommand &Command);
  wire::WorkloadResult applyPutPolicy(const wire::PutPolicy &Command);
  wire::WorkloadResult applySetZone(const wire::SetZone &Command);
  wire::WorkloadResult applySubmit(const wire::SubmitWorkload &Command);
  wire::WorkloadResult applyCancel(const wire::CancelWorkload &Command);
  wire::WorkloadResult applyOpenOccurrence(const wire::OpenOccurrence &Command);
  wire::WorkloadResult applyRegisterWorker(const wire::RegisterWorker &Command);
  wire::WorkloadResult applyLoseWorker(const wire::LoseWorker &Command);
  wire::WorkloadResult applyStartRuns(const wire::StartRuns &Command);
  wire::WorkloadResult applyStopRuns(const wire::StopRuns &Command);
  wire::WorkloadResult applyEndRuns(const wire::EndRuns &Command);
  wire::WorkloadResult applyStartWave(const wire::StartWave &Command);
  wire::WorkloadResult
  applyNoteMachineDown(const wire::NoteMachineDown &Command);

  absl::Status checkPlacements(const wire::JobRecord &Job,
                               const wire::StartRuns &Command) const;
  absl::Status checkRoom(const wire::StepSpec &Step,
                         const wire::StartRuns &Command) const;
  wire::JobRecord *findJob(std::string_view Id);
  wire::TaskRecord *findTask(const wire::TaskRef &Ref);
  static void openOccurrence(wire::JobRecord &Job, int32_t Number);
  void placeRun(wire::JobRecord &Job, const wire::TaskRef &Ref, int64_t Run,
                const wire::WorkerIncarnation &Incarnation,
                const std::string &Reason);
  void stopRun(const wire::TaskRef &Ref, const std::string &Reason);
  void stopAllRuns(const wire::JobRecord &Job, const std::string &Reason);
  void endRun(const wire::RunEnd &End,
              const wire::WorkerIncarnation &Incarnation);
  void releaseRun(wire::JobRecord &Job, const wire::TaskRef &Ref,
                  wire::TaskRecord &Task);
  void finishTask(wire::JobRecord &Job, const wire::TaskRef &Ref);
  static void markDone(wire::JobRecord &Job, const wire::TaskRef &Ref);
  void acceptLateSuccess(wire::JobRecord &Job, const wire::TaskRef &Ref);
  void acceptLateTaskSuccess(wire::JobRecord &Job, const wire::TaskRef &Ref);
  void finishGang(wire::JobRecord &Job, const wire::TaskRef &Ref);
  void breakGang(wire::JobRecord &Job, const wire::TaskRef &Ref,
                 const wire::RunEnd &End);
  void countFailure(wire::JobRecord &Job, const wire::RunEnd &End);
  void finishOccurrenceIfDone(wire::JobRecord &Job, int32_t Occurrence);
  void setPhase(wire::JobRecord &Job, wire::JobPhase::type Phase,
                const std::string &Reason);
  void retireIfOver(wire::JobRecord &Job);
  void markCancelledFirst(const wire::CancelWorkload &Command);
  void rememberEndedJob(const std::string &Id);
  void forgetEndedJob(const std::string &Id);
  void endRunsOf(const wire::WorkerIncarnation &Incarnation,
                 const wire::LoseWorker &Command);
  void retireIncarnation(const wire::WorkerIncarnation &Incarnation,
                         const wire::WorkerIncarnation &Successor,
                         const std::string &Reason);
  bool mayReportFor(const wire::WorkerIncarnation &Incarnation,
                    const wire::WorkerIncarnation &Former) const;
  static IncarnationKey keyOf(const wire::WorkerIncarnation &Incarnation) {
    return {Incarnation.id, Incarnation.startedAtMs};
  }
  void indexJob(const wire::JobRecord &Job);
  const wire::QueuePolicy *queueOf(const wire::SubmitWorkload &Command) const;
  void emit(const WorkloadEvent &Event) const;

  WorkloadLimits m_Limits;
  WorkloadEventHook m_Hook;
  int64_t m_AppliedIndex = 0;
  wire::PolicyDocument m_Policy;
  std::set<std::string> m_WithdrawnZones;
  int64_t m_ZoneRevision = 0;
  std::map<int64_t, wire::ReplicaAddress> m_Replicas;
  std::map<std::string, wire::JobRecord, std::less<>> m_Jobs;
  std::vector<std::string> m_EndedJobIds;
  std::map<std::string, wire::WorkerRecord> m_Workers;
  std::map<IncarnationKey, wire::WorkerRecord> m_FormerWorkers;
  std::map<int64_t, wire::WaveRecord> m_Waves;
  // Derived from the members above, so not part of a snapshot.
  std::map<int64_t, std::string> m_LiveJobs;
  std::map<wire::JobAddress, int64_t> m_PendingByAddress; ///< Above 0.
  std::map<IncarnationKey, std::set<TaskKey>> m_RunsByIncarnation;
  int64_t m_PayloadBytes = 0;
};

/// Returns true if the phase is final.
bool hasEnded(wire::JobPhase::type Phase);

/// Returns the name of the task for logs and workers: job, occurrence, step and
/// index joined by dots.
std::string nameOf(const wire::TaskRef &Ref);

/// Returns the name of an enumerator as shown in logs.
std::string_view nameOf(wire::JobPhase::type Phase);
std::string_view nameOf(wire::RunEndKind::type Kind);

/// Returns true if the task has a run that may still be running.
inline bool isActive(const wire::TaskRecord &Task) {
  return Task.phase == wire::TaskPhase::PLACED ||
         Task.phase == wire::TaskPhase::STOPPING;
}

/// Returns true if all steps that \p Step depends on are done.
bool areDependenciesDone(const wire::JobRecord &Job,
                         const wire::OccurrenceRecord &Occurrence,
                         int32_t Step);

} // namespace anvil::workload

#endif // ANVIL_WORKLOAD_WORKLOADSTATE_H
