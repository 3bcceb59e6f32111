#include "agent/RequestSlots.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace anvil::agent::internal {

namespace {

constexpr Duration BusyRetryAfter = std::chrono::milliseconds(250);
constexpr Duration MinionDownRetryAfter = std::chrono::seconds(1);

bool hasClaim(const wire::ExecuteRequest &Request) {
  return !Request.claimId.empty();
}

ClaimKey claimKey(const wire::ExecuteRequest &Request) {
  return {Request.claimToken, Request.claimId};
}

wire::ExecuteReply makeReply(wire::Outcome::type Outcome,
                             std::string_view Reason) {
  wire::ExecuteReply Reply;
  Reply.outcome = Outcome;
  Reply.reason = std::string(Reason);
  return Reply;
}

wire::ExecuteReply makeReply(const StoredOutcome &Stored) {
  wire::ExecuteReply Reply =
      makeReply(Stored.m_Outcome, "stored outcome of this claim token");
  Reply.httpStatus = Stored.m_HttpStatus;
  Reply.contentType = Stored.m_ContentType;
  Reply.body = Stored.m_Body;
  return Reply;
}

int64_t millisOf(Duration Span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Span).count();
}

} // namespace

RequestSlots::RequestSlots(const AgentOptions &Options)
    : m_Options(Options), m_Queue(Options), m_Claims(Options),
      m_Health(Options) {}

wire::Load RequestSlots::load() const {
  wire::Load Load;
  Load.busySlots = static_cast<int32_t>(m_Running.size());
  Load.queued = static_cast<int32_t>(m_Queue.size());
  Load.queueLimit = static_cast<int32_t>(m_Options.m_QueueLimit);
  return Load;
}

void RequestSlots::reply(CallId Call, wire::ExecuteReply Reply,
                         ActionList &Out) const {
  if (Call.value() == 0)
    return;
  Reply.load = load();
  Out.push_back(ReplyToCall{Call, std::move(Reply)});
}

void RequestSlots::refuse(CallId Call, const wire::ExecuteRequest &Request,
                          std::string_view Reason, Duration RetryAfter,
                          ActionList &Out) {
  // A claim token that was refused must stay refused, because the reply frees
  // the claim for another agent.
  if (hasClaim(Request))
    m_Claims.close(claimKey(Request),
                   StoredOutcome{wire::Outcome::NOT_RUN, 0, "", ""});
  wire::ExecuteReply Reply = makeReply(wire::Outcome::NOT_RUN, Reason);
  Reply.retryAfterMs = millisOf(RetryAfter);
  reply(Call, std::move(Reply), Out);
}

void RequestSlots::arrive(ExecuteArrived Arrived, const StartRule &Rule,
                          TimePoint Now, ActionList &Out) {
  const wire::ExecuteRequest &Request = Arrived.m_Request;
  if (Request.incarnation != m_Options.m_Target.incarnation) {
    // The other incarnation may have run the request if the token was sent
    // before.
    const auto Outcome = Request.tokenSentBefore ? wire::Outcome::UNKNOWN
                                                 : wire::Outcome::NOT_RUN;
    reply(
        Arrived.m_Call,
        makeReply(Outcome, "request is for another incarnation of this agent"),
        Out);
    return;
  }
  if (hasClaim(Request) && answerRepeatedClaim(Arrived, Now, Out))
    return;
  if (!Rule.m_Refusal.empty())
    return refuse(Arrived.m_Call, Request, Rule.m_Refusal, Rule.m_RetryAfter,
                  Out);
  if (Request.timeoutMs <= 0)
    return refuse(Arrived.m_Call, Request,
                  "deadline passed before the request arrived", Duration(0),
                  Out);
  if (!m_Health.healthy())
    return refuse(Arrived.m_Call, Request, "minion does not accept connections",
                  MinionDownRetryAfter, Out);
  if (hasClaim(Request) && m_Claims.full())
    return refuse(Arrived.m_Call, Request,
                  "too many claims wait for acknowledgement", BusyRetryAfter,
                  Out);

  PendingRequest Pending;
  Pending.m_Call = Arrived.m_Call;
  Pending.m_ArrivedAt = Now;
  Pending.m_Deadline = Now + std::chrono::milliseconds(Request.timeoutMs);
  Pending.m_Request = std::move(Arrived.m_Request);
  const bool Claimed = hasClaim(Pending.m_Request);
  const ClaimKey Key = claimKey(Pending.m_Request);
  if (!m_Queue.push(Pending))
    return refuse(Arrived.m_Call, Pending.m_Request,
                  "queue of the class is full", BusyRetryAfter, Out);
  if (Claimed)
    m_Claims.open(Key);
}

