#include "StateData.h"

#include "anvil/chart/StandardCharts.h"

namespace anvil::state {

namespace {

constexpr std::array<std::string_view, 9> JobPhaseNames = {
    "queued",    "reserved", "starting",  "running",        "releasing",
    "completed", "failed",   "cancelled", "outcome_unknown"};
constexpr std::array<std::string_view, 9> JobEventNames = {
    "place",   "all_prepared", "all_running", "all_succeeded", "release",
    "requeue", "cancel",       "fail",        "lose_outcome"};
constexpr std::array<std::string_view, internal::TaskPhaseCount>
    TaskPhaseNames = {"reserved", "prepared", "starting",  "running",
                      "stopping", "lost",     "succeeded", "released"};
constexpr std::array<std::string_view, 11> TaskEventNames = {
    "prepared", "refused",      "start", "running", "succeeded", "failed",
    "stopped",  "checkpointed", "stop",  "lose",    "expire"};
constexpr std::array<std::string_view, 4> VmPhaseNames = {"up", "draining",
                                                          "lost", "removed"};
constexpr std::array<std::string_view, 5> VmEventNames = {
    "register", "lose", "drain", "undrain", "forget"};
constexpr std::array<std::string_view, 3> ZonePhaseNames = {
    "in_service", "withdrawn", "removed"};
constexpr std::array<std::string_view, 3> ZoneEventNames = {
    "withdraw", "restore", "forget"};

template <typename Phase, typename Event>
absl::StatusOr<chart::BoundChart<Phase, Event>>
bind(std::string_view Name, std::span<const std::string_view> Phases,
     std::span<const std::string_view> Events) {
  const absl::StatusOr<chart::StateChart> Chart = chart::standardChart(Name);
  if (!Chart.ok())
    return Chart.status();
  return chart::BoundChart<Phase, Event>::create(*Chart, Phases, Events);
}

} // namespace

std::string_view nameOf(JobPhase Phase) {
  return JobPhaseNames.at(static_cast<size_t>(Phase));
}
std::string_view nameOf(TaskPhase Phase) {
  return TaskPhaseNames.at(static_cast<size_t>(Phase));
}
std::string_view nameOf(VmPhase Phase) {
  return VmPhaseNames.at(static_cast<size_t>(Phase));
}
std::string_view nameOf(ZonePhase Phase) {
  return ZonePhaseNames.at(static_cast<size_t>(Phase));
}

namespace internal {

absl::StatusOr<Charts> Charts::load() {
  auto JobChart = bind<JobPhase, JobEvent>("job", JobPhaseNames, JobEventNames);
  if (!JobChart.ok())
    return JobChart.status();
  auto TaskChart =
      bind<TaskPhase, TaskEvent>("task", TaskPhaseNames, TaskEventNames);
  if (!TaskChart.ok())
    return TaskChart.status();
  auto VmChart = bind<VmPhase, VmEvent>("vm", VmPhaseNames, VmEventNames);
  if (!VmChart.ok())
    return VmChart.status();
  auto ZoneChart =
      bind<ZonePhase, ZoneEvent>("zone", ZonePhaseNames, ZoneEventNames);
  if (!ZoneChart.ok())
    return ZoneChart.status();
  return Charts{*JobChart, *TaskChart, *VmChart, *ZoneChart};
}

void Usage::add(const wire::Resources &Amount, int64_t Times) {
  m_Accelerators += Amount.accelerators * Times;
  m_Cores += Amount.cores * Times;
  m_MemoryMib += Amount.memoryMib * Times;
}

bool Usage::within(const Usage &Limit) const {
  return m_Accelerators <= Limit.m_Accelerators && m_Cores <= Limit.m_Cores &&
         m_MemoryMib <= Limit.m_MemoryMib;
}

Usage usageOf(const wire::Resources &Amount) {
  return {Amount.accelerators, Amount.cores, Amount.memoryMib};
}

Usage usageOf(const config::Amount &Amount) {
  return {Amount.m_Accelerators, Amount.m_Cores, Amount.m_MemoryGib * 1'024};
}

wire::Resources resourcesOf(const Usage &Amount) {
  wire::Resources Result;
  Result.accelerators = static_cast<int32_t>(Amount.m_Accelerators);
  Result.cores = static_cast<int32_t>(Amount.m_Cores);
  Result.memoryMib = Amount.m_MemoryMib;
  return Result;
}

const config::Limits &StateData::limits() const {
  static const config::Limits Defaults;
  return m_Document ? m_Document->m_Limits : Defaults;
}

Target *StateData::findTarget(const std::string &Vm) {
  const auto Found = m_Targets.find(Vm);
  return Found == m_Targets.end() ? nullptr : &Found->second;
}

const Target *StateData::findTarget(const std::string &Vm) const {
  const auto Found = m_Targets.find(Vm);
  return Found == m_Targets.end() ? nullptr : &Found->second;
}

Job *StateData::findJob(int64_t Id) {
  const auto Found = m_Jobs.find(Id);
  return Found == m_Jobs.end() ? nullptr : &Found->second;
}

const Job *StateData::findJob(int64_t Id) const {
  const auto Found = m_Jobs.find(Id);
  return Found == m_Jobs.end() ? nullptr : &Found->second;
}

bool StateData::zoneInService(const std::string &Name) const {
  const auto Found = m_Zones.find(Name);
  return Found != m_Zones.end() &&
         Found->second.phase() == ZonePhase::InService;
}

bool StateData::acceptsStarts(const Target &Candidate) const {
  return Candidate.phase() == VmPhase::Up &&
         zoneInService(Candidate.m_Record.info.availabilityZone);
}

bool StateData::usable(const Target &Candidate) const {
  return acceptsStarts(Candidate) && !Candidate.m_Record.quarantined;
}

int64_t bytesOf(const record::Claim &Claim) {
  const size_t TextBytes =
      Claim.claimId.size() * 2 + Claim.requestDigest.size() + Claim.vm.size() +
      Claim.entry.size() + Claim.attemptId.size() + Claim.outcome.body.size() +
      Claim.outcome.contentType.size();
  return static_cast<int64_t>(TextBytes) + ClaimOverheadBytes;
}

wire::CommandResult makeResult(wire::CommandStatus::type Status,
                               std::string Message) {
  wire::CommandResult Result;
  Result.status = Status;
  Result.message = std::move(Message);
  return Result;
}

wire::CommandResult invalid(std::string Field, std::string Message) {
  wire::CommandResult Result =
      makeResult(wire::CommandStatus::INVALID, std::move(Message));
  Result.field = std::move(Field);
  return Result;
}

std::string truncateText(std::string Reason) {
  if (Reason.size() > MaxReasonBytes)
    Reason.resize(MaxReasonBytes);
  return Reason;
}

} // namespace internal
} // namespace anvil::state
