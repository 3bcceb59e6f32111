#ifndef ANVIL_STATE_CLUSTERSTATE_H
#define ANVIL_STATE_CLUSTERSTATE_H

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

#include "anvil/base/Ids.h"
#include "anvil/config/Document.h"
#include "anvil/state/StateEvents.h"
#include "anvil_types.h"

namespace anvil::state {

namespace internal {
struct StateData;
} // namespace internal

/// One phase change of a job. Times are the proposer's, in microseconds since
/// the epoch.
struct JobHistoryEntry {
  int64_t m_AtUs = 0;
  JobPhase m_Phase = JobPhase::Queued;
  std::string m_Reason;
};

/// One member of a placed gang.
struct MemberView {
  int32_t m_TaskIndex = 0;
  VmId m_Vm;
  int64_t m_Incarnation = 0;
  TaskPhase m_Phase = TaskPhase::Reserved;
  /// Time from which ExpireLeases may free a lost member, in microseconds; 0 if
  /// it is not lost.
  int64_t m_LeaseEndsUs = 0;
};

/// A copy of one job in the state.
struct JobView {
  JobId m_Id;
  wire::JobSpec m_Spec;
  std::string m_SubmissionId;
  JobPhase m_Phase = JobPhase::Queued;
  int64_t m_SubmittedAtUs = 0;
  /// When the phase last changed.
  int64_t m_ChangedAtUs = 0;
  /// Start token of the current placement; 0 while the job holds no member.
  int64_t m_StartToken = 0;
  /// Number of placements so far.
  int32_t m_Attempts = 0;
  /// True if a reclaim order with ReclaimMode::THROTTLE is in force.
  bool m_Throttled = false;
  /// True once every started member of one attempt reported a checkpoint, so
  /// that the next attempt can resume from it.
  bool m_Checkpointed = false;
  /// The latest reason: why the job waits, what changed its phase last or how
  /// it ended.
  std::string m_Reason;
  /// In order of the task index; empty while queued and after the end.
  std::vector<MemberView> m_Members;
  /// At most 24 entries. The first one, the submission, is kept; of the others
  /// the oldest is dropped first.
  std::vector<JobHistoryEntry> m_History;
};

/// A copy of one target VM in the state.
struct TargetView {
  wire::TargetInfo m_Info;
  VmPhase m_Phase = VmPhase::Up;
  bool m_Quarantined = false;
  std::string m_QuarantineReason;
  /// Resources of the members on this VM. A lost member counts until its lease
  /// has expired, because its task may still run.
  wire::Resources m_Used;
  /// True if the VM is up, not quarantined and in an availability zone that is
  /// in service.
  bool m_Usable = false;
  /// Number of members that m_Used counts.
  int32_t m_Members = 0;
};

/// Sizes of the state and totals over its log.
struct Counters {
  int64_t m_AppliedIndex = 0;
  int64_t m_Targets = 0;
  int64_t m_LostTargets = 0;
  /// Jobs that have not ended, including the queued ones.
  int64_t m_LiveJobs = 0;
  int64_t m_QueuedJobs = 0;
  /// Ended jobs that are still stored.
  int64_t m_EndedJobs = 0;
  /// Members that hold resources.
  int64_t m_Members = 0;
  int64_t m_Claims = 0;
  int64_t m_OpenClaims = 0;
  /// Memory that the stored claims are charged with.
  int64_t m_ClaimBytes = 0;
  /// The totals below count from the start of the log.
  int64_t m_JobsSubmitted = 0;
  int64_t m_JobsCompleted = 0;
  int64_t m_JobsFailed = 0;
  int64_t m_JobsCancelled = 0;
  int64_t m_JobsOutcomeUnknown = 0;
  int64_t m_ClaimsRefusedByLimit = 0;
  /// Task reports for another placement, VM or incarnation than the current
  /// one.
  int64_t m_StaleReports = 0;
};

/// The configuration in force, with its text as it was applied.
struct ConfigView {
  int64_t m_Version = 0;
  std::string m_Digest;
  std::string m_Text;
  std::string m_Environment;
  std::string m_OperatorId;
  int64_t m_Index = 0; ///< Log index at which it was accepted.
};

/// One accepted version of the configuration.
struct ConfigVersionView {
  int64_t m_Version = 0;
  std::string m_Digest;
  std::string m_OperatorId;
  std::string m_Environment;
  std::string m_PromotedFrom; ///< Source environment and digest; empty if it
                              ///< was not promoted.
  int64_t m_Index = 0;        ///< Log index at which it was accepted.
};

/// The replicated state machine of the control plane: applies committed
/// commands and holds the authoritative state of the cluster.
///
/// Usage: create() one on each replica, apply() every committed command in log
/// order, and answer queries with the const functions. Equal commands give
/// equal results and equal snapshot bytes on every replica. Commands carry the
/// proposer's time; the state reads no clock and does no I/O. Not thread safe.
class ClusterState {
public:
  /// Returns an empty state, or an error if a state chart does not match the
  /// phases and events of the code.
  static absl::StatusOr<ClusterState> create();