bool RequestSlots::answerRepeatedClaim(const ExecuteArrived &Arrived,
                                       TimePoint Now, ActionList &Out) {
  const ClaimKey Key = claimKey(Arrived.m_Request);
  switch (m_Claims.stateOf(Key)) {
  case TokenState::Never:
    return false;
  case TokenState::Closed:
    reply(Arrived.m_Call, makeReply(m_Claims.outcomeOf(Key)), Out);
    return true;
  case TokenState::Forgotten:
    reply(Arrived.m_Call,
          makeReply(wire::Outcome::UNKNOWN,
                    "claim token is too old to be remembered"),
          Out);
    return true;
  case TokenState::Open:
    break;
  }
  std::vector<Waiter> &Waiters = m_Waiters[Key];
  if (Waiters.size() >= m_Options.m_MaxWaiters) {
    reply(Arrived.m_Call,
          makeReply(wire::Outcome::UNKNOWN,
                    "too many repeats wait for this claim"),
          Out);
    return true;
  }
  const int64_t TimeoutMs = std::max<int64_t>(Arrived.m_Request.timeoutMs, 0);
  Waiters.push_back(
      {Arrived.m_Call, Now + std::chrono::milliseconds(TimeoutMs)});
  return true;
}

void RequestSlots::start(PendingRequest Request, TimePoint Now,
                         ActionList &Out) {
  const ExchangeId Exchange(++m_NextExchange);
  Request.m_StartedAt = Now;
  Out.push_back(SendToMinion{Exchange, Request.m_Request});
  Request.m_Request.body = std::string();
  m_Running.emplace(Exchange, std::move(Request));
}

void RequestSlots::startQueued(const StartRule &Rule, TimePoint Now,
                               ActionList &Out) {
  if (m_Queue.size() == 0)
    return;
  if (!Rule.m_Refusal.empty())
    return flushQueue(Rule.m_Refusal, Rule.m_RetryAfter, Now, Out);
  if (!m_Health.healthy())
    return flushQueue("minion does not accept connections",
                      MinionDownRetryAfter, Now, Out);
  while (m_Running.size() < static_cast<size_t>(m_Options.m_Slots)) {
    std::optional<PendingRequest> Next = m_Queue.pop();
    if (!Next)
      return;
    if (Next->m_Deadline <= Now)
      finish(*Next,
             makeReply(wire::Outcome::NOT_RUN, "deadline passed in the queue"),
             Now, Out);
    else
      start(std::move(*Next), Now, Out);
  }
}

void RequestSlots::flushQueue(std::string_view Reason, Duration RetryAfter,
                              TimePoint Now, ActionList &Out) {
  for (PendingRequest &Request : m_Queue.takeAll()) {
    wire::ExecuteReply Reply = makeReply(wire::Outcome::NOT_RUN, Reason);
    Reply.retryAfterMs = millisOf(RetryAfter);
    finish(Request, std::move(Reply), Now, Out);
  }
}

void RequestSlots::finish(const PendingRequest &Request,
                          wire::ExecuteReply Reply, TimePoint Now,
                          ActionList &Out) {
  const TimePoint LeftQueueAt = Request.m_StartedAt.value_or(Now);
  Reply.queuedUs = (LeftQueueAt - Request.m_ArrivedAt).count();
  Reply.serviceUs = (Now - LeftQueueAt).count();
  if (hasClaim(Request.m_Request)) {
    const ClaimKey Key = claimKey(Request.m_Request);
    m_Claims.close(Key, StoredOutcome{Reply.outcome, Reply.httpStatus,
                                      Reply.contentType, Reply.body});
    const auto Waiting = m_Waiters.extract(Key);
    if (!Waiting.empty())
      for (const Waiter &Caller : Waiting.mapped())
        reply(Caller.m_Call, Reply, Out);
  }
  reply(Request.m_Call, std::move(Reply), Out);
}

