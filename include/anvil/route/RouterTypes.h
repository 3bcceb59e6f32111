#ifndef ANVIL_ROUTE_ROUTERTYPES_H
#define ANVIL_ROUTE_ROUTERTYPES_H

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "anvil/base/Ids.h"
#include "anvil/base/Time.h"
#include "anvil_types.h"

namespace anvil::route {

using RequestId = NumericId<struct RequestTag>;
using AttemptId = NumericId<struct AttemptTag>;
using ClaimCallId = NumericId<struct ClaimCallTag>;

/// Bounds and periods of a Router.
struct RouterOptions {
  /// Names this start of the entry; two starts must differ, because claims are
  /// matched to their owner by it.
  std::string m_Entry;
  AvailabilityZoneId m_Zone;
  size_t m_MaxRequests = 4096;   ///< Requests waiting, claiming or running.
  size_t m_MaxBytes = 64u << 20; ///< Bodies of those requests.
  size_t m_DefaultQueueLimit =
      64; ///< For a class without a queue limit of its own.
  Duration m_DefaultDeadline =
      std::chrono::seconds(30); ///< For a class without a deadline.
  Duration m_AnswerGrace = std::chrono::milliseconds(
      200); ///< For an agent's own answer at the deadline to arrive.
  Duration m_FreshLimit = std::chrono::milliseconds(
      2500); ///< Without a fresh read for this long, nothing is routed.
  Duration m_AgeStep = std::chrono::seconds(
      5); ///< Waiting this long raises a request by one urgency.
  int m_MaxAttempts = 3;
  double m_RetryShare = 0.1;  ///< Retries allowed per recent request.
  double m_RetryConstant = 3; ///< Retries allowed besides, within the window.
  Duration m_RetryWindow = std::chrono::seconds(10);
  Duration m_ClaimPollMin = std::chrono::milliseconds(
      100); ///< First delay before a held claim is asked for again.
  Duration m_ClaimPollMax = std::chrono::seconds(1);
  double m_ClaimPollsPerSecond = 100; ///< Over all requests of this entry.
  Duration m_ClaimTimeout = std::chrono::seconds(2);
  Duration m_PenaltyHalfLife = std::chrono::seconds(2);
  Duration m_HintLife = std::chrono::milliseconds(
      500); ///< The load that an agent reported counts less until then.
  /// Returns a number in [0, 1). Required.
  std::function<double()> m_Random;
};

/// The full routing table of control.
struct RoutesChanged {
  std::vector<wire::RouteTarget> m_Routes;
};

/// The services, classes and workspaces in force.
struct ConfigChanged {
  std::vector<wire::ServiceConfig> m_Services;
  std::vector<std::string> m_Workspaces;
};

/// A replica with a fresh linearizable read answered a sync that was sent at
/// m_AskedAt.
struct FreshRead {
  TimePoint m_AskedAt;
};

/// A caller sent a request for a service.
struct RequestArrived {
  RequestId m_Id;
  std::string m_Service;
  std::string m_Workspace;
  std::string m_Class; ///< Empty: the only class of the service, or the one
                       ///< named "default".
  std::string m_Key;   ///< Idempotency key; empty if there is none.
  std::optional<Duration> m_Timeout; ///< The caller's own limit.
  std::string m_Method;
  std::string m_Path;
  std::string m_ContentType;
  std::string m_Body;
  std::string m_TraceId;
};

/// Why a call has no answer.
enum class SendFailure {
  NotSent, ///< No byte of it left this process.
  NoAnswer ///< It may have reached the peer.
};

/// A dispatched attempt ended.
struct AttemptEnded {
  AttemptId m_Attempt;
  std::variant<wire::ExecuteReply, SendFailure> m_Result;
};

/// A call to open a claim ended.
struct ClaimAnswered {
  ClaimCallId m_Call;
  std::variant<wire::CommandResult, SendFailure> m_Result;
};

/// Time has passed; sent every few milliseconds.
struct Tick {};

/// New requests are refused from now on.
struct ShutdownStarted {};

using RouterEvent =
    std::variant<RoutesChanged, ConfigChanged, FreshRead, RequestArrived,
                 AttemptEnded, ClaimAnswered, Tick, ShutdownStarted>;

/// Why a request was refused. Every refusal means that the request did not run.
enum class RefusalReason {
  UnknownService,
  UnknownWorkspace,
  UnknownClass,
  KeyRequired,
  KeyInvalid,
  KeyConflict, ///< The idempotency key belongs to a different request.
  ShuttingDown,
  ControlSilent, ///< No fresh read of the replicated state.
  EntryFull,
  QueueFull,
  NoTarget,
  DeadlinePassed, ///< Waited in the queue until its deadline.
  TargetsBusy,    ///< Agents refused it and no retry was left.
  NotSent,        ///< No agent could be reached and no retry was left.
  ClaimsFull,
  ClaimRefused
};
inline constexpr size_t RefusalReasonCount = 16;

/// What a caller is told about a reason.
struct RefusalText {
  RefusalReason m_Reason;
  int m_Status;
  std::string_view m_Code;
  std::string_view m_Message;
  std::string_view m_Field; ///< The offending field of bad input.
};

/// Returns the HTTP status, code and sentence of \p Reason.
const RefusalText &refusalText(RefusalReason Reason);

/// Ask control to commit a claim; the answer comes back as ClaimAnswered.
struct OpenClaimAction {
  ClaimCallId m_Call;
  wire::OpenClaim m_Claim;
  Duration m_Timeout{0};
  std::string m_TraceId;
};

/// Tell control that the request of a claim did not run; repeated by the shell
/// until it is committed.
struct CloseClaimAction {
  wire::CloseClaim m_Claim;
  std::string m_TraceId;
};

/// Send a request to an agent; the result comes back as AttemptEnded.
struct DispatchAction {
  AttemptId m_Attempt;
  RequestId m_Id;
  std::string m_Vm;
  std::string m_AgentAddress;
  wire::ExecuteRequest m_Request;
  Duration m_Timeout{
      0}; ///< For the call; a little longer than the agent's own limit.
  Duration m_Waited{0}; ///< Since the request arrived.
};

/// Give the caller a response. The outcome is completed or unknown.
struct AnswerAction {
  RequestId m_Id;
  wire::Outcome::type m_Outcome = wire::Outcome::UNKNOWN;
  int m_Status = 0;
  std::string m_ContentType;
  std::string m_Body;
  std::string m_Reason;    ///< Why the outcome is unknown; empty if completed.
  bool m_Replayed = false; ///< The response was stored with a claim.
};

/// Refuse a request that did not run.
struct RefuseAction {
  RequestId m_Id;
  RefusalReason m_Reason = RefusalReason::QueueFull;
  std::string m_Detail; ///< What an agent or control said; may be empty.
  std::optional<Duration> m_RetryAfter; ///< Set if trying again later can help.
};

using RouterAction = std::variant<OpenClaimAction, CloseClaimAction,
                                  DispatchAction, AnswerAction, RefuseAction>;

/// Counts since the start, and the current use of a Router.
struct RouterCounters {
  int64_t m_Requests = 0;
  int64_t m_Completed = 0;
  int64_t m_Unknown = 0;
  std::array<int64_t, RefusalReasonCount> m_Refused{};
  int64_t m_Attempts = 0;
  int64_t m_Retries = 0;
  int64_t m_RetriesDenied = 0; ///< By the retry budget.
  int64_t m_LateAnswers =
      0; ///< Dropped, because their request was no longer waiting.
  int64_t m_LateClaims =
      0; ///< Granted after their request had gone; closed again.
  int64_t m_ClaimPolls = 0;
  int64_t m_HoldersAsked = 0; ///< Attempts sent to the agent that holds the
                              ///< claim of another attempt.
  int64_t m_ClaimPollsDelayed = 0; ///< By the bound on their rate.
  size_t m_InProgress = 0;
  size_t m_Queued = 0;
  size_t m_Bytes = 0;
};

} // namespace anvil::route

#endif // ANVIL_ROUTE_ROUTERTYPES_H
