#include "World.h"

#include <algorithm>

namespace anvil::bench {

namespace {
constexpr Duration PrepareTime = std::chrono::milliseconds(200);
constexpr Duration StopTime = std::chrono::milliseconds(200);
constexpr Duration CheckpointInterval = std::chrono::minutes(10);
constexpr Duration SampleInterval = std::chrono::minutes(1);
constexpr Duration BusyTick = std::chrono::milliseconds(100);
constexpr Duration IdleTick = std::chrono::seconds(1);
// Lease of 60 s plus 10% for clock rates and 5 s to stop.
constexpr Duration LeaseEnd = std::chrono::seconds(71);
constexpr Duration OutageTail = std::chrono::minutes(10);
// Within this time urgent work and claimed guarantees have to start.
constexpr double StartBound = 5.5;
// Share of the checkpoint requests that are never answered.
constexpr double CheckpointHangs = 0.03;
constexpr std::array<int64_t, 3> GangSizes = {8, 64, 256};

double secondsOf(Duration Span) {
  return static_cast<double>(Span.count()) / 1e6;
}

double quantile(std::vector<double> &Values, double Share) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  const auto At =
      static_cast<size_t>(Share * static_cast<double>(Values.size()));
  return Values[std::min(At, Values.size() - 1)];
}

void addAmount(Resources &Target, const Resources &Amount, int64_t Factor) {
  Target.m_Accelerators += Amount.m_Accelerators * Factor;
  Target.m_Cores += Amount.m_Cores * Factor;
  Target.m_MemoryMib += Amount.m_MemoryMib * Factor;
}

double acceleratorsOf(const JobSpec &Spec) {
  return static_cast<double>(Spec.m_PerTask.m_Accelerators * Spec.m_Tasks);
}
} // namespace

World::World(const Table &Source, Policy Scheduler)
    : m_Table(Source), m_Policy(std::move(Scheduler)),
      m_Jobs(Source.m_Jobs.size()), m_Random(Source.m_Seed) {
  absl::flat_hash_map<RackId, int32_t> Racks;
  for (const WorkerUp &Each : Source.m_Workers) {
    auto Zone = std::find(m_Zones.begin(), m_Zones.end(), Each.m_Zone);
    if (Zone == m_Zones.end())
      Zone = m_Zones.insert(m_Zones.end(), Each.m_Zone);
    const int32_t Rack =
        Racks.try_emplace(Each.m_Rack, static_cast<int32_t>(Racks.size()))
            .first->second;
    m_WorkerIndex[Each.m_Vm] = static_cast<int32_t>(m_Workers.size());
    m_Workers.push_back(
        {{}, true, static_cast<int32_t>(Zone - m_Zones.begin()), Rack});
    m_CapacityNow += static_cast<double>(Each.m_Capacity.m_Accelerators);
  }
  m_RackCount = static_cast<int32_t>(Racks.size());
}

void World::push(TimePoint At, Kind What, int32_t Job, bool AtCheckpoint) {
  m_Queue.push({At, m_Sequence++, What, Job,
                Job >= 0 ? m_Jobs[Job].m_Generation : 0, AtCheckpoint});
}

Figures World::run() {
  feed(ConfigurationChanged{m_Table.m_Workspaces});
  for (const WorkerUp &Each : m_Table.m_Workers)
    feed(Each);
  for (size_t I = 0; I < m_Table.m_Jobs.size(); ++I)
    push(m_Table.m_Jobs[I].m_At, Kind::Arrive, static_cast<int32_t>(I));
  if (m_Table.m_Outage) {
    push(m_Table.m_Outage->m_At, Kind::Withdraw);
    push(m_Table.m_Outage->m_At + m_Table.m_Outage->m_Notice, Kind::Vanish);
    push(m_Table.m_Outage->m_Back, Kind::Return);
  }
  push(m_Now, Kind::Tick);
  push(m_Now, Kind::Sample);
  m_Open = static_cast<int64_t>(m_Table.m_Jobs.size());
  while (!m_Queue.empty() && m_Open > 0 &&
         m_Queue.top().m_At <= m_Table.m_Horizon) {
    const Event Each = m_Queue.top();
    m_Queue.pop();
    accountOutage(Each.m_At);
    m_Now = Each.m_At;
    handle(Each);
  }
  summarise();
  return m_Figures;
}

