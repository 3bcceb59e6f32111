#include <algorithm>

#include "RouterImpl.h"

namespace anvil::route {

using internal::Phase;
using internal::Target;
using internal::TargetPtr;

namespace {

constexpr Duration MinRetryAfter = std::chrono::seconds(1);
constexpr Duration MaxRetryAfter = std::chrono::seconds(30);
// Weight of the newest value in the moving average of the queue time.
constexpr double QueueTimeWeight = 0.05;
// Penalties relative to one failed request. A refusal for another reason than
// load counts less than a failure.
constexpr double FailurePenalty = 1;
constexpr double RefusalPenalty = 0.6;

wire::ExecuteRequest makeExecute(const internal::Request &Request,
                                 TimePoint Now) {
  wire::ExecuteRequest Execute;
  Execute.requestId = Request.m_Call.m_TraceId;
  Execute.serviceName = Request.m_Call.m_Service;
  Execute.workspace = Request.m_Call.m_Workspace;
  Execute.className = Request.m_Class.name;
  Execute.urgency = Request.m_Class.urgency;
  Execute.timeoutMs =
      std::max<int64_t>(1, (Request.m_Deadline - Now).count() / 1000);
  Execute.httpMethod = Request.m_Call.m_Method;
  Execute.path = Request.m_Call.m_Path;
  Execute.contentType = Request.m_Call.m_ContentType;
  Execute.body = Request.m_Call.m_Body;
  Execute.claimId = Request.m_ClaimId;
  Execute.claimToken = Request.m_ClaimToken;
  Execute.incarnation = Request.m_Target->m_Route.incarnation;
  Execute.tokenSentBefore = Request.m_TokenShared;
  return Execute;
}

bool isBusy(const wire::Load &Load) {
  return Load.queueLimit > 0 && Load.queued >= Load.queueLimit;
}

} // namespace

void Router::Impl::start(Request &Request, const TargetPtr &Chosen) {
  const double Waited =
      static_cast<double>((m_Now - Request.m_ArrivedAt).count());
  m_RecentQueueTimeUs += QueueTimeWeight * (Waited - m_RecentQueueTimeUs);
  Request.m_Target = Chosen;
  ++Chosen->m_Outstanding;
  if (Request.m_ClaimId.empty())
    return dispatch(Request);
  openClaim(Request);
}

void Router::Impl::dispatch(Request &Request) {
  const AttemptId Id(m_NextAttempt++);
  m_Attempts[Id.value()] = {Request.m_Call.m_Id, Request.m_Target};
  Request.m_TriedVms.insert(Request.m_Target->m_Route.vm);
  ++Request.m_Attempts;
  ++m_Counters.m_Attempts;
  DispatchAction Action;
  Action.m_Attempt = Id;
  Action.m_Id = Request.m_Call.m_Id;
  Action.m_Vm = Request.m_Target->m_Route.vm;
  Action.m_AgentAddress = Request.m_Target->m_Route.agentAddress;
  Action.m_Request = makeExecute(Request, m_Now);
  Action.m_Timeout = Request.m_Deadline - m_Now + m_Options.m_AnswerGrace;
  Action.m_Waited = m_Now - Request.m_ArrivedAt;
  m_Actions.emplace_back(std::move(Action));
  // From now on the attempt holds the target, so that a late reply still
  // releases it.
  Request.m_Target = nullptr;
  setPhase(Request, Phase::Running,
           Request.m_Deadline + m_Options.m_AnswerGrace);
}

void Router::Impl::on(AttemptEnded Event) {
  const auto Found = m_Attempts.find(Event.m_Attempt.value());
  if (Found == m_Attempts.end()) {
    ++m_Counters.m_LateAnswers;
    return;
  }
  const internal::Attempt Ended = std::move(Found->second);
  m_Attempts.erase(Found);
  --Ended.m_Target->m_Outstanding;
  auto *Reply = std::get_if<wire::ExecuteReply>(&Event.m_Result);
  if (Reply != nullptr)
    m_Targets.recordLoad(*Ended.m_Target, Reply->load, m_Now);
  const auto Waiting = m_Requests.find(Ended.m_Id.value());
  if (Waiting == m_Requests.end()) {
    m_Targets.penalize(*Ended.m_Target, FailurePenalty, m_Now);
    m_Counters.m_LateAnswers += Reply != nullptr ? 1 : 0;
  } else if (Reply != nullptr) {
    onReply(Waiting->second, *Ended.m_Target, std::move(*Reply));
  } else {
    onSendFailure(Waiting->second, *Ended.m_Target,
                  std::get<SendFailure>(Event.m_Result));
  }
  dispatchQueued(Ended.m_Target->m_Route.serviceName);
}

void Router::Impl::onReply(Request &Request, Target &Target,
                           wire::ExecuteReply Reply) {
  if (Reply.outcome == wire::Outcome::NOT_RUN)
    return onNotRun(Request, Target, Reply);
  if (Reply.outcome == wire::Outcome::COMPLETED) {
    AnswerAction Answer;
    Answer.m_Outcome = wire::Outcome::COMPLETED;
    Answer.m_Status = Reply.httpStatus;
    Answer.m_ContentType = std::move(Reply.contentType);
    Answer.m_Body = std::move(Reply.body);
    return answer(Request, std::move(Answer));
  }
  m_Targets.penalize(Target, FailurePenalty, m_Now);
  if (!Request.m_ClaimId.empty())
    return answerUnknown(Request, Reply.reason);
  retryOrAnswerUnknown(Request, Reply.reason);
}

void Router::Impl::onNotRun(Request &Request, Target &Target,
                            const wire::ExecuteReply &Reply) {
  const Duration RetryAfter =
      std::chrono::milliseconds(std::max<int64_t>(0, Reply.retryAfterMs));
  m_Targets.recordBusy(Target, RetryAfter, m_Now);
  if (!isBusy(Reply.load))
    m_Targets.penalize(Target, RefusalPenalty, m_Now);
  if (!Request.m_ClaimId.empty()) {
    // The reply concerns the claim token, whichever attempt sent it.
    Request.m_MayHaveRun = false;
    closeClaimNotRun(Request.m_LastClaim, Request.m_ClaimToken,
                     Request.m_Call.m_TraceId, NotRunProof::AgentReply);
  }
  retryOrGiveUp(Request, RefusalReason::TargetsBusy, Reply.reason, RetryAfter);
}

void Router::Impl::onSendFailure(Request &Request, Target &Target,
                                 SendFailure Failure) {
  m_Targets.penalize(Target, FailurePenalty, m_Now);
  // The attempt that was granted the token may have sent it, so the claim must
  // stay open.
  if (Failure == SendFailure::NotSent && Request.m_TokenShared)
    return waitForClaim(Request);
  if (Failure == SendFailure::NotSent) {
    if (!Request.m_ClaimId.empty())
      closeClaimNotRun(Request.m_LastClaim, Request.m_ClaimToken,
                       Request.m_Call.m_TraceId, NotRunProof::NeverSent);
    return retryOrGiveUp(Request, RefusalReason::NotSent, "", Duration(0));
  }
  Request.m_MayHaveRun = true;
  if (Request.m_ClaimId.empty())
    return retryOrAnswerUnknown(Request,
                                "the connection to the agent was lost");
  Request.m_AnswerLost = true;
  // The agent reports the outcome to control, where the next request for the
  // claim finds it.
  waitForClaim(Request);
}

bool Router::Impl::mayRetry(const Request &Request) {
  if (Request.m_Attempts >= m_Options.m_MaxAttempts ||
      m_Now >= Request.m_Deadline)
    return false;
  if (!m_Budget.tryTake(m_Now)) {
    ++m_Counters.m_RetriesDenied;
    return false;
  }
  ++m_Counters.m_Retries;
  return true;
}

void Router::Impl::retryOrGiveUp(Request &Request, RefusalReason Reason,
                                 std::string_view Detail, Duration RetryAfter) {
  if (mayRetry(Request))
    return enqueue(Request);
  giveUp(Request, Reason, Detail, spreadRetryAfter(RetryAfter));
}

void Router::Impl::retryOrAnswerUnknown(Request &Request,
                                        std::string_view Reason) {
  Request.m_MayHaveRun = true;
  if (mayRetry(Request))
    return enqueue(Request);
  answerUnknown(Request, Reason);
}

void Router::Impl::giveUp(Request &Request, RefusalReason Reason,
                          std::string_view Detail,
                          std::optional<Duration> RetryAfter) {
  if (Request.m_MayHaveRun)
    return answerUnknown(Request, Detail.empty() ? refusalText(Reason).m_Message
                                                 : Detail);
  refuse(Request.m_Call.m_Id, Reason, Detail, RetryAfter);
  erase(Request);
}

void Router::Impl::answerUnknown(Request &Request, std::string_view Reason) {
  AnswerAction Answer;
  Answer.m_Outcome = wire::Outcome::UNKNOWN;
  Answer.m_Status = 504;
  Answer.m_Reason = Reason;
  answer(Request, std::move(Answer));
}

void Router::Impl::answer(Request &Request, AnswerAction Answer) {
  ++(Answer.m_Outcome == wire::Outcome::COMPLETED ? m_Counters.m_Completed
                                                  : m_Counters.m_Unknown);
  Answer.m_Id = Request.m_Call.m_Id;
  m_Actions.emplace_back(std::move(Answer));
  erase(Request);
}

void Router::Impl::refuse(RequestId Id, RefusalReason Reason,
                          std::string_view Detail,
                          std::optional<Duration> RetryAfter) {
  ++m_Counters.m_Refused[static_cast<size_t>(Reason)];
  m_Actions.emplace_back(
      RefuseAction{Id, Reason, std::string(Detail), RetryAfter});
}

Duration Router::Impl::spreadRetryAfter(Duration Base) const {
  const Duration Bounded = std::clamp(Base, MinRetryAfter, MaxRetryAfter);
  return Bounded +
         Duration(static_cast<int64_t>(m_Options.m_Random() *
                                       static_cast<double>(Bounded.count())));
}

void Router::Impl::releaseTarget(Request &Request) {
  if (!Request.m_Target)
    return;
  --Request.m_Target->m_Outstanding;
  Request.m_Target = nullptr;
}

void Router::Impl::erase(Request &Request) {
  releaseTarget(Request);
  dequeue(Request);
  const int64_t Id = Request.m_Call.m_Id.value();
  m_WakeTimes.erase({Request.m_WakeAt, Id});
  m_Counters.m_Bytes -= Request.m_Call.m_Body.size();
  m_Requests.erase(Id);
  m_Counters.m_InProgress = m_Requests.size();
}

} // namespace anvil::route
