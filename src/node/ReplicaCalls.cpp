#include "Replica.h"
#include "anvil/base/Port.h"
#include "anvil/raft/RaftError.h"

namespace anvil::node::internal {

namespace {

int64_t millisOf(Duration Value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Value).count();
}

wire::SubmitWorkload submitOf(const wire::WorkloadCall &Call,
                              const Admission &Admitted) {
  wire::SubmitWorkload Submit;
  Submit.jobId = Call.jobId;
  Submit.queue = Admitted.m_Queue;
  Submit.workspace = Admitted.m_Workspace;
  Submit.spec = Call.submit;
  Submit.__set_address(Admitted.m_Address);
  return Submit;
}

} // namespace

wire::WorkloadReply Replica::notLeaderReply() const {
  wire::WorkloadReply Reply;
  Reply.group = groupView();
  return Reply;
}

wire::WorkloadReply Replica::leaderReply(wire::WorkloadStatus::type Status,
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
    Done(notLeaderReply());
    return;
  }
  const wire::_WorkloadCall__isset &Set = Call.__isset;
  const bool ChangesState =
      Set.submit || Set.cancel || Set.putPolicy || Set.setZone || Set.startWave;
  if (ChangesState && !m_Duties->mayAcknowledge()) {
    Done(leaderReply(wire::WorkloadStatus::NOT_READY,
                     "the group has too few replicas so far"));
    return;
  }
  wire::WorkloadCommand Command;
  if (Set.submit)
    submit(Call, Done);
  else if (Set.cancel)
    cancel(Call, Done);
  else if (Set.status)
    getStatus(Call, Done);
  else if (Set.getPolicy)
    getPolicy(Done);
  else if (Set.waveState)
    getWave(Call.waveState, Done);
  else if (Set.getZoneRevision)
    getZoneRevision(Done);
  else if (Set.registerReplica)
    registerReplica(Call.registerReplica, Done);
  else if (Set.leavingReplica) {
    m_Duties->onReplicaLeaving(raft::ReplicaId(Call.leavingReplica));
    Done(leaderReply(wire::WorkloadStatus::OK));
  } else if (Set.putPolicy) {
    Command.__set_putPolicy(Call.putPolicy);
    commit(std::move(Command), Done);
  } else if (Set.setZone) {
    Command.__set_setZone(Call.setZone);
    commit(std::move(Command), Done);
  } else if (Set.startWave) {
    Command.__set_startWave(Call.startWave);
    commit(std::move(Command), Done);
  } else {
    Done(leaderReply(wire::WorkloadStatus::INVALID,
                     "the call asks for nothing"));
  }
}

// A proposal that was never appended can be retried with the next leader. One
// that may still be committed has an unknown outcome.
void Replica::commit(wire::WorkloadCommand Command, const CallDone &Done) {
  propose(std::move(Command),
          [this, Done](absl::StatusOr<wire::WorkloadResult> Result) {
            if (Result.ok()) {
              wire::WorkloadReply Reply = leaderReply(Result->status);
              Reply.result = *std::move(Result);
              Done(std::move(Reply));
              return;
            }
            const auto Code = layerErrorOf<raft::RaftErrc>(Result.status());
            if (Code == raft::RaftErrc::OutcomeUnknown)
              Done(leaderReply(wire::WorkloadStatus::UNKNOWN,
                               fromAbsl(Result.status().message())));
            else
              Done(notLeaderReply());
          });
}

// Linearizable read: answers from a state that holds everything that was
// committed before the call.
void Replica::answerLinearizable(
    const CallDone &Done,
    const std::function<void(wire::WorkloadReply &)> &Fill) {
  m_ReplicatedLog->read([this, Done, Fill](const absl::Status &Status) {
    if (!Status.ok()) {
      Done(notLeaderReply());
      return;
    }
    wire::WorkloadReply Reply = leaderReply(wire::WorkloadStatus::OK);
    Fill(Reply);
    Done(std::move(Reply));
  });
}

