#include "Baselines.h"

#include <algorithm>
#include <memory>

namespace anvil::bench {

namespace {

constexpr size_t MaxFailedShapes = 64;

/// Keeps queue and free resources of the baselines. No reclaim, no guarantees;
/// idempotent jobs are repeated.
class Simple {
public:
  Simple(const Table &Source, bool Skip, bool Partition)
      : m_Table(Source), m_Skip(Skip), m_Partition(Partition) {
    for (size_t I = 0; I < Source.m_Workers.size(); ++I) {
      m_Index[Source.m_Workers[I].m_Vm] = I;
      m_Free.push_back(Source.m_Workers[I].m_Capacity);
    }
    m_Up.assign(m_Free.size(), 1);
    m_Owner.assign(m_Free.size(), -1);
    if (Partition)
      assignOwners();
  }

  std::vector<SchedulerAction> step(const SchedulerEvent &Event, TimePoint) {
    m_Actions.clear();
    std::visit([this](const auto &Each) { on(Each); }, Event);
    if (m_Dirty)
      place();
    return std::move(m_Actions);
  }

private:
  struct Running {
    JobSpec m_Spec{};
    std::vector<size_t> m_Workers{};
  };

  void assignOwners() {
    std::vector<double> Weight;
    for (const WorkspaceConfig &Each : m_Table.m_Workspaces) {
      const GuaranteedShape &Shape = Each.m_Guarantees[0];
      Weight.push_back(static_cast<double>(Shape.m_Resources.m_Accelerators *
                                           Shape.m_Count));
    }
    std::vector<double> Given(Weight.size());
    for (size_t I = 0; I < m_Free.size(); ++I) {
      size_t Best = 0;
      for (size_t W = 1; W < Weight.size(); ++W) {
        if ((Given[W] + 1) / Weight[W] < (Given[Best] + 1) / Weight[Best])
          Best = W;
      }
      ++Given[Best];
      m_Owner[I] = static_cast<int>(Best);
    }
  }

  int ownerOf(const JobSpec &Spec) const {
    for (size_t I = 0; I < m_Table.m_Workspaces.size(); ++I) {
      if (m_Table.m_Workspaces[I].m_Name == Spec.m_Workspace)
        return static_cast<int>(I);
    }
    return -1;
  }

  template <typename T> void on(const T &) {}
  void on(const JobSubmitted &Event) {
    m_Jobs[Event.m_Job].m_Spec = Event.m_Spec;
    m_Queue.push_back(Event.m_Job);
    m_Dirty = true;
  }
  void on(const JobEnded &Event) {
    vacate(Event.m_Job);
    m_Jobs.erase(Event.m_Job);
  }
  void on(const GangReleased &Event) {
    vacate(Event.m_Job);
    if (Event.m_AnyStarted && !m_Jobs[Event.m_Job].m_Spec.m_Idempotent) {
      m_Actions.push_back(GiveUpJob{Event.m_Job, "not idempotent"});
      m_Jobs.erase(Event.m_Job);
      return;
    }
    m_Queue.push_back(Event.m_Job);
  }
  void on(const WorkerUp &Event) { setUp(m_Index.at(Event.m_Vm), true); }
  void on(const WorkerLost &Event) { setUp(m_Index.at(Event.m_Vm), false); }
  void on(const ZoneWithdrawn &Event) { setZone(Event.m_Zone, true); }
  void on(const ZoneRestored &Event) { setZone(Event.m_Zone, false); }

  void setUp(size_t Worker, bool Up) {
    m_Up[Worker] = Up ? 1 : 0;
    m_Dirty = true;
    m_Failed.clear();
  }
  void setZone(const AvailabilityZoneId &Zone, bool Withdrawn) {
    m_Withdrawn = Withdrawn ? Zone : AvailabilityZoneId();
    m_Dirty = true;
    m_Failed.clear();
  }

