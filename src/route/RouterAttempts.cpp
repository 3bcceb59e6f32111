#include <algorithm>

#include "RouterImpl.h"

namespace anvil::route {

using internal::Phase;
using internal::Target;
using internal::TargetPtr;

namespace {

constexpr Duration MinRetryAfter = std::chrono::seconds(1);
constexpr Duration MaxRetryAfter = std::chrono::seconds(30);
// Weight of the newest time in the moving average of the queue wait.
constexpr double WaitWeight = 0.05;
// Penalties in units of one failed request; an agent that refuses for another
// reason than its load counts half.
constexpr double FailurePenalty = 1;
constexpr double RefusalPenalty = 0.6;

wire::ExecuteRequest makeExecute(const internal::Request &Each, TimePoint Now) {
  wire::ExecuteRequest Execute;
  Execute.requestId = Each.m_Call.m_TraceId;
  Execute.serviceName = Each.m_Call.m_Service;
  Execute.workspace = Each.m_Call.m_Workspace;
  Execute.className = Each.m_Class.name;
  Execute.urgency = Each.m_Class.urgency;
  Execute.timeoutMs =
      std::max<int64_t>(1, (Each.m_Deadline - Now).count() / 1000);
  Execute.httpMethod = Each.m_Call.m_Method;
  Execute.path = Each.m_Call.m_Path;
  Execute.contentType = Each.m_Call.m_ContentType;
  Execute.body = Each.m_Call.m_Body;
  Execute.claimId = Each.m_ClaimId;
  Execute.claimToken = Each.m_ClaimToken;
  Execute.incarnation = Each.m_Target->m_Route.incarnation;
  Execute.tokenSentBefore = Each.m_TokenShared;
  return Execute;
}

bool isBusy(const wire::Load &Load) {
  return Load.queueLimit > 0 && Load.queued >= Load.queueLimit;
}

} // namespace

void Router::Impl::start(Request &Each, const TargetPtr &Chosen) {
  const double Waited = static_cast<double>((m_Now - Each.m_ArrivedAt).count());
  m_RecentWaitUs += WaitWeight * (Waited - m_RecentWaitUs);
  Each.m_Target = Chosen;
  ++Chosen->m_Outstanding;
  if (Each.m_ClaimId.empty())
    return dispatch(Each);
  openClaim(Each);
}

void Router::Impl::dispatch(Request &Each) {
  const AttemptId Id(m_NextAttempt++);
  m_Attempts[Id.value()] = {Each.m_Call.m_Id, Each.m_Target};
  Each.m_Tried.insert(Each.m_Target->m_Route.vm);
  ++Each.m_Attempts;
  ++m_Counters.m_Attempts;
  DispatchAction Action;
  Action.m_Attempt = Id;
  Action.m_Id = Each.m_Call.m_Id;
  Action.m_Vm = Each.m_Target->m_Route.vm;
  Action.m_AgentAddress = Each.m_Target->m_Route.agentAddress;
  Action.m_Request = makeExecute(Each, m_Now);
  Action.m_Timeout = Each.m_Deadline - m_Now + m_Options.m_AnswerGrace;
  Action.m_Waited = m_Now - Each.m_ArrivedAt;
  m_Actions.emplace_back(std::move(Action));
  // From here on the attempt holds the target, so that a late answer still
  // frees its place.
  Each.m_Target = nullptr;
  setPhase(Each, Phase::Running, Each.m_Deadline + m_Options.m_AnswerGrace);
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
    m_Targets.noteLoad(*Ended.m_Target, Reply->load, m_Now);
  const auto Waiting = m_Requests.find(Ended.m_Id.value());
  if (Waiting == m_Requests.end()) {
    m_Targets.penalise(*Ended.m_Target, FailurePenalty, m_Now);
    m_Counters.m_LateAnswers += Reply != nullptr ? 1 : 0;
  } else if (Reply != nullptr) {
    onReply(Waiting->second, *Ended.m_Target, std::move(*Reply));
  } else {
    onSendFailure(Waiting->second, *Ended.m_Target,
                  std::get<SendFailure>(Event.m_Result));
  }
  pump(Ended.m_Target->m_Route.serviceName);
}

void Router::Impl::onReply(Request &Each, Target &From,
                           wire::ExecuteReply Reply) {
  if (Reply.outcome == wire::Outcome::NOT_RUN)
    return onNotRun(Each, From, Reply);
  if (Reply.outcome == wire::Outcome::COMPLETED) {
    AnswerAction Answer;
    Answer.m_Outcome = wire::Outcome::COMPLETED;
    Answer.m_Status = Reply.httpStatus;
    Answer.m_ContentType = std::move(Reply.contentType);
    Answer.m_Body = std::move(Reply.body);
    return answer(Each, std::move(Answer));
  }
  m_Targets.penalise(From, FailurePenalty, m_Now);
  if (!Each.m_ClaimId.empty())
    return answerUnknown(Each, Reply.reason);
  retryUnknown(Each, Reply.reason);
}

void Router::Impl::onNotRun(Request &Each, Target &From,
                            const wire::ExecuteReply &Reply) {
  const Duration RetryAfter =
      std::chrono::milliseconds(std::max<int64_t>(0, Reply.retryAfterMs));
  m_Targets.noteBusy(From, RetryAfter, m_Now);
  if (!isBusy(Reply.load))
    m_Targets.penalise(From, RefusalPenalty, m_Now);
  if (!Each.m_ClaimId.empty()) {
    // The agent answers for the token, whoever sent it.
    Each.m_MayHaveRun = false;
    closeClaimNotRun(Each.m_LastClaim, Each.m_ClaimToken, Each.m_Call.m_TraceId,
                     NotRunProof::AgentReply);
  }
  retryOr(Each, RefusalReason::TargetsBusy, Reply.reason, RetryAfter);
}

void Router::Impl::onSendFailure(Request &Each, Target &To,
                                 SendFailure Failure) {
  m_Targets.penalise(To, FailurePenalty, m_Now);
  // The attempt that was granted the token may have sent it, so its claim stays
  // open.
  if (Failure == SendFailure::NotSent && Each.m_TokenShared)
    return waitForClaim(Each);
  if (Failure == SendFailure::NotSent) {
    if (!Each.m_ClaimId.empty())
      closeClaimNotRun(Each.m_LastClaim, Each.m_ClaimToken,
                       Each.m_Call.m_TraceId, NotRunProof::NeverSent);
    return retryOr(Each, RefusalReason::NotSent, "", Duration(0));
  }
  Each.m_MayHaveRun = true;
  if (Each.m_ClaimId.empty())
    return retryUnknown(Each, "the connection to the agent was lost");
  Each.m_AnswerLost = true;
  // The agent reports the outcome to control, so asking for the claim again
  // finds it.
  waitForClaim(Each);
}

bool Router::Impl::mayRetry(const Request &Each) {
  if (Each.m_Attempts >= m_Options.m_MaxAttempts || m_Now >= Each.m_Deadline)
    return false;
  if (!m_Budget.take(m_Now)) {
    ++m_Counters.m_RetriesDenied;
    return false;
  }
  ++m_Counters.m_Retries;
  return true;
}

void Router::Impl::retryOr(Request &Each, RefusalReason Reason,
                           std::string_view Detail, Duration RetryAfter) {
  if (mayRetry(Each))
    return enqueue(Each);
  giveUp(Each, Reason, Detail, spreadRetryAfter(RetryAfter));
}

void Router::Impl::retryUnknown(Request &Each, std::string_view Reason) {
  Each.m_MayHaveRun = true;
  if (mayRetry(Each))
    return enqueue(Each);
  answerUnknown(Each, Reason);
}

void Router::Impl::giveUp(Request &Each, RefusalReason Reason,
                          std::string_view Detail,
                          std::optional<Duration> RetryAfter) {
  if (Each.m_MayHaveRun)
    return answerUnknown(Each, Detail.empty() ? refusalText(Reason).m_Message
                                              : Detail);
  refuse(Each.m_Call.m_Id, Reason, Detail, RetryAfter);
  erase(Each);
}

void Router::Impl::answerUnknown(Request &Each, std::string_view Reason) {
  AnswerAction Answer;
  Answer.m_Outcome = wire::Outcome::UNKNOWN;
  Answer.m_Status = 504;
  Answer.m_Reason = Reason;
  answer(Each, std::move(Answer));
}

void Router::Impl::answer(Request &Each, AnswerAction Answer) {
  ++(Answer.m_Outcome == wire::Outcome::COMPLETED ? m_Counters.m_Completed
                                                  : m_Counters.m_Unknown);
  Answer.m_Id = Each.m_Call.m_Id;
  m_Actions.emplace_back(std::move(Answer));
  erase(Each);
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

void Router::Impl::releaseTarget(Request &Each) {
  if (!Each.m_Target)
    return;
  --Each.m_Target->m_Outstanding;
  Each.m_Target = nullptr;
}

void Router::Impl::erase(Request &Each) {
  releaseTarget(Each);
  dequeue(Each);
  const int64_t Id = Each.m_Call.m_Id.value();
  m_Wakes.erase({Each.m_WakeAt, Id});
  m_Counters.m_Bytes -= Each.m_Call.m_Body.size();
  m_Requests.erase(Id);
  m_Counters.m_InProgress = m_Requests.size();
}

} // namespace anvil::route
