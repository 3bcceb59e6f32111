#ifndef ANVIL_RUNNER_RUNNERTYPES_H
#define ANVIL_RUNNER_RUNNERTYPES_H

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "anvil/base/Time.h"
#include "workload_types.h"

namespace anvil::runner {

/// Number of a call to the worker, unique in one incarnation of the agent.
using CallId = uint64_t;

// ---- calls to the worker ----

/// Long poll that extends the lease of all runs on the worker and acknowledges
/// ended runs. The answer lists the runs and the ends; the worker may delay it
/// until a run ends.
struct HoldCall {
  CallId m_Call = 0;
  wire::WorkerIncarnation m_Incarnation;
  int64_t m_FencingToken = 0;
  /// The worker may forget ends up to this ListedEnd::m_Number.
  int64_t m_AcknowledgedEnd = 0;
  /// New end of the lease in milliseconds of the worker's clock; if absent, the
  /// lease stays as it is.
  std::optional<int64_t> m_LeaseEndMs;
  Duration m_Wait{0}; ///< How long the worker may delay its answer.
};

/// Starts a run. Idempotent.
struct StartCall {
  CallId m_Call = 0;
  wire::WorkerIncarnation m_Incarnation;
  int64_t m_FencingToken = 0;
  wire::RunOrder m_Order;
  /// The worker refuses the order after this time and extends the lease of all
  /// runs to it; in milliseconds of the worker's clock.
  int64_t m_LeaseEndMs = 0;
};

/// Stops a run. From then on this incarnation of the worker refuses to start
/// this run and all lower runs of the task, even if the run has not started
/// yet.
struct StopCall {
  CallId m_Call = 0;
  wire::WorkerIncarnation m_Incarnation;
  int64_t m_FencingToken = 0;
  wire::TaskRef m_Task;
  int64_t m_Run = 0;
};

/// Why a call to the worker failed.
enum class CallError {
  None,        ///< The call succeeded.
  NoAnswer,    ///< The worker may still carry the call out, seconds later.
  Unreachable, ///< The worker's address refuses connections; not carried out.
  Fenced,      ///< The worker has seen a higher fencing token.
  OtherIncarnation, ///< Another incarnation of the worker answered.
  Superseded,       ///< This run, or a higher one of the task, has ended.
  TooLate,          ///< StartCall::m_LeaseEndMs had passed.
  NoRoom,           ///< The worker lacks free capacity.
  Unhealthy,        ///< The worker refuses all orders for now; not carried out.
  Rejected          ///< The worker considers the order invalid.
};

/// A run that the worker lists as running.
struct ListedRun {
  wire::TaskRef m_Task;
  int64_t m_Run = 0;
  std::string m_Checkpoint; ///< The latest one; empty if there is none.
  int32_t m_Percent = 0;
};

/// An ended run that the worker lists until its end is acknowledged.
struct ListedEnd {
  int64_t m_Number = 0; ///< Consecutive number of the end, from 1.
  wire::TaskRef m_Task;
  int64_t m_Run = 0;
  wire::RunEndKind::type m_Kind = wire::RunEndKind::DONE;
  std::string m_Checkpoint;
};

/// Result of a HoldCall, StartCall or StopCall.
struct CallAnswer {
  CallId m_Call = 0;
  CallError m_Error = CallError::None;
  std::string m_Detail;
  /// Worker's clock when it answered, in milliseconds; absent if the answer
  /// does not contain it.
  std::optional<int64_t> m_ClockMs;
  /// Start time of the incarnation that answered, in milliseconds; absent if
  /// the answer does not contain it.
  std::optional<int64_t> m_StartedAtMs;
  std::vector<ListedRun> m_Runs;
  std::vector<ListedEnd> m_Ends;
};

// ---- events ----

/// The worker announced itself to the agent.
struct WorkerAnnounced {
  wire::WorkerInfo m_Info;
  bool m_Draining = false;
  /// Minimum time until a draining worker leaves.
  Duration m_Remaining{0};
  int64_t m_Sequence = 0;
};

/// The worker deregistered because its process is about to exit.
struct WorkerLeft {
  std::string m_Id;
};

/// A control replica answered a sync; the reply tells whether it is the leader.
struct SyncAnswered {
  int64_t m_Sequence = 0;
  wire::WorkerSyncReply m_Reply;
};

/// A sync failed or timed out.
struct SyncFailed {
  int64_t m_Sequence = 0;
};

/// Time passed; due at Runner::nextDeadline().
struct Tick {};

using Event = std::variant<WorkerAnnounced, WorkerLeft, CallAnswer,
                           SyncAnswered, SyncFailed, Tick>;

// ---- actions ----

/// Send a sync; ends with SyncAnswered or SyncFailed.
struct SendSync {
  wire::WorkerSyncRequest m_Request;
};

/// Write an event to the log.
struct Note {
  std::string m_Event; ///< Name of the event, such as "run-ended".
  std::string m_Task;  ///< Name of the task; empty if no task is concerned.
  int64_t m_Run = 0;
  std::string m_Detail; ///< May be empty.
};

using Action = std::variant<HoldCall, StartCall, StopCall, SendSync, Note>;
using ActionList = std::vector<Action>;

} // namespace anvil::runner

#endif // ANVIL_RUNNER_RUNNERTYPES_H
