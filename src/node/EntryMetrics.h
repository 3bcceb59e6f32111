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

/// Returns the label value of a call.
std::string_view nameOf(const wire::WorkloadCall &Call);
/// Returns the label value of the outcome of a call.
std::string_view nameOf(wire::WorkloadStatus::type Status);

/// Writes the version, freshness and age of the policy that admits callers.
void writePolicyMetrics(const PolicyWatch &Watch, TimePoint Now,
                        metrics::PrometheusText &Output);

/// Writes the replica's role in the group and the size of its state.
void writeReplicaMetrics(const Replica &Source,
                         metrics::PrometheusText &Output);

} // namespace anvil::node::internal

#endif // ANVIL_SRC_NODE_ENTRYMETRICS_H