void Replica::submit(const wire::WorkloadCall &Call, const CallDone &Done) {
  ++m_Submissions[Call.jobId];
  admitOrPropose(
      Call, [this, Job = Call.jobId, Done](wire::WorkloadReply Reply) {
        if (const auto It = m_Submissions.find(Job); --It->second == 0)
          m_Submissions.erase(It);
        Done(std::move(Reply));
      });
}

// A job is refused only by a linearizable read, since a policy that admits it,
// or the job itself, may have been acknowledged and not applied here yet. If
// that read admits it, it is proposed: an answer without a proposal would be an
// acknowledgement of nothing.
void Replica::admitOrPropose(const wire::WorkloadCall &Call,
                             const CallDone &Done) {
  const Admission Admitted = admit(m_State.policy(), Call.address);
  if (Admitted.m_Status == wire::WorkloadStatus::OK &&
      !findRefusal(Call, Admitted)) {
    proposeJob(Call, Admitted, Done);
    return;
  }
  m_ReplicatedLog->read([this, Call, Done](const absl::Status &Status) {
    if (!Status.ok()) {
      Done(notLeaderReply());
      return;
    }
    const Admission Confirmed = admit(m_State.policy(), Call.address);
    if (Confirmed.m_Status != wire::WorkloadStatus::OK) {
      m_Log.write("submit-refused", {{"request", Call.requestId},
                                     {"job", Call.jobId},
                                     {"reason", Confirmed.m_Reason},
                                     {"policy", m_State.policy().version}});
      Done(leaderReply(Confirmed.m_Status, Confirmed.m_Reason));
      return;
    }
    if (const std::optional<dispatch::JobVerdict> Refusal =
            findRefusal(Call, Confirmed))
      Done(refuseJob(Call, Confirmed, *Refusal));
    else
      proposeJob(Call, Confirmed, Done);
  });
}

// Returns the verdict if the job is to be refused because of the load. A job
// that is known or may become known by another submission is not: it may run,
// so a refusal would not be true.
std::optional<dispatch::JobVerdict>
Replica::findRefusal(const wire::WorkloadCall &Call,
                     const Admission &Admitted) const {
  const auto Submissions = m_Submissions.find(Call.jobId);
  const wire::QueuePolicy *Queue = workload::findQueue(
      m_State.policy(), Call.address.host, Call.address.path);
  if (m_State.job(Call.jobId) || !Queue ||
      (Submissions != m_Submissions.end() && Submissions->second > 1) ||
      !workload::checkSpec(Call.submit).ok())
    return std::nullopt;
  dispatch::JobVerdict Verdict = m_Duties->assess(
      workload::WorkloadState::makeRecord(submitOf(Call, Admitted), *Queue));
  if (Verdict.m_Accepted)
    return std::nullopt;
  return Verdict;
}

wire::WorkloadReply Replica::refuseJob(const wire::WorkloadCall &Call,
                                       const Admission &Admitted,
                                       const dispatch::JobVerdict &Verdict) {
  const TimePoint Now = m_Options.m_Now();
  m_Log.write("submit-refused",
              {{"request", Call.requestId},
               {"job", Call.jobId},
               {"reason", Verdict.m_Reason},
               {"expected_end_ms", millisOf(Verdict.m_ExpectedEnd - Now)},
               {"last_useful_end_ms", millisOf(Verdict.m_LastUsefulEnd - Now)},
               {"retry_after_ms", millisOf(Verdict.m_RetryAfter)},
               {"backlog_age_ms", millisOf(Verdict.m_BacklogAge)}});
  m_StateMetrics.countRefusal(Verdict.m_Reason, Admitted.m_Workspace);
  wire::WorkloadReply Reply =
      leaderReply(wire::WorkloadStatus::OVERLOADED, Verdict.m_Reason);
  Reply.result.retryAfterMs = millisOf(Verdict.m_RetryAfter);
  return Reply;
}

