#ifndef ANVIL_BASE_TIME_H
#define ANVIL_BASE_TIME_H

#include <chrono>
#include <cstdint>

namespace anvil {

/// Span of time in microseconds.
using Duration = std::chrono::microseconds;

/// Clock tag for instants that decision modules receive as arguments.
///
/// It has no now(): only shells read clocks. The epoch is arbitrary, so two
/// processes must not compare instants.
struct MonotonicClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock>;
};

/// Instant on the monotonic clock of one process.
using TimePoint = MonotonicClock::time_point;

/// Returns the instant \p Micros microseconds after the epoch of the clock.
constexpr TimePoint timePointFromMicros(int64_t Micros) {
  return TimePoint(Duration(Micros));
}

/// Returns the microseconds between the epoch of the clock and \p Time.
constexpr int64_t microsOf(TimePoint Time) {
  return Time.time_since_epoch().count();
}

} // namespace anvil

#endif // ANVIL_BASE_TIME_H