  void vacate(JobId Id) {
    Running &Job = m_Jobs[Id];
    for (const size_t Worker : Job.m_Workers)
      change(Worker, Job.m_Spec.m_PerTask, 1);
    Job.m_Workers.clear();
    m_Dirty = true;
    m_Failed.clear();
  }

  void change(size_t Worker, const Resources &Amount, int64_t Sign) {
    m_Free[Worker].m_Accelerators += Amount.m_Accelerators * Sign;
    m_Free[Worker].m_Cores += Amount.m_Cores * Sign;
    m_Free[Worker].m_MemoryMib += Amount.m_MemoryMib * Sign;
  }

  bool knownToFail(const JobSpec &Spec) const {
    return std::any_of(
        m_Failed.begin(), m_Failed.end(), [&](const JobSpec &Each) {
          return (!m_Partition || Each.m_Workspace == Spec.m_Workspace) &&
                 Each.m_PerTask == Spec.m_PerTask &&
                 Each.m_Tasks <= Spec.m_Tasks;
        });
  }

  bool placeOne(JobId Id) {
    Running &Job = m_Jobs[Id];
    const JobSpec &Spec = Job.m_Spec;
    if (knownToFail(Spec))
      return false;
    const int Owner = m_Partition ? ownerOf(Spec) : -1;
    const Resources &Need = Spec.m_PerTask;
    for (size_t I = 0;
         I < m_Free.size() && std::ssize(Job.m_Workers) < Spec.m_Tasks; ++I) {
      if (!m_Up[I] || m_Owner[I] != Owner ||
          m_Table.m_Workers[I].m_Zone == m_Withdrawn)
        continue;
      while (std::ssize(Job.m_Workers) < Spec.m_Tasks &&
             m_Free[I].m_Accelerators >= Need.m_Accelerators &&
             m_Free[I].m_Cores >= Need.m_Cores &&
             m_Free[I].m_MemoryMib >= Need.m_MemoryMib) {
        change(I, Need, -1);
        Job.m_Workers.push_back(I);
      }
    }
    if (std::ssize(Job.m_Workers) < Spec.m_Tasks) {
      for (const size_t Worker : Job.m_Workers)
        change(Worker, Need, 1);
      Job.m_Workers.clear();
      if (m_Failed.size() < MaxFailedShapes)
        m_Failed.push_back(Spec);
      return false;
    }
    PlaceGang Action{Id, {}, "first fit"};
    for (size_t I = 0; I < Job.m_Workers.size(); ++I)
      Action.m_Members.push_back(
          {static_cast<int32_t>(I), m_Table.m_Workers[Job.m_Workers[I]].m_Vm});
    m_Actions.emplace_back(std::move(Action));
    return true;
  }

  void place() {
    m_Dirty = false;
    std::vector<JobId> Left;
    bool Blocked = false;
    for (const JobId Id : m_Queue) {
      if (Blocked || !placeOne(Id)) {
        Left.push_back(Id);
        Blocked = !m_Skip;
      }
    }
    m_Queue = std::move(Left);
  }

  const Table &m_Table;
  bool m_Skip;
  bool m_Partition;
  bool m_Dirty = false;
  absl::flat_hash_map<VmId, size_t> m_Index;
  std::vector<Resources> m_Free;
  std::vector<char> m_Up;
  std::vector<int> m_Owner;
  AvailabilityZoneId m_Withdrawn;
  absl::flat_hash_map<JobId, Running> m_Jobs;
  std::vector<JobId> m_Queue;
  std::vector<JobSpec> m_Failed;
  std::vector<SchedulerAction> m_Actions;
};

Policy wrap(std::shared_ptr<Simple> State) {
  return
      [State = std::move(State)](const SchedulerEvent &Event, TimePoint Now) {
        return State->step(Event, Now);
      };
}

} // namespace

Policy firstComeFirstServed(const Table &Source, bool Skip) {
  return wrap(std::make_shared<Simple>(Source, Skip, false));
}

Policy staticPartition(const Table &Source) {
  return wrap(std::make_shared<Simple>(Source, true, true));
}

} // namespace anvil::bench
