#ifndef ANVIL_AGENT_WORKERPORT_H
#define ANVIL_AGENT_WORKERPORT_H

#include <functional>

#include "anvil/agent/AgentTypes.h"

namespace anvil::agent {

/// Sends commands to the worker on the same VM. The worker reports changes of
/// tasks through Hooks.
///
/// Every command is idempotent. The worker starts each task key at most once
/// and ignores commands for keys that it does not run.
class WorkerPort {
public:
  /// Callbacks for reports of the worker; called on the thread of the port.
  struct Hooks {
    std::function<void(TaskEvent)> m_OnTask;
    std::function<void(WorkerInventory)> m_OnInventory;
  };

  virtual ~WorkerPort() = default;
  /// Starts a task. The worker stops it when its lease expires.
  virtual void start(const StartTask &Command) = 0;
  virtual void renew(const RenewTask &Command) = 0;
  virtual void checkpoint(const TaskKey &Key) = 0;
  virtual void throttle(const TaskKey &Key) = 0;
  virtual void stop(const TaskKey &Key) = 0;
};

} // namespace anvil::agent

#endif // ANVIL_AGENT_WORKERPORT_H
