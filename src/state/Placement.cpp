#include "Gang.h"
#include "StateData.h"

#include <array>

#include "absl/strings/str_cat.h"

#include "anvil/config/Config.h"

namespace anvil::state::internal {

namespace {

// Checks a placement against the current state, which may have changed since
// the scheduler computed it.
class PlacementCheck {
public:
  PlacementCheck(const StateData &Data, const Job &Subject,
                 const std::vector<wire::MemberPlacement> &Members)
      : m_Data(Data), m_Spec(Subject.m_Record.spec), m_Members(Members) {}

  std::optional<wire::CommandResult> run() const {
    if (std::optional<wire::CommandResult> Refusal = checkMembers())
      return Refusal;
    if (std::optional<wire::CommandResult> Refusal = checkTargets())
      return Refusal;
    if (std::optional<wire::CommandResult> Refusal = checkAdjacency())
      return Refusal;
    return checkQuota();
  }

private:
  // A gang never runs partially (requirement H2), so a placement names every
  // member exactly once.
  std::optional<wire::CommandResult> checkMembers() const {
    if (m_Members.size() != static_cast<size_t>(m_Spec.tasks))
      return invalid("members",
                     absl::StrCat("a partial placement: ", m_Members.size(),
                                  " of ", m_Spec.tasks));
    std::vector<bool> Seen(m_Members.size());
    for (const wire::MemberPlacement &Each : m_Members) {
      if (Each.taskIndex < 0 || Each.taskIndex >= m_Spec.tasks ||
          Seen[static_cast<size_t>(Each.taskIndex)])
        return invalid("members", absl::StrCat("task ", Each.taskIndex,
                                               " is unknown or named twice"));
      Seen[static_cast<size_t>(Each.taskIndex)] = true;
    }
    return std::nullopt;
  }

  std::optional<wire::CommandResult> checkTargets() const {
    std::map<std::string_view, Usage> Needed;
    for (const wire::MemberPlacement &Each : m_Members) {
      const Target *Worker = m_Data.findTarget(Each.vm);
      if (Worker == nullptr ||
          Worker->m_Record.info.kind != wire::TargetKind::WORKER)
        return refused(absl::StrCat("VM ", Each.vm, " is not a known worker"));
      if (Worker->m_Record.info.incarnation != Each.incarnation)
        return refused(
            absl::StrCat("VM ", Each.vm, " has another incarnation"));
      if (!m_Data.usable(*Worker))
        return refused(
            absl::StrCat("VM ", Each.vm, " is ", whyUnusable(*Worker)));
      const auto [Total, Added] = Needed.try_emplace(Each.vm, Worker->m_Used);
      Total->second.add(m_Spec.perTask, 1);
      if (!Total->second.within(usageOf(Worker->m_Record.info.capacity)))
        return refused(
            absl::StrCat("VM ", Each.vm, " has not enough free capacity"));
    }
    return std::nullopt;
  }

  std::string whyUnusable(const Target &Worker) const {
    if (Worker.phase() != VmPhase::Up)
      return std::string(nameOf(Worker.phase()));
    if (Worker.m_Record.quarantined)
      return "quarantined";
    return absl::StrCat("in availability zone ",
                        Worker.m_Record.info.availabilityZone,
                        ", which is withdrawn");
  }

  std::optional<wire::CommandResult> checkAdjacency() const {
    if (!m_Spec.adjacencyRequired || m_Spec.adjacency == wire::Adjacency::ANY)
      return std::nullopt;
    const wire::TargetInfo &First =
        m_Data.findTarget(m_Members.front().vm)->m_Record.info;
    for (const wire::MemberPlacement &Each : m_Members) {
      const wire::TargetInfo &Info = m_Data.findTarget(Each.vm)->m_Record.info;
      const bool SameRack = Info.rack == First.rack &&
                            Info.availabilityZone == First.availabilityZone;
      if (!SameRack ||
          (m_Spec.adjacency == wire::Adjacency::VM && Info.vm != First.vm))
        return refused("the members are not as adjacent as the job requires");
    }
    return std::nullopt;
  }

  std::optional<wire::CommandResult> checkQuota() const {
    const config::Workspace *Space =
        m_Data.m_Document
            ? config::findWorkspace(*m_Data.m_Document, m_Spec.workspace)
            : nullptr;
    if (Space == nullptr)
      return refused(absl::StrCat("workspace ", m_Spec.workspace,
                                  " is no longer configured"));
    const auto Held = m_Data.m_UsageByWorkspace.find(m_Spec.workspace);
    Usage Total =
        Held == m_Data.m_UsageByWorkspace.end() ? Usage() : Held->second;
    Total.add(m_Spec.perTask, m_Spec.tasks);
    if (!Total.within(usageOf(Space->m_Quota)))
      return refused(absl::StrCat("workspace ", m_Spec.workspace,
                                  " would exceed its quota"));
    return std::nullopt;
  }

