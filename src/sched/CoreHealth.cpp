#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"

#include "Core.h"

namespace anvil::sched::internal {

namespace {
// Failures older than this no longer count against a worker.
constexpr Duration EvidenceMemory = std::chrono::hours(6);
// A job that failed on more workers than this is taken for the cause itself.
constexpr size_t MaxWorkersBlamed = 2;
} // namespace

void SchedulerCore::noteSuccess(const Job &Target) {
  for (const Member &Each : Target.m_Members) {
    Worker &Ran = m_Fleet.worker(Each.m_Worker);
    Ran.m_Evidence.clear();
    if (!Ran.m_Quarantined)
      Ran.m_Probes = 0;
  }
}

void SchedulerCore::noteFailure(JobIndex Index, WorkerIndex Worker) {
  Job &Target = m_Jobs[Index];
  if (std::find(Target.m_FailedOn.begin(), Target.m_FailedOn.end(), Worker) ==
      Target.m_FailedOn.end())
    Target.m_FailedOn.push_back(Worker);
  std::vector<FailureEvidence> &Evidence = m_Fleet.worker(Worker).m_Evidence;
  std::erase_if(Evidence, [&](const FailureEvidence &Entry) {
    return Entry.m_Job == Target.m_Id || m_Now - Entry.m_At > EvidenceMemory;
  });
  Evidence.push_back({Target.m_Id, m_Now});
  if (evidenceAgainst(m_Fleet.worker(Worker)) >= m_Options.m_QuarantineEvidence)
    quarantine(Worker);
}

int32_t SchedulerCore::evidenceAgainst(const Worker &Target) const {
  int32_t Count = 0;
  for (const FailureEvidence &Entry : Target.m_Evidence) {
    const JobIndex Index = findJob(Entry.m_Job);
    if (Index < 0 || m_Jobs[Index].m_FailedOn.size() <= MaxWorkersBlamed)
      ++Count;
  }
  return Count;
}

void SchedulerCore::forgetEvidence(const Job &Target) {
  if (Target.m_FailedOn.size() <= MaxWorkersBlamed)
    return;
  for (const WorkerIndex Index : Target.m_FailedOn) {
    std::erase_if(m_Fleet.worker(Index).m_Evidence,
                  [&](const FailureEvidence &Entry) {
                    return Entry.m_Job == Target.m_Id;
                  });
  }
}

void SchedulerCore::quarantine(WorkerIndex Index) {
  Worker &Target = m_Fleet.worker(Index);
  const int Bound =
      std::max(1, static_cast<int>(std::floor(m_Options.m_MaxQuarantinedShare *
                                              m_Fleet.size())));
  if (Target.m_Quarantined || m_QuarantinedCount >= Bound)
    return;
  Target.m_Quarantined = true;
  ++m_QuarantinedCount;
  m_Fleet.refresh(Index);
  // The worker was the cause, so the failures do not count against the jobs.
  for (const FailureEvidence &Entry : Target.m_Evidence) {
    const JobIndex Failed = findJob(Entry.m_Job);
    if (Failed >= 0 && m_Jobs[Failed].m_Failures > 0)
      --m_Jobs[Failed].m_Failures;
  }
  emit(QuarantineWorker{
      Target.m_Vm, true,
      absl::StrCat(Target.m_Evidence.size(),
                   " different jobs failed on it without a success")});
  const int Doublings = std::min(Target.m_Probes, 20);
  m_ProbeTimers.insert(
      {m_Now + std::min(m_Options.m_ProbeDelay * (1 << Doublings),
                        m_Options.m_MaxProbeDelay),
       Index});
  m_HomesDirty = true;
  m_Dirty = true;
}

void SchedulerCore::probe(WorkerIndex Index) {
  Worker &Target = m_Fleet.worker(Index);
  if (!Target.m_Quarantined)
    return;
  const int Doublings = std::min(++Target.m_Probes, 20);
  m_ProbeTimers.insert(
      {m_Now + std::min(m_Options.m_ProbeDelay * (1 << Doublings),
                        m_Options.m_MaxProbeDelay),
       Index});
  if (Target.m_Up)
    emit(ProbeWorker{Target.m_Vm, absl::StrCat("probe ", Target.m_Probes,
                                               " of a quarantined worker")});
}

void SchedulerCore::on(const ProbeEnded &Event) {
  const WorkerIndex Index = m_Fleet.find(Event.m_Vm);
  if (Index < 0 || !m_Fleet.worker(Index).m_Quarantined || !Event.m_Healthy)
    return;
  Worker &Target = m_Fleet.worker(Index);
  Target.m_Quarantined = false;
  --m_QuarantinedCount;
  std::erase_if(m_ProbeTimers,
                [Index](const auto &Timer) { return Timer.second == Index; });
  // On probation: one more job failing here sends it back, one success restores
  // full trust.
  const auto Kept =
      std::min(Target.m_Evidence.size(),
               static_cast<size_t>(m_Options.m_QuarantineEvidence - 1));
  Target.m_Evidence.resize(Kept);
  for (FailureEvidence &Entry : Target.m_Evidence)
    Entry.m_At = m_Now;
  m_Fleet.refresh(Index);
  emit(QuarantineWorker{Target.m_Vm, false, "the probe succeeded"});
  m_HomesDirty = true;
  m_ReviewParked = true;
  capacityGrew();
}

} // namespace anvil::sched::internal