void World::handle(const Event &Each) {
  const bool Stale =
      Each.m_Job >= 0 && Each.m_Generation != m_Jobs[Each.m_Job].m_Generation;
  if (Stale)
    return;
  switch (Each.m_Kind) {
  case Kind::Arrive:
    m_Jobs[Each.m_Job].m_Phase = Phase::Waiting;
    m_Jobs[Each.m_Job].m_Entitled = entitled(Each.m_Job);
    ++m_Waiting;
    m_DemandNow += acceleratorsOf(m_Table.m_Jobs[Each.m_Job].m_Spec);
    return feed(
        JobSubmitted{JobId(Each.m_Job), m_Table.m_Jobs[Each.m_Job].m_Spec});
  case Kind::Start:
    return start(Each.m_Job);
  case Kind::End:
    return end(Each.m_Job);
  case Kind::Release:
    return release(Each.m_Job, Each.m_AtCheckpoint);
  case Kind::Checkpoint:
    m_Jobs[Each.m_Job].m_CheckpointAt = m_Now;
    push(m_Now + CheckpointInterval, Kind::Checkpoint, Each.m_Job);
    return feed(CheckpointDone{JobId(Each.m_Job)});
  case Kind::Fail: {
    JobState &Job = m_Jobs[Each.m_Job];
    const auto Bad = std::find_if(
        Job.m_Workers.begin(), Job.m_Workers.end(), [&](int32_t Worker) {
          const VmId &Vm = m_Table.m_Workers[Worker].m_Vm;
          return std::find(m_Table.m_Faulty.begin(), m_Table.m_Faulty.end(),
                           Vm) != m_Table.m_Faulty.end();
        });
    ++Job.m_Generation;
    push(m_Now + StopTime, Kind::Release, Each.m_Job);
    return feed(TaskFailed{JobId(Each.m_Job), 0, m_Table.m_Workers[*Bad].m_Vm,
                           "exit code 1"});
  }
  case Kind::Withdraw:
    return noteZone(true);
  case Kind::Vanish:
    return vanish();
  case Kind::Return:
    return noteZone(false);
  case Kind::Sample:
    push(m_Now + SampleInterval, Kind::Sample);
    return sample();
  case Kind::Tick:
    push(m_Now + (m_Waiting > 0 ? BusyTick : IdleTick), Kind::Tick);
    return feed(Tick{});
  }
}

void World::feed(const SchedulerEvent &Each) {
  for (const SchedulerAction &Action : m_Policy(Each, m_Now))
    apply(Action);
}

void World::apply(const SchedulerAction &Action) {
  if (const auto *Place = std::get_if<PlaceGang>(&Action))
    return applyPlace(*Place);
  if (const auto *Reclaim = std::get_if<ReclaimJob>(&Action))
    return applyReclaim(*Reclaim);
  if (const auto *GiveUp = std::get_if<GiveUpJob>(&Action)) {
    m_Jobs[GiveUp->m_Job.value()].m_Phase = Phase::Over;
    m_DemandNow -= acceleratorsOf(m_Table.m_Jobs[GiveUp->m_Job.value()].m_Spec);
    ++m_Figures.m_GivenUp;
    --m_Open;
    --m_Waiting;
  }
  if (const auto *Quarantine = std::get_if<QuarantineWorker>(&Action))
    m_Figures.m_Quarantines += Quarantine->m_Quarantined ? 1 : 0;
  if (const auto *Probe = std::get_if<ProbeWorker>(&Action)) {
    const bool Faulty =
        std::find(m_Table.m_Faulty.begin(), m_Table.m_Faulty.end(),
                  Probe->m_Vm) != m_Table.m_Faulty.end();
    feed(ProbeEnded{Probe->m_Vm, !Faulty || m_Now >= m_Table.m_RepairedAt});
  }
}

