#ifndef ANVIL_TESTS_DISPATCH_SIM_FAULTS_H
#define ANVIL_TESTS_DISPATCH_SIM_FAULTS_H

#include <functional>
#include <string>

#include "SimCluster.h"

namespace anvil::sim {

/// Schedules crashes, restarts, partitions, changes of the leader and a drain
/// at random times within \p Span.
void scheduleFaults(SimCluster &Cluster, Duration Span);

/// Simulates half a minute of mixed jobs under faults drawn from \p Seed, and a
/// minute without new faults. Returns the first violation, or an empty text.
std::string
simulateWithFaults(uint64_t Seed,
                   std::function<void(TimePoint, const std::string &)> Trace);

} // namespace anvil::sim

#endif // ANVIL_TESTS_DISPATCH_SIM_FAULTS_H