void RequestSlots::answered(MinionAnswered Answer, TimePoint Now,
                            ActionList &Out) {
  auto Found = m_Running.extract(Answer.m_Exchange);
  if (Found.empty())
    return;
  m_Health.connected();
  wire::ExecuteReply Reply = makeReply(wire::Outcome::COMPLETED, "");
  Reply.httpStatus = Answer.m_HttpStatus;
  Reply.contentType = std::move(Answer.m_ContentType);
  Reply.body = std::move(Answer.m_Body);
  finish(Found.mapped(), std::move(Reply), Now, Out);
}

void RequestSlots::failed(const MinionFailed &Failure, TimePoint Now,
                          ActionList &Out) {
  auto Found = m_Running.extract(Failure.m_Exchange);
  if (Found.empty())
    return;
  if (Failure.m_ConnectFailed && m_Health.connectFailed(Now))
    Out.push_back(
        LogNote{"minion refuses connections; requests are refused as not run"});
  const wire::Outcome::type Outcome =
      Failure.m_AnyByteSent ? wire::Outcome::UNKNOWN : wire::Outcome::NOT_RUN;
  Out.push_back(
      LogNote{absl::StrCat("exchange with the minion failed request=",
                           Found.mapped().m_Request.requestId,
                           " sent=", Failure.m_AnyByteSent ? "yes" : "no",
                           " reason=", Failure.m_Reason)});
  finish(Found.mapped(), makeReply(Outcome, Failure.m_Reason), Now, Out);
}

void RequestSlots::probed(const MinionProbed &Probe, TimePoint Now,
                          ActionList &Out) {
  if (m_Health.probed(Probe.m_Reachable, Now))
    Out.push_back(LogNote{Probe.m_Reachable ? "minion accepts connections"
                                            : "minion refuses connections"});
}

void RequestSlots::tick(TimePoint Now, ActionList &Out) {
  for (PendingRequest &Request : m_Queue.takeExpired(Now))
    finish(Request,
           makeReply(wire::Outcome::NOT_RUN, "deadline passed in the queue"),
           Now, Out);
  expireCallers(Now, Out);
  expireWaiters(Now, Out);
  abandonHung(Now, Out);
  if (m_Health.takeProbe(Now))
    Out.push_back(ProbeMinion{});
}

void RequestSlots::expireCallers(TimePoint Now, ActionList &Out) {
  for (auto &[Exchange, Request] : m_Running) {
    if (Request.m_Call.value() == 0 || Now < Request.m_Deadline)
      continue;
    // Only the caller is answered. The slot and the claim stay in use until the
    // minion has finished.
    reply(Request.m_Call,
          makeReply(wire::Outcome::UNKNOWN,
                    "deadline passed while the minion was working"),
          Out);
    Request.m_Call = CallId();
  }
}

void RequestSlots::expireWaiters(TimePoint Now, ActionList &Out) {
  for (auto &[Key, Waiters] : m_Waiters) {
    for (const Waiter &Caller : Waiters)
      if (Caller.m_Deadline <= Now)
        reply(Caller.m_Call,
              makeReply(wire::Outcome::UNKNOWN,
                        "deadline passed while the claim was open"),
              Out);
    std::erase_if(Waiters, [Now](const Waiter &Caller) {
      return Caller.m_Deadline <= Now;
    });
  }
}

void RequestSlots::abandonHung(TimePoint Now, ActionList &Out) {
  for (auto Next = m_Running.begin(); Next != m_Running.end();) {
    const auto Current = Next++;
    if (Now < Current->second.m_Deadline + m_Options.m_HungSlotLimit)
      continue;
    Out.push_back(AbandonExchange{Current->first});
    Out.push_back(
        LogNote{absl::StrCat("abandoned an exchange without an answer request=",
                             Current->second.m_Request.requestId)});
    PendingRequest Request = std::move(Current->second);
    m_Running.erase(Current);
    finish(Request, makeReply(wire::Outcome::UNKNOWN, "minion did not answer"),
           Now, Out);
  }
}

void RequestSlots::cutOff(TimePoint Now, ActionList &Out,
                          std::vector<std::string> &Cut) {
  flushQueue("agent is leaving", Duration(0), Now, Out);
  while (!m_Running.empty()) {
    auto Node = m_Running.extract(m_Running.begin());
    Cut.push_back(absl::StrCat("request=", Node.mapped().m_Request.requestId));
    Out.push_back(AbandonExchange{Node.key()});
    finish(Node.mapped(),
           makeReply(wire::Outcome::UNKNOWN,
                     "cut off by the shutdown of the agent"),
           Now, Out);
  }
}

} // namespace anvil::agent::internal
