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

/// Number of a call to the worker, unique in one life of the agent.
using CallId = uint64_t;

// ---- calls to the worker ----

/// Extends the lease of everything that runs, acknowledges ends and lists runs
/// and ends. The worker may delay its answer until a run ends.
struct HoldCall {
  CallId m_Call = 0;
  wire::WorkerIncarnation m_Incarnation;
  int64_t m_FencingToken = 0;
  /// Ends up to this number of the worker's count may be forgotten.
  int64_t m_AcknowledgedEnd = 0;
  /// End of the lease on the worker's clock, in milliseconds; nothing leaves it
  /// as it is.
  std::optional<int64_t> m_LeaseEndMs;
  Duration m_Wait{0};
};

/// Starts a run; a repetition of the same order is harmless.
struct StartCall {
  CallId m_Call = 0;
  wire::WorkerIncarnation m_Incarnation;
  int64_t m_FencingToken = 0;
  wire::RunOrder m_Order;
  /// The order is void after this time of the worker's clock, and the lease of
  /// everything that runs is extended to it; in milliseconds.
  int64_t m_LeaseEndMs = 0;
};

/// Stops a run, and makes it and all lower runs of the task impossible on this
/// life of the worker, even if it is not there yet.
struct StopCall {
  CallId m_Call = 0;
  wire::WorkerIncarnation m_Incarnation;
  int64_t m_FencingToken = 0;
  wire::TaskRef m_Task;
  int64_t m_Run = 0;
};

/// Why a call did not do what it asked for.
enum class CallError {
  None,        ///< It did.
  NoAnswer,    ///< It may be carried out, now or seconds later.
  Unreachable, ///< Nothing listens at the worker's address; not carried out.
  Fenced,      ///< The worker has seen a higher fencing token.
  OtherIncarnation, ///< Another life of the worker answered.
  Superseded,       ///< This run, or a higher one of the task, ended there.
  TooLate,          ///< The time limit of the order had passed.
  NoRoom,           ///< The worker has not enough free capacity.
  Unhealthy, ///< The worker refuses everything for now; nothing was done.
  Rejected   ///< The worker does not accept the order as it is.
};

/// A run that the worker lists.
struct ListedRun {
  wire::TaskRef m_Task;
  int64_t m_Run = 0;
  std::string m_Checkpoint;
  int32_t m_Percent = 0;
};

/// An end that the worker lists.
struct ListedEnd {
  int64_t m_Number = 0; ///< Position in the worker's count, from 1.
  wire::TaskRef m_Task;
  int64_t m_Run = 0;
  wire::RunEndKind::type m_Kind = wire::RunEndKind::DONE;
  std::string m_Checkpoint;
};

/// Answer to a call.
struct CallAnswer {
  CallId m_Call = 0;
  CallError m_Error = CallError::None;
  std::string m_Detail;
  /// Clock of the worker when it answered, in milliseconds; absent if the
  /// answer holds none.
  std::optional<int64_t> m_ClockMs;
  /// Birth of the life that answered; absent if the answer does not tell.
  std::optional<int64_t> m_StartedAtMs;
  std::vector<ListedRun> m_Runs;
  std::vector<ListedEnd> m_Ends;
};

// ---- events ----

/// The worker announced itself.
struct WorkerAnnounced {
  wire::WorkerInfo m_Info;
  bool m_Draining = false;
  /// Least time until it leaves, while it drains.
  Duration m_Remaining{0};
  int64_t m_Sequence = 0;
};

/// The worker said that it is about to end.
struct WorkerLeft {
  std::string m_Id;
};

/// The leader, or a process that names it, answered a sync.
struct SyncAnswered {
  int64_t m_Sequence = 0;
  wire::WorkerSyncReply m_Reply;
};

/// A sync got no answer.
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

/// Something that changed what this agent believes, for the log.
struct Note {
  std::string m_Event; ///< Short name of the event, such as "start-refused".
  std::string m_Task;  ///< Name of the task, if it is about one.
  int64_t m_Run = 0;
  std::string m_Detail;
};

using Action = std::variant<HoldCall, StartCall, StopCall, SendSync, Note>;
using ActionList = std::vector<Action>;

} // namespace anvil::runner

#endif // ANVIL_RUNNER_RUNNERTYPES_H
