#ifndef ANVIL_RUNNER_RUNNER_H
#define ANVIL_RUNNER_RUNNER_H

#include <memory>

#include "absl/status/statusor.h"

#include "anvil/base/LayerError.h"
#include "anvil/runner/RunnerTypes.h"

namespace anvil::runner {

/// Error codes of this layer.
enum class RunnerErrc { InvalidOption = 1 };

/// Settings of a Runner.
struct RunnerOptions {
  /// Random text that names this life of the agent.
  std::string m_AgentIncarnation;
  /// Address of the agent; one worker lives beside it at a time.
  std::string m_Address;
  std::string m_AvailabilityZone;
  /// How long runs may go on after the last contact with a confirmed leader.
  Duration m_LeaseSpan{0};
  /// Longest lease that the worker grants at a time.
  Duration m_MaxWorkerLease{0};
  /// Time that a worker needs to carry out a stop.
  Duration m_StopTime{0};
  /// A sync is repeated after this time without an answer.
  Duration m_SyncTimeout = std::chrono::milliseconds(1200);
  /// Least time between two syncs that report nothing new.
  Duration m_MinSyncInterval = std::chrono::milliseconds(20);
  /// How long the worker may delay the answer to a hold while tasks run, which
  /// bounds the age of progress and checkpoints.
  Duration m_BusyHoldWait = std::chrono::milliseconds(500);
  /// The same while nothing runs.
  Duration m_IdleHoldWait = std::chrono::milliseconds(2000);
  /// Delay before an order that got no answer, or that an unhealthy worker
  /// refused, is repeated.
  Duration m_RetryDelay = std::chrono::milliseconds(250);
  /// Refusals by an unhealthy worker after which a run is given back.
  int32_t m_MaxUnhealthyRefusals = 3;
};

/// Carries out the runs that the replicated state wants on the worker beside
/// this agent, and reports how they end.
///
/// It is the only caller of the worker. Usage: create one for each life of the
/// agent, pass each event with the current time to step() and carry out the
/// actions in order; pass a Tick at nextDeadline(). It reads no clock and does
/// no I/O.
///
/// What keeps a task from running twice:
/// - All orders carry the fencing token of the registered life, and the first
///   call after a registration is a hold with it, so orders of a former agent
///   or for a former life are void.
/// - Orders and leases end with the authority of the last confirmed leader:
///   m_LeaseSpan after the sync was sent that it confirmed. After that the
///   leader may place the runs elsewhere.
/// - A run is reported as not started only once no order for it can take
///   effect any more: all of them were answered, or a stop was.
class Runner {
public:
  /// Errors: RunnerErrc::InvalidOption.
  static absl::StatusOr<std::unique_ptr<Runner>> create(RunnerOptions Options);
  ~Runner();

  /// Applies one event at \p Now, which never decreases.
  ActionList step(const Event &Incoming, TimePoint Now);

  /// Returns the next instant at which a Tick can have an effect.
  TimePoint nextDeadline(TimePoint Now) const;

  /// Returns whether a registered worker is served.
  bool serving() const;
  /// Returns the instant after which nothing may run without a confirmed
  /// leader.
  TimePoint authorityEnd() const;

private:
  struct Impl;
  explicit Runner(std::unique_ptr<Impl> State);
  std::unique_ptr<Impl> m_Impl;
};

} // namespace anvil::runner

template <> struct anvil::LayerErrorTraits<anvil::runner::RunnerErrc> {
  static constexpr std::string_view Layer = "runner";
};

#endif // ANVIL_RUNNER_RUNNER_H