void World::applyPlace(const PlaceGang &Action) {
  const auto Index = static_cast<int32_t>(Action.m_Job.value());
  JobState &Job = m_Jobs[Index];
  const JobSpec &Spec = m_Table.m_Jobs[Index].m_Spec;
  if (static_cast<int32_t>(Action.m_Members.size()) != Spec.m_Tasks ||
      Job.m_Phase != Phase::Waiting)
    ++m_Figures.m_PartialGangs;
  for (const MemberPlacement &Each : Action.m_Members) {
    const int32_t Worker = m_WorkerIndex.at(Each.m_Vm);
    if (!m_Workers[Worker].m_Alive ||
        m_Workers[Worker].m_Zone == m_WithdrawnZone)
      ++m_Figures.m_StartsWithdrawn;
    addAmount(m_Workers[Worker].m_Used, Spec.m_PerTask, 1);
    const Resources &Used = m_Workers[Worker].m_Used;
    const Resources &Capacity = m_Table.m_Workers[Worker].m_Capacity;
    if (Used.m_Accelerators > Capacity.m_Accelerators ||
        Used.m_Cores > Capacity.m_Cores ||
        Used.m_MemoryMib > Capacity.m_MemoryMib)
      ++m_Figures.m_OverCapacity;
    Job.m_Workers.push_back(Worker);
  }
  Job.m_Phase = Phase::Placed;
  Job.m_ReleasePending = false;
  Job.m_Reclaiming = false;
  ++Job.m_Generation;
  --m_Waiting;
  push(m_Now + PrepareTime, Kind::Start, Index);
}

void World::start(int32_t Index) {
  JobState &Job = m_Jobs[Index];
  const Arrival &Source = m_Table.m_Jobs[Index];
  if (!Job.m_MayStartAgain)
    ++m_Figures.m_Doubled;
  if (!Job.m_EverStarted)
    Job.m_FirstStart = m_Now;
  Job.m_EverStarted = true;
  Job.m_Phase = Phase::Running;
  Job.m_StartedAt = m_Now;
  Job.m_CheckpointAt = m_Now;
  const bool Faulty =
      m_Now < m_Table.m_RepairedAt &&
      std::any_of(
          Job.m_Workers.begin(), Job.m_Workers.end(), [&](int32_t Worker) {
            const VmId &Vm = m_Table.m_Workers[Worker].m_Vm;
            return std::find(m_Table.m_Faulty.begin(), m_Table.m_Faulty.end(),
                             Vm) != m_Table.m_Faulty.end();
          });
  Job.m_MayStartAgain = Source.m_Spec.m_Idempotent;
  if (Faulty)
    push(m_Now + std::chrono::seconds(1), Kind::Fail, Index);
  else
    push(m_Now + Source.m_RunTime - Job.m_Kept, Kind::End, Index);
  if (Source.m_Spec.m_Checkpointable)
    push(m_Now + CheckpointInterval, Kind::Checkpoint, Index);
  feed(PlacementConfirmed{JobId(Index)});
  feed(JobStarted{JobId(Index)});
}

void World::applyReclaim(const ReclaimJob &Action) {
  const auto Index = static_cast<int32_t>(Action.m_Job.value());
  JobState &Job = m_Jobs[Index];
  if (Job.m_Phase != Phase::Placed && Job.m_Phase != Phase::Running)
    return;
  if (!Job.m_Reclaiming) {
    Job.m_Reclaiming = true;
    Job.m_ReclaimedAt = m_Now;
    ++m_Waiting;
    ++m_Figures.m_Reclaims;
  }
  if (Action.m_Mode == ReclaimMode::Throttle || Job.m_ReleasePending)
    return;
  if (Action.m_Mode == ReclaimMode::Stop) {
    Job.m_ReleasePending = true;
    // A gang that has not started is not allowed to start any more.
    if (Job.m_Phase == Phase::Placed)
      ++Job.m_Generation;
    return push(m_Now + StopTime, Kind::Release, Index);
  }
  std::uniform_real_distribution<double> Uniform(0, 1);
  const double Draw = Uniform(m_Random);
  const double Span = 0.3 + 1.2 * Uniform(m_Random);
  if (Draw < CheckpointHangs)
    return;
  Job.m_ReleasePending = true;
  push(m_Now + Duration(static_cast<int64_t>(Span * 1e6)), Kind::Release, Index,
       true);
}

