#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"

#include "Core.h"

namespace anvil::sched::internal {

namespace {
// Age after which a failure no longer counts against a worker.
constexpr Duration EvidenceLifetime = std::chrono::hours(6);
// A job that failed on more workers than this is itself considered the cause.
constexpr size_t MaxWorkersFailedOn = 2;
} // namespace

void SchedulerCore::noteSuccess(const JobState &Job) {
  for (const Member &Each : Job.m_Members) {
    WorkerState &Ran = m_Fleet.worker(Each.m_Worker);
    Ran.m_Evidence.clear();
    if (!Ran.m_Quarantined)
      Ran.m_Probes = 0;
  }
}

void SchedulerCore::noteFailure(JobIndex Index, WorkerIndex Worker) {
  JobState &Job = m_Jobs[Index];
  if (std::find(Job.m_FailedOn.begin(), Job.m_FailedOn.end(), Worker) ==
      Job.m_FailedOn.end())
    Job.m_FailedOn.push_back(Worker);
  std::vector<FailureEvidence> &Evidence = m_Fleet.worker(Worker).m_Evidence;
  std::erase_if(Evidence, [&](const FailureEvidence &Entry) {
    return Entry.m_Job == Job.m_Id ||
           m_Now - Entry.m_FailedAt > EvidenceLifetime;
  });
  Evidence.push_back({Job.m_Id, m_Now});
  if (countEvidence(m_Fleet.worker(Worker)) >= m_Options.m_QuarantineEvidence)
    quarantine(Worker);
}

int32_t SchedulerCore::countEvidence(const WorkerState &Worker) const {
  int32_t Count = 0;
  for (const FailureEvidence &Entry : Worker.m_Evidence) {
    const JobIndex Index = findJob(Entry.m_Job);
    if (Index < 0 || m_Jobs[Index].m_FailedOn.size() <= MaxWorkersFailedOn)
      ++Count;
  }
  return Count;
}

void SchedulerCore::forgetEvidence(const JobState &Job) {
  if (Job.m_FailedOn.size() <= MaxWorkersFailedOn)
    return;
  for (const WorkerIndex Index : Job.m_FailedOn) {
    std::erase_if(
        m_Fleet.worker(Index).m_Evidence,
        [&](const FailureEvidence &Entry) { return Entry.m_Job == Job.m_Id; });
  }
}

void SchedulerCore::quarantine(WorkerIndex Index) {
  WorkerState &Worker = m_Fleet.worker(Index);
  const int Bound =
      std::max(1, static_cast<int>(std::floor(m_Options.m_MaxQuarantinedShare *
                                              m_Fleet.size())));
  if (Worker.m_Quarantined || m_QuarantinedCount >= Bound)
    return;
  Worker.m_Quarantined = true;
  ++m_QuarantinedCount;
  m_Fleet.refresh(Index);
  // The worker is considered the cause, so its failures no longer count against
  // the jobs.
  for (const FailureEvidence &Entry : Worker.m_Evidence) {
    const JobIndex Failed = findJob(Entry.m_Job);
    if (Failed >= 0 && m_Jobs[Failed].m_Failures > 0)
      --m_Jobs[Failed].m_Failures;
  }
  emit(QuarantineWorker{
      Worker.m_Vm, true,
      absl::StrCat(Worker.m_Evidence.size(),
                   " different jobs failed on it without a success")});
  const int Doublings = std::min(Worker.m_Probes, 20);
  m_ProbeTimers.insert(
      {m_Now + std::min(m_Options.m_ProbeDelay * (1 << Doublings),
                        m_Options.m_MaxProbeDelay),
       Index});
  m_GuaranteesDirty = true;
  m_Dirty = true;
}

void SchedulerCore::probe(WorkerIndex Index) {
  WorkerState &Worker = m_Fleet.worker(Index);
  if (!Worker.m_Quarantined)
    return;
  const int Doublings = std::min(++Worker.m_Probes, 20);
  m_ProbeTimers.insert(
      {m_Now + std::min(m_Options.m_ProbeDelay * (1 << Doublings),
                        m_Options.m_MaxProbeDelay),
       Index});
  if (Worker.m_Up)
    emit(ProbeWorker{Worker.m_Vm, absl::StrCat("probe ", Worker.m_Probes,
                                               " of a quarantined worker")});
}

void SchedulerCore::handle(const ProbeEnded &Event) {
  const WorkerIndex Index = m_Fleet.find(Event.m_Vm);
  if (Index < 0 || !m_Fleet.worker(Index).m_Quarantined || !Event.m_Healthy)
    return;
  WorkerState &Worker = m_Fleet.worker(Index);
  Worker.m_Quarantined = false;
  --m_QuarantinedCount;
  std::erase_if(m_ProbeTimers,
                [Index](const auto &Timer) { return Timer.second == Index; });
  // One more failed job quarantines the worker again; one success clears its
  // evidence.
  const auto Kept =
      std::min(Worker.m_Evidence.size(),
               static_cast<size_t>(m_Options.m_QuarantineEvidence - 1));
  Worker.m_Evidence.resize(Kept);
  for (FailureEvidence &Entry : Worker.m_Evidence)
    Entry.m_FailedAt = m_Now;
  m_Fleet.refresh(Index);
  emit(QuarantineWorker{Worker.m_Vm, false, "the probe succeeded"});
  m_GuaranteesDirty = true;
  m_ReviewParked = true;
  capacityGrew();
}

} // namespace anvil::sched::internal
