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
  /// Identifies this incarnation of the agent; random text.
  std::string m_AgentIncarnation;
  /// Address of the agent, reported to the leader with the worker. The agent
  /// serves one worker at a time.
  std::string m_Address;
  std::string m_AvailabilityZone;
  /// How long runs may continue after a sync that a confirmed leader answered
  /// was sent. Must be positive.
  Duration m_LeaseSpan{0};
  /// Longest lease that the worker accepts in one call. Must be positive.
  Duration m_MaxWorkerLease{0};
  /// Time within which the worker carries out a stop.
  Duration m_StopTime{0};
  /// Timeout of a sync, after which it counts as failed and is repeated.
  Duration m_SyncTimeout = std::chrono::milliseconds(1200);
  /// Minimum time between two syncs.
  Duration m_MinSyncInterval = std::chrono::milliseconds(20);
  /// How long the worker may delay the answer to a hold while runs or ends are
  /// pending. Bounds the age of the reported progress and checkpoints.
  Duration m_BusyHoldWait = std::chrono::milliseconds(500);
  /// How long the worker may delay the answer to a hold otherwise.
  Duration m_IdleHoldWait = std::chrono::milliseconds(2000);
  /// Delay before a call that failed is repeated.
  Duration m_RetryDelay = std::chrono::milliseconds(250);
  /// Refusals by an unhealthy worker after which a run is reported to the
  /// leader as not started.
  int32_t m_MaxUnhealthyRefusals = 3;
};

/// Starts and stops runs on the worker next to this agent as the leader orders,
/// and reports to the leader how they end. It is the only caller of the worker.
///
/// Usage: create one for each incarnation of the agent, pass each event with
/// the current time to step() and carry out the returned actions in order. Pass
/// a Tick at nextDeadline(). It reads no clock and does no I/O.
///
/// A task never runs twice at a time, for these reasons:
/// - Every order carries the fencing token of the registered incarnation of the
///   worker, and the first call after a registration is a hold with that token.
///   The worker therefore refuses orders of an earlier agent, or orders that
///   were meant for an earlier incarnation.
/// - Orders and leases expire with the authority of the leader, which ends
///   m_LeaseSpan after the latest sync that the leader confirmed was sent.
///   After that the leader may place the runs on another worker.
/// - When a worker is lost, the runs that its successor may start or be running
///   are reported with the loss. The leader keeps them until the successor has
///   listed its runs. Until the successor announces itself, its address is
///   called with a higher token, so that it refuses orders in flight.
/// - A run is reported as not started only when no order for it can take effect
///   any more, because either every order or a stop was answered.
class Runner {
public:
  /// Returns RunnerErrc::InvalidOption if the agent has no incarnation or a
  /// lease is not positive.
  static absl::StatusOr<std::unique_ptr<Runner>> create(RunnerOptions Options);
  ~Runner();

  /// Applies one event and returns the actions that follow from it. \p Now must
  /// not decrease from call to call.
  ActionList step(const Event &Incoming, TimePoint Now);

  /// Returns when the next Tick is due; always after \p Now.
  TimePoint nextDeadline(TimePoint Now) const;

  /// Returns true if a worker is registered and fenced, so that runs can start.
  bool serving() const;
  /// Returns the time after which nothing may run unless a leader confirms
  /// another sync first.
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
