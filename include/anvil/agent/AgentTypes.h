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

/// Identifies one open EXECUTE call of the agent process.
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

/// Bounds and periods of AgentGate. The defaults are those of the design page.
struct AgentOptions {
  wire::TargetInfo m_Target;
  int32_t m_Slots = 8;
  size_t m_QueueLimit = 64; ///< Queued requests of one class.
  size_t m_MaxClasses = 32; ///< Classes with queued requests at one time.
  size_t m_MaxQueuedBytes = 8u << 20; ///< Request bodies in all queues.
  size_t m_MaxWaiters = 16; ///< Repeats that wait for one running claim.
  size_t m_MaxUnackedClaims =
      1024; ///< Outcomes that control has not acknowledged.
  size_t m_MaxClaimBytes = 4u << 20; ///< Stored response bodies of all claims.
  size_t m_MaxStoredBody =
      64u
      << 10; ///< A larger response is not stored; its claim becomes unknown.
  size_t m_MaxTokens =
      16384; ///< Tokens remembered after their response was dropped.
  size_t m_MaxReportedOutcomes = 1024; ///< Outcomes in one heartbeat.
  size_t m_HurryOutcomes =
      64; ///< Unreported outcomes that make a heartbeat due early.
  size_t m_MaxReportedBytes = 1u << 20; ///< Response bodies in one heartbeat.
  size_t m_MaxRemembered =
      16384; ///< Start tokens of tasks remembered after their end.
  Duration m_MaxPermit =
      std::chrono::milliseconds(1500); ///< Longer permits are cut to this.
  Duration m_HeartbeatPeriod = std::chrono::seconds(1);
  Duration m_RetryPeriod = std::chrono::milliseconds(200);
  Duration m_ReconnectSpread = std::chrono::seconds(2);
  /// Time after which an accepted reply without a permit (a withdrawn zone) no
  /// longer causes quick retries.
  Duration m_QuickRetryLimit = std::chrono::seconds(3);
  /// An exchange may outlive its caller's deadline by this time and keeps its
  /// slot meanwhile.
  Duration m_HungSlotLimit = std::chrono::seconds(60);
  Duration m_StopRetryPeriod = std::chrono::seconds(1);
  Duration m_DrainLimit = std::chrono::seconds(600);
  /// Longest wait for control to confirm the departure of an agent that has
  /// nothing left to report.
  Duration m_FarewellLimit = std::chrono::seconds(5);
  /// Time after the start before the first probe of the minion, which may still
  /// work for an earlier incarnation.
  Duration m_SettleTime = std::chrono::seconds(2);
  int m_ConnectFailuresToOpen = 3;
  Duration m_ProbePeriod =
      std::chrono::seconds(5); ///< Between probes of a reachable minion.
  Duration m_MinReopenDelay = std::chrono::milliseconds(
      500); ///< Before the first probe of an unreachable minion.
  Duration m_MaxReopenDelay = std::chrono::seconds(8);
  /// Returns a number in [0, 1); spreads heartbeats and reconnections.
  /// Required.
  std::function<double()> m_Random;
};

// ---- events ----

/// An entry asks to execute one request.
struct ExecuteArrived {
  CallId m_Call;
  wire::ExecuteRequest m_Request;
};

/// The minion's whole response was received.
struct MinionAnswered {
  ExchangeId m_Exchange;
  int32_t m_HttpStatus = 0;
  std::string m_ContentType;
  std::string m_Body;
};

/// The exchange ended without a whole response.
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

/// The shell is about to hand a heartbeat to the network. Permits and leases
/// count from this event.
struct HeartbeatSent {
  int64_t m_Sequence = 0;
};

/// Control answered a heartbeat.
struct HeartbeatReplied {
  wire::AgentHeartbeatReply m_Reply;
};

/// A heartbeat got no answer, or its replica could not be reached.
struct HeartbeatFailed {
  int64_t m_Sequence = 0;
  std::string m_Reason;
};

/// What a worker reports about a task.
enum class TaskEventKind {
  Started,
  StartFailed,  ///< It is certain that the task does not run.
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

/// One task that runs on the worker, with the cores that it used some time ago.
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

/// The operator asked the agent to leave (first SIGTERM).
struct DrainBegin {};

/// The operator asked the agent to leave now (second SIGTERM).
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

/// Extend the worker's lease to m_Lease from now.
struct RenewTask {
  TaskKey m_Key;
  Duration m_Lease{0};
};

/// Write a checkpoint; ends with Checkpointed or CheckpointFailed.
struct CheckpointTask {
  TaskKey m_Key;
};

/// Reduce the task's use of its resources.
struct ThrottleTask {
  TaskKey m_Key;
};

/// Stop the task; repeated until the worker confirms it.
struct StopTask {
  TaskKey m_Key;
};

/// Exit the process. The departure is graceful if nothing was cut off.
struct Leave {
  std::vector<std::string>
      m_CutOff; ///< One description for each request or task in progress.
  size_t m_UnreportedOutcomes =
      0; ///< Claim outcomes that control has not acknowledged.
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
