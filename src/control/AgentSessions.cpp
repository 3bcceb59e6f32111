#include "AgentSessions.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace anvil::control::internal {

namespace {

constexpr Duration SessionRetention = std::chrono::minutes(1);

bool sameProperties(const wire::TargetInfo &A, const wire::TargetInfo &B) {
  return A.kind == B.kind && A.availabilityZone == B.availabilityZone &&
         A.rack == B.rack && A.serviceName == B.serviceName &&
         A.agentAddress == B.agentAddress && A.capacity == B.capacity &&
         A.slots == B.slots && A.connections == B.connections;
}

// Returns true if the state already includes the reported task state.
bool isRecorded(const state::MemberView &Member,
                wire::TaskState::type Reported) {
  using state::TaskPhase;
  switch (Reported) {
  case wire::TaskState::PREPARED:
    return Member.m_Phase != TaskPhase::Reserved;
  case wire::TaskState::RUNNING:
    return Member.m_Phase != TaskPhase::Reserved &&
           Member.m_Phase != TaskPhase::Prepared &&
           Member.m_Phase != TaskPhase::Starting;
  case wire::TaskState::SUCCEEDED:
    return Member.m_Phase == TaskPhase::Succeeded ||
           Member.m_Phase == TaskPhase::Released;
  case wire::TaskState::FAILED:
  case wire::TaskState::STOPPED:
  case wire::TaskState::CHECKPOINTED:
  case wire::TaskState::REFUSED:
    return Member.m_Phase == TaskPhase::Released;
  }
  return true;
}

// An agent reads the payload only when it starts a prepared task. A payload can
// have 1 MiB and each reply, one per second, lists every task of the VM. So the
// payload is sent only with the start order and only until the task has
// started.
void clearUnneededPayloads(const wire::AgentHeartbeat &Heartbeat,
                           wire::AgentHeartbeatReply &Reply) {
  for (wire::Assignment &Assignment : Reply.assignments) {
    const bool Started =
        std::any_of(Heartbeat.tasks.begin(), Heartbeat.tasks.end(),
                    [&](const wire::TaskStatus &Task) {
                      return Task.jobId == Assignment.jobId &&
                             Task.taskIndex == Assignment.taskIndex &&
                             Task.startToken == Assignment.startToken &&
                             Task.state != wire::TaskState::PREPARED;
                    });
    if (Assignment.order != wire::TaskOrder::START || Started)
      Assignment.payload.clear();
  }
}

} // namespace

const state::MemberView *findMember(const state::JobView &Job,
                                    int32_t TaskIndex) {
  const auto Found = std::find_if(Job.m_Members.begin(), Job.m_Members.end(),
                                  [&](const state::MemberView &Each) {
                                    return Each.m_TaskIndex == TaskIndex;
                                  });
  return Found == Job.m_Members.end() ? nullptr : &*Found;
}

void AgentSessions::recordConfirmedRead(TimePoint RequestedAt) {
  m_LastConfirmedRead = m_HasConfirmedRead
                            ? std::max(m_LastConfirmedRead, RequestedAt)
                            : RequestedAt;
  m_HasConfirmedRead = true;
}

bool AgentSessions::fresh(TimePoint Now) const {
  return m_HasConfirmedRead && Now - m_LastConfirmedRead <= ReadValidity;
}

wire::AgentHeartbeatReply
AgentSessions::handle(const wire::AgentHeartbeat &Heartbeat,
                      const state::ClusterState &State, TimePoint Now) {
  wire::AgentHeartbeatReply Reply;
  Reply.sequence = Heartbeat.sequence;
  const VmId Vm(Heartbeat.target.vm);
  Session &Sender = m_Sessions[Heartbeat.target.vm];
  const std::optional<state::TargetView> Known = State.target(Vm);
  if (Known && Known->m_Info.incarnation > Heartbeat.target.incarnation) {
    Reply.detail = "a newer incarnation of this VM is registered";
    return Reply;
  }
  Sender.m_LastHeartbeat = Now;
  Sender.m_Load = Heartbeat.load;
  const bool Registered =
      Known && Known->m_Info.incarnation == Heartbeat.target.incarnation &&
      Known->m_Phase != state::VmPhase::Lost &&
      Known->m_Phase != state::VmPhase::Removed;
  if (!Registered || !sameProperties(Known->m_Info, Heartbeat.target)) {
    proposeRegistration(Sender, Heartbeat.target, Now);
    if (!Registered) {
      Reply.detail = "registration is in progress";
      return Reply;
    }
  }
  Sender.m_HeardSinceReport = true;
  closeClaims(Sender, Heartbeat, State, Now, Reply);
  proposeTaskChanges(Sender, Heartbeat, State, Now);
  const bool Draining = Known->m_Phase == state::VmPhase::Draining;
  if (Heartbeat.shuttingDown && !Draining) {
    wire::Command Command;
    Command.__isset.drainTarget = true;
    Command.drainTarget.vm = Heartbeat.target.vm;
    Command.drainTarget.draining = true;
    proposeOnce(Sender, "drain", std::move(Command), Now);
  }
  Reply.configVersion = State.configuration().m_Version;
  Reply.draining = Draining;
  if (!fresh(Now)) {
    Reply.detail = "this replica has no recent confirmation from a quorum";
    return Reply;
  }
  Reply.accepted = true;
  Reply.renewedAtIndex = State.appliedIndex();
  Reply.assignments = State.assignmentsFor(Vm);
  clearUnneededPayloads(Heartbeat, Reply);
  if (State.mayStartOn(Vm, Heartbeat.target.incarnation) &&
      Heartbeat.targetHealthy)
    Reply.permitMs =
        std::chrono::duration_cast<std::chrono::milliseconds>(PermitDuration)
            .count();
  return Reply;
}

