#include "anvil/workload/WorkloadState.h"

#include "absl/strings/str_cat.h"

#include "anvil/base/Port.h"
#include "anvil/net/WireCodec.h"
#include "anvil/workload/Amounts.h"
#include "anvil/workload/Policy.h"

namespace anvil::workload {

std::string WorkloadState::snapshot() const {
  wire::WorkloadSnapshot Contents;
  Contents.appliedIndex = m_AppliedIndex;
  Contents.policy = m_Policy;
  Contents.withdrawnZones.assign(m_WithdrawnZones.begin(),
                                 m_WithdrawnZones.end());
  Contents.zoneRevision = m_ZoneRevision;
  for (const auto &[Id, Replica] : m_Replicas)
    Contents.replicas.push_back(Replica);
  for (const auto &[Id, Job] : m_Jobs)
    Contents.jobs.push_back(Job);
  Contents.endedJobIds = m_EndedJobIds;
  for (const auto &[Id, Worker] : m_Workers)
    Contents.workers.push_back(Worker);
  for (const auto &[Key, Worker] : m_FormerWorkers)
    Contents.formerWorkers.push_back(Worker);
  for (const auto &[Number, Wave] : m_Waves)
    Contents.waves.push_back(Wave);
  return net::encodeStruct(Contents);
}

absl::StatusOr<WorkloadState> WorkloadState::restore(std::string_view Snapshot,
                                                     WorkloadLimits Limits) {
  absl::StatusOr<wire::WorkloadSnapshot> Decoded =
      net::decodeAs<wire::WorkloadSnapshot>(Snapshot);
  if (!Decoded.ok())
    return makeLayerError(absl::StatusCode::kDataLoss,
                          WorkloadErrc::BadSnapshot,
                          fromAbsl(Decoded.status().message()));
  WorkloadState State(Limits);
  State.m_AppliedIndex = Decoded->appliedIndex;
  State.m_Policy = std::move(Decoded->policy);
  State.m_WithdrawnZones.insert(Decoded->withdrawnZones.begin(),
                                Decoded->withdrawnZones.end());
  State.m_ZoneRevision = Decoded->zoneRevision;
  for (wire::ReplicaAddress &Replica : Decoded->replicas)
    State.m_Replicas[Replica.id] = std::move(Replica);
  for (wire::WorkerRecord &Worker : Decoded->workers)
    State.m_Workers[Worker.info.incarnation.id] = std::move(Worker);
  for (wire::WorkerRecord &Worker : Decoded->formerWorkers) {
    const IncarnationKey Key = keyOf(Worker.info.incarnation);
    State.m_FormerWorkers[Key] = std::move(Worker);
  }
  for (wire::WaveRecord &Wave : Decoded->waves)
    State.m_Waves[Wave.wave] = std::move(Wave);
  State.m_EndedJobIds = std::move(Decoded->endedJobIds);
  for (wire::JobRecord &Job : Decoded->jobs) {
    const std::string Id = Job.id;
    wire::JobRecord &Stored = State.m_Jobs[Id] = std::move(Job);
    // Snapshots of earlier versions only name the queue.
    if (const wire::QueuePolicy *Queue =
            queueNamed(State.m_Policy, Stored.queue);
        Queue && Stored.address.path.empty())
      Stored.address = jobAddressOf(Queue->host, Queue->pathPrefix);
    State.indexJob(Stored);
  }
  for (const auto &[Id, Job] : State.m_Jobs)
    for (const auto &[Number, Occurrence] : Job.occurrences)
      for (size_t Step = 0; Step < Occurrence.steps.size(); ++Step)
        for (size_t I = 0; I < Occurrence.steps[Step].tasks.size(); ++I) {
          const wire::TaskRecord &Task = Occurrence.steps[Step].tasks[I];
          if (isActive(Task))
            State.m_RunsByIncarnation[keyOf(Task.worker)].emplace(
                Id, Number, static_cast<int32_t>(Step),
                static_cast<int32_t>(I));
        }
  return State;
}

std::string WorkloadState::findViolation() const {
  std::map<std::string, wire::ResourceAmounts> Used;
  for (const auto &[Id, Job] : m_Jobs) {
    int32_t Active = 0;
    for (const auto &[Number, Occurrence] : Job.occurrences)
      for (size_t Step = 0; Step < Occurrence.steps.size(); ++Step) {
        const wire::StepRecord &Record = Occurrence.steps[Step];
        int32_t Done = 0;
        int32_t StepActive = 0;
        for (const wire::TaskRecord &Task : Record.tasks) {
          Done += Task.phase == wire::TaskPhase::DONE;
          StepActive += isActive(Task);
          if (!isActive(Task))
            continue;
          const bool Former = m_FormerWorkers.contains(keyOf(Task.worker));
          if (!Former && !worker(Task.worker))
            return absl::StrCat("job ", Id, " runs on an unknown worker ",
                                Task.worker.id);
          if (!Former)
            add(Used[Task.worker.id], countedAmounts(Job.spec.steps[Step]));
        }
        Active += StepActive;
        if (Done != Record.done || StepActive != Record.active)
          return absl::StrCat("job ", Id, " step ", Step,
                              " has wrong counts of tasks");
        if (StepActive > 0 &&
            !areDependenciesDone(Job, Occurrence, static_cast<int32_t>(Step)))
          return absl::StrCat("job ", Id, " step ", Step, " runs too early");
      }
    if (Active != Job.activeRuns)
      return absl::StrCat("job ", Id, " has a wrong count of runs");
  }
  for (const auto &[Id, Worker] : m_Workers) {
    if (!(Used[Id] == Worker.used))
      return absl::StrCat("worker ", Id, " has a wrong sum of resources");
    if (!fits(Worker.info.capacity, Worker.used, wire::ResourceAmounts()))
      return absl::StrCat("worker ", Id, " is over its capacity");
  }
  return "";
}

} // namespace anvil::workload