  /// Returns the state that snapshot() wrote. Fails with FailedPrecondition for
  /// an unknown format version and with DataLoss for damaged bytes.
  static absl::StatusOr<ClusterState> restore(std::string_view Snapshot);

  ClusterState(ClusterState &&) noexcept;
  ClusterState &operator=(ClusterState &&) noexcept;
  ~ClusterState();

  /// Applies the command at log index \p Index, which must be above all earlier
  /// ones.
  ///
  /// A repeated index changes nothing and returns INVALID. A result other than
  /// OK means that the command did not take effect; its message says why.
  wire::CommandResult apply(const wire::Command &Command, int64_t Index);

  /// Returns all state as bytes with a format version and a checksum.
  std::string snapshot() const;

  /// Sets the function that receives each change; an empty one disables it. The
  /// hook is not part of a snapshot.
  void setEventHook(StateEventHook Hook);

  /// Returns the log index of the last applied command; 0 before the first.
  int64_t appliedIndex() const;

  /// Returns the order for each task that the agent of \p Vm holds, sorted by
  /// job and task. Empty if the VM is unknown or lost.
  ///
  /// The cost depends on the number of tasks on this VM only. Every assignment,
  /// PREPARE included, carries the token of its placement; only START and
  /// THROTTLE permit the task to run. A task that is not listed must not run.
  std::vector<wire::Assignment> assignmentsFor(const VmId &Vm) const;

  /// Returns the target, or nullopt if it is unknown.
  std::optional<TargetView> target(const VmId &Vm) const;

  /// Calls \p Visit for every target in order of the VM names.
  void
  forEachTarget(const std::function<void(const TargetView &)> &Visit) const;

  /// Returns true if \p Incarnation is the current one of \p Vm, the VM is up
  /// and its zone is in service, so that placed tasks may start there.
  ///
  /// Ignores quarantine, because a quarantined worker keeps the tasks that it
  /// has.
  bool mayStartOn(const VmId &Vm, int64_t Incarnation) const;

  /// Returns the routing table of the entries: all minions, sorted by VM.
  std::vector<wire::RouteTarget> routes() const;

  /// Returns a version that rises with every change of routes(): the log index
  /// of the change.
  int64_t routeVersion() const;

  /// Returns the availability zones that operators withdrew, sorted.
  std::vector<AvailabilityZoneId> withdrawnZones() const;

  /// Returns the targets in phase Draining, sorted. They take no new work.
  std::vector<VmId> drainingTargets() const;

  /// Returns the job, or nullopt if it is unknown. Only the last 10,000 ended
  /// jobs are stored.
  std::optional<JobView> job(JobId Id) const;

  /// Returns the ids of the jobs that have not ended, sorted.
  std::vector<JobId> liveJobs() const;

  /// Calls \p Visit for each job with an id above \p After, in order of the
  /// ids, until it returns false.
  void forEachJob(JobId After,
                  const std::function<bool(const JobView &)> &Visit) const;

  /// Returns commands for the leader to propose that free the lost members
  /// whose lease has ended at \p NowUs.
  ///
  /// \p NowUs is the proposal time of these commands.
  std::vector<wire::ExpireLeases> expiredLeases(int64_t NowUs) const;

  /// Returns the result that another attempt's OpenClaim would get for a stored
  /// claim, or nullopt if the claim is unknown.
  std::optional<wire::CommandResult> claim(std::string_view ClaimId) const;

  /// Returns the sum of the resources that the members of a workspace's jobs
  /// hold.
  wire::Resources heldBy(const WorkspaceId &Workspace) const;

  /// Returns the parsed configuration in force, or null before the first one.
  /// Valid until the next apply().
  const config::Document *document() const;

  /// Returns the configuration in force; version 0 before the first one.
  ConfigView configuration() const;

  /// Returns the newest \p Limit of the stored versions (at most 1,024), newest
  /// first.
  std::vector<ConfigVersionView> configHistory(size_t Limit) const;

  /// Returns sizes and totals. The cost is linear in the targets and the jobs
  /// that have not ended.
  Counters counters() const;

private:
  explicit ClusterState(std::unique_ptr<internal::StateData> Data);

  std::unique_ptr<internal::StateData> m_Data;
};

/// Return the name of a phase as it appears in charts, queries and logs.
std::string_view nameOf(JobPhase Phase);
std::string_view nameOf(TaskPhase Phase);
std::string_view nameOf(VmPhase Phase);
std::string_view nameOf(ZonePhase Phase);

} // namespace anvil::state

#endif // ANVIL_STATE_CLUSTERSTATE_H