// An agent repeats a report in every heartbeat until the state includes it. The
// interval avoids a log entry per heartbeat.
void AgentSessions::proposeOnce(Session &Session, const std::string &Key,
                                wire::Command Command, TimePoint Now) {
  const auto [It, New] = Session.m_Proposed.try_emplace(Key, Now);
  if (!New && Now - It->second < ProposalRetryInterval)
    return;
  It->second = Now;
  m_Propose(std::move(Command));
}

void AgentSessions::proposeRegistration(Session &Session,
                                        const wire::TargetInfo &Target,
                                        TimePoint Now) {
  wire::Command Command;
  Command.__isset.registerTarget = true;
  Command.registerTarget.target = Target;
  proposeOnce(Session, absl::StrCat("register ", Target.incarnation),
              std::move(Command), Now);
}

void AgentSessions::proposeTaskChanges(Session &Session,
                                       const wire::AgentHeartbeat &Heartbeat,
                                       const state::ClusterState &State,
                                       TimePoint Now) {
  wire::Command Command;
  wire::ReportTasks &Report = Command.reportTasks;
  std::string Key = "tasks";
  for (const wire::TaskStatus &Task : Heartbeat.tasks) {
    const std::optional<state::JobView> Job = State.job(JobId(Task.jobId));
    if (!Job || Job->m_StartToken != Task.startToken)
      continue;
    const state::MemberView *Member = findMember(*Job, Task.taskIndex);
    if (!Member || isRecorded(*Member, Task.state))
      continue;
    Report.tasks.push_back(Task);
    absl::StrAppend(&Key, " ", Task.jobId, ".", Task.taskIndex, ".",
                    Task.startToken, ".", static_cast<int>(Task.state));
  }
  if (Report.tasks.empty())
    return;
  Command.__isset.reportTasks = true;
  Report.vm = Heartbeat.target.vm;
  Report.incarnation = Heartbeat.target.incarnation;
  std::erase_if(Session.m_Proposed, [&](const auto &Each) {
    return Each.first.starts_with("tasks") && Each.first != Key;
  });
  proposeOnce(Session, Key, std::move(Command), Now);
}

void AgentSessions::closeClaims(Session &Session,
                                const wire::AgentHeartbeat &Heartbeat,
                                const state::ClusterState &State, TimePoint Now,
                                wire::AgentHeartbeatReply &Reply) {
  for (const wire::ClaimOutcome &Outcome : Heartbeat.outcomes) {
    // A token is the log index of its grant. A replica that has not applied the
    // grant yet does not know the claim, and acknowledging the outcome would
    // lose it.
    if (Outcome.token > State.appliedIndex())
      continue;
    const std::optional<wire::CommandResult> Claim =
        State.claim(Outcome.claimId);
    const bool Open = Claim && Claim->claimState == wire::ClaimState::HELD &&
                      Claim->claimToken == Outcome.token;
    const bool OutcomeLearned =
        Claim && Claim->claimState == wire::ClaimState::CLOSED &&
        Claim->claimOutcome.outcome == wire::Outcome::UNKNOWN &&
        Claim->claimOutcome.token == Outcome.token &&
        Outcome.outcome == wire::Outcome::COMPLETED;
    const std::string Key =
        absl::StrCat("claim ", Outcome.claimId, " ", Outcome.token);
    if (!Open && !OutcomeLearned) {
      Reply.acknowledgedClaims.push_back(Outcome.claimId);
      Session.m_Proposed.erase(Key);
      continue;
    }
    wire::Command Command;
    Command.__isset.closeClaim = true;
    Command.closeClaim.outcome = Outcome;
    Command.closeClaim.vm = Heartbeat.target.vm;
    Command.closeClaim.incarnation = Heartbeat.target.incarnation;
    proposeOnce(Session, Key, std::move(Command), Now);
  }
}

wire::SessionReport AgentSessions::takeReport() {
  wire::SessionReport Report;
  for (auto &[Vm, Each] : m_Sessions) {
    if (!std::exchange(Each.m_HeardSinceReport, false))
      continue;
    Report.vms.push_back(Vm);
    Report.loads.push_back(Each.m_Load);
  }
  return Report;
}

void AgentSessions::expire(TimePoint Now) {
  absl::erase_if(m_Sessions, [&](const auto &Each) {
    return Now - Each.second.m_LastHeartbeat > SessionRetention;
  });
}

} // namespace anvil::control::internal