void World::release(int32_t Index, bool AtCheckpoint) {
  JobState &Job = m_Jobs[Index];
  const bool Started = Job.m_Phase != Phase::Placed;
  const double Accelerators = acceleratorsOf(m_Table.m_Jobs[Index].m_Spec);
  if (Job.m_Phase == Phase::Running) {
    const bool Checkpointable = m_Table.m_Jobs[Index].m_Spec.m_Checkpointable;
    TimePoint Until = Job.m_StartedAt;
    if (AtCheckpoint)
      Until = m_Now;
    else if (Checkpointable)
      Until = Job.m_CheckpointAt;
    Job.m_Kept += Until - Job.m_StartedAt;
    m_Figures.m_LostWork += secondsOf(m_Now - Until) * Accelerators;
  }
  if (AtCheckpoint)
    Job.m_MayStartAgain = true;
  if (Job.m_Reclaiming) {
    m_ReclaimTimes.push_back(secondsOf(m_Now - Job.m_ReclaimedAt));
    --m_Waiting;
  }
  Job.m_Reclaiming = false;
  ++Job.m_Generation;
  free(Index);
  Job.m_Phase = Phase::Waiting;
  ++m_Waiting;
  feed(GangReleased{JobId(Index), Started, AtCheckpoint});
}

void World::free(int32_t Index) {
  for (const int32_t Worker : m_Jobs[Index].m_Workers)
    addAmount(m_Workers[Worker].m_Used, m_Table.m_Jobs[Index].m_Spec.m_PerTask,
              -1);
  m_Jobs[Index].m_Workers.clear();
}

void World::end(int32_t Index) {
  JobState &Job = m_Jobs[Index];
  if (Job.m_Reclaiming)
    --m_Waiting;
  Job.m_Reclaiming = false;
  ++Job.m_Generation;
  free(Index);
  Job.m_Phase = Phase::Over;
  Job.m_Finished = true;
  Job.m_EndedAt = m_Now;
  Job.m_Kept = m_Table.m_Jobs[Index].m_RunTime;
  --m_Open;
  m_DemandNow -= acceleratorsOf(m_Table.m_Jobs[Index].m_Spec);
  feed(JobEnded{JobId(Index)});
}

void World::noteZone(bool Withdrawn) {
  const AvailabilityZoneId &Name = m_Table.m_Outage->m_Zone;
  const auto Zone = static_cast<int32_t>(
      std::find(m_Zones.begin(), m_Zones.end(), Name) - m_Zones.begin());
  double ZoneCapacity = 0;
  for (size_t I = 0; I < m_Workers.size(); ++I) {
    if (m_Workers[I].m_Zone == Zone)
      ZoneCapacity +=
          static_cast<double>(m_Table.m_Workers[I].m_Capacity.m_Accelerators);
  }
  if (Withdrawn) {
    m_WithdrawnZone = Zone;
    m_CapacityNow -= ZoneCapacity;
    m_WorkBefore = outageProgress();
    m_InOutage = true;
    return feed(ZoneWithdrawn{Name, m_Table.m_Outage->m_Notice});
  }
  m_CapacityNow += ZoneCapacity;
  m_WithdrawnZone = -1;
  for (size_t I = 0; I < m_Workers.size(); ++I) {
    if (m_Workers[I].m_Zone != Zone)
      continue;
    m_Workers[I].m_Alive = true;
    feed(m_Table.m_Workers[I]);
  }
  feed(ZoneRestored{Name});
}

void World::vanish() {
  std::vector<int32_t> Hit;
  for (size_t I = 0; I < m_Jobs.size(); ++I) {
    JobState &Job = m_Jobs[I];
    const bool There = std::any_of(
        Job.m_Workers.begin(), Job.m_Workers.end(), [this](int32_t Worker) {
          return m_Workers[Worker].m_Zone == m_WithdrawnZone;
        });
    if (!There ||
        (Job.m_Phase != Phase::Placed && Job.m_Phase != Phase::Running))
      continue;
    // The members that are left stop at once; the lost ones count as running
    // until their lease ends.
    if (Job.m_Phase == Phase::Running) {
      const bool Checkpointable = m_Table.m_Jobs[I].m_Spec.m_Checkpointable;
      const TimePoint Until =
          Checkpointable ? Job.m_CheckpointAt : Job.m_StartedAt;
      Job.m_Kept += Until - Job.m_StartedAt;
      m_Figures.m_LostWork +=
          secondsOf(m_Now - Until) * acceleratorsOf(m_Table.m_Jobs[I].m_Spec);
      Job.m_Phase = Phase::Frozen;
    }
    ++Job.m_Generation;
    push(m_Now + LeaseEnd, Kind::Release, static_cast<int32_t>(I));
    Job.m_ReleasePending = true;
  }
  for (size_t I = 0; I < m_Workers.size(); ++I) {
    if (m_Workers[I].m_Zone != m_WithdrawnZone)
      continue;
    m_Workers[I].m_Alive = false;
    feed(WorkerLost{m_Table.m_Workers[I].m_Vm});
  }
}

