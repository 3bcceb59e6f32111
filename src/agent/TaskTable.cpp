#include "agent/TaskTable.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

#include "anvil/base/Port.h"

namespace anvil::agent::internal {

namespace {
/// Consecutive inventories without a task after which it counts as lost. A
/// single one may have been taken before the task started.
constexpr int MissedInventoriesForLoss = 2;
/// The lease on the worker is extended once a tenth of it has passed rather
/// than with every heartbeat.
constexpr int RenewalsPerLease = 10;
} // namespace

bool TaskTable::active(const Record &Task) {
  return Task.m_Phase == Phase::Starting || Task.m_Phase == Phase::Running ||
         Task.m_Phase == Phase::Stopping;
}

void TaskTable::end(Record &Task, wire::TaskState::type EndState,
                    std::string_view Detail) {
  Task.m_Phase = Phase::Ended;
  Task.m_EndState = EndState;
  Task.m_Detail = std::string(Detail);
  Task.m_UsedCores = 0;
  m_Changed = true;
}

bool TaskTable::fits(const wire::Resources &Wanted) const {
  int64_t Accelerators = Wanted.accelerators;
  int64_t Cores = Wanted.cores;
  int64_t MemoryMib = Wanted.memoryMib;
  for (const auto &[Id, Task] : m_Tasks) {
    if (Task.m_Phase == Phase::Waiting || Task.m_Phase == Phase::Ended)
      continue;
    Accelerators += Task.m_Resources.accelerators;
    Cores += Task.m_Resources.cores;
    MemoryMib += Task.m_Resources.memoryMib;
  }
  const wire::Resources &Capacity = m_Options.m_Target.capacity;
  return Accelerators <= Capacity.accelerators && Cores <= Capacity.cores &&
         MemoryMib <= Capacity.memoryMib;
}

bool TaskTable::rememberStart(const TaskKey &Key) {
  if (!m_Started.insert(Key).second)
    return false;
  m_StartOrder.push_back(Key);
  if (m_StartOrder.size() > m_Options.m_MaxStartTokens) {
    m_Started.erase(m_StartOrder.front());
    m_StartOrder.pop_front();
  }
  return true;
}

void TaskTable::assign(const std::vector<wire::Assignment> &Wanted,
                       const AssignmentContext &Context, ActionList &Out) {
  for (auto &[Id, Task] : m_Tasks)
    Task.m_Wanted = false;
  // Unwanted tasks are released first, so that new tasks of the same set can
  // use their resources.
  for (const wire::Assignment &Item : Wanted) {
    const auto Found = m_Tasks.find({Item.jobId, Item.taskIndex});
    if (Found != m_Tasks.end())
      Found->second.m_Wanted = true;
  }
  stopUnwanted(Context.m_Now, Out);
  for (const wire::Assignment &Item : Wanted)
    apply(Item, Context, Out);
}

void TaskTable::stopUnwanted(TimePoint Now, ActionList &Out) {
  for (auto Next = m_Tasks.begin(); Next != m_Tasks.end();) {
    const auto Current = Next++;
    Record &Task = Current->second;
    if (Task.m_Wanted)
      continue;
    if (!active(Task))
      m_Tasks.erase(Current);
    else if (Task.m_Phase != Phase::Stopping)
      beginStop(Current->first, Task, wire::TaskState::STOPPED,
                "no longer wanted by control", Now, Out);
  }
}

void TaskTable::apply(const wire::Assignment &Wanted,
                      const AssignmentContext &Context, ActionList &Out) {
  const TaskId Id{Wanted.jobId, Wanted.taskIndex};
  Record &Task = m_Tasks[Id];
  if (Task.m_StartToken != Wanted.startToken) {
    if (active(Task)) {
      if (Task.m_Phase != Phase::Stopping)
        beginStop(Id, Task, wire::TaskState::STOPPED,
                  "replaced by a newer start token", Context.m_Now, Out);
      return;
    }
    if (Task.m_Phase == Phase::Ended)
      Task = Record();
    Task.m_StartToken = Wanted.startToken;
  }
  if (active(Task))
    return applyToActive(Wanted, Task, Context, Out);
  if (Task.m_Phase == Phase::Ended)
    return;
  const bool Begins = Wanted.order == wire::TaskOrder::PREPARE ||
                      Wanted.order == wire::TaskOrder::START;
  if (Begins && !Context.m_Refusal.empty())
    return end(Task, wire::TaskState::REFUSED, Context.m_Refusal);
  switch (Wanted.order) {
  case wire::TaskOrder::PREPARE:
    return prepare(Wanted, Task);
  case wire::TaskOrder::START:
    return start(Wanted, Task, Context, Out);
  case wire::TaskOrder::STOP:
  case wire::TaskOrder::CHECKPOINT_AND_STOP:
    // Until an inventory is clean, a task of an earlier incarnation may still
    // run.
    if (m_InventoryClean)
      end(Task, wire::TaskState::STOPPED, "never started by this incarnation");
    return;
  case wire::TaskOrder::THROTTLE:
    return;
  }
}

void TaskTable::prepare(const wire::Assignment &Wanted, Record &Task) {
  if (Task.m_Phase == Phase::Prepared)
    return;
  // Tasks of an earlier incarnation use resources that this table does not
  // know. They must be stopped first.
  if (!m_InventoryClean)
    return;
  if (!fits(Wanted.resources))
    return end(Task, wire::TaskState::REFUSED, "not enough free resources");
  Task.m_Resources = Wanted.resources;
  Task.m_Phase = Phase::Prepared;
  m_Changed = true;
}

void TaskTable::start(const wire::Assignment &Wanted, Record &Task,
                      const AssignmentContext &Context, ActionList &Out) {
  // Start tokens are remembered only within this incarnation. A task that an
  // earlier one prepared may have run already.
  if (Task.m_Phase != Phase::Prepared)
    return end(Task, wire::TaskState::REFUSED,
               "not prepared by this incarnation");
  const TimePoint LeaseEnd =
      Context.m_SentAt + std::chrono::milliseconds(Wanted.leaseMs);
  if (!Context.m_Permit || LeaseEnd <= Context.m_Now)
    return;
  const TaskKey Key{Wanted.jobId, Wanted.taskIndex, Wanted.startToken};
  if (!rememberStart(Key))
    return end(Task, wire::TaskState::FAILED, "start token was used before");
  Task.m_Phase = Phase::Starting;
  Task.m_LeaseEnd = LeaseEnd;
  Task.m_WorkerLeaseEnd = LeaseEnd;
  Out.push_back(StartTask{Key, LeaseEnd - Context.m_Now, Wanted.resources,
                          Wanted.payload, Wanted.workspace});
}

void TaskTable::renew(const wire::Assignment &Wanted, Record &Task,
                      const AssignmentContext &Context, ActionList &Out) {
  const Duration Lease = std::chrono::milliseconds(Wanted.leaseMs);
  Task.m_LeaseEnd = std::max(Task.m_LeaseEnd, Context.m_SentAt + Lease);
  if (Task.m_Phase != Phase::Running ||
      Task.m_LeaseEnd - Task.m_WorkerLeaseEnd < Lease / RenewalsPerLease)
    return;
  Task.m_WorkerLeaseEnd = Task.m_LeaseEnd;
  Out.push_back(RenewTask{{Wanted.jobId, Wanted.taskIndex, Wanted.startToken},
                          Task.m_LeaseEnd - Context.m_Now});
}

void TaskTable::applyToActive(const wire::Assignment &Wanted, Record &Task,
                              const AssignmentContext &Context,
                              ActionList &Out) {
  const TaskId Id{Wanted.jobId, Wanted.taskIndex};
  if (Task.m_Phase == Phase::Stopping)
    return;
  // An expired lease is not renewed, because control may already consider the
  // resources free.
  if (Context.m_Now >= Task.m_LeaseEnd)
    return;
  if (Wanted.order == wire::TaskOrder::STOP)
    return beginStop(Id, Task, wire::TaskState::STOPPED, "stopped by control",
                     Context.m_Now, Out);
  renew(Wanted, Task, Context, Out);
  if (Task.m_Phase != Phase::Running)
    return;
  if (Wanted.order == wire::TaskOrder::CHECKPOINT_AND_STOP &&
      !Task.m_Checkpointing) {
    Task.m_Checkpointing = true;
    Out.push_back(CheckpointTask{keyOf(Id, Task)});
  }
  if (Wanted.order == wire::TaskOrder::THROTTLE && !Task.m_Throttled) {
    Task.m_Throttled = true;
    Out.push_back(ThrottleTask{keyOf(Id, Task)});
  }
}

void TaskTable::beginStop(const TaskId &Id, Record &Task,
                          wire::TaskState::type EndState,
                          std::string_view Detail, TimePoint Now,
                          ActionList &Out) {
  Task.m_Phase = Phase::Stopping;
  Task.m_EndState = EndState;
  Task.m_Detail = std::string(Detail);
  Task.m_MissedInventories = 0;
  Task.m_NextStopAt = Now + m_Options.m_StopRetryPeriod;
  Out.push_back(StopTask{keyOf(Id, Task)});
  Out.push_back(LogNote{
      absl::StrCat("stopping task job=", Id.m_JobId, " task=", Id.m_TaskIndex,
                   " token=", Task.m_StartToken, " reason=", toAbsl(Detail))});
}

void TaskTable::event(const TaskEvent &Event, TimePoint Now, ActionList &Out) {
  const TaskId Id{Event.m_Key.m_JobId, Event.m_Key.m_TaskIndex};
  const auto Found = m_Tasks.find(Id);
  if (Found == m_Tasks.end() ||
      Found->second.m_StartToken != Event.m_Key.m_StartToken ||
      !active(Found->second))
    return;
  Record &Task = Found->second;
  switch (Event.m_Kind) {
  case TaskEventKind::Started:
    if (Task.m_Phase == Phase::Starting)
      Task.m_Phase = Phase::Running;
    m_Changed = true;
    Task.m_MissedInventories = 0;
    break;
  case TaskEventKind::StartFailed:
    end(Task, wire::TaskState::FAILED, Event.m_Detail);
    break;
  case TaskEventKind::StartUnknown:
    if (Task.m_Phase != Phase::Stopping)
      beginStop(Id, Task, wire::TaskState::FAILED, Event.m_Detail, Now, Out);
    break;
  case TaskEventKind::Succeeded:
    end(Task, wire::TaskState::SUCCEEDED, Event.m_Detail);
    break;
  case TaskEventKind::Failed:
    end(Task, wire::TaskState::FAILED, Event.m_Detail);
    break;
  case TaskEventKind::Stopped:
    if (Task.m_Phase == Phase::Stopping)
      end(Task, Task.m_EndState, std::string(Task.m_Detail));
    else
      end(Task, wire::TaskState::STOPPED, Event.m_Detail);
    break;
  case TaskEventKind::Checkpointed:
    if (Task.m_Phase == Phase::Running)
      beginStop(Id, Task, wire::TaskState::CHECKPOINTED, Event.m_Detail, Now,
                Out);
    break;
  case TaskEventKind::CheckpointFailed:
    // The checkpoint is repeated with the next heartbeat reply until control
    // orders a stop.
    Task.m_Checkpointing = false;
    Task.m_Detail = Event.m_Detail;
    break;
  }
  if (!active(Task) && !Task.m_Wanted)
    m_Tasks.erase(Found);
}

void TaskTable::inventory(const WorkerInventory &Inventory, ActionList &Out) {
  std::map<TaskKey, int32_t> Running;
  for (const RunningTask &Item : Inventory.m_Running)
    Running[Item.m_Key] = Item.m_UsedCores;
  for (auto Next = m_Tasks.begin(); Next != m_Tasks.end();) {
    const auto Current = Next++;
    Record &Task = Current->second;
    const auto Found = Running.find(keyOf(Current->first, Task));
    const bool Listed = Found != Running.end();
    if (Listed) {
      Task.m_UsedCores = Found->second;
      if (active(Task))
        Running.erase(Found);
    }
    Task.m_MissedInventories = Listed ? 0 : Task.m_MissedInventories + 1;
    const bool Confirmed =
        Task.m_Phase == Phase::Running || Task.m_Phase == Phase::Stopping;
    if (!Confirmed || Task.m_MissedInventories < MissedInventoriesForLoss)
      continue;
    if (Task.m_Phase == Phase::Stopping)
      end(Task, Task.m_EndState, std::string(Task.m_Detail));
    else
      end(Task, wire::TaskState::FAILED, "worker no longer runs the task");
    if (!Task.m_Wanted)
      m_Tasks.erase(Current);
  }
  m_InventoryClean = Running.empty();
  for (const auto &[Key, Cores] : Running) {
    Out.push_back(StopTask{Key});
    Out.push_back(LogNote{absl::StrCat(
        "stopping a task of an earlier incarnation job=", Key.m_JobId,
        " task=", Key.m_TaskIndex, " token=", Key.m_StartToken)});
  }
}

void TaskTable::tick(TimePoint Now, ActionList &Out) {
  for (auto &[Id, Task] : m_Tasks) {
    if (!active(Task))
      continue;
    if (Task.m_Phase != Phase::Stopping) {
      if (Now >= Task.m_LeaseEnd)
        beginStop(Id, Task, wire::TaskState::STOPPED, "lease ran out", Now,
                  Out);
    } else if (Now >= Task.m_NextStopAt) {
      Task.m_NextStopAt = Now + m_Options.m_StopRetryPeriod;
      Out.push_back(StopTask{keyOf(Id, Task)});
    }
  }
}

std::vector<wire::TaskStatus> TaskTable::statuses() const {
  std::vector<wire::TaskStatus> Statuses;
  for (const auto &[Id, Task] : m_Tasks) {
    if (Task.m_Phase == Phase::Waiting)
      continue;
    wire::TaskStatus &Status = Statuses.emplace_back();
    Status.jobId = Id.m_JobId;
    Status.taskIndex = Id.m_TaskIndex;
    Status.startToken = Task.m_StartToken;
    Status.detail = Task.m_Detail;
    Status.usedCores = Task.m_UsedCores;
    if (Task.m_Phase == Phase::Ended)
      Status.state = Task.m_EndState;
    else if (Task.m_Phase == Phase::Prepared || Task.m_Phase == Phase::Starting)
      Status.state = wire::TaskState::PREPARED;
    else
      Status.state = wire::TaskState::RUNNING;
  }
  return Statuses;
}

bool TaskTable::idle() const {
  return std::none_of(m_Tasks.begin(), m_Tasks.end(),
                      [](const auto &Item) { return active(Item.second); });
}

void TaskTable::describeActive(std::vector<std::string> &Cut) const {
  for (const auto &[Id, Task] : m_Tasks)
    if (active(Task))
      Cut.push_back(absl::StrCat("task job=", Id.m_JobId, " index=",
                                 Id.m_TaskIndex, " token=", Task.m_StartToken));
}

} // namespace anvil::agent::internal
