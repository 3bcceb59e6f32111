#ifndef ANVIL_SCHED_SCHEDULER_H
#define ANVIL_SCHED_SCHEDULER_H

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/statusor.h"

#include "anvil/base/Ids.h"
#include "anvil/base/LayerError.h"
#include "anvil/base/Time.h"
#include "anvil/sched/Action.h"
#include "anvil/sched/Event.h"
#include "anvil/sched/Job.h"

namespace anvil::sched {

namespace internal {
class SchedulerCore;
} // namespace internal

/// Error codes of this layer.
enum class SchedErrc { InvalidOption = 1, UnknownJob = 2 };

/// Settings of a Scheduler. The defaults are meant for production.
struct SchedulerOptions {
  /// Least time between two passes over the queue, so that a burst of events
  /// costs one pass.
  Duration m_PassInterval{std::chrono::milliseconds(20)};
  /// Durations of the steps of a reclaim. Their sum should stay below 5.5 s,
  /// the time within which urgent jobs start.
  Duration m_CheckpointTime{std::chrono::milliseconds(2500)};
  Duration m_ThrottleTime{std::chrono::milliseconds(500)};
  Duration m_StopTime{std::chrono::milliseconds(1000)};
  /// Number of failures after which a job is given up.
  int32_t m_MaxFailures = 5;
  /// Delay before the first retry of a failed job; doubles up to
  /// m_MaxRetryDelay.
  Duration m_RetryDelay{std::chrono::seconds(1)};
  Duration m_MaxRetryDelay{std::chrono::minutes(5)};
  /// Number of different jobs that must fail on a worker before it is
  /// quarantined.
  int32_t m_QuarantineEvidence = 3;
  /// Largest share of the workers in quarantine at a time; one worker is always
  /// allowed.
  double m_MaxQuarantinedShare = 0.1;
  /// Delay before the first probe of a quarantined worker; doubles up to
  /// m_MaxProbeDelay.
  Duration m_ProbeDelay{std::chrono::seconds(30)};
  Duration m_MaxProbeDelay{std::chrono::minutes(30)};
  /// Largest number of gangs that have a reservation at a time.
  int32_t m_MaxReservations = 8;
  /// Largest number of placement searches in one pass; the next pass continues
  /// with the rest of the queue.
  int32_t m_MaxSearches = 96;
};

/// Totals of the scheduler's state, for metrics and benchmarks.
struct SchedulerCounts {
  int64_t m_Workers = 0;
  int64_t m_QuarantinedWorkers = 0;
  int64_t m_Queued = 0;
  int64_t m_Parked = 0;
  int64_t m_Placed = 0;
  int64_t m_Reservations = 0;
  /// Worker records read by placement searches so far; a measure of cost that
  /// does not depend on the machine.
  int64_t m_WorkersScanned = 0;
  /// Instances of guaranteed shapes that cannot be claimed at present.
  int64_t m_GuaranteesMissing = 0;
};

/// Decides where and when jobs run.
///
/// Deterministic: holds no clock, thread, file or random source. Pass each
/// event with the current time to step() and propose the returned actions to
/// the replicated state. An action takes effect in the scheduler at once; an
/// action that the replicated state refuses comes back as an event
/// (PlacementRefused). To rebuild on a new leader, pass ConfigurationChanged,
/// WorkerUp and ZoneWithdrawn for all that is known, then JobRestored for every
/// job that is not over.
class Scheduler {
public:
  /// Returns a scheduler without workers and jobs, or SchedErrc::InvalidOption
  /// if an option is out of range.
  static absl::StatusOr<Scheduler> create(SchedulerOptions Options);

  Scheduler(Scheduler &&) noexcept;
  Scheduler &operator=(Scheduler &&) noexcept;
  ~Scheduler();

  /// Handles one event and returns the resulting actions. \p Now must not
  /// decrease.
  std::vector<SchedulerAction> step(const SchedulerEvent &Event, TimePoint Now);

  /// Explains to operators the state of a job, its cause, what the job waits
  /// for and what would help. Returns SchedErrc::UnknownJob if the job is
  /// unknown or over.
  absl::StatusOr<std::string> explain(JobId Job, TimePoint Now) const;

  /// Returns the totals. Unlike approximateBytes(), does not read all jobs and
  /// workers.
  SchedulerCounts counts() const;

  /// Returns an estimate of the memory held, in bytes. Costs a pass over the
  /// whole state.
  int64_t approximateBytes() const;

  /// Checks every invariant of the state and returns the first violation; empty
  /// when all hold. Costs a pass over the whole state; meant for tests.
  std::string findViolation() const;

private:
  explicit Scheduler(std::unique_ptr<internal::SchedulerCore> Core);

  std::unique_ptr<internal::SchedulerCore> m_Core;
};

} // namespace anvil::sched

template <> struct anvil::LayerErrorTraits<anvil::sched::SchedErrc> {
  static constexpr std::string_view Layer = "sched";
};

#endif // ANVIL_SCHED_SCHEDULER_H
