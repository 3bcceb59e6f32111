#ifndef ANVIL_STATE_STATEDATA_H
#define ANVIL_STATE_STATEDATA_H

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/statusor.h"

#include "anvil/chart/StateChart.h"
#include "anvil/config/Document.h"
#include "anvil/state/ClusterState.h"
#include "state_types.h"

namespace anvil::state::internal {

/// Limits on the size of the state. They keep it below 256 MB at the cluster
/// size of docs/design.md, section 3.
inline constexpr size_t MaxTargets = 50'000;
/// Keeps lost VMs for queries for about 12 days, at 160 failed VMs a day.
inline constexpr size_t MaxLostTargets = 2'048;
/// Two days of jobs at 4,600 a day.
inline constexpr size_t MaxEndedJobs = 10'000;
/// Ten days of submissions. A resend after that is taken as a new job.
inline constexpr size_t MaxSubmissions = 50'000;
/// Entries of the history of one job.
inline constexpr size_t MaxHistory = 24;
inline constexpr size_t MaxConfigVersions = 1'024;
/// Operator requests stored for each zone, so that resends are recognized.
inline constexpr size_t MaxZoneRequests = 64;
inline constexpr size_t MaxReasonBytes = 256;
/// Sum of the payloads of all jobs that have not ended.
inline constexpr int64_t MaxPayloadBytes = 64LL << 20;
inline constexpr size_t MaxResponseBytes = 64 << 10;
/// Limits the time of one command. The proposer repeats the command while more
/// claims are left.
inline constexpr size_t MaxExpiredClaimsPerCommand = 10'000;
/// Memory of a claim's map nodes, index entries and fixed fields.
inline constexpr int64_t ClaimOverheadBytes = 512;

/// Time to wait before a lost member is freed: the lease of the job, 10% for
/// differences between clock rates and 5 s for the agent to stop the task
/// (docs/design.md, section 8).
inline constexpr int64_t LeaseStopMarginUs = 5'000'000;
constexpr int64_t lostLeaseUs(int64_t LeaseMs) {
  return LeaseMs * 1'100 + LeaseStopMarginUs;
}

// Events of the state charts, in the order of the names in StateData.cpp.
enum class JobEvent {
  Place,
  AllPrepared,
  AllRunning,
  AllSucceeded,
  Release,
  Requeue,
  Cancel,
  Fail,
  LoseOutcome
};
enum class TaskEvent {
  Prepared,
  Refused,
  Start,
  Running,
  Succeeded,
  Failed,
  Stopped,
  Checkpointed,
  Stop,
  Lose,
  Expire
};
enum class VmEvent { Register, Lose, Drain, Undrain, Forget };
enum class ZoneEvent { Withdraw, Restore, Forget };

/// The state charts, bound to the enumerations of phases and events.
struct Charts {
  chart::BoundChart<JobPhase, JobEvent> m_Job;
  chart::BoundChart<TaskPhase, TaskEvent> m_Task;
  chart::BoundChart<VmPhase, VmEvent> m_Vm;
  chart::BoundChart<ZonePhase, ZoneEvent> m_Zone;

  static absl::StatusOr<Charts> load();
};

inline constexpr size_t TaskPhaseCount = 8;

/// Sum of resources. 64 bits are enough for any gang or workspace.
struct Usage {
  int64_t m_Accelerators = 0;
  int64_t m_Cores = 0;
  int64_t m_MemoryMib = 0;

  void add(const wire::Resources &Amount, int64_t Times);
  /// Returns true if no component is above \p Limit.
  bool within(const Usage &Limit) const;
};

Usage usageOf(const wire::Resources &Amount);
Usage usageOf(const config::Amount &Amount);
wire::Resources resourcesOf(const Usage &Amount);

/// Refers to one member of a gang.
struct TaskRef {
  int64_t m_Job = 0;
  int32_t m_Task = 0;

  bool operator<(const TaskRef &Other) const {
    return m_Job != Other.m_Job ? m_Job < Other.m_Job : m_Task < Other.m_Task;
  }
};

/// A target with the values that are derived from other records.
struct Target {
  record::Target m_Record;
  Usage m_Used;
  /// Members that hold resources of this target, sorted.
  std::vector<TaskRef> m_Members;
  std::set<std::string> m_OpenClaims;

  VmPhase phase() const { return static_cast<VmPhase>(m_Record.phase); }
};

/// A job with the number of its members in each phase.
struct Job {
  record::Job m_Record;
  std::array<int32_t, TaskPhaseCount> m_Counts{};

  JobPhase phase() const { return static_cast<JobPhase>(m_Record.phase); }
  int32_t count(TaskPhase Phase) const {
    return m_Counts[static_cast<size_t>(Phase)];
  }
};

inline TaskPhase phaseOf(const record::Member &Member) {
  return static_cast<TaskPhase>(Member.phase);
}

struct Zone {
  record::Zone m_Record;
  int64_t m_Targets = 0;

  ZonePhase phase() const { return static_cast<ZonePhase>(m_Record.phase); }
};

/// Sorts closed claims by age. Points to the identifier in StateData::m_Claims
/// to avoid a copy.
struct ClosedClaim {
  int64_t m_ClosedAtUs = 0;
  const std::string *m_ClaimId = nullptr;

  bool operator<(const ClosedClaim &Other) const {
    return std::pair<int64_t, const std::string &>(m_ClosedAtUs, *m_ClaimId) <
           std::pair<int64_t, const std::string &>(Other.m_ClosedAtUs,
                                                   *Other.m_ClaimId);
  }
};

/// The state itself. All containers are sorted, so that loops run in the same
/// order on every replica.
struct StateData {
  explicit StateData(Charts BoundCharts) : m_Charts(std::move(BoundCharts)) {}

