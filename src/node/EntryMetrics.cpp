#include "EntryMetrics.h"

namespace anvil::node::internal {

namespace {

void writeGauge(metrics::PrometheusText &Output, std::string_view Name,
                std::string_view Help, double Value) {
  Output.gauge(Name, Help);
  Output.sample(Value);
}

} // namespace

std::string_view nameOf(const wire::WorkloadCall &Call) {
  const auto &Set = Call.__isset;
  if (Set.submit)
    return "submit";
  if (Set.cancel)
    return "cancel";
  if (Set.status)
    return "status";
  if (Set.putPolicy)
    return "put-policy";
  if (Set.getPolicy)
    return "get-policy";
  if (Set.setZone)
    return "set-zone";
  if (Set.getZoneRevision)
    return "get-zone-revision";
  return Set.startWave || Set.waveState ? "wave" : "other";
}

std::string_view nameOf(wire::WorkloadStatus::type Status) {
  using Code = wire::WorkloadStatus;
  switch (Status) {
  case Code::OK:
    return "ok";
  case Code::UNCHANGED:
    return "unchanged";
  case Code::INVALID:
    return "invalid";
  case Code::UNAUTHORIZED:
    return "unauthorized";
  case Code::FORBIDDEN:
    return "forbidden";
  case Code::NO_QUEUE:
    return "no-queue";
  case Code::NO_JOB:
    return "no-job";
  case Code::OVERLOADED:
    return "overloaded";
  case Code::NOT_READY:
    return "not-ready";
  case Code::UNKNOWN:
    return "unknown";
  case Code::OUTDATED:
    return "outdated";
  }
  return "unknown";
}

void writePolicyMetrics(const PolicyWatch &Watch, TimePoint Now,
                        metrics::PrometheusText &Output) {
  writeGauge(Output, "anvil_policy_version", "Version of the policy in use.",
             static_cast<double>(Watch.policy().version));
  writeGauge(Output, "anvil_policy_fresh",
             "1 if a leader confirmed the policy lately; otherwise callers "
             "are refused.",
             Watch.fresh() ? 1 : 0);
  writeGauge(
      Output, "anvil_policy_age_seconds",
      "Time since a leader confirmed the policy; -1 before the first.",
      Watch.confirmedAt() == TimePoint()
          ? -1
          : std::chrono::duration<double>(Now - Watch.confirmedAt()).count());
}

void writeReplicaMetrics(const Replica &Source,
                         metrics::PrometheusText &Output) {
  const raft::RaftStatus Status = Source.status();
  writeGauge(Output, "anvil_leads", "1 if this process leads the group.",
             Source.leads() ? 1 : 0);
  writeGauge(Output, "anvil_term", "Term of the replicated log.",
             static_cast<double>(Status.m_Term));
  writeGauge(Output, "anvil_voters", "Voters of the group.",
             static_cast<double>(Status.m_Members.m_Voters.size()));
  writeGauge(Output, "anvil_learners", "Learners of the group.",
             static_cast<double>(Status.m_Members.m_Learners.size()));
  writeGauge(Output, "anvil_applied_index", "Last applied position of the log.",
             static_cast<double>(Source.state().appliedIndex()));
  writeGauge(Output, "anvil_live_jobs", "Jobs that have not ended.",
             static_cast<double>(Source.state().liveJobs().size()));
  writeGauge(Output, "anvil_workers", "Registered workers.",
             static_cast<double>(Source.state().workers().size()));
  Output.gauge("anvil_pending_jobs", "Jobs without a started task, by queue.");
  for (const auto &[Queue, Count] : Source.state().pendingByQueue())
    Output.sample(static_cast<double>(Count), {{"queue", Queue}});
}

} // namespace anvil::node::internal
