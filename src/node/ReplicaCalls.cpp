#include "Admission.h"
#include "Replica.h"
#include "anvil/base/Port.h"
#include "anvil/raft/RaftError.h"

namespace anvil::node::internal {

wire::WorkloadReply Replica::notLeading() const {
  wire::WorkloadReply Reply;
  Reply.group = groupView();
  return Reply;
}

wire::WorkloadReply Replica::leading(wire::WorkloadStatus::type Status,
                                     std::string_view Message) const {
  wire::WorkloadReply Reply;
  Reply.isLeader = true;
  Reply.group = groupView();
  Reply.result.status = Status;
  Reply.result.message = std::string(Message);
  return Reply;
}

void Replica::call(const wire::WorkloadCall &Call, const CallDone &Done) {
  if (!leads()) {
    Done(notLeading());
    return;
  }
  const wire::_WorkloadCall__isset &Set = Call.__isset;
  const bool Stores =
      Set.submit || Set.cancel || Set.putPolicy || Set.setZone || Set.startWave;
  if (Stores && !m_Duties->mayAcknowledge()) {
    Done(leading(wire::WorkloadStatus::NOT_READY,
                 "the group has too few replicas so far"));
    return;
  }
  wire::WorkloadCommand Command;
  if (Set.submit)
    submit(Call, Done);
  else if (Set.cancel)
    cancel(Call, Done);
  else if (Set.status)
    askStatus(Call, Done);
  else if (Set.getPolicy)
    getPolicy(Done);
  else if (Set.waveState)
    askWave(Call.waveState, Done);
  else if (Set.registerReplica)
    registerReplica(Call.registerReplica, Done);
  else if (Set.putPolicy) {
    Command.__set_putPolicy(Call.putPolicy);
    commit(std::move(Command), Done);
  } else if (Set.setZone) {
    Command.__set_setZone(Call.setZone);
    commit(std::move(Command), Done);
  } else if (Set.startWave) {
    Command.__set_startWave(Call.startWave);
    commit(std::move(Command), Done);
  } else {
    Done(leading(wire::WorkloadStatus::INVALID, "the call asks for nothing"));
  }
}

// A proposal that was never appended can be repeated with the next leader; one
// that may still be committed has an unknown outcome.
void Replica::commit(wire::WorkloadCommand Command, const CallDone &Done) {
  propose(std::move(Command),
          [this, Done](absl::StatusOr<wire::WorkloadResult> Result) {
            if (Result.ok()) {
              wire::WorkloadReply Reply = leading(Result->status);
              Reply.result = *std::move(Result);
              Done(std::move(Reply));
              return;
            }
            const auto Code = layerErrorOf<raft::RaftErrc>(Result.status());
            if (Code == raft::RaftErrc::OutcomeUnknown)
              Done(leading(wire::WorkloadStatus::UNKNOWN,
                           fromAbsl(Result.status().message())));
            else
              Done(notLeading());
          });
}

// Answers from a state that holds everything committed before the call.
void Replica::answerFresh(
    const CallDone &Done,
    const std::function<void(wire::WorkloadReply &)> &Fill) {
  m_LogHandle->read([this, Done, Fill](const absl::Status &Status) {
    if (!Status.ok()) {
      Done(notLeading());
      return;
    }
    wire::WorkloadReply Reply = leading(wire::WorkloadStatus::OK);
    Fill(Reply);
    Done(std::move(Reply));
  });
}

void Replica::submit(const wire::WorkloadCall &Call, const CallDone &Done) {
  const Admission Admitted = admit(m_State.policy(), Call.address);
  if (Admitted.m_Status != wire::WorkloadStatus::OK) {
    m_Log.write("submit-refused", {{"request", Call.requestId},
                                   {"job", Call.jobId},
                                   {"reason", Admitted.m_Reason},
                                   {"policy", m_State.policy().version}});
    answerFresh(Done, [this, Call](wire::WorkloadReply &Reply) {
      Reply.result = refusalOf(admit(m_State.policy(), Call.address));
    });
    return;
  }
  wire::SubmitWorkload Submit;
  Submit.jobId = Call.jobId;
  Submit.queue = Admitted.m_Queue;
  Submit.workspace = Admitted.m_Workspace;
  Submit.spec = Call.submit;
  wire::WorkloadCommand Command;
  Command.__set_submit(Submit);
  commit(std::move(Command), [this, Call, Done](wire::WorkloadReply Reply) {
    m_Log.write("submit-answered",
                {{"request", Call.requestId},
                 {"job", Call.jobId},
                 {"status", static_cast<int64_t>(Reply.result.status)},
                 {"leads", Reply.isLeader},
                 {"policy", m_State.policy().version},
                 {"reason", Reply.result.message}});
    Done(std::move(Reply));
  });
}

// The job is looked up in a confirmed state before the cancellation is
// committed, so that an unknown job is named so.
void Replica::cancel(const wire::WorkloadCall &Call, const CallDone &Done) {
  m_LogHandle->read([this, Call, Done](const absl::Status &Status) {
    if (!Status.ok()) {
      Done(notLeading());
      return;
    }
    const Admission Admitted = admit(m_State.policy(), Call.address);
    wire::WorkloadResult Result = refusalOf(Admitted);
    if (Result.status == wire::WorkloadStatus::OK)
      Result = accessTo(m_State.job(Call.jobId), Admitted);
    m_Log.write("cancel-asked",
                {{"request", Call.requestId},
                 {"job", Call.jobId},
                 {"status", static_cast<int64_t>(Result.status)},
                 {"policy", m_State.policy().version}});
    if (Result.status != wire::WorkloadStatus::OK) {
      wire::WorkloadReply Reply = leading(Result.status, Result.message);
      Done(std::move(Reply));
      return;
    }
    wire::CancelWorkload Cancel;
    Cancel.jobId = Call.jobId;
    wire::WorkloadCommand Command;
    Command.__set_cancel(Cancel);
    commit(std::move(Command), Done);
  });
}

void Replica::askStatus(const wire::WorkloadCall &Call, const CallDone &Done) {
  answerFresh(Done, [this, Call](wire::WorkloadReply &Reply) {
    const Admission Admitted = admit(m_State.policy(), Call.address);
    Reply.result = refusalOf(Admitted);
    const wire::JobRecord *Job = m_State.job(Call.jobId);
    if (Admitted.m_Status == wire::WorkloadStatus::OK)
      Reply.result = accessTo(Job, Admitted);
    if (Job)
      Reply.phase = Job->phase;
  });
}

void Replica::getPolicy(const CallDone &Done) {
  answerFresh(Done, [this](wire::WorkloadReply &Reply) {
    Reply.source = m_State.policy().source;
    if (m_State.policy().version == 0)
      Reply.result.status = wire::WorkloadStatus::NOT_READY;
  });
}

void Replica::askWave(int64_t Wave, const CallDone &Done) {
  answerFresh(Done, [this, Wave](wire::WorkloadReply &Reply) {
    const auto It = m_State.waves().find(Wave);
    if (It == m_State.waves().end())
      Reply.result.status = wire::WorkloadStatus::NO_JOB;
    else
      Reply.waveCompleted =
          It->second.machinesTakenDown.size() == It->second.machines.size();
  });
}

void Replica::registerReplica(const wire::RegisterReplica &Register,
                              const CallDone &Done) {
  m_Duties->heardReplica(raft::ReplicaId(Register.replica.id));
  const auto Known = m_State.replicas().find(Register.replica.id);
  if (Known != m_State.replicas().end() && Known->second == Register.replica) {
    Done(leading(wire::WorkloadStatus::UNCHANGED));
    return;
  }
  wire::WorkloadCommand Command;
  Command.__set_registerReplica(Register);
  commit(std::move(Command), Done);
}

} // namespace anvil::node::internal