  Charts m_Charts;
  StateEventHook m_Hook;

  int64_t m_AppliedIndex = 0;
  int64_t m_RouteVersion = 0;
  record::Totals m_Totals;

  std::string m_DocumentText;
  std::optional<config::Document> m_Document;
  std::map<int64_t, record::ConfigVersion> m_ConfigVersions;

  std::map<std::string, Zone> m_Zones;
  std::map<std::string, Target> m_Targets;
  std::map<std::string, record::Submission> m_Submissions;
  std::map<int64_t, Job> m_Jobs;
  std::map<std::string, record::Claim> m_Claims;

  // Derived from the records above; readSnapshot() rebuilds it.
  std::set<std::pair<int64_t, std::string>> m_LostTargetsByIndex;
  std::set<std::pair<int64_t, std::string>> m_SubmissionsByIndex;
  std::set<std::pair<int64_t, int64_t>> m_EndedJobsByIndex;
  std::set<int64_t> m_LiveJobs;
  std::set<int64_t> m_JobsWithLostMembers;
  std::set<ClosedClaim> m_ClosedClaimsByTime;
  std::map<std::string, Usage> m_UsageByWorkspace;
  int64_t m_PayloadBytes = 0;
  int64_t m_ClaimBytes = 0;

  const config::Limits &limits() const;
  Target *findTarget(const std::string &Vm);
  const Target *findTarget(const std::string &Vm) const;
  Job *findJob(int64_t Id);
  const Job *findJob(int64_t Id) const;
  bool zoneInService(const std::string &Name) const;
  /// Returns true if the target is up and in a zone that is in service.
  bool acceptsStarts(const Target &Candidate) const;
  /// Returns true if the target accepts starts and is not quarantined.
  bool usable(const Target &Candidate) const;
};

/// Returns the memory that the claim is charged with.
int64_t bytesOf(const record::Claim &Claim);

/// The context of the command that is being applied.
struct ApplyContext {
  StateData &m_Data;
  int64_t m_Index = 0;
  int64_t m_NowUs = 0;

  void emit(const StateEvent &Event) const {
    if (m_Data.m_Hook)
      m_Data.m_Hook(Event, m_Index);
  }
};

wire::CommandResult makeResult(wire::CommandStatus::type Status,
                               std::string Message);
inline wire::CommandResult okResult(std::string Message = {}) {
  return makeResult(wire::CommandStatus::OK, std::move(Message));
}
inline wire::CommandResult refused(std::string Message) {
  return makeResult(wire::CommandStatus::REFUSED, std::move(Message));
}
inline wire::CommandResult notFound(std::string Message) {
  return makeResult(wire::CommandStatus::NOT_FOUND, std::move(Message));
}
wire::CommandResult invalid(std::string Field, std::string Message);

/// Truncates a text to MaxReasonBytes.
std::string truncateText(std::string Reason);

// Targets.cpp
wire::CommandResult applyRegister(ApplyContext &Ctx,
                                  const wire::RegisterTarget &Command);
wire::CommandResult applyLose(ApplyContext &Ctx,
                              const wire::LoseTarget &Command);
wire::CommandResult applyDrain(ApplyContext &Ctx,
                               const wire::DrainTarget &Command);
wire::CommandResult applyQuarantine(ApplyContext &Ctx,
                                    const wire::SetWorkerQuarantine &Command);

// Zones.cpp
wire::CommandResult applyZoneService(ApplyContext &Ctx,
                                     const wire::SetZoneService &Command);
wire::CommandResult applyConfig(ApplyContext &Ctx,
                                const wire::ApplyConfig &Command);
/// Returns the zone. Creates it in service if it does not exist.
Zone &ensureZone(StateData &Data, const std::string &Name);

// Jobs.cpp
wire::CommandResult applySubmit(ApplyContext &Ctx,
                                const wire::SubmitJob &Command);
wire::CommandResult applyCancel(ApplyContext &Ctx,
                                const wire::CancelJob &Command);
wire::CommandResult applyPark(ApplyContext &Ctx, const wire::ParkJob &Command);
wire::CommandResult applyFail(ApplyContext &Ctx, const wire::FailJob &Command);
wire::CommandResult applyReclaim(ApplyContext &Ctx,
                                 const wire::ReclaimJob &Command);
wire::CommandResult applyExpireLeases(ApplyContext &Ctx,
                                      const wire::ExpireLeases &Command);

// Placement.cpp
wire::CommandResult applyPlace(ApplyContext &Ctx,
                               const wire::PlaceJob &Command);
wire::CommandResult applyReport(ApplyContext &Ctx,
                                const wire::ReportTasks &Command);

// Claims.cpp
wire::CommandResult applyOpenClaim(ApplyContext &Ctx,
                                   const wire::OpenClaim &Command);
wire::CommandResult applyCloseClaim(ApplyContext &Ctx,
                                    const wire::CloseClaim &Command);
wire::CommandResult applyExpireClaims(ApplyContext &Ctx,
                                      const wire::ExpireClaims &Command);
/// Closes the open claims of a lost target with outcome UNKNOWN.
void closeClaimsOf(ApplyContext &Ctx, Target &LostTarget);
/// Returns the result for an attempt that does not hold the claim.
wire::CommandResult describeClaim(const record::Claim &Claim);

} // namespace anvil::state::internal

#endif // ANVIL_STATE_STATEDATA_H
