#include <algorithm>

#include "absl/strings/str_cat.h"
#include <xxhash.h>

#include "RouterImpl.h"

namespace anvil::route {

using internal::Phase;

namespace {

// A claim whose request has gone is asked for again at this period, to close
// it, until it is given up.
constexpr Duration OrphanPeriod = std::chrono::seconds(1);
constexpr Duration OrphanLimit = std::chrono::seconds(30);
constexpr size_t MaxOrphans = 1024;
// Calls of one request after which a refusal of its claim is final.
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

void Router::Impl::openClaim(Request &Each) {
  // A call whose answer was lost is repeated unchanged, so that control
  // recognises its own grant.
  if (!Each.m_RepeatClaim) {
    wire::OpenClaim &Claim = Each.m_LastClaim;
    Claim.claimId = Each.m_ClaimId;
    // Without room anywhere the claim is asked for in the name of the last
    // target, since its outcome may be known. A grant is then given back.
    if (Each.m_Target) {
      Claim.vm = Each.m_Target->m_Route.vm;
      Claim.incarnation = Each.m_Target->m_Route.incarnation;
    }
    Claim.requestDigest = Each.m_Digest;
    Claim.entry = m_Options.m_Entry;
    Claim.attemptId =
        absl::StrCat(Each.m_Call.m_Id.value(), "/", ++Each.m_ClaimCalls);
  }
  const ClaimCallId Id(m_NextClaimCall++);
  m_ClaimCalls[Id.value()] = {Each.m_Call.m_Id, Each.m_LastClaim,
                              Each.m_Call.m_TraceId, Each.m_RepeatClaim,
                              TimePoint{}};
  const Duration Timeout =
      std::min(m_Options.m_ClaimTimeout, Duration(Each.m_Deadline - m_Now));
  m_Actions.emplace_back(
      OpenClaimAction{Id, Each.m_LastClaim, Timeout, Each.m_Call.m_TraceId});
  setPhase(Each, Phase::Claiming, Each.m_Deadline);
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
  pump(ServiceName);
}

void Router::Impl::onClaim(Request &Each, wire::CommandResult Result) {
  Each.m_RepeatClaim = false;
  switch (Result.status) {
  case wire::CommandStatus::OK:
    break;
  case wire::CommandStatus::CONFLICT:
    return giveUp(Each, RefusalReason::KeyConflict, Result.message,
                  std::nullopt);
  case wire::CommandStatus::LIMIT:
    return giveUp(Each, RefusalReason::ClaimsFull, Result.message,
                  spreadRetryAfter(Duration(0)));
  case wire::CommandStatus::INVALID:
    return giveUp(Each,
                  Result.field == "requestDigest" ? RefusalReason::KeyConflict
                                                  : RefusalReason::KeyInvalid,
                  Result.message, std::nullopt);
  default:
    return onClaimRefused(Each, Result.message);
  }
  switch (Result.claimState) {
  case wire::ClaimState::GRANTED:
    return onGranted(Each, Result);
  case wire::ClaimState::HELD:
    Each.m_MayHaveRun = true;
    return askHolder(Each, Result);
  case wire::ClaimState::CLOSED:
    return onClosed(Each, std::move(Result.claimOutcome));
  }
  giveUp(Each, RefusalReason::ClaimRefused,
         "control answered without a claim state", std::nullopt);
}

// Control refuses a claim in the name of a target that has left or restarted,
// which the routing table shows soon.
void Router::Impl::onClaimRefused(Request &Each, std::string_view Message) {
  if (Each.m_ClaimCalls >= MaxClaimCallsRefused)
    return giveUp(Each, RefusalReason::ClaimRefused, Message,
                  spreadRetryAfter(Duration(0)));
  if (Each.m_Target)
    Each.m_Tried.insert(Each.m_Target->m_Route.vm);
  waitForClaim(Each);
}

void Router::Impl::onGranted(Request &Each, const wire::CommandResult &Result) {
  // A free claim proves that no earlier holder ran the request.
  Each.m_MayHaveRun = false;
  Each.m_TokenShared = false;
  Each.m_ClaimToken = Result.claimToken;
  // A request that goes back to the queue takes from the retry budget there;
  // one whose answer was lost does so here.
  const bool Allowed =
      !std::exchange(Each.m_AnswerLost, false) || mayRetry(Each);
  const bool Usable =
      Each.m_Target && internal::TargetTable::usable(*Each.m_Target) && fresh();
  if (Allowed && Usable && m_Now < Each.m_Deadline)
    return dispatch(Each);
  closeClaimNotRun(Each.m_LastClaim, Result.claimToken, Each.m_Call.m_TraceId,
                   NotRunProof::NeverSent);
  releaseTarget(Each);
  if (Allowed)
    return enqueue(Each);
  giveUp(Each, RefusalReason::TargetsBusy, "", spreadRetryAfter(Duration(0)));
}

// The agent that holds the claim runs a token at most once: it returns the
// stored response, lets this attempt wait for the one in progress, or runs the
// request if the entry that was granted the claim died before it sent the
// request.
void Router::Impl::askHolder(Request &Each, const wire::CommandResult &Result) {
  const internal::TargetPtr Holder = m_Targets.find(
      Each.m_Call.m_Service, Result.claimVm, Result.claimIncarnation);
  if (!Holder || !internal::TargetTable::usable(*Holder) || !fresh() ||
      m_Now >= Each.m_Deadline)
    return waitForClaim(Each);
  releaseTarget(Each);
  Each.m_Target = Holder;
  ++Holder->m_Outstanding;
  Each.m_ClaimToken = Result.claimToken;
  Each.m_TokenShared = true;
  Each.m_LastClaim.vm = Result.claimVm;
  Each.m_LastClaim.incarnation = Result.claimIncarnation;
  ++m_Counters.m_HoldersAsked;
  dispatch(Each);
}

void Router::Impl::onClosed(Request &Each, wire::ClaimOutcome Stored) {
  if (Stored.outcome == wire::Outcome::NOT_RUN)
    return waitForClaim(Each);
  if (Stored.outcome != wire::Outcome::COMPLETED)
    return answerUnknown(
        Each, "the outcome of an earlier request with this key is unknown");
  AnswerAction Answer;
  Answer.m_Outcome = wire::Outcome::COMPLETED;
  Answer.m_Status = Stored.httpStatus;
  Answer.m_ContentType = std::move(Stored.contentType);
  Answer.m_Body = std::move(Stored.body);
  Answer.m_Replayed = true;
  answer(Each, std::move(Answer));
}

void Router::Impl::onClaimLost(Request &Each, SendFailure Failure) {
  // A repetition that was not sent does not undo that an earlier call may have
  // been granted.
  Each.m_RepeatClaim = Each.m_RepeatClaim || Failure == SendFailure::NoAnswer;
  waitForClaim(Each);
}

void Router::Impl::waitForClaim(Request &Each) {
  // A repeated call names the same target, so its place stays reserved.
  if (!Each.m_RepeatClaim)
    releaseTarget(Each);
  const Duration Next = Each.m_PollDelay * 2;
  Each.m_PollDelay =
      std::clamp(Next, m_Options.m_ClaimPollMin, m_Options.m_ClaimPollMax);
  const auto Jitter =
      static_cast<int64_t>(m_Options.m_Random() * 0.25 *
                           static_cast<double>(Each.m_PollDelay.count()));
  Each.m_PollAt = m_Now + Each.m_PollDelay + Duration(Jitter);
  setPhase(Each, Phase::ClaimWait, std::min(Each.m_PollAt, Each.m_Deadline));
}

void Router::Impl::pollClaim(Request &Each) {
  if (!m_PollRate.take(m_Now)) {
    ++m_Counters.m_ClaimPollsDelayed;
    return setPhase(
        Each, Phase::ClaimWait,
        std::min(m_Now + m_Options.m_ClaimPollMin, Each.m_Deadline));
  }
  ++m_Counters.m_ClaimPolls;
  if (!Each.m_Target) {
    Each.m_Target =
        m_Targets.choose(Each.m_Call.m_Service, Each.m_Tried, m_Now);
    if (Each.m_Target)
      ++Each.m_Target->m_Outstanding;
  }
  openClaim(Each);
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
  keepOrphan(std::move(Call));
}

// The claim may be open without anyone to run it; asking again tells its token,
// with which it is closed.
void Router::Impl::keepOrphan(internal::ClaimCall Call) {
  Call.m_MayBeOpen = true;
  if (Call.m_GiveUpAt == TimePoint{})
    Call.m_GiveUpAt = m_Now + OrphanLimit;
  if (m_Now >= Call.m_GiveUpAt || m_Orphans.size() >= MaxOrphans)
    return;
  const int64_t Id = m_NextClaimCall++;
  m_Orphans.emplace(m_Now + OrphanPeriod, Id);
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