double World::progressOf(int32_t Index, TimePoint At) const {
  const JobState &Job = m_Jobs[Index];
  Duration Done = Job.m_Kept;
  if (Job.m_Phase == Phase::Running)
    Done += At - Job.m_StartedAt;
  return secondsOf(Done) * acceleratorsOf(m_Table.m_Jobs[Index].m_Spec);
}

double World::outageProgress() const {
  double Sum = 0;
  for (size_t I = 0; I < m_Jobs.size(); ++I)
    Sum += progressOf(static_cast<int32_t>(I), m_Now);
  return Sum;
}

void World::accountOutage(TimePoint Until) {
  if (!m_InOutage) {
    m_AccountedTo = Until;
    return;
  }
  const TimePoint Last = m_Table.m_Outage->m_Back + OutageTail;
  const TimePoint To = std::min(Until, Last);
  m_Figures.m_OutageAllowed +=
      secondsOf(To - m_AccountedTo) * std::min(m_CapacityNow, m_DemandNow);
  m_AccountedTo = To;
  if (Until < Last)
    return;
  m_Now = Last;
  m_Figures.m_OutageWork = outageProgress() - m_WorkBefore;
  m_InOutage = false;
}

/// Returns whether enough pieces of its workspace's guarantee are idle for the
/// job to claim its start.
bool World::entitled(int32_t Index) const {
  const JobSpec &Spec = m_Table.m_Jobs[Index].m_Spec;
  const auto Owner =
      std::find_if(m_Table.m_Workspaces.begin(), m_Table.m_Workspaces.end(),
                   [&](const WorkspaceConfig &Each) {
                     return Each.m_Name == Spec.m_Workspace;
                   });
  if (m_WithdrawnZone >= 0 || Owner == m_Table.m_Workspaces.end() ||
      Owner->m_Guarantees.size() != 1)
    return false;
  const GuaranteedShape &Shape = Owner->m_Guarantees[0];
  const Resources &Each = Spec.m_PerTask;
  auto PiecesOf = [&](const JobSpec &Some) {
    const int64_t PerPiece = std::max<int64_t>(
        1, Shape.m_Resources.m_Accelerators /
               std::max<int64_t>(1, Some.m_PerTask.m_Accelerators));
    return (Some.m_Tasks + PerPiece - 1) / PerPiece;
  };
  if (Each.m_Accelerators == 0 ||
      Each.m_Accelerators > Shape.m_Resources.m_Accelerators ||
      Each.m_Cores * Shape.m_Resources.m_Accelerators >
          Shape.m_Resources.m_Cores * Each.m_Accelerators ||
      Each.m_MemoryMib * Shape.m_Resources.m_Accelerators >
          Shape.m_Resources.m_MemoryMib * Each.m_Accelerators)
    return false;
  int64_t Pieces = PiecesOf(Spec);
  for (size_t I = 0; I < m_Jobs.size(); ++I) {
    const JobSpec &Other = m_Table.m_Jobs[I].m_Spec;
    if (static_cast<int32_t>(I) != Index &&
        m_Jobs[I].m_Phase != Phase::Future &&
        m_Jobs[I].m_Phase != Phase::Over &&
        Other.m_Workspace == Spec.m_Workspace)
      Pieces += PiecesOf(Other);
  }
  return Pieces <= Shape.m_Count;
}

