#ifndef ANVIL_SRC_DISPATCH_DURATIONS_H
#define ANVIL_SRC_DISPATCH_DURATIONS_H

#include "anvil/base/Time.h"

namespace anvil::dispatch::internal {

/// Returns a span of time in seconds.
inline double secondsOf(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

/// Returns a number of seconds as a span of time, rounded towards zero.
inline Duration durationOf(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

/// Returns \p Value times \p Factor, rounded towards zero.
inline Duration scaled(Duration Value, double Factor) {
  return std::chrono::duration_cast<Duration>(Value * Factor);
}

} // namespace anvil::dispatch::internal

#endif // ANVIL_SRC_DISPATCH_DURATIONS_H
