#ifndef ANVIL_AGENT_AGENTGATE_H
#define ANVIL_AGENT_AGENTGATE_H

#include <memory>

#include "absl/status/statusor.h"

#include "anvil/agent/AgentTypes.h"

namespace anvil::agent {

/// Last check before anything starts on a target: permits, slots, queue, claim
/// tokens and task leases.
///
/// Usage: create one for each process lifetime, pass each event with the
/// current time to step(), and carry out the returned actions in order. A Tick
/// every 50 ms drives heartbeats, deadlines and leases. It reads no clock and
/// does no I/O.
class AgentGate {
public:
  /// \returns kInvalidArgument if the random hook is missing, the incarnation
  /// is 0 or a bound is not positive.
  static absl::StatusOr<std::unique_ptr<AgentGate>>
  create(AgentOptions Options);
  ~AgentGate();

  /// Applies one event at \p Now, which never decreases.
  ActionList step(Event Incoming, TimePoint Now);

  /// Returns true if a start permit is held at \p Now.
  bool hasPermit(TimePoint Now) const;
  /// Returns the current load as heartbeats and replies report it.
  wire::Load load() const;
  /// Returns true once DrainBegin was applied.
  bool leaving() const;

private:
  struct Impl;
  explicit AgentGate(std::unique_ptr<Impl> State);
  std::unique_ptr<Impl> m_Impl;
};

} // namespace anvil::agent

#endif // ANVIL_AGENT_AGENTGATE_H