void Replica::proposeJob(const wire::WorkloadCall &Call,
                         const Admission &Admitted, const CallDone &Done) {
  wire::WorkloadCommand Command;
  Command.__set_submit(submitOf(Call, Admitted));
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

// Checks by a linearizable read that the caller may cancel the job. The
// cancellation of an unknown job is committed as well: the job may have been
// handed in and be held up on its way here.
void Replica::cancel(const wire::WorkloadCall &Call, const CallDone &Done) {
  m_ReplicatedLog->read([this, Call, Done](const absl::Status &Status) {
    if (!Status.ok()) {
      Done(notLeaderReply());
      return;
    }
    const Admission Admitted = admit(m_State.policy(), Call.address);
    wire::WorkloadResult Result = admissionResult(Admitted);
    if (Result.status == wire::WorkloadStatus::OK)
      Result = checkAccess(m_State.job(Call.jobId), Admitted);
    m_Log.write("cancel-asked",
                {{"request", Call.requestId},
                 {"job", Call.jobId},
                 {"status", static_cast<int64_t>(Result.status)},
                 {"policy", m_State.policy().version}});
    if (Result.status != wire::WorkloadStatus::OK &&
        Result.status != wire::WorkloadStatus::NO_JOB) {
      Done(leaderReply(Result.status, Result.message));
      return;
    }
    wire::CancelWorkload Cancel;
    Cancel.jobId = Call.jobId;
    Cancel.__set_address(Admitted.m_Address);
    Cancel.__set_workspace(Admitted.m_Workspace);
    wire::WorkloadCommand Command;
    Command.__set_cancel(Cancel);
    commit(std::move(Command), Done);
  });
}

void Replica::getStatus(const wire::WorkloadCall &Call, const CallDone &Done) {
  answerLinearizable(Done, [this, Call](wire::WorkloadReply &Reply) {
    const Admission Admitted = admit(m_State.policy(), Call.address);
    Reply.result = admissionResult(Admitted);
    const wire::JobRecord *Job = m_State.job(Call.jobId);
    if (Admitted.m_Status == wire::WorkloadStatus::OK)
      Reply.result = checkAccess(Job, Admitted);
    if (Job)
      Reply.phase = Job->phase;
  });
}

void Replica::getPolicy(const CallDone &Done) {
  answerLinearizable(Done, [this](wire::WorkloadReply &Reply) {
    Reply.source = m_State.policy().source;
    if (m_State.policy().version == 0)
      Reply.result.status = wire::WorkloadStatus::NOT_READY;
  });
}

void Replica::getWave(int64_t Wave, const CallDone &Done) {
  answerLinearizable(Done, [this, Wave](wire::WorkloadReply &Reply) {
    const auto It = m_State.waves().find(Wave);
    if (It == m_State.waves().end())
      Reply.result.status = wire::WorkloadStatus::NO_JOB;
    else
      Reply.waveCompleted =
          It->second.machinesTakenDown.size() == It->second.machines.size();
  });
}

// A change that is based on an old revision is refused when it is applied, so
// the read need not be linearizable.
void Replica::getZoneRevision(const CallDone &Done) {
  wire::WorkloadReply Reply = leaderReply(wire::WorkloadStatus::OK);
  Reply.zoneRevision = m_State.zoneRevision();
  Done(std::move(Reply));
}

void Replica::registerReplica(const wire::RegisterReplica &Register,
                              const CallDone &Done) {
  m_Duties->onReplicaAnnounced(raft::ReplicaId(Register.replica.id));
  const auto Known = m_State.replicas().find(Register.replica.id);
  if (Known != m_State.replicas().end() && Known->second == Register.replica) {
    Done(leaderReply(wire::WorkloadStatus::UNCHANGED));
    return;
  }
  wire::WorkloadCommand Command;
  Command.__set_registerReplica(Register);
  commit(std::move(Command), Done);
}

} // namespace anvil::node::internal
