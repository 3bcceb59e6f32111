#include "anvil/state/ClusterState.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

#include "Gang.h"
#include "Snapshot.h"
#include "StateData.h"

namespace anvil::state {

using internal::ApplyContext;
using internal::Charts;
using internal::StateData;

namespace {

int countSetFields(const wire::_Command__isset &Set) {
  const bool Fields[] = {
      Set.registerTarget, Set.loseTarget,   Set.drainTarget,
      Set.setZoneService, Set.applyConfig,  Set.submitJob,
      Set.cancelJob,      Set.placeJob,     Set.parkJob,
      Set.failJob,        Set.reclaimJob,   Set.setWorkerQuarantine,
      Set.reportTasks,    Set.expireLeases, Set.openClaim,
      Set.closeClaim,     Set.expireClaims};
  return static_cast<int>(
      std::count(std::begin(Fields), std::end(Fields), true));
}

wire::CommandResult applyTargetCommand(ApplyContext &Ctx,
                                       const wire::Command &Command) {
  const wire::_Command__isset &Set = Command.__isset;
  if (Set.registerTarget)
    return applyRegister(Ctx, Command.registerTarget);
  if (Set.loseTarget)
    return applyLose(Ctx, Command.loseTarget);
  if (Set.drainTarget)
    return applyDrain(Ctx, Command.drainTarget);
  if (Set.setWorkerQuarantine)
    return applyQuarantine(Ctx, Command.setWorkerQuarantine);
  if (Set.setZoneService)
    return applyZoneService(Ctx, Command.setZoneService);
  return applyConfig(Ctx, Command.applyConfig);
}

wire::CommandResult applyJobCommand(ApplyContext &Ctx,
                                    const wire::Command &Command) {
  const wire::_Command__isset &Set = Command.__isset;
  if (Set.submitJob)
    return applySubmit(Ctx, Command.submitJob);
  if (Set.cancelJob)
    return applyCancel(Ctx, Command.cancelJob);
  if (Set.placeJob)
    return applyPlace(Ctx, Command.placeJob);
  if (Set.parkJob)
    return applyPark(Ctx, Command.parkJob);
  if (Set.failJob)
    return applyFail(Ctx, Command.failJob);
  if (Set.reclaimJob)
    return applyReclaim(Ctx, Command.reclaimJob);
  if (Set.reportTasks)
    return applyReport(Ctx, Command.reportTasks);
  return applyExpireLeases(Ctx, Command.expireLeases);
}

wire::CommandResult dispatch(ApplyContext &Ctx, const wire::Command &Command) {
  const wire::_Command__isset &Set = Command.__isset;
  if (countSetFields(Set) != 1)
    return internal::invalid("command", "exactly one command must be set");
  if (Set.openClaim)
    return applyOpenClaim(Ctx, Command.openClaim);
  if (Set.closeClaim)
    return applyCloseClaim(Ctx, Command.closeClaim);
  if (Set.expireClaims)
    return applyExpireClaims(Ctx, Command.expireClaims);
  if (Set.registerTarget || Set.loseTarget || Set.drainTarget ||
      Set.setWorkerQuarantine || Set.setZoneService || Set.applyConfig)
    return applyTargetCommand(Ctx, Command);
  return applyJobCommand(Ctx, Command);
}

// Returns the order for the agent that holds the member, or nullopt if it has
// nothing to do.
std::optional<wire::TaskOrder::type>
orderFor(const internal::Job &StoredJob, const record::Member &Member,
         const internal::Target &StoredTarget) {
  switch (internal::phaseOf(Member)) {
  case TaskPhase::Reserved:
  case TaskPhase::Prepared:
    return wire::TaskOrder::PREPARE;
  case TaskPhase::Starting:
    return wire::TaskOrder::START;
  case TaskPhase::Running:
    return StoredJob.m_Record.throttled ? wire::TaskOrder::THROTTLE
                                        : wire::TaskOrder::START;
  case TaskPhase::Stopping:
    return StoredJob.m_Record.checkpointOrdered
               ? wire::TaskOrder::CHECKPOINT_AND_STOP
               : wire::TaskOrder::STOP;
  case TaskPhase::Lost:
    // Only the incarnation that ran the task can report how it ended.
    if (StoredTarget.m_Record.info.incarnation == Member.incarnation)
      return wire::TaskOrder::STOP;
    return std::nullopt;
  case TaskPhase::Succeeded:
  case TaskPhase::Released:
    return std::nullopt;
  }
  return std::nullopt;
}

JobView viewOf(const internal::Job &StoredJob) {
  const record::Job &Record = StoredJob.m_Record;
  JobView View;
  View.m_Id = JobId(Record.id);
  View.m_Spec = Record.spec;
  View.m_SubmissionId = Record.submissionId;
  View.m_Phase = StoredJob.phase();
  View.m_SubmittedAtUs = Record.submittedAtUs;
  View.m_ChangedAtUs = Record.changedAtUs;
  View.m_StartToken = Record.startToken;
  View.m_Attempts = Record.attempts;
  View.m_Throttled = Record.throttled;
  View.m_Checkpointed = Record.checkpointed;
  View.m_Reason = Record.reason;
  for (size_t Task = 0; Task < Record.members.size(); ++Task) {
    const record::Member &Member = Record.members[Task];
    View.m_Members.push_back({static_cast<int32_t>(Task), VmId(Member.vm),
                              Member.incarnation, internal::phaseOf(Member),
                              Member.leaseEndsUs});
  }
  for (const record::PhaseChange &Each : Record.history)
    View.m_History.push_back(
        {Each.atUs, static_cast<JobPhase>(Each.phase), Each.reason});
  return View;
}

TargetView viewOf(const StateData &Data, const internal::Target &StoredTarget) {
  TargetView View;
  View.m_Info = StoredTarget.m_Record.info;
  View.m_Phase = StoredTarget.phase();
  View.m_Quarantined = StoredTarget.m_Record.quarantined;
  View.m_QuarantineReason = StoredTarget.m_Record.quarantineReason;
  View.m_Used = internal::resourcesOf(StoredTarget.m_Used);
  View.m_Usable = Data.usable(StoredTarget);
  View.m_Members = static_cast<int32_t>(StoredTarget.m_Members.size());
  return View;
}

} // namespace

ClusterState::ClusterState(std::unique_ptr<StateData> Data)
    : m_Data(std::move(Data)) {}
ClusterState::ClusterState(ClusterState &&) noexcept = default;
ClusterState &ClusterState::operator=(ClusterState &&) noexcept = default;
ClusterState::~ClusterState() = default;

absl::StatusOr<ClusterState> ClusterState::create() {
  absl::StatusOr<Charts> BoundCharts = Charts::load();
  if (!BoundCharts.ok())
    return BoundCharts.status();
  return ClusterState(std::make_unique<StateData>(*std::move(BoundCharts)));
}

absl::StatusOr<ClusterState> ClusterState::restore(std::string_view Snapshot) {
  absl::StatusOr<Charts> BoundCharts = Charts::load();
  if (!BoundCharts.ok())
    return BoundCharts.status();
  absl::StatusOr<std::unique_ptr<StateData>> Data =
      internal::readSnapshot(Snapshot, *std::move(BoundCharts));
  if (!Data.ok())
    return Data.status();
  return ClusterState(*std::move(Data));
}

wire::CommandResult ClusterState::apply(const wire::Command &Command,
                                        int64_t Index) {
  if (Index <= m_Data->m_AppliedIndex) {
    wire::CommandResult Repeated = internal::invalid(
        "index", absl::StrCat("index ", Index, " was already applied"));
    Repeated.index = Index;
    return Repeated;
  }
  m_Data->m_AppliedIndex = Index;
  ApplyContext Ctx{*m_Data, Index, Command.proposedAtUs};
  wire::CommandResult Result = dispatch(Ctx, Command);
  internal::pruneEndedJobs(*m_Data);
  if (Result.index == 0)
    Result.index = Index;
  return Result;
}

std::string ClusterState::snapshot() const {
  return internal::writeSnapshot(*m_Data);
}

void ClusterState::setEventHook(StateEventHook Hook) {
  m_Data->m_Hook = std::move(Hook);
}

int64_t ClusterState::appliedIndex() const { return m_Data->m_AppliedIndex; }

std::vector<wire::Assignment>
ClusterState::assignmentsFor(const VmId &Vm) const {
  std::vector<wire::Assignment> Assignments;
  const internal::Target *StoredTarget = m_Data->findTarget(Vm.str());
  if (StoredTarget == nullptr || StoredTarget->phase() == VmPhase::Lost)
    return Assignments;
  Assignments.reserve(StoredTarget->m_Members.size());
  for (const internal::TaskRef &Ref : StoredTarget->m_Members) {
    const internal::Job &StoredJob = *m_Data->findJob(Ref.m_Job);
    const auto Order = orderFor(
        StoredJob, StoredJob.m_Record.members[static_cast<size_t>(Ref.m_Task)],
        *StoredTarget);
    if (!Order)
      continue;
    wire::Assignment &Added = Assignments.emplace_back();
    Added.jobId = Ref.m_Job;
    Added.taskIndex = Ref.m_Task;
    Added.startToken = StoredJob.m_Record.startToken;
    Added.order = *Order;
    Added.resources = StoredJob.m_Record.spec.perTask;
    Added.leaseMs = StoredJob.m_Record.spec.leaseMs;
    Added.payload = StoredJob.m_Record.spec.payload;
    Added.workspace = StoredJob.m_Record.spec.workspace;
  }
  return Assignments;
}

std::optional<TargetView> ClusterState::target(const VmId &Vm) const {
  const internal::Target *Found = m_Data->findTarget(Vm.str());
  if (Found == nullptr)
    return std::nullopt;
  return viewOf(*m_Data, *Found);
}

void ClusterState::forEachTarget(
    const std::function<void(const TargetView &)> &Visit) const {
  for (const auto &[Vm, Each] : m_Data->m_Targets)
    Visit(viewOf(*m_Data, Each));
}

bool ClusterState::mayStartOn(const VmId &Vm, int64_t Incarnation) const {
  const internal::Target *Found = m_Data->findTarget(Vm.str());
  return Found != nullptr && Found->m_Record.info.incarnation == Incarnation &&
         m_Data->acceptsStarts(*Found);
}

std::vector<wire::RouteTarget> ClusterState::routes() const {
  std::vector<wire::RouteTarget> Routes;
  for (const auto &[Vm, Each] : m_Data->m_Targets) {
    const wire::TargetInfo &Info = Each.m_Record.info;
    if (Info.kind != wire::TargetKind::MINION)
      continue;
    wire::RouteTarget &Added = Routes.emplace_back();
    Added.vm = Vm;
    Added.availabilityZone = Info.availabilityZone;
    Added.serviceName = Info.serviceName;
    Added.agentAddress = Info.agentAddress;
    Added.incarnation = Info.incarnation;
    Added.slots = Info.slots;
    Added.usable = m_Data->usable(Each);
  }
  return Routes;
}

int64_t ClusterState::routeVersion() const { return m_Data->m_RouteVersion; }

std::vector<AvailabilityZoneId> ClusterState::withdrawnZones() const {
  std::vector<AvailabilityZoneId> Withdrawn;
  for (const auto &[Name, Each] : m_Data->m_Zones) {
    if (Each.phase() == ZonePhase::Withdrawn)
      Withdrawn.emplace_back(Name);
  }
  return Withdrawn;
}

std::vector<VmId> ClusterState::drainingTargets() const {
  std::vector<VmId> Draining;
  for (const auto &[Vm, Each] : m_Data->m_Targets) {
    if (Each.phase() == VmPhase::Draining)
      Draining.emplace_back(Vm);
  }
  return Draining;
}

std::optional<JobView> ClusterState::job(JobId Id) const {
  const internal::Job *Found = m_Data->findJob(Id.value());
  if (Found == nullptr)
    return std::nullopt;
  return viewOf(*Found);
}

std::vector<JobId> ClusterState::liveJobs() const {
  std::vector<JobId> Live;
  Live.reserve(m_Data->m_LiveJobs.size());
  for (const int64_t Id : m_Data->m_LiveJobs)
    Live.emplace_back(Id);
  return Live;
}

void ClusterState::forEachJob(
    JobId After, const std::function<bool(const JobView &)> &Visit) const {
  for (auto Next = m_Data->m_Jobs.upper_bound(After.value());
       Next != m_Data->m_Jobs.end(); ++Next) {
    if (!Visit(viewOf(Next->second)))
      return;
  }
}

std::vector<wire::ExpireLeases>
ClusterState::expiredLeases(int64_t NowUs) const {
  std::vector<wire::ExpireLeases> Commands;
  for (const int64_t Id : m_Data->m_JobsWithLostMembers) {
    wire::ExpireLeases Command;
    Command.jobId = Id;
    const std::vector<record::Member> &Members =
        m_Data->findJob(Id)->m_Record.members;
    for (size_t Task = 0; Task < Members.size(); ++Task) {
      if (internal::phaseOf(Members[Task]) == TaskPhase::Lost &&
          Members[Task].leaseEndsUs <= NowUs)
        Command.taskIndexes.push_back(static_cast<int32_t>(Task));
    }
    if (!Command.taskIndexes.empty())
      Commands.push_back(std::move(Command));
  }
  return Commands;
}

std::optional<wire::CommandResult>
ClusterState::claim(std::string_view ClaimId) const {
  const auto Found = m_Data->m_Claims.find(std::string(ClaimId));
  if (Found == m_Data->m_Claims.end())
    return std::nullopt;
  return internal::describeClaim(Found->second);
}

wire::Resources ClusterState::heldBy(const WorkspaceId &Workspace) const {
  const auto Found = m_Data->m_UsageByWorkspace.find(Workspace.str());
  return Found == m_Data->m_UsageByWorkspace.end()
             ? wire::Resources()
             : internal::resourcesOf(Found->second);
}

const config::Document *ClusterState::document() const {
  return m_Data->m_Document ? &*m_Data->m_Document : nullptr;
}

ConfigView ClusterState::configuration() const {
  ConfigView View;
  if (m_Data->m_ConfigVersions.empty())
    return View;
  const record::ConfigVersion &Newest =
      m_Data->m_ConfigVersions.rbegin()->second;
  View.m_Version = Newest.version;
  View.m_Digest = Newest.digest;
  View.m_Text = m_Data->m_DocumentText;
  View.m_Environment = Newest.environment;
  View.m_OperatorId = Newest.operatorId;
  View.m_Index = Newest.index;
  return View;
}

std::vector<ConfigVersionView> ClusterState::configHistory(size_t Limit) const {
  std::vector<ConfigVersionView> History;
  const auto &Versions = m_Data->m_ConfigVersions;
  for (auto It = Versions.rbegin();
       It != Versions.rend() && History.size() < Limit; ++It) {
    const record::ConfigVersion &Each = It->second;
    History.push_back({Each.version, Each.digest, Each.operatorId,
                       Each.environment, Each.promotedFrom, Each.index});
  }
  return History;
}

Counters ClusterState::counters() const {
  Counters Result;
  Result.m_AppliedIndex = m_Data->m_AppliedIndex;
  Result.m_Targets = static_cast<int64_t>(m_Data->m_Targets.size());
  Result.m_LostTargets =
      static_cast<int64_t>(m_Data->m_LostTargetsByIndex.size());
  Result.m_EndedJobs = static_cast<int64_t>(m_Data->m_EndedJobsByIndex.size());
  Result.m_LiveJobs = static_cast<int64_t>(m_Data->m_LiveJobs.size());
  for (const int64_t Id : m_Data->m_LiveJobs)
    Result.m_QueuedJobs +=
        m_Data->findJob(Id)->phase() == JobPhase::Queued ? 1 : 0;
  for (const auto &[Vm, Each] : m_Data->m_Targets)
    Result.m_Members += static_cast<int64_t>(Each.m_Members.size());
  Result.m_Claims = static_cast<int64_t>(m_Data->m_Claims.size());
  Result.m_OpenClaims =
      Result.m_Claims -
      static_cast<int64_t>(m_Data->m_ClosedClaimsByTime.size());
  Result.m_ClaimBytes = m_Data->m_ClaimBytes;
  Result.m_JobsSubmitted = m_Data->m_Totals.jobsSubmitted;
  Result.m_JobsCompleted = m_Data->m_Totals.jobsCompleted;
  Result.m_JobsFailed = m_Data->m_Totals.jobsFailed;
  Result.m_JobsCancelled = m_Data->m_Totals.jobsCancelled;
  Result.m_JobsOutcomeUnknown = m_Data->m_Totals.jobsOutcomeUnknown;
  Result.m_ClaimsRefusedByLimit = m_Data->m_Totals.claimsRefusedByLimit;
  Result.m_StaleReports = m_Data->m_Totals.staleReports;
  return Result;
}

} // namespace anvil::state
