#include <algorithm>

#include "absl/strings/str_cat.h"
#include <xxhash.h>

#include "RouterImpl.h"

namespace anvil::route {

using internal::Phase;

namespace {

// A claim whose request has ended is requested again at this interval to learn
// its token and close it, until the timeout.
constexpr Duration OrphanRetryInterval = std::chrono::seconds(1);
constexpr Duration OrphanTimeout = std::chrono::seconds(30);
constexpr size_t MaxOrphanedClaims = 1024;
// Claim calls of one request after which a refusal is final.
constexpr int MaxClaimCallsRefused = 5;

void hashPart(XXH3_state_t &State, const std::string &Part) {
  const uint64_t Size = Part.size();
  XXH3_128bits_update(&State, &Size, sizeof(Size));
  XXH3_128bits_update(&State, Part.data(), Part.size());
}

} // namespace

std::string requestDigest(const RequestArrived &Request) {
  const std::unique_ptr<XXH3_state_t, XXH_errorcode (*)(XXH3_state_t *)> State(
      XXH3_createState(), XXH3_freeState);
  XXH3_128bits_reset(State.get());
  for (const std::string *Part : {&Request.m_Method, &Request.m_Path,
                                  &Request.m_ContentType, &Request.m_Body})
    hashPart(*State, *Part);
  const XXH128_hash_t Hash = XXH3_128bits_digest(State.get());
  return absl::StrCat(absl::Hex(Hash.high64, absl::kZeroPad16),
                      absl::Hex(Hash.low64, absl::kZeroPad16));
}

void Router::Impl::openClaim(Request &Request) {
  // A call whose answer was lost is repeated unchanged, so that control
  // recognizes that it granted this claim.
  if (!Request.m_RepeatClaim) {
    wire::OpenClaim &Claim = Request.m_LastClaim;
    Claim.claimId = Request.m_ClaimId;
    // If no target has free capacity, the claim is requested for the last
    // target, since its outcome may be known. A grant is then closed again.
    if (Request.m_Target) {
      Claim.vm = Request.m_Target->m_Route.vm;
      Claim.incarnation = Request.m_Target->m_Route.incarnation;
    }
    Claim.requestDigest = Request.m_Digest;
    Claim.entry = m_Options.m_Entry;
    Claim.attemptId =
        absl::StrCat(Request.m_Call.m_Id.value(), "/", ++Request.m_ClaimCalls);
  }
  const ClaimCallId Id(m_NextClaimCall++);
  m_ClaimCalls[Id.value()] = {Request.m_Call.m_Id, Request.m_LastClaim,
                              Request.m_Call.m_TraceId, Request.m_RepeatClaim,
                              TimePoint{}};
  const Duration Timeout =
      std::min(m_Options.m_ClaimTimeout, Duration(Request.m_Deadline - m_Now));
  m_Actions.emplace_back(OpenClaimAction{Id, Request.m_LastClaim, Timeout,
                                         Request.m_Call.m_TraceId});
  setPhase(Request, Phase::Claiming, Request.m_Deadline);
}

void Router::Impl::on(ClaimAnswered Event) {
  const auto Found = m_ClaimCalls.find(Event.m_Call.value());
  if (Found == m_ClaimCalls.end())
    return;
  internal::ClaimCall Call = std::move(Found->second);
  m_ClaimCalls.erase(Found);
  const auto Waiting = m_Requests.find(Call.m_Id.value());
  if (Waiting == m_Requests.end())
    return onLateClaim(std::move(Call), Event);
  const std::string ServiceName = Waiting->second.m_Call.m_Service;
  if (auto *Result = std::get_if<wire::CommandResult>(&Event.m_Result))
    onClaim(Waiting->second, std::move(*Result));
  else
    onClaimLost(Waiting->second, std::get<SendFailure>(Event.m_Result));
  dispatchQueued(ServiceName);
}

void Router::Impl::onClaim(Request &Request, wire::CommandResult Result) {
  Request.m_RepeatClaim = false;
  switch (Result.status) {
  case wire::CommandStatus::OK:
    break;
  case wire::CommandStatus::CONFLICT:
    return giveUp(Request, RefusalReason::KeyConflict, Result.message,
                  std::nullopt);
  case wire::CommandStatus::LIMIT:
    return giveUp(Request, RefusalReason::ClaimsFull, Result.message,
                  spreadRetryAfter(Duration(0)));
  case wire::CommandStatus::INVALID:
    return giveUp(Request,
                  Result.field == "requestDigest" ? RefusalReason::KeyConflict
                                                  : RefusalReason::KeyInvalid,
                  Result.message, std::nullopt);
  default:
    return onClaimRefused(Request, Result.message);
  }
  switch (Result.claimState) {
  case wire::ClaimState::GRANTED:
    return onGranted(Request, Result);
  case wire::ClaimState::HELD:
    Request.m_MayHaveRun = true;
    return dispatchToHolder(Request, Result);
  case wire::ClaimState::CLOSED:
    return onClosed(Request, std::move(Result.claimOutcome));
  }
  giveUp(Request, RefusalReason::ClaimRefused,
         "control answered without a claim state", std::nullopt);
}

// Control refuses a claim for a target that has left or restarted. The next
// routing table shows the change.
void Router::Impl::onClaimRefused(Request &Request, std::string_view Message) {
  if (Request.m_ClaimCalls >= MaxClaimCallsRefused)
    return giveUp(Request, RefusalReason::ClaimRefused, Message,
                  spreadRetryAfter(Duration(0)));
  if (Request.m_Target)
    Request.m_TriedVms.insert(Request.m_Target->m_Route.vm);
  waitForClaim(Request);
}

void Router::Impl::onGranted(Request &Request,
                             const wire::CommandResult &Result) {
  // A free claim proves that no earlier holder ran the request.
  Request.m_MayHaveRun = false;
  Request.m_TokenShared = false;
  Request.m_ClaimToken = Result.claimToken;
  // A request that returns to the queue has already used the retry budget. One
  // whose answer was lost uses it here.
  const bool Allowed =
      !std::exchange(Request.m_AnswerLost, false) || mayRetry(Request);
  const bool Usable = Request.m_Target &&
                      internal::TargetTable::usable(*Request.m_Target) &&
                      hasFreshRead();
  if (Allowed && Usable && m_Now < Request.m_Deadline)
    return dispatch(Request);
  closeClaimNotRun(Request.m_LastClaim, Result.claimToken,
                   Request.m_Call.m_TraceId, NotRunProof::NeverSent);
  releaseTarget(Request);
  if (Allowed)
    return enqueue(Request);
  giveUp(Request, RefusalReason::TargetsBusy, "",
         spreadRetryAfter(Duration(0)));
}

// An agent runs a claim token at most once. It returns the stored response,
// lets this attempt wait for the one in progress, or runs the request if the
// entry that was granted the claim failed before it sent the request.
void Router::Impl::dispatchToHolder(Request &Request,
                                    const wire::CommandResult &Result) {
  const internal::TargetPtr Holder = m_Targets.find(
      Request.m_Call.m_Service, Result.claimVm, Result.claimIncarnation);
  if (!Holder || !internal::TargetTable::usable(*Holder) || !hasFreshRead() ||
      m_Now >= Request.m_Deadline)
    return waitForClaim(Request);
  releaseTarget(Request);
  Request.m_Target = Holder;
  ++Holder->m_Outstanding;
  Request.m_ClaimToken = Result.claimToken;
  Request.m_TokenShared = true;
  Request.m_LastClaim.vm = Result.claimVm;
  Request.m_LastClaim.incarnation = Result.claimIncarnation;
  ++m_Counters.m_HolderAttempts;
  dispatch(Request);
}

void Router::Impl::onClosed(Request &Request, wire::ClaimOutcome Stored) {
  if (Stored.outcome == wire::Outcome::NOT_RUN)
    return waitForClaim(Request);
  if (Stored.outcome != wire::Outcome::COMPLETED)
    return answerUnknown(
        Request, "the outcome of an earlier request with this key is unknown");
  AnswerAction Answer;
  Answer.m_Outcome = wire::Outcome::COMPLETED;
  Answer.m_Status = Stored.httpStatus;
  Answer.m_ContentType = std::move(Stored.contentType);
  Answer.m_Body = std::move(Stored.body);
  Answer.m_Replayed = true;
  answer(Request, std::move(Answer));
}

void Router::Impl::onClaimLost(Request &Request, SendFailure Failure) {
  // An earlier call may have been granted even if this repetition was not sent.
  Request.m_RepeatClaim =
      Request.m_RepeatClaim || Failure == SendFailure::NoAnswer;
  waitForClaim(Request);
}

void Router::Impl::waitForClaim(Request &Request) {
  // A repeated call names the same target, which therefore stays reserved.
  if (!Request.m_RepeatClaim)
    releaseTarget(Request);
  const Duration Next = Request.m_PollDelay * 2;
  Request.m_PollDelay =
      std::clamp(Next, m_Options.m_ClaimPollMin, m_Options.m_ClaimPollMax);
  const auto Jitter =
      static_cast<int64_t>(m_Options.m_Random() * 0.25 *
                           static_cast<double>(Request.m_PollDelay.count()));
  Request.m_PollAt = m_Now + Request.m_PollDelay + Duration(Jitter);
  setPhase(Request, Phase::ClaimWait,
           std::min(Request.m_PollAt, Request.m_Deadline));
}

void Router::Impl::pollClaim(Request &Request) {
  if (!m_PollRate.tryTake(m_Now)) {
    ++m_Counters.m_ClaimPollsDelayed;
    return setPhase(
        Request, Phase::ClaimWait,
        std::min(m_Now + m_Options.m_ClaimPollMin, Request.m_Deadline));
  }
  ++m_Counters.m_ClaimPolls;
  if (!Request.m_Target) {
    Request.m_Target =
        m_Targets.choose(Request.m_Call.m_Service, Request.m_TriedVms, m_Now);
    if (Request.m_Target)
      ++Request.m_Target->m_Outstanding;
  }
  openClaim(Request);
}

void Router::Impl::onLateClaim(internal::ClaimCall Call,
                               const ClaimAnswered &Event) {
  const auto *Result = std::get_if<wire::CommandResult>(&Event.m_Result);
  if (Result != nullptr) {
    if (Result->status != wire::CommandStatus::OK ||
        Result->claimState != wire::ClaimState::GRANTED)
      return;
    ++m_Counters.m_LateClaims;
    return closeClaimNotRun(Call.m_Claim, Result->claimToken, Call.m_TraceId,
                            NotRunProof::NeverSent);
  }
  if (std::get<SendFailure>(Event.m_Result) == SendFailure::NotSent &&
      !Call.m_MayBeOpen)
    return;
  keepOrphanedClaim(std::move(Call));
}

// The claim may be open although no attempt will run it. A repeated call
// returns the token that is needed to close it.
void Router::Impl::keepOrphanedClaim(internal::ClaimCall Call) {
  Call.m_MayBeOpen = true;
  if (Call.m_GiveUpAt == TimePoint{})
    Call.m_GiveUpAt = m_Now + OrphanTimeout;
  if (m_Now >= Call.m_GiveUpAt || m_OrphanedClaims.size() >= MaxOrphanedClaims)
    return;
  const int64_t Id = m_NextClaimCall++;
  m_OrphanedClaims.emplace(m_Now + OrphanRetryInterval, Id);
  m_ClaimCalls[Id] = std::move(Call);
}

void Router::Impl::closeClaimNotRun(const wire::OpenClaim &Claim, int64_t Token,
                                    std::string_view TraceId,
                                    NotRunProof Proof) {
  CloseClaimAction Action;
  Action.m_Claim.neverSent = Proof == NotRunProof::NeverSent;
  Action.m_Claim.outcome.claimId = Claim.claimId;
  Action.m_Claim.outcome.token = Token;
  Action.m_Claim.outcome.outcome = wire::Outcome::NOT_RUN;
  Action.m_Claim.vm = Claim.vm;
  Action.m_Claim.incarnation = Claim.incarnation;
  Action.m_TraceId = TraceId;
  m_Actions.emplace_back(std::move(Action));
}

} // namespace anvil::route
