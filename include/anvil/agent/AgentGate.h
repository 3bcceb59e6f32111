#ifndef ANVIL_AGENT_AGENTGATE_H
#define ANVIL_AGENT_AGENTGATE_H

#include <memory>

#include "absl/status/statusor.h"

#include "anvil/agent/AgentTypes.h"

namespace anvil::agent {

/// Decides whether requests and tasks may start on a target. It checks the
/// start permit, slots, queue limits, claim tokens and task leases.
///
/// Usage: create one for each incarnation of the agent, pass each event with
/// the current time to step(), and carry out the returned actions in order. A
/// Tick every 50 ms drives heartbeats, deadlines and leases. It reads no clock
/// and does no I/O.
class AgentGate {
public:
  /// Returns kInvalidArgument if m_Random is missing, the incarnation is 0, a
  /// limit is not positive or m_MaxTokens is less than m_MaxUnackedClaims.
  static absl::StatusOr<std::unique_ptr<AgentGate>>
  create(AgentOptions Options);
  ~AgentGate();

  /// Applies one event and returns the actions that follow from it. \p Now must
  /// not decrease from call to call.
  ActionList step(Event Incoming, TimePoint Now);

  /// Returns true if a start permit is held at \p Now.
  bool hasPermit(TimePoint Now) const;
  /// Returns the current load, which heartbeats and replies report.
  wire::Load load() const;
  /// Returns true after DrainBegin or CutOff.
  bool leaving() const;

private:
  struct Impl;
  explicit AgentGate(std::unique_ptr<Impl> State);
  std::unique_ptr<Impl> m_Impl;
};

} // namespace anvil::agent

#endif // ANVIL_AGENT_AGENTGATE_H
