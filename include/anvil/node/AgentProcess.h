#ifndef ANVIL_NODE_AGENTPROCESS_H
#define ANVIL_NODE_AGENTPROCESS_H

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/statusor.h"

#include "anvil/log/EventLog.h"
#include "anvil/metrics/Registry.h"
#include "anvil/net/Rpc.h"
#include "anvil/runner/Runner.h"

namespace boost::asio {
class io_context;
}

namespace anvil::node {

/// Carries out calls to the worker; each answers once, within a timeout of its
/// own, and never inside the call.
struct WorkerCaller {
  using Done = std::function<void(runner::CallAnswer)>;
  std::function<void(const runner::HoldCall &, Done)> m_Hold;
  std::function<void(const runner::StartCall &, Done)> m_Start;
  std::function<void(const runner::StopCall &, Done)> m_Stop;
};

/// Settings of the process beside a worker.
struct AgentProcessOptions {
  runner::RunnerOptions m_Runner;
  /// Listeners of entry VMs, to find the leader.
  std::vector<net::Endpoint> m_Seeds;
  net::RpcOptions m_Rpc;
  std::function<TimePoint()> m_Now;
  /// Receives counters and times; outlives the process object.
  metrics::Registry *m_Metrics = nullptr;
};

/// The process beside a worker: reports it to the leader and carries out its
/// orders.
///
/// Usage: create(), pass what the worker says of itself to onWorkerAnnounced()
/// and onWorkerLeft(), run the io_context. All run on its thread.
class AgentProcess {
public:
  static absl::StatusOr<std::unique_ptr<AgentProcess>>
  create(boost::asio::io_context &Io, AgentProcessOptions Options,
         WorkerCaller Caller, log::EventLog &Log);
  ~AgentProcess();

  void onWorkerAnnounced(const runner::WorkerAnnounced &Announced);
  void onWorkerLeft(std::string_view WorkerId);
  /// Replaces the addresses of entry VMs.
  void setSeeds(std::vector<net::Endpoint> Seeds);
  /// Writes whether a worker is served and how much of its lease is
  /// onWorkerLeft.
  void writeMetrics(metrics::PrometheusText &To) const;

private:
  struct Impl;
  explicit AgentProcess(std::shared_ptr<Impl> State);
  std::shared_ptr<Impl> m_Impl;
};

} // namespace anvil::node

#endif // ANVIL_NODE_AGENTPROCESS_H
