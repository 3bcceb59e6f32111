#ifndef ANVIL_AGENT_WORKERPORT_H
#define ANVIL_AGENT_WORKERPORT_H

#include <functional>

#include "anvil/agent/AgentTypes.h"

namespace anvil::agent {

/// Commands the worker beside this agent. What happens to tasks comes back
/// through the hooks.
///
/// Every command may be repeated; the worker starts a task key once and ignores
/// commands for keys it does not run.
class WorkerPort {
public:
  /// Receive what the worker reports, on the thread of the port.
  struct Hooks {
    std::function<void(TaskEvent)> m_OnTask;
    std::function<void(WorkerInventory)> m_OnInventory;
  };

  virtual ~WorkerPort() = default;
  /// Starts a task, which the worker stops by itself once the lease runs out.
  virtual void start(const StartTask &Command) = 0;
  virtual void renew(const RenewTask &Command) = 0;
  virtual void checkpoint(const TaskKey &Key) = 0;
  virtual void throttle(const TaskKey &Key) = 0;
  virtual void stop(const TaskKey &Key) = 0;
};

} // namespace anvil::agent

#endif // ANVIL_AGENT_WORKERPORT_H
