#ifndef ANVIL_BENCH_WORLD_H
#define ANVIL_BENCH_WORLD_H

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"

#include "anvil/sched/Scheduler.h"

namespace anvil::bench {

using namespace anvil::sched;

/// One GiB in MiB.
inline constexpr int64_t Gib = 1024;

/// One job of an arrival table.
struct Arrival {
  JobSpec m_Spec{};
  TimePoint m_At{};
  /// Actual run time, unknown to the scheduler.
  Duration m_RunTime{};
};

/// An availability zone that leaves and returns.
struct Outage {
  AvailabilityZoneId m_Zone{};
  TimePoint m_At{};
  Duration m_Notice{};
  TimePoint m_Back{};
};

/// Workers, configuration and arrivals of one run.
struct Table {
  std::string m_Name{};
  uint64_t m_Seed = 0;
  /// Accelerator-time asked for as a share of the fleet's during the arrivals.
  double m_Load = 0;
  std::vector<WorkerUp> m_Workers{};
  std::vector<WorkspaceConfig> m_Workspaces{};
  std::vector<Arrival> m_Jobs{};
  std::optional<Outage> m_Outage{};
  /// Workers that fail every task until m_RepairedAt.
  std::vector<VmId> m_Faulty{};
  TimePoint m_RepairedAt{};
  /// The run stops here even if jobs are left.
  TimePoint m_Horizon{};
};

/// A scheduler under measurement.
using Policy = std::function<std::vector<SchedulerAction>(
    const SchedulerEvent &, TimePoint)>;

/// Figures of one class.
struct ClassFigures {
  int64_t m_Jobs = 0;
  int64_t m_Finished = 0;
  double m_Mean = 0;
  double m_Median = 0;
  double m_P99 = 0;
  double m_LateShare = 0;
  double m_StartP99 = 0;
};

/// Figures of one run. Times in seconds, work in accelerator-seconds.
struct Figures {
  std::array<ClassFigures, UrgencyCount> m_Classes{};
  double m_MeanCompletion = 0;
  int64_t m_Unfinished = 0;
  int64_t m_GivenUp = 0;
  /// Mean share of free accelerators that a gang of 8, 64, 256 cannot use.
  std::array<double, 3> m_Fragmentation{};
  /// Mean share of accelerators that are free while the jobs in the system ask
  /// for more than there are.
  double m_IdleWhileShort = 0;
  double m_Work = 0;
  double m_LostWork = 0;
  int64_t m_Reclaims = 0;
  double m_ReclaimP50 = 0;
  double m_ReclaimP99 = 0;
  /// Work done from the withdrawal until ten minutes after the return, and what
  /// the remaining capacity allows.
  double m_OutageWork = 0;
  double m_OutageAllowed = 0;
  int64_t m_GuaranteeClaims = 0;
  int64_t m_GuaranteeBreaks = 0;
  int64_t m_PartialGangs = 0;
  int64_t m_Doubled = 0;
  int64_t m_StartsWithdrawn = 0;
  int64_t m_OverCapacity = 0;
  int64_t m_Quarantines = 0;
};

/// Runs an arrival table against a policy under a virtual clock: an event queue
/// in memory that plays the workers.
class World {
public:
  World(const Table &Source, Policy Scheduler);
  Figures run();

private:
  enum class Kind {
    Arrive,
    Start,
    End,
    Release,
    Checkpoint,
    Fail,
    Withdraw,
    Vanish,
    Return,
    Sample,
    Tick
  };
  struct Event {
    TimePoint m_At{};
    int64_t m_Sequence = 0;
    Kind m_Kind = Kind::Tick;
    int32_t m_Job = -1;
    int32_t m_Generation = 0;
    bool m_AtCheckpoint = false;
    bool operator>(const Event &Other) const {
      return m_At != Other.m_At ? m_At > Other.m_At
                                : m_Sequence > Other.m_Sequence;
    }
  };
  enum class Phase { Future, Waiting, Placed, Running, Frozen, Over };
  struct JobState {
    Phase m_Phase = Phase::Future;
    int32_t m_Generation = 0;
    std::vector<int32_t> m_Workers{};
    TimePoint m_StartedAt{};
    TimePoint m_FirstStart{};
    TimePoint m_EndedAt{};
    Duration m_Kept{};
    TimePoint m_CheckpointAt{};
    TimePoint m_ReclaimedAt{};
    bool m_Reclaiming = false;
    bool m_ReleasePending = false;
    bool m_EverStarted = false;
    bool m_MayStartAgain = true;
    bool m_Entitled = false;
    bool m_Finished = false;
  };
  struct WorkerState {
    Resources m_Used{};
    bool m_Alive = true;
    int32_t m_Zone = 0;
    int32_t m_Rack = 0;
  };

  void push(TimePoint At, Kind What, int32_t Job = -1,
            bool AtCheckpoint = false);
  void handle(const Event &Each);
  void feed(const SchedulerEvent &Each);
  void apply(const SchedulerAction &Action);
  void applyPlace(const PlaceGang &Action);
  void applyReclaim(const ReclaimJob &Action);
  void start(int32_t Job);
  void release(int32_t Job, bool AtCheckpoint);
  void end(int32_t Job);
  void free(int32_t Job);
  void vanish();
  void sample();
  void accountOutage(TimePoint Until);
  double progressOf(int32_t Job, TimePoint At) const;
  bool entitled(int32_t Job) const;
  double outageProgress() const;
  void noteZone(bool Withdrawn);
  void summarise();
  void summariseClass(int Class);

  const Table &m_Table;
  Policy m_Policy;
  Figures m_Figures;
  TimePoint m_Now{};
  int64_t m_Sequence = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_Queue;
  std::vector<JobState> m_Jobs;
  std::vector<WorkerState> m_Workers;
  absl::flat_hash_map<VmId, int32_t> m_WorkerIndex;
  std::vector<AvailabilityZoneId> m_Zones;
  int32_t m_RackCount = 0;
  int32_t m_WithdrawnZone = -1;
  std::mt19937_64 m_Random;
  std::vector<double> m_ReclaimTimes;
  std::array<double, 3> m_FragmentationSum{};
  std::array<int64_t, 3> m_FragmentationCount{};
  double m_IdleSum = 0;
  int64_t m_IdleCount = 0;
  int64_t m_Waiting = 0;
  int64_t m_Open = 0;
  double m_DemandNow = 0;
  double m_CapacityNow = 0;
  double m_WorkBefore = 0;
  bool m_InOutage = false;
  TimePoint m_AccountedTo{};
};

} // namespace anvil::bench

#endif // ANVIL_BENCH_WORLD_H
