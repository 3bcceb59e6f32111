#ifndef ANVIL_SRC_NODE_STATEMETRICS_H
#define ANVIL_SRC_NODE_STATEMETRICS_H

#include <map>
#include <string>

#include "anvil/base/Time.h"
#include "anvil/metrics/Registry.h"
#include "anvil/workload/WorkloadState.h"

namespace anvil::node::internal {

/// Counts the changes of the workload state that the leader applies, and
/// measures how long jobs wait and last.
///
/// Usage: reset() when leadership begins, so that a former leader's jobs are
/// not measured from a wrong start; observe() each change while it leads.
class StateMetrics {
public:
  explicit StateMetrics(metrics::Registry &To) : m_Metrics(To) {}

  void reset() { m_Jobs.clear(); }
  void observe(const workload::WorkloadEvent &Event, TimePoint Now);

private:
  struct Times {
    TimePoint m_AcceptedAt;
    bool m_Started = false;
  };

  void onJob(const workload::JobChanged &Event, TimePoint Now);
  void onPlaced(const workload::RunPlaced &Event, TimePoint Now);

  metrics::Registry &m_Metrics;
  /// Jobs that were accepted under this leadership and have not ended.
  std::map<std::string, Times, std::less<>> m_Jobs;
};

} // namespace anvil::node::internal

#endif // ANVIL_SRC_NODE_STATEMETRICS_H
