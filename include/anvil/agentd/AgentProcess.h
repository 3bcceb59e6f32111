#ifndef ANVIL_AGENTD_AGENTPROCESS_H
#define ANVIL_AGENTD_AGENTPROCESS_H

#include <functional>
#include <memory>
#include <vector>

#include "absl/status/statusor.h"

#include "anvil/agent/AgentTypes.h"
#include "anvil/agentd/Ports.h"
#include "anvil/daemon/Settings.h"
#include "anvil/net/Endpoint.h"

namespace boost::asio {
class io_context;
}

namespace anvil::agentd {

/// Settings of one agent process.
struct AgentSettings {
  net::Endpoint m_Listen;
  /// Address that entries connect to; if the port is 0, the listener's address.
  net::Endpoint m_Advertise;
  std::vector<net::Endpoint> m_Control;
  wire::TargetInfo m_Target; ///< Agent address and incarnation are not used.
  MinionPortOptions m_Minion;
  WorkerPortOptions m_Worker;
  int64_t m_Accelerators = 0;
  int64_t m_Cores = 0;
  int64_t m_MemoryMib = 0;
  int64_t m_Slots = 8;
  int64_t m_Connections = 64;
  int64_t m_QueueLimit = 64;
  Duration m_DrainLimit = std::chrono::seconds(600);
  Duration m_SettleTime = std::chrono::seconds(2);
};

/// Declares all settings of an agent in \p Reader, which stores them in
/// \p Values.
void declareAgentSettings(daemon::Settings &Reader, AgentSettings &Values);

/// Clocks, randomness and callbacks of an agent process.
struct AgentHooks {
  std::function<TimePoint()> m_Now;
  std::function<double()> m_Random;
  /// Returns microseconds since the Unix epoch, for the timeline.
  std::function<int64_t()> m_WallMicros;
  int64_t m_Incarnation = 0;
  /// Called once when the agent is ready to exit. The argument is false if work
  /// was cut off or an outcome was not acknowledged.
  std::function<void(bool)> m_OnLeft;
};

/// Returns an incarnation number from the wall clock and random bits, which
/// tell starts at the same time apart. Later starts get larger numbers.
int64_t makeIncarnation(int64_t WallClockMicros, double Random);

/// Connects an AgentGate with the EXECUTE listener, the control replicas and
/// the target.
///
/// Usage: create one, run the io_context, and call beginDrain() and cutOff() on
/// signals.
class AgentProcess {
public:
  /// Returns kUnavailable if the listener can't be bound, and kInvalidArgument
  /// for settings that AgentGate refuses.
  static absl::StatusOr<std::unique_ptr<AgentProcess>>
  create(boost::asio::io_context &Io, AgentSettings Settings, AgentHooks Hooks);
  ~AgentProcess();

  /// Announces the departure to control, refuses new work and finishes the work
  /// in progress.
  void beginDrain();
  /// Cuts off the work in progress and leaves.
  void cutOff();
  /// Returns the bound address of the EXECUTE listener.
  net::Endpoint endpoint() const;

private:
  struct Impl;
  explicit AgentProcess(std::shared_ptr<Impl> State);
  std::shared_ptr<Impl> m_Impl;
};

} // namespace anvil::agentd

#endif // ANVIL_AGENTD_AGENTPROCESS_H
