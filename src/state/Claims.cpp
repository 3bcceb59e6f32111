#include "StateData.h"

#include "absl/strings/str_cat.h"

namespace anvil::state::internal {

namespace {

constexpr size_t MaxClaimIdBytes = 512;
constexpr size_t MaxFieldBytes = 128;
constexpr size_t MaxContentTypeBytes = 256;

std::optional<wire::CommandResult> checkFields(const wire::OpenClaim &Command) {
  if (Command.claimId.empty() || Command.claimId.size() > MaxClaimIdBytes)
    return invalid("claimId", "the claim id must have 1 to 512 bytes");
  if (Command.requestDigest.size() > MaxFieldBytes)
    return invalid("requestDigest",
                   "the request digest has more than 128 bytes");
  if (Command.entry.size() > MaxFieldBytes ||
      Command.attemptId.size() > MaxFieldBytes)
    return invalid(Command.entry.size() > MaxFieldBytes ? "entry" : "attemptId",
                   "more than 128 bytes");
  return std::nullopt;
}

wire::CommandResult granted(const record::Claim &Claim) {
  wire::CommandResult Result = okResult("granted");
  Result.claimState = wire::ClaimState::GRANTED;
  Result.claimToken = Claim.token;
  return Result;
}

// The attempt that holds the claim gets the same grant again when it resends
// its request. That is safe because the agent runs each token only once.
bool isResend(const record::Claim &Claim, const wire::OpenClaim &Command) {
  return Claim.open && !Command.attemptId.empty() &&
         Claim.attemptId == Command.attemptId && Claim.entry == Command.entry &&
         Claim.vm == Command.vm && Claim.incarnation == Command.incarnation;
}

wire::CommandResult answerExisting(record::Claim &Claim,
                                   const wire::OpenClaim &Command) {
  if (Claim.requestDigest != Command.requestDigest)
    return invalid("requestDigest",
                   "the idempotency key was already used for another request");
  if (isResend(Claim, Command))
    return granted(Claim);
  Claim.tokenShared = Claim.tokenShared || Claim.open;
  return describeClaim(Claim);
}

bool atLimit(const StateData &Data, int64_t AddedBytes) {
  const config::Limits &Limits = Data.limits();
  return static_cast<int64_t>(Data.m_Claims.size()) >= Limits.m_Claims ||
         Data.m_ClaimBytes + AddedBytes > Limits.m_ClaimMib << 20;
}

wire::CommandResult checkClose(const record::Claim &Claim,
                               const wire::CloseClaim &Command) {
  if (Claim.token != Command.outcome.token)
    return refused(absl::StrCat("token ", Command.outcome.token,
                                " is not the current one"));
  if (Claim.vm != Command.vm || Claim.incarnation != Command.incarnation)
    return refused("the claim belongs to another VM or incarnation");
  if (Command.neverSent && Claim.open && Claim.tokenShared)
    return refused("another attempt knows the token and may have sent it");
  return okResult();
}

void storeOutcome(ApplyContext &Ctx, record::Claim &Claim,
                  wire::ClaimOutcome Outcome) {
  StateData &Data = Ctx.m_Data;
  Data.m_ClaimBytes -= bytesOf(Claim);
  if (Claim.open) {
    Data.findTarget(Claim.vm)->m_OpenClaims.erase(Claim.claimId);
  } else {
    Data.m_ClosedClaimsByTime.erase({Claim.closedAtUs, &Claim.claimId});
  }
  Claim.open = false;
  Claim.closedAtUs = Ctx.m_NowUs;
  Claim.outcome = std::move(Outcome);
  Data.m_ClosedClaimsByTime.insert({Claim.closedAtUs, &Claim.claimId});
  Data.m_ClaimBytes += bytesOf(Claim);
  Ctx.emit(ClaimChanged{Claim.claimId, false});
}

void removeClaim(StateData &Data,
                 std::map<std::string, record::Claim>::iterator Found) {
  const record::Claim &Claim = Found->second;
  Data.m_ClaimBytes -= bytesOf(Claim);
  if (Claim.open) {
    Data.findTarget(Claim.vm)->m_OpenClaims.erase(Claim.claimId);
  } else {
    Data.m_ClosedClaimsByTime.erase({Claim.closedAtUs, &Claim.claimId});
  }
  Data.m_Claims.erase(Found);
}

// Removes fields that are too large to store: a body above its limit or the
// free claim memory, and a long content type. The outcome itself is never
// dropped.
wire::ClaimOutcome withoutLargeFields(const StateData &Data,
                                      const wire::ClaimOutcome &Outcome) {
  wire::ClaimOutcome Stored = Outcome;
  const int64_t FreeBytes =
      (Data.limits().m_ClaimMib << 20) - Data.m_ClaimBytes;
  if (Stored.body.size() > MaxResponseBytes ||
      static_cast<int64_t>(Stored.body.size()) > FreeBytes)
    Stored.body = {};
  if (Stored.contentType.size() > MaxContentTypeBytes)
    Stored.contentType = {};
  return Stored;
}

wire::CommandResult closeClaim(ApplyContext &Ctx, record::Claim &Claim,
                               const wire::ClaimOutcome &Outcome) {
  const wire::ClaimOutcome Stored = withoutLargeFields(Ctx.m_Data, Outcome);
  const bool BodyDropped = Stored.body.size() != Outcome.body.size();
  storeOutcome(Ctx, Claim, Stored);
  wire::CommandResult Result = describeClaim(Claim);
  if (BodyDropped)
    Result.message = "closed; the response was too large to store";
  return Result;
}

wire::CommandResult closeClosedClaim(ApplyContext &Ctx, record::Claim &Claim,
                                     const wire::ClaimOutcome &Outcome) {
  const bool WasUnknown = Claim.outcome.outcome == wire::Outcome::UNKNOWN;
  if (WasUnknown && Outcome.outcome == wire::Outcome::COMPLETED)
    return closeClaim(Ctx, Claim, Outcome);
  wire::CommandResult Result = describeClaim(Claim);
  if (Claim.outcome.outcome != Outcome.outcome) {
    Result.status = wire::CommandStatus::REFUSED;
    Result.message = WasUnknown ? "the outcome was already reported as unknown"
                                : "a completed claim never changes";
  }
  return Result;
}

} // namespace

wire::CommandResult describeClaim(const record::Claim &Claim) {
  wire::CommandResult Result =
      okResult(Claim.open ? "held by another attempt" : "closed");
  Result.claimState =
      Claim.open ? wire::ClaimState::HELD : wire::ClaimState::CLOSED;
  Result.claimToken = Claim.token;
  if (Claim.open) {
    Result.claimVm = Claim.vm;
    Result.claimIncarnation = Claim.incarnation;
  } else {
    Result.claimOutcome = Claim.outcome;
  }
  return Result;
}

wire::CommandResult applyOpenClaim(ApplyContext &Ctx,
                                   const wire::OpenClaim &Command) {
  StateData &Data = Ctx.m_Data;
  if (std::optional<wire::CommandResult> Refusal = checkFields(Command))
    return *Refusal;
  if (const auto Found = Data.m_Claims.find(Command.claimId);
      Found != Data.m_Claims.end())
    return answerExisting(Found->second, Command);
  Target *Holder = Data.findTarget(Command.vm);
  if (Holder == nullptr ||
      Holder->m_Record.info.incarnation != Command.incarnation)
    return refused(absl::StrCat("VM ", Command.vm,
                                " is unknown or has another incarnation"));
  if (!Data.usable(*Holder))
    return refused(absl::StrCat("VM ", Command.vm, " takes no new requests"));
  record::Claim Claim;
  Claim.claimId = Command.claimId;
  Claim.requestDigest = Command.requestDigest;
  Claim.vm = Command.vm;
  Claim.incarnation = Command.incarnation;
  Claim.entry = Command.entry;
  Claim.attemptId = Command.attemptId;
  Claim.token = Ctx.m_Index;
  Claim.open = true;
  if (atLimit(Data, bytesOf(Claim))) {
    ++Data.m_Totals.claimsRefusedByLimit;
    return makeResult(
        wire::CommandStatus::LIMIT,
        "the bound on claims is reached; the request was not run");
  }
  Data.m_ClaimBytes += bytesOf(Claim);
  Holder->m_OpenClaims.insert(Command.claimId);
  Ctx.emit(ClaimChanged{Command.claimId, true});
  return granted(
      Data.m_Claims.emplace(Command.claimId, std::move(Claim)).first->second);
}

wire::CommandResult applyCloseClaim(ApplyContext &Ctx,
                                    const wire::CloseClaim &Command) {
  const wire::ClaimOutcome &Outcome = Command.outcome;
  const auto Found = Ctx.m_Data.m_Claims.find(Outcome.claimId);
  if (Found == Ctx.m_Data.m_Claims.end())
    return notFound(absl::StrCat("claim ", Outcome.claimId, " is unknown"));
  if (Outcome.outcome < wire::Outcome::COMPLETED ||
      Outcome.outcome > wire::Outcome::UNKNOWN)
    return invalid("outcome", "the outcome is unknown to this version");
  record::Claim &Claim = Found->second;
  if (wire::CommandResult Refusal = checkClose(Claim, Command);
      Refusal.status != wire::CommandStatus::OK)
    return Refusal;
  if (!Claim.open)
    return closeClosedClaim(Ctx, Claim, Outcome);
  if (Outcome.outcome != wire::Outcome::NOT_RUN)
    return closeClaim(Ctx, Claim, Outcome);
  removeClaim(Ctx.m_Data, Found);
  Ctx.emit(ClaimChanged{Outcome.claimId, false});
  return okResult("freed");
}

wire::CommandResult applyExpireClaims(ApplyContext &Ctx,
                                      const wire::ExpireClaims &Command) {
  StateData &Data = Ctx.m_Data;
  size_t Removed = 0;
  while (!Data.m_ClosedClaimsByTime.empty() &&
         Data.m_ClosedClaimsByTime.begin()->m_ClosedAtUs <
             Command.closedBeforeUs &&
         Removed < MaxExpiredClaimsPerCommand) {
    removeClaim(Data, Data.m_Claims.find(
                          *Data.m_ClosedClaimsByTime.begin()->m_ClaimId));
    ++Removed;
  }
  const bool More =
      !Data.m_ClosedClaimsByTime.empty() &&
      Data.m_ClosedClaimsByTime.begin()->m_ClosedAtUs < Command.closedBeforeUs;
  return okResult(absl::StrCat("removed ", Removed, " claims",
                               More ? "; more are left" : ""));
}

void closeClaimsOf(ApplyContext &Ctx, Target &LostTarget) {
  const std::set<std::string> Open = std::move(LostTarget.m_OpenClaims);
  LostTarget.m_OpenClaims.clear();
  for (const std::string &ClaimId : Open) {
    record::Claim &Claim = Ctx.m_Data.m_Claims.find(ClaimId)->second;
    wire::ClaimOutcome Unknown;
    Unknown.claimId = ClaimId;
    Unknown.token = Claim.token;
    Unknown.outcome = wire::Outcome::UNKNOWN;
    storeOutcome(Ctx, Claim, Unknown);
  }
}

} // namespace anvil::state::internal
