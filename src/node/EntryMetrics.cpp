#include "EntryMetrics.h"

namespace anvil::node::internal {

namespace {

void writeGauge(metrics::PrometheusText &To, std::string_view Name,
                std::string_view Help, double Value) {
  To.gauge(Name, Help);
  To.sample(Value);
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
  return Set.startWave || Set.waveState ? "wave" : "other";
}

std::string_view nameOf(wire::WorkloadStatus::type Status) {
  using Status_ = wire::WorkloadStatus;
  switch (Status) {
  case Status_::OK:
    return "ok";
  case Status_::UNCHANGED:
    return "unchanged";
  case Status_::INVALID:
    return "invalid";
  case Status_::UNAUTHORIZED:
    return "unauthorized";
  case Status_::FORBIDDEN:
    return "forbidden";
  case Status_::NO_QUEUE:
    return "no-queue";
  case Status_::NO_JOB:
    return "no-job";
  case Status_::OVERLOADED:
    return "overloaded";
  case Status_::NOT_READY:
    return "not-ready";
  case Status_::UNKNOWN:
    return "unknown";
  }
  return "unknown";
}

void writePolicyMetrics(const PolicyWatch &Watch, TimePoint Now,
                        metrics::PrometheusText &To) {
  writeGauge(To, "anvil_policy_version", "Version of the policy in use.",
             static_cast<double>(Watch.policy().version));
  writeGauge(To, "anvil_policy_fresh",
             "1 if a leader confirmed the policy lately; otherwise callers "
             "are refused.",
             Watch.fresh() ? 1 : 0);
  writeGauge(
      To, "anvil_policy_age_seconds",
      "Time since a leader confirmed the policy; -1 before the first.",
      Watch.confirmedAt() == TimePoint()
          ? -1
          : std::chrono::duration<double>(Now - Watch.confirmedAt()).count());
}

void writeReplicaMetrics(const Replica &Of, metrics::PrometheusText &To) {
  const raft::RaftStatus Status = Of.status();
  writeGauge(To, "anvil_leads", "1 if this process leads the group.",
             Of.leads() ? 1 : 0);
  writeGauge(To, "anvil_term", "Term of the replicated log.",
             static_cast<double>(Status.m_Term));
  writeGauge(To, "anvil_voters", "Voters of the group.",
             static_cast<double>(Status.m_Members.m_Voters.size()));
  writeGauge(To, "anvil_learners", "Learners of the group.",
             static_cast<double>(Status.m_Members.m_Learners.size()));
  writeGauge(To, "anvil_applied_index", "Last applied position of the log.",
             static_cast<double>(Of.state().appliedIndex()));
  writeGauge(To, "anvil_live_jobs", "Jobs that have not ended.",
             static_cast<double>(Of.state().liveJobs().size()));
  writeGauge(To, "anvil_workers", "Registered workers.",
             static_cast<double>(Of.state().workers().size()));
  To.gauge("anvil_pending_jobs", "Jobs without a started task, by queue.");
  for (const auto &[Queue, Count] : Of.state().pendingByQueue())
    To.sample(static_cast<double>(Count), {{"queue", Queue}});
}

} // namespace anvil::node::internal
