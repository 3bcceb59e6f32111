#ifndef ANVIL_SRC_NODE_STATEMETRICS_H
#define ANVIL_SRC_NODE_STATEMETRICS_H

#include <map>
#include <string>
#include <string_view>

#include "anvil/base/Time.h"
#include "anvil/metrics/Registry.h"
#include "anvil/workload/WorkloadState.h"

namespace anvil::node::internal {

/// Counts the changes of the workload state that the leader applies, and
/// measures the waiting time and the duration of jobs.
///
/// Usage: reset() when leadership begins, since the acceptance times of jobs
/// that a former leader accepted are unknown; observe() each change while it
/// leads.
class StateMetrics {
public:
  explicit StateMetrics(metrics::Registry &Registry) : m_Metrics(Registry) {}

  void reset() { m_Jobs.clear(); }
  void observe(const workload::WorkloadEvent &Event, TimePoint Now);
  /// Counts a job that was refused at its submission because of the load.
  void countRefusal(std::string_view Reason, std::string_view Workspace);

private:
  struct JobTimes {
    TimePoint m_AcceptedAt;
    bool m_Started = false;
  };

  void onJob(const workload::JobChanged &Event, TimePoint Now);
  void onPlaced(const workload::RunPlaced &Event, TimePoint Now);

  metrics::Registry &m_Metrics;
  /// Jobs that were accepted during this leadership and have not ended.
  std::map<std::string, JobTimes, std::less<>> m_Jobs;
};

} // namespace anvil::node::internal

#endif // ANVIL_SRC_NODE_STATEMETRICS_H
