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

/// Limits and intervals of a Router.
struct RouterOptions {
  /// Identifies this incarnation of the entry. Must be unique, because claims
  /// are matched to their owner by it.
  std::string m_Entry;
  AvailabilityZoneId m_Zone;
  size_t m_MaxRequests = 4096;   ///< Queued, claiming or running requests.
  size_t m_MaxBytes = 64u << 20; ///< Total body size of those requests.
  size_t m_DefaultQueueLimit =
      64; ///< For a class without a queue limit of its own.
  Duration m_DefaultDeadline =
      std::chrono::seconds(30); ///< For a class without a deadline.
  /// Time after the deadline for which the agent's reply is still awaited.
  Duration m_AnswerGrace = std::chrono::milliseconds(200);
  /// Maximum age of the last fresh read; nothing is routed beyond it.
  Duration m_MaxReadAge = std::chrono::milliseconds(2500);
  /// Queue time after which a request ranks like a new one of the next higher
  /// urgency.
  Duration m_AgingInterval = std::chrono::seconds(5);
  int m_MaxAttempts = 3;      ///< Of one request, including the first.
  double m_RetryShare = 0.1;  ///< Retries allowed per recent request.
  double m_RetryConstant = 3; ///< Further retries allowed per window.
  /// Time constant of the exponential decay of recent requests and retries.
  Duration m_RetryWindow = std::chrono::seconds(10);
  /// Delay before a held claim is first requested again; doubles with each
  /// poll.
  Duration m_ClaimPollMin = std::chrono::milliseconds(100);
  Duration m_ClaimPollMax = std::chrono::seconds(1);
  double m_ClaimPollsPerSecond = 100; ///< Total of this entry.
  Duration m_ClaimTimeout = std::chrono::seconds(2);
  Duration m_PenaltyHalfLife = std::chrono::seconds(2);
  /// Time in which the weight of an agent's load report decreases to 0.
  Duration m_LoadReportLifetime = std::chrono::milliseconds(500);
  /// Returns a number in [0, 1). Required.
  std::function<double()> m_Random;
};

/// Control published a new routing table, which replaces the previous one.
struct RoutesChanged {
  std::vector<wire::RouteTarget> m_Routes;
};

/// A new configuration took effect. It replaces the previous one.
struct ConfigChanged {
  std::vector<wire::ServiceConfig> m_Services;
  std::vector<std::string> m_Workspaces;
};

/// A control replica answered a sync, sent at m_AskedAt, from a fresh
/// linearizable read.
struct FreshRead {
  TimePoint m_AskedAt;
};

/// A caller sent a request to a service.
struct RequestArrived {
  RequestId m_Id;
  std::string m_Service;
  std::string m_Workspace;
  std::string m_Class; ///< Empty: the only class of the service, or the one
                       ///< named "default".
  std::string m_Key;   ///< Idempotency key; empty if there is none.
  std::optional<Duration> m_Timeout; ///< Requested by the caller.
  std::string m_Method;
  std::string m_Path;
  std::string m_ContentType;
  std::string m_Body;
  std::string m_TraceId;
};

/// Why a call has no reply.
enum class SendFailure {
  NotSent, ///< No byte was sent.
  NoAnswer ///< The call may have reached the peer.
};

/// The attempt of a DispatchAction ended.
struct AttemptEnded {
  AttemptId m_Attempt;
  std::variant<wire::ExecuteReply, SendFailure> m_Result;
};

/// The call of an OpenClaimAction ended.
struct ClaimAnswered {
  ClaimCallId m_Call;
  std::variant<wire::CommandResult, SendFailure> m_Result;
};

/// Time has passed. Sent every few milliseconds; drives deadlines and retries.
struct Tick {};

/// Shutdown started; new requests are refused from now on.
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
  KeyConflict, ///< The idempotency key was used for a different request.
  ShuttingDown,
  ControlSilent, ///< No recent fresh read of the replicated state.
  EntryFull,
  QueueFull,
  NoTarget,
  DeadlinePassed, ///< The deadline passed in the queue.
  TargetsBusy,    ///< Agents refused the request and no retry was left.
  NotSent,        ///< No agent could be reached and no retry was left.
  ClaimsFull,
  ClaimRefused
};
inline constexpr size_t RefusalReasonCount = 16;

/// Response to a caller for one reason.
struct RefusalText {
  RefusalReason m_Reason;
  int m_Status;
  std::string_view m_Code;
  std::string_view m_Message;
  std::string_view m_Field; ///< Invalid header or field; may be empty.
};

/// Returns the HTTP status, error code and message of \p Reason.
const RefusalText &refusalText(RefusalReason Reason);

/// Ask control to commit a claim; ends with ClaimAnswered.
struct OpenClaimAction {
  ClaimCallId m_Call;
  wire::OpenClaim m_Claim;
  Duration m_Timeout{0};
  std::string m_TraceId;
};

/// Tell control that the request of a claim did not run. The caller of step()
/// repeats it until it is committed.
struct CloseClaimAction {
  wire::CloseClaim m_Claim;
  std::string m_TraceId;
};

/// Send a request to an agent; ends with AttemptEnded.
struct DispatchAction {
  AttemptId m_Attempt;
  RequestId m_Id;
  std::string m_Vm;
  std::string m_AgentAddress;
  wire::ExecuteRequest m_Request;
  /// Timeout of the call; exceeds the agent's own limit by m_AnswerGrace.
  Duration m_Timeout{0};
  Duration m_Waited{0}; ///< Time since the request arrived.
};

/// Send the caller a response. The outcome is completed or unknown.
struct AnswerAction {
  RequestId m_Id;
  wire::Outcome::type m_Outcome = wire::Outcome::UNKNOWN;
  int m_Status = 0;
  std::string m_ContentType;
  std::string m_Body;
  std::string m_Reason;    ///< Why the outcome is unknown; empty if completed.
  bool m_Replayed = false; ///< The response was stored with the claim.
};

/// Refuse a request. It is certain that the request did not run.
struct RefuseAction {
  RequestId m_Id;
  RefusalReason m_Reason = RefusalReason::QueueFull;
  std::string m_Detail; ///< Message of an agent or control; may be empty.
  std::optional<Duration> m_RetryAfter; ///< Set if a later retry can succeed.
};

using RouterAction = std::variant<OpenClaimAction, CloseClaimAction,
                                  DispatchAction, AnswerAction, RefuseAction>;

/// Counters since the start and current load of a Router.
struct RouterCounters {
  int64_t m_Requests = 0;
  int64_t m_Completed = 0;
  int64_t m_Unknown = 0;
  std::array<int64_t, RefusalReasonCount> m_Refused{};
  int64_t m_Attempts = 0;
  int64_t m_Retries = 0;
  int64_t m_RetriesDenied = 0; ///< By the retry budget.
  /// Replies dropped because their request had already ended.
  int64_t m_LateAnswers = 0;
  /// Claims granted after their request had ended; they are closed again.
  int64_t m_LateClaims = 0;
  int64_t m_ClaimPolls = 0;
  /// Attempts sent to an agent that holds the claim of another attempt.
  int64_t m_HolderAttempts = 0;
  int64_t m_ClaimPollsDelayed = 0; ///< By the rate limit.
  size_t m_InProgress = 0;
  size_t m_Queued = 0;
  size_t m_Bytes = 0;
};

} // namespace anvil::route

#endif // ANVIL_ROUTE_ROUTERTYPES_H
