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

/// One step in the life of a job, with the command's time in microseconds.
struct JobNote {
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
  /// Time from which ExpireLeases may free a lost member; 0 if it is not lost.
  int64_t m_LeaseEndsUs = 0;
};

/// One job as the state holds it.
struct JobView {
  JobId m_Id;
  wire::JobSpec m_Spec;
  std::string m_SubmissionId;
  JobPhase m_Phase = JobPhase::Queued;
  int64_t m_SubmittedAtUs = 0;
  /// When the phase last changed.
  int64_t m_ChangedAtUs = 0;
  /// Token of the current placement; 0 while queued.
  int64_t m_StartToken = 0;
  /// Placements so far.
  int32_t m_Attempts = 0;
  bool m_Throttled = false;
  /// True once all members of an attempt were checkpointed, so that the next
  /// one can continue from there.
  bool m_Checkpointed = false;
  /// Why the job waits or how it ended; the newest reason.
  std::string m_Reason;
  std::vector<MemberView> m_Members;
  /// Bounded; the oldest steps after the submission are dropped first.
  std::vector<JobNote> m_History;
};

/// One target VM as the state holds it.
struct TargetView {
  wire::TargetInfo m_Info;
  VmPhase m_Phase = VmPhase::Up;
  bool m_Quarantined = false;
  std::string m_QuarantineReason;
  /// Resources of members that hold or may still use them, also after a loss
  /// until the lease has expired.
  wire::Resources m_Used;
  /// Up, not quarantined and in an availability zone that is in service.
  bool m_Usable = false;
  int32_t m_Members = 0;
};

/// Sizes and totals of the state.
struct Counters {
  int64_t m_AppliedIndex = 0;
  int64_t m_Targets = 0;
  int64_t m_LostTargets = 0;
  int64_t m_LiveJobs = 0;
  int64_t m_QueuedJobs = 0;
  int64_t m_EndedJobs = 0;
  int64_t m_Members = 0;
  int64_t m_Claims = 0;
  int64_t m_OpenClaims = 0;
  int64_t m_ClaimBytes = 0;
  /// Since the log began.
  int64_t m_JobsSubmitted = 0;
  int64_t m_JobsCompleted = 0;
  int64_t m_JobsFailed = 0;
  int64_t m_JobsCancelled = 0;
  int64_t m_JobsOutcomeUnknown = 0;
  int64_t m_ClaimsRefusedByLimit = 0;
  int64_t m_StaleReports = 0;
};

/// The configuration in force.
struct ConfigView {
  int64_t m_Version = 0;
  std::string m_Digest;
  std::string m_Text;
  std::string m_Environment;
  std::string m_OperatorId;
  int64_t m_Index = 0;
};

/// One accepted version of the configuration.
struct ConfigVersionView {
  int64_t m_Version = 0;
  std::string m_Digest;
  std::string m_OperatorId;
  std::string m_Environment;
  std::string m_PromotedFrom; ///< Environment and digest that it was tried in;
                              ///< empty if it was not promoted.
  int64_t m_Index = 0;        ///< Log index at which it was accepted.
};

/// Applies committed commands and holds the only durable truth of the cluster.
///
/// Usage: create() one for each replica, apply() every committed command in log
/// order, answer from the read access. Equal commands give equal results and
/// equal snapshot bytes on every replica. Commands carry the proposer's time;
/// the state reads no clock and does no I/O. Not thread safe.
class ClusterState {
public:
  /// Returns an empty state, or an error if a chart is wrong.
  static absl::StatusOr<ClusterState> create();

  /// Returns the state that snapshot() wrote; an unknown format version or
  /// damaged bytes are errors.
  static absl::StatusOr<ClusterState> restore(std::string_view Snapshot);

  ClusterState(ClusterState &&) noexcept;
  ClusterState &operator=(ClusterState &&) noexcept;
  ~ClusterState();

  /// Applies the command at log position \p Index, which must be above all
  /// earlier ones.
  ///
  /// A repeated index changes nothing and is INVALID. Refusals leave the state
  /// as it was and say why.
  wire::CommandResult apply(const wire::Command &Command, int64_t Index);

  /// Returns all state as bytes with a format version and a checksum.
  std::string snapshot() const;

  /// Sets the receiver of changes; empty switches it off. Not part of a
  /// snapshot.
  void setEventHook(StateEventHook Hook);

  /// Returns the log index of the last applied command; 0 before the first.
  int64_t appliedIndex() const;

  /// Returns what the agent of \p Vm should do about each of its tasks, ordered
  /// by job and task.
  ///
  /// Cost grows with the tasks of this VM only. Every assignment, PREPARE
  /// included, carries the token of its placement; only START and THROTTLE
  /// permit the task to run. A task that is not listed must not run.
  std::vector<wire::Assignment> assignmentsFor(const VmId &Vm) const;

  /// Returns the known target or nothing.
  std::optional<TargetView> target(const VmId &Vm) const;

  /// Calls \p Visit for every target in name order.
  void
  forEachTarget(const std::function<void(const TargetView &)> &Visit) const;

  /// Returns true if \p Incarnation is the current one of \p Vm and new work
  /// may start there: up, zone in service.
  ///
  /// Quarantine does not count here: a quarantined worker keeps the tasks that
  /// it has.
  bool mayStartOn(const VmId &Vm, int64_t Incarnation) const;

  /// Returns the minions for the entries, ordered by VM.
  std::vector<wire::RouteTarget> routes() const;

  /// Returns a version that rises with every change of routes().
  int64_t routeVersion() const;

  /// Returns the availability zones that operators withdrew, ordered.
  std::vector<AvailabilityZoneId> withdrawnZones() const;

  /// Returns the targets that take no new work because they are leaving,
  /// ordered.
  std::vector<VmId> drainingTargets() const;

  /// Returns the job or nothing; ended jobs are dropped once there are more
  /// than MaxEndedJobs.
  std::optional<JobView> job(JobId Id) const;

  /// Returns the numbers of the jobs that have not ended, ordered.
  std::vector<JobId> liveJobs() const;

  /// Calls \p Visit for each job above \p After in order, until it returns
  /// false.
  void forEachJob(JobId After,
                  const std::function<bool(const JobView &)> &Visit) const;

  /// Returns the lost members whose lease has ended at \p NowUs, as commands
  /// for the leader to propose.
  ///
  /// \p NowUs is the time that the leader would put into the commands.
  std::vector<wire::ExpireLeases> expiredLeases(int64_t NowUs) const;

  /// Returns the stored claim result as OpenClaim would see it, or nothing.
  std::optional<wire::CommandResult> claim(std::string_view ClaimId) const;

  /// Returns what a workspace's placed jobs hold.
  wire::Resources heldBy(const WorkspaceId &Workspace) const;

  /// Returns the parsed configuration in force, or null before the first.
  const config::Document *document() const;

  /// Returns the configuration in force as it was applied; version 0 before the
  /// first.
  ConfigView configuration() const;

  /// Returns the newest \p Limit of the remembered versions (at most 1,024),
  /// newest first.
  std::vector<ConfigVersionView> configHistory(size_t Limit) const;

  /// Returns sizes and totals; walks the targets and the jobs that have not
  /// ended.
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
