#include "StateMetrics.h"

namespace anvil::node::internal {

namespace {

using metrics::Metric;

constexpr Metric JobsEnded{"anvil_jobs_ended_total",
                           "Jobs that ended, by phase."};
constexpr Metric JobsRefused{"anvil_jobs_refused_total",
                             "Jobs that were refused at their submission "
                             "because of the load, by reason and workspace."};
constexpr Metric JobWait{"anvil_job_wait_seconds",
                         "Time from the acceptance of a job until its first "
                         "task was placed."};
constexpr Metric JobTime{"anvil_job_seconds",
                         "Time from the acceptance of a job until its end."};
constexpr Metric RunsPlaced{"anvil_runs_placed_total",
                            "Runs that were placed."};
constexpr Metric RunsStopped{"anvil_runs_stopped_total",
                             "Runs that were ordered to stop, by reason."};
constexpr Metric RunsOver{"anvil_runs_over_total",
                          "Runs that are over, by the way they ended."};
constexpr Metric WorkersLost{"anvil_workers_lost_total",
                             "Workers that were given up, by reason."};

} // namespace

void StateMetrics::observe(const workload::WorkloadEvent &Event,
                           TimePoint Now) {
  if (const auto *Job = std::get_if<workload::JobChanged>(&Event))
    onJob(*Job, Now);
  else if (const auto *Placed = std::get_if<workload::RunPlaced>(&Event))
    onPlaced(*Placed, Now);
  else if (const auto *Stop = std::get_if<workload::RunStopping>(&Event))
    m_Metrics.count(RunsStopped, {{"reason", Stop->m_Reason}});
  else if (const auto *Over = std::get_if<workload::RunEnded>(&Event))
    m_Metrics.count(RunsOver, {{"kind", workload::nameOf(Over->m_Kind)}});
  else if (const auto *Worker = std::get_if<workload::WorkerChanged>(&Event);
           Worker && !Worker->m_Registered)
    m_Metrics.count(WorkersLost, {{"reason", Worker->m_Reason}});
}

void StateMetrics::countRefusal(std::string_view Reason,
                                std::string_view Workspace) {
  m_Metrics.count(JobsRefused, {{"reason", Reason}, {"workspace", Workspace}});
}

void StateMetrics::onJob(const workload::JobChanged &Event, TimePoint Now) {
  if (Event.m_Phase == wire::JobPhase::QUEUED) {
    m_Jobs[Event.m_Job].m_AcceptedAt = Now;
    return;
  }
  if (!workload::hasEnded(Event.m_Phase))
    return;
  m_Metrics.count(JobsEnded, {{"phase", workload::nameOf(Event.m_Phase)}});
  const auto Job = m_Jobs.find(Event.m_Job);
  if (Job == m_Jobs.end())
    return;
  m_Metrics.observe(JobTime, {{"phase", workload::nameOf(Event.m_Phase)}},
                    Now - Job->second.m_AcceptedAt);
  m_Jobs.erase(Job);
}

void StateMetrics::onPlaced(const workload::RunPlaced &Event, TimePoint Now) {
  m_Metrics.count(RunsPlaced, {});
  const auto Job = m_Jobs.find(Event.m_Task.jobId);
  if (Job == m_Jobs.end() || std::exchange(Job->second.m_Started, true))
    return;
  m_Metrics.observe(JobWait, {}, Now - Job->second.m_AcceptedAt);
}

} // namespace anvil::node::internal
