#ifndef ANVIL_TESTS_DISPATCH_SIM_FAULTS_H
#define ANVIL_TESTS_DISPATCH_SIM_FAULTS_H

#include <functional>
#include <string>

#include "World.h"

namespace anvil::sim {

/// Schedules crashes, restarts, partitions, changes of the leader and a drain
/// at random times within \p Span.
void scheduleFaults(World &Of, Duration Span);

/// Plays half a minute of mixed jobs under faults drawn from \p Seed, and a
/// minute of calm. Returns the first broken promise, or an empty text.
std::string
playFaultyDay(uint64_t Seed,
              std::function<void(TimePoint, const std::string &)> Trace);

} // namespace anvil::sim

#endif // ANVIL_TESTS_DISPATCH_SIM_FAULTS_H
