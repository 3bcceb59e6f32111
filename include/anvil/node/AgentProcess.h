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

/// Functions that send calls to the worker.
///
/// Each invokes Done exactly once, after it has returned and within a timeout
/// of its own.
struct WorkerCaller {
  using Done = std::function<void(runner::CallAnswer)>;
  std::function<void(const runner::HoldCall &, Done)> m_Hold;
  std::function<void(const runner::StartCall &, Done)> m_Start;
  std::function<void(const runner::StopCall &, Done)> m_Stop;
};

/// Settings of an AgentProcess.
struct AgentProcessOptions {
  runner::RunnerOptions m_Runner;
  /// RPC addresses of entry VMs, asked for the leader while no replica is
  /// known.
  std::vector<net::Endpoint> m_Seeds;
  net::RpcOptions m_Rpc;
  /// Monotonic clock; required.
  std::function<TimePoint()> m_Now;
  /// Receives counters and durations; required, outlives the AgentProcess.
  metrics::Registry *m_Metrics = nullptr;
};

/// The agent of a worker: reports the worker to the leader and carries out the
/// leader's orders.
///
/// Usage: create(), pass the reports of the worker to onWorkerAnnounced() and
/// onWorkerLeft(), and run the io_context. All functions run on its thread.
class AgentProcess {
public:
  /// Errors: NodeErrc::InvalidOption without a clock or metrics, and
  /// runner::RunnerErrc::InvalidOption.
  static absl::StatusOr<std::unique_ptr<AgentProcess>>
  create(boost::asio::io_context &Io, AgentProcessOptions Options,
         WorkerCaller Caller, log::EventLog &Log);
  ~AgentProcess();

  /// Handles a periodic report of the worker.
  void onWorkerAnnounced(const runner::WorkerAnnounced &Announced);
  /// Handles the worker's notice that it is about to end.
  void onWorkerLeft(std::string_view WorkerId);
  /// Replaces AgentProcessOptions::m_Seeds.
  void setSeeds(std::vector<net::Endpoint> Seeds);
  /// Writes whether a registered worker is served and the remaining time of its
  /// lease.
  void writeMetrics(metrics::PrometheusText &Output) const;

private:
  struct Impl;
  explicit AgentProcess(std::shared_ptr<Impl> State);
  std::shared_ptr<Impl> m_Impl;
};

} // namespace anvil::node

#endif // ANVIL_NODE_AGENTPROCESS_H
