#ifndef ANVIL_SRC_NODE_ENTRYMETRICS_H
#define ANVIL_SRC_NODE_ENTRYMETRICS_H

#include <string_view>

#include "PolicyWatch.h"
#include "Replica.h"
#include "anvil/metrics/Registry.h"

namespace anvil::node::internal {

inline constexpr metrics::Metric CallTime{
    "anvil_call_seconds",
    "Time from a call of a consumer or operator until its answer."};

/// Returns the names of a call and of its outcome as labels show them.
std::string_view nameOf(const wire::WorkloadCall &Call);
std::string_view nameOf(wire::WorkloadStatus::type Status);

/// Writes the version and the age of the policy that callers are judged by.
void writePolicyMetrics(const PolicyWatch &Watch, TimePoint Now,
                        metrics::PrometheusText &To);

/// Writes the replica's part in the group and the size of its state.
void writeReplicaMetrics(const Replica &Of, metrics::PrometheusText &To);

} // namespace anvil::node::internal

#endif // ANVIL_SRC_NODE_ENTRYMETRICS_H
