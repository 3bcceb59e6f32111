#ifndef ANVIL_FAKES_FAKEWORKER_H
#define ANVIL_FAKES_FAKEWORKER_H

#include <map>
#include <memory>
#include <string>

#include "fakes/FakeHttpServer.h"

namespace anvil::fakes {

/// Behaviour of a simulated worker.
struct FakeWorkerOptions {
  net::Endpoint m_Listen{"127.0.0.1", 0};
  int64_t m_Accelerators = 8;
  int64_t m_Cores = 64;
  Duration m_RunTime =
      std::chrono::seconds(10); ///< For tasks whose payload has no "run_ms".
  Duration m_CheckpointTime = std::chrono::milliseconds(100);
  Duration m_StopTime = std::chrono::milliseconds(20);
  Duration m_StartTime{0}; ///< Before a start is answered.
  Duration m_UsageLag = std::chrono::seconds(5); ///< Age of the reported usage.
  bool m_FailStarts = false;                     ///< Refuses every start.
  bool m_IgnoreStop = false; ///< Tasks end only with their lease or run time.
  int64_t m_Instance = 1;    ///< Number of this start of the worker.
};

/// What a simulated worker saw since its start.
struct FakeWorkerCounts {
  int64_t m_StartCalls = 0;
  int64_t m_LeaseStops = 0; ///< Tasks that ended because their lease ran out.
  int64_t m_Overfill = 0; ///< Starts refused because the resources were in use.
  int64_t m_Running = 0;
  std::map<std::string, int64_t> m_Starts; ///< Runs by "job/task/token".
};

/// Simulates a worker: runs tasks under leases, checkpoints, throttles and
/// stops them.
///
/// JSON over HTTP: `POST /tasks/start|renew|checkpoint|throttle|stop` with job,
/// task, token and, for the first two, lease_ms; `GET /tasks?after=N` returns
/// events after N and the running tasks; `GET /counts` shows the counts. A
/// payload `{"run_ms":N,"exit":"failed"}` sets run time and result. It does not
/// notice a repeated start, so that a doubled run shows in the counts.
class FakeWorker {
public:
  static absl::StatusOr<std::unique_ptr<FakeWorker>>
  create(boost::asio::io_context &Io, FakeWorkerOptions Options);
  ~FakeWorker();
  net::Endpoint endpoint() const;
  const FakeWorkerCounts &counts() const;
  /// Returns the behaviour, which may be changed at any time.
  FakeWorkerOptions &behaviour();

private:
  struct Impl;
  explicit FakeWorker(std::shared_ptr<Impl> State);
  std::shared_ptr<Impl> m_Impl;
};

} // namespace anvil::fakes

#endif // ANVIL_FAKES_FAKEWORKER_H
