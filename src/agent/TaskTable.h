#ifndef ANVIL_SRC_AGENT_TASKTABLE_H
#define ANVIL_SRC_AGENT_TASKTABLE_H

#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "anvil/agent/AgentTypes.h"

namespace anvil::agent::internal {

/// Conditions under which a set of assignments is applied.
struct AssignmentContext {
  TimePoint m_SentAt; ///< When the heartbeat was sent; leases start here.
  TimePoint m_Now;
  bool m_Permit = false;      ///< A start permit is held.
  std::string_view m_Refusal; ///< Why new tasks are refused, or empty.
};

/// Tasks of a worker. Reserves their resources, starts each start token at most
/// once and stops tasks whose lease has expired.
///
/// Assignments are the complete set that control wants. Tasks that are missing
/// from it are stopped or released.
class TaskTable {
public:
  explicit TaskTable(const AgentOptions &Options) : m_Options(Options) {}

  void assign(const std::vector<wire::Assignment> &Wanted,
              const AssignmentContext &Context, ActionList &Out);
  void event(const TaskEvent &Event, TimePoint Now, ActionList &Out);
  void inventory(const WorkerInventory &Inventory, ActionList &Out);
  /// Stops tasks whose lease has expired and repeats stops that the worker has
  /// not confirmed.
  void tick(TimePoint Now, ActionList &Out);
  std::vector<wire::TaskStatus> statuses() const;
  /// Returns true if a status changed since the last call.
  bool takeChanged() { return std::exchange(m_Changed, false); }
  /// Returns true if no task is starting, running or stopping.
  bool idle() const;
  /// Adds a description of each starting, running or stopping task to \p Cut.
  void describeActive(std::vector<std::string> &Cut) const;

private:
  enum class Phase { Waiting, Prepared, Starting, Running, Stopping, Ended };
  struct TaskId {
    int64_t m_JobId = 0;
    int32_t m_TaskIndex = 0;
    bool operator<(const TaskId &Other) const {
      return std::tie(m_JobId, m_TaskIndex) <
             std::tie(Other.m_JobId, Other.m_TaskIndex);
    }
  };
  struct Record {
    int64_t m_StartToken = 0;
    Phase m_Phase = Phase::Waiting;
    wire::TaskState::type m_EndState = wire::TaskState::STOPPED;
    std::string m_Detail;
    wire::Resources m_Resources;
    TimePoint m_LeaseEnd;
    TimePoint m_WorkerLeaseEnd; ///< Lease end last sent to the worker.
    TimePoint m_NextStopAt;
    bool m_Wanted = true;
    bool m_Checkpointing = false;
    bool m_Throttled = false;
    int m_MissedInventories = 0; ///< Consecutive inventories without this task.
    int32_t m_UsedCores = 0;
  };

  void apply(const wire::Assignment &Wanted, const AssignmentContext &Context,
             ActionList &Out);
  void applyToActive(const wire::Assignment &Wanted, Record &Task,
                     const AssignmentContext &Context, ActionList &Out);
  void prepare(const wire::Assignment &Wanted, Record &Task);
  void start(const wire::Assignment &Wanted, Record &Task,
             const AssignmentContext &Context, ActionList &Out);
  void renew(const wire::Assignment &Wanted, Record &Task,
             const AssignmentContext &Context, ActionList &Out);
  void stopUnwanted(TimePoint Now, ActionList &Out);
  void beginStop(const TaskId &Id, Record &Task, wire::TaskState::type EndState,
                 std::string_view Detail, TimePoint Now, ActionList &Out);
  void end(Record &Task, wire::TaskState::type EndState,
           std::string_view Detail);
  bool rememberStart(const TaskKey &Key);
  bool fits(const wire::Resources &Wanted) const;
  static bool active(const Record &Task);
  static TaskKey keyOf(const TaskId &Id, const Record &Task) {
    return {Id.m_JobId, Id.m_TaskIndex, Task.m_StartToken};
  }

  const AgentOptions &m_Options;
  std::map<TaskId, Record> m_Tasks;
  std::set<TaskKey> m_Started;
  std::deque<TaskKey> m_StartOrder;
  bool m_Changed = false;
  /// The last inventory listed only tasks of this incarnation.
  bool m_InventoryClean = false;
};

} // namespace anvil::agent::internal

#endif // ANVIL_SRC_AGENT_TASKTABLE_H