  const StateData &m_Data;
  const wire::JobSpec &m_Spec;
  const std::vector<wire::MemberPlacement> &m_Members;
};

std::optional<TaskEvent> eventOf(wire::TaskState::type State) {
  switch (State) {
  case wire::TaskState::PREPARED:
    return TaskEvent::Prepared;
  case wire::TaskState::RUNNING:
    return TaskEvent::Running;
  case wire::TaskState::SUCCEEDED:
    return TaskEvent::Succeeded;
  case wire::TaskState::FAILED:
    return TaskEvent::Failed;
  case wire::TaskState::STOPPED:
    return TaskEvent::Stopped;
  case wire::TaskState::CHECKPOINTED:
    return TaskEvent::Checkpointed;
  case wire::TaskState::REFUSED:
    return TaskEvent::Refused;
  }
  return std::nullopt;
}

// Applies the reports of one agent.
class ReportApplier {
public:
  ReportApplier(ApplyContext &Ctx, const wire::ReportTasks &Command)
      : m_Ctx(Ctx), m_Command(Command) {}

  void apply(const wire::TaskStatus &Status) {
    Job *Found = m_Ctx.m_Data.findJob(Status.jobId);
    const std::optional<TaskEvent> Event = eventOf(Status.state);
    if (Found == nullptr || !Event || !matchesPlacement(*Found, Status)) {
      ++m_Ctx.m_Data.m_Totals.staleReports;
      return;
    }
    const auto Task = static_cast<size_t>(Status.taskIndex);
    record::Member &Member = Found->m_Record.members[Task];
    Gang Members(m_Ctx, *Found);
    const bool Moved = Members.moveMember(Task, *Event);
    if (Moved)
      recordEnding(Member, Status.state);
    emitReport(Member, Status);
    if (!Moved)
      return;
    if (phaseOf(Member) == TaskPhase::Released)
      Members.release(reasonOf(Status));
    Members.advance();
  }

private:
  // Returns true if the report is for the current placement and comes from the
  // VM and incarnation that hold the member.
  bool matchesPlacement(const Job &Subject,
                        const wire::TaskStatus &Status) const {
    const record::Job &Record = Subject.m_Record;
    if (Status.taskIndex < 0 ||
        static_cast<size_t>(Status.taskIndex) >= Record.members.size() ||
        Record.startToken != Status.startToken)
      return false;
    const record::Member &Member =
        Record.members[static_cast<size_t>(Status.taskIndex)];
    return Member.vm == m_Command.vm &&
           Member.incarnation == m_Command.incarnation;
  }

  static void recordEnding(record::Member &Member,
                           wire::TaskState::type State) {
    if (State != wire::TaskState::PREPARED && State != wire::TaskState::RUNNING)
      Member.finalState = static_cast<int8_t>(State);
    if (State == wire::TaskState::REFUSED && !Member.wasRunning)
      Member.mayHaveStarted = false;
  }

  void emitReport(const record::Member &Member,
                  const wire::TaskStatus &Status) const {
    TaskReported Report;
    Report.m_Job = JobId(Status.jobId);
    Report.m_TaskIndex = Status.taskIndex;
    Report.m_Vm = VmId(m_Command.vm);
    Report.m_Phase = phaseOf(Member);
    Report.m_Failed = Status.state == wire::TaskState::FAILED ||
                      Status.state == wire::TaskState::REFUSED;
    Report.m_UsedCores = Status.usedCores;
    m_Ctx.emit(Report);
  }

  std::string reasonOf(const wire::TaskStatus &Status) const {
    constexpr std::array<std::string_view, 8> Verbs = {
        "",       "prepared", "started",      "succeeded",
        "failed", "stopped",  "checkpointed", "was refused"};
    return absl::StrCat(
        "task ", Status.taskIndex, " ",
        std::string(Verbs.at(static_cast<size_t>(Status.state))), " on VM ",
        m_Command.vm, Status.detail.empty() ? "" : ": ", Status.detail);
  }

  ApplyContext &m_Ctx;
  const wire::ReportTasks &m_Command;
};

} // namespace

wire::CommandResult applyPlace(ApplyContext &Ctx,
                               const wire::PlaceJob &Command) {
  Job *Found = Ctx.m_Data.findJob(Command.jobId);
  if (Found == nullptr)
    return notFound(absl::StrCat("job ", Command.jobId, " is unknown"));
  wire::CommandResult Result = okResult("reserved");
  if (Found->phase() != JobPhase::Queued) {
    Result = refused(absl::StrCat("job ", Command.jobId, " is ",
                                  std::string(nameOf(Found->phase()))));
  } else if (std::optional<wire::CommandResult> Refusal =
                 PlacementCheck(Ctx.m_Data, *Found, Command.members).run()) {
    Result = *Refusal;
  } else {
    Gang(Ctx, *Found).reserve(Command.members, Command.reason);
  }
  Result.jobId = Command.jobId;
  return Result;
}

wire::CommandResult applyReport(ApplyContext &Ctx,
                                const wire::ReportTasks &Command) {
  const Target *Reporter = Ctx.m_Data.findTarget(Command.vm);
  if (Reporter == nullptr)
    return notFound(absl::StrCat("VM ", Command.vm, " is unknown"));
  const bool Stale = Reporter->m_Record.info.incarnation != Command.incarnation;
  if (Stale || Reporter->phase() == VmPhase::Lost) {
    Ctx.m_Data.m_Totals.staleReports +=
        static_cast<int64_t>(Command.tasks.size());
    return refused(Stale ? "stale incarnation"
                         : "the VM was declared lost and must register again");
  }
  ReportApplier Applier(Ctx, Command);
  for (const wire::TaskStatus &Status : Command.tasks)
    Applier.apply(Status);
  return okResult();
}

} // namespace anvil::state::internal