void World::sample() {
  std::vector<int64_t> Vm;
  std::vector<int64_t> Rack(m_RackCount);
  std::vector<int64_t> Zone(m_Zones.size());
  std::vector<int64_t> All(1);
  std::array<int64_t, 4> Largest{};
  std::vector<int64_t> RackSize(m_RackCount);
  std::vector<int64_t> ZoneSize(m_Zones.size());
  for (size_t I = 0; I < m_Workers.size(); ++I) {
    const WorkerState &Worker = m_Workers[I];
    if (!Worker.m_Alive || Worker.m_Zone == m_WithdrawnZone)
      continue;
    const int64_t Size = m_Table.m_Workers[I].m_Capacity.m_Accelerators;
    const int64_t Free = Size - Worker.m_Used.m_Accelerators;
    Vm.push_back(Free);
    Rack[Worker.m_Rack] += Free;
    Zone[Worker.m_Zone] += Free;
    All[0] += Free;
    RackSize[Worker.m_Rack] += Size;
    ZoneSize[Worker.m_Zone] += Size;
    Largest[0] = std::max(Largest[0], Size);
    Largest[3] += Size;
  }
  Largest[1] = *std::max_element(RackSize.begin(), RackSize.end());
  Largest[2] = *std::max_element(ZoneSize.begin(), ZoneSize.end());
  if (m_DemandNow >= m_CapacityNow) {
    m_IdleSum += static_cast<double>(All[0]) / static_cast<double>(Largest[3]);
    ++m_IdleCount;
  }
  const std::array<const std::vector<int64_t> *, 4> Levels = {&Vm, &Rack, &Zone,
                                                              &All};
  for (size_t G = 0; G < GangSizes.size(); ++G) {
    size_t Level = 0;
    while (Level < 3 && Largest[Level] < GangSizes[G])
      ++Level;
    if (Largest[Level] < GangSizes[G] || All[0] == 0)
      continue;
    int64_t Usable = 0;
    for (const int64_t Free : *Levels[Level])
      Usable += Free / GangSizes[G] * GangSizes[G];
    m_FragmentationSum[G] +=
        1 - static_cast<double>(Usable) / static_cast<double>(All[0]);
    ++m_FragmentationCount[G];
  }
}

void World::summariseClass(int Class) {
  ClassFigures &Target = m_Figures.m_Classes[Class];
  std::vector<double> Times;
  std::vector<double> Starts;
  int64_t Late = 0;
  for (size_t I = 0; I < m_Jobs.size(); ++I) {
    const Arrival &Source = m_Table.m_Jobs[I];
    const JobState &Job = m_Jobs[I];
    if (static_cast<int>(Source.m_Spec.m_Urgency) != Class)
      continue;
    ++Target.m_Jobs;
    const TimePoint End = Job.m_Finished ? Job.m_EndedAt : m_Now;
    Times.push_back(secondsOf(End - Source.m_At));
    Starts.push_back(secondsOf((Job.m_EverStarted ? Job.m_FirstStart : m_Now) -
                               Source.m_At));
    Target.m_Finished += Job.m_Finished ? 1 : 0;
    if (Source.m_Spec.m_Deadline.count() > 0 &&
        (!Job.m_Finished || End - Source.m_At > Source.m_Spec.m_Deadline))
      ++Late;
    if (Job.m_Entitled) {
      ++m_Figures.m_GuaranteeClaims;
      m_Figures.m_GuaranteeBreaks += Starts.back() > StartBound ? 1 : 0;
    }
  }
  if (Times.empty())
    return;
  for (const double Each : Times) {
    Target.m_Mean += Each / static_cast<double>(Times.size());
    m_Figures.m_MeanCompletion += Each / static_cast<double>(m_Jobs.size());
  }
  Target.m_LateShare =
      static_cast<double>(Late) / static_cast<double>(Times.size());
  Target.m_Median = quantile(Times, 0.5);
  Target.m_P99 = quantile(Times, 0.99);
  Target.m_StartP99 = quantile(Starts, 0.99);
}

void World::summarise() {
  for (int Class = 0; Class < UrgencyCount; ++Class)
    summariseClass(Class);
  for (size_t I = 0; I < m_Jobs.size(); ++I) {
    m_Figures.m_Unfinished += m_Jobs[I].m_Finished ? 0 : 1;
    m_Figures.m_Work += progressOf(static_cast<int32_t>(I), m_Now);
  }
  for (size_t G = 0; G < GangSizes.size(); ++G) {
    if (m_FragmentationCount[G] > 0)
      m_Figures.m_Fragmentation[G] =
          m_FragmentationSum[G] / static_cast<double>(m_FragmentationCount[G]);
  }
  m_Figures.m_IdleWhileShort =
      m_IdleCount > 0 ? m_IdleSum / static_cast<double>(m_IdleCount) : 0;
  m_Figures.m_ReclaimP50 = quantile(m_ReclaimTimes, 0.5);
  m_Figures.m_ReclaimP99 = quantile(m_ReclaimTimes, 0.99);
}

} // namespace anvil::bench
