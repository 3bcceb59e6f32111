#ifndef ANVIL_AGENT_AGENTTYPES_H
#define ANVIL_AGENT_AGENTTYPES_H

#include <cstdint>
#include <functional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include "anvil/base/Ids.h"
#include "anvil/base/Time.h"
#include "anvil_types.h"

namespace anvil::agent {

/// Identifies one EXECUTE call that the agent has not answered yet.
using CallId = NumericId<struct CallTag>;

/// Identifies one exchange with the minion.
using ExchangeId = NumericId<struct ExchangeTag>;

/// Identifies one run of one gang member.
struct TaskKey {
  int64_t m_JobId = 0;
  int32_t m_TaskIndex = 0;
  int64_t m_StartToken = 0;
  bool operator==(const TaskKey &) const = default;
  /// Orders by job, task and start token.
  bool operator<(const TaskKey &Other) const {
    return std::tie(m_JobId, m_TaskIndex, m_StartToken) <
           std::tie(Other.m_JobId, Other.m_TaskIndex, Other.m_StartToken);
  }
};

/// Limits and intervals of AgentGate.
struct AgentOptions {
  wire::TargetInfo m_Target;
  int32_t m_Slots = 8;
  size_t m_QueueLimit = 64; ///< Queued requests per class.
  size_t m_MaxClasses = 32; ///< Classes with queued requests at one time.
  size_t m_MaxQueuedBytes = 8u << 20; ///< Request bodies in all queues.
  size_t m_MaxWaiters = 16; ///< Repeated requests that wait for one open claim.
  /// Open claims and outcomes that control has not acknowledged.
  size_t m_MaxUnackedClaims = 1024;
  size_t m_MaxClaimBytes = 4u << 20; ///< Stored response bodies of all claims.
  /// A larger response is not stored; repeats of its claim get the outcome
  /// unknown.
  size_t m_MaxStoredBody = 64u << 10;
  /// Claim tokens that are remembered.
  size_t m_MaxTokens = 16384;
  size_t m_MaxReportedOutcomes = 1024; ///< Outcomes in one heartbeat.
  /// Unreported outcomes that make a heartbeat due early.
  size_t m_EarlyReportOutcomes = 64;
  size_t m_MaxReportedBytes = 1u << 20; ///< Response bodies in one heartbeat.
  /// Start tokens of tasks that are remembered.
  size_t m_MaxStartTokens = 16384;
  /// Maximum length of a start permit; longer ones are shortened.
  Duration m_MaxPermit = std::chrono::milliseconds(1500);
  Duration m_HeartbeatPeriod = std::chrono::seconds(1);
  Duration m_RetryPeriod = std::chrono::milliseconds(200);
  /// Maximum random delay of the first heartbeat to another control replica.
  Duration m_ReconnectSpread = std::chrono::seconds(2);
  /// Time without a permit after which accepted replies no longer cause quick
  /// retries; the zone is withdrawn then.
  Duration m_QuickRetryLimit = std::chrono::seconds(3);
  /// Time after the caller's deadline when an exchange is abandoned. It keeps
  /// its slot until then.
  Duration m_HungSlotLimit = std::chrono::seconds(60);
  Duration m_StopRetryPeriod = std::chrono::seconds(1);
  /// Time after DrainBegin when everything in progress is cut off.
  Duration m_DrainLimit = std::chrono::seconds(600);
  /// Maximum time that an idle agent with nothing left to report waits for
  /// control to confirm its departure.
  Duration m_DepartureTimeout = std::chrono::seconds(5);
  /// Time between the first Tick and the first probe of the minion, which may
  /// still process requests of an earlier incarnation.
  Duration m_SettleTime = std::chrono::seconds(2);
  /// Consecutive failed connections after which the minion counts as unhealthy.
  int m_ConnectFailuresToOpen = 3;
  /// Time between probes of a reachable minion.
  Duration m_ProbePeriod = std::chrono::seconds(5);
  /// Delay before the first probe of an unreachable minion; doubles with each
  /// failed probe.
  Duration m_MinReopenDelay = std::chrono::milliseconds(500);
  Duration m_MaxReopenDelay = std::chrono::seconds(8);
  /// Returns a random number in [0, 1) to spread heartbeats and reconnections.
  /// Required.
  std::function<double()> m_Random;
};

// ---- events ----

/// An entry asks to execute one request.
struct ExecuteArrived {
  CallId m_Call;
  wire::ExecuteRequest m_Request;
};

/// The minion's complete response was received.
struct MinionAnswered {
  ExchangeId m_Exchange;
  int32_t m_HttpStatus = 0;
  std::string m_ContentType;
  std::string m_Body;
};

/// The exchange ended without a complete response.
struct MinionFailed {
  ExchangeId m_Exchange;
  bool m_AnyByteSent = true;    ///< False only if it is certain that no byte of
                                ///< the request was written.
  bool m_ConnectFailed = false; ///< No connection could be opened.
  std::string m_Reason;
};

/// A connection attempt of ProbeMinion ended.
struct MinionProbed {
  bool m_Reachable = false;
};

/// A heartbeat is about to be sent. Permits and leases are counted from this
/// event.
struct HeartbeatSent {
  int64_t m_Sequence = 0;
};

/// Control answered a heartbeat.
struct HeartbeatReplied {
  wire::AgentHeartbeatReply m_Reply;
};

/// A heartbeat got no reply, or its replica could not be reached.
struct HeartbeatFailed {
  int64_t m_Sequence = 0;
  std::string m_Reason;
};

/// What a worker reports about a task.
enum class TaskEventKind {
  Started,
  StartFailed,  ///< The task certainly does not run.
  StartUnknown, ///< The worker may have started the task.
  Succeeded,
  Failed,
  Stopped,
  Checkpointed,
  CheckpointFailed
};

/// The worker reports a change of one task.
struct TaskEvent {
  TaskKey m_Key;
  TaskEventKind m_Kind = TaskEventKind::Failed;
  std::string m_Detail;
};

/// One task that runs on the worker, with the cores that it last used.
struct RunningTask {
  TaskKey m_Key;
  int32_t m_UsedCores = 0;
};

/// The worker listed all tasks that it runs.
struct WorkerInventory {
  std::vector<RunningTask> m_Running;
};

/// Time has passed; sent every 50 ms.
struct Tick {};

/// The operator asked the agent to drain and exit (first SIGTERM).
struct DrainBegin {};

/// The operator asked the agent to exit now (second SIGTERM).
struct CutOff {};

using Event =
    std::variant<ExecuteArrived, MinionAnswered, MinionFailed, MinionProbed,
                 HeartbeatSent, HeartbeatReplied, HeartbeatFailed, TaskEvent,
                 WorkerInventory, Tick, DrainBegin, CutOff>;

// ---- actions ----

/// Answer an EXECUTE call.
struct ReplyToCall {
  CallId m_Call;
  wire::ExecuteReply m_Reply;
};

/// Send a request to the minion; ends with MinionAnswered or MinionFailed.
struct SendToMinion {
  ExchangeId m_Exchange;
  wire::ExecuteRequest m_Request;
};

/// Close the connection of an exchange; no further event about it is expected.
struct AbandonExchange {
  ExchangeId m_Exchange;
};

/// Try to connect to the minion; ends with MinionProbed.
struct ProbeMinion {};

/// Report HeartbeatSent, then send the message to the current control replica.
struct SendHeartbeat {
  wire::AgentHeartbeat m_Message;
};

/// Use the next control replica from now on.
struct SwitchControl {
  std::string m_Reason;
};

/// Start a task under a lease that ends after m_Lease.
struct StartTask {
  TaskKey m_Key;
  Duration m_Lease{0};
  wire::Resources m_Resources;
  std::string m_Payload;
  std::string m_Workspace;
};

/// Extend the lease of a task to end after m_Lease.
struct RenewTask {
  TaskKey m_Key;
  Duration m_Lease{0};
};

/// Write a checkpoint; ends with Checkpointed or CheckpointFailed.
struct CheckpointTask {
  TaskKey m_Key;
};

/// Reduce the resource use of the task.
struct ThrottleTask {
  TaskKey m_Key;
};

/// Stop the task. Repeated until the worker confirms it.
struct StopTask {
  TaskKey m_Key;
};

/// Exit the process.
struct Leave {
  /// Describes each request or task that was still in progress. Empty after a
  /// graceful drain.
  std::vector<std::string> m_CutOff;
  /// Claim outcomes that control has not acknowledged.
  size_t m_UnreportedOutcomes = 0;
};

/// Write one log line.
struct LogNote {
  std::string m_Text;
};

using Action =
    std::variant<ReplyToCall, SendToMinion, AbandonExchange, ProbeMinion,
                 SendHeartbeat, SwitchControl, StartTask, RenewTask,
                 CheckpointTask, ThrottleTask, StopTask, Leave, LogNote>;
using ActionList = std::vector<Action>;

} // namespace anvil::agent

#endif // ANVIL_AGENT_AGENTTYPES_H
