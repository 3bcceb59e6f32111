#include "LoadReplay.h"

#include <algorithm>
#include <map>

namespace anvil::sim {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Time with arrivals, as in the users' runs, and time to finish afterwards.
constexpr Duration ArrivalSpan = seconds(45);
constexpr Duration FinishSpan = seconds(60);

// Jobs are grouped by spans of this length, and the worst quarter of the spans
// is reported.
constexpr Duration ValueSpan = seconds(4);
constexpr size_t WorstDivisor = 4;

// Every third worker of the users is faster than the others by this factor.
constexpr double FastSpeed = 1.3;
constexpr size_t FastEvery = 3;

// Deployment B: a quarter of the workers is slow for good, the others are fast,
// and few tasks take far longer than the others of their step.
constexpr double UnequalSlowSpeed = 0.55;
constexpr double UnequalFastSpeed = 1.2;
constexpr size_t UnequalSlowEvery = 4;
constexpr double UnequalStragglerShare = 0.03;

size_t anyWorker(SimCluster &Cluster) {
  return static_cast<size_t>(
      Cluster.random().below(static_cast<int64_t>(Cluster.workers().size())));
}

TimePoint anyTime(SimCluster &Cluster, Duration Span) {
  return Cluster.queue().now() + Cluster.random().between(seconds(3), Span);
}

void scheduleCrashes(SimCluster &Cluster, Duration Span) {
  for (int I = 0; I < 3; ++I) {
    const size_t Index = anyWorker(Cluster);
    Cluster.queue().at(anyTime(Cluster, Span), [&Cluster, Index] {
      Cluster.crashWorker(Index, seconds(3), false);
    });
  }
}

void scheduleSlowness(SimCluster &Cluster, Duration Span) {
  for (int I = 0; I < 3; ++I) {
    const size_t Index = anyWorker(Cluster);
    const TimePoint Start = anyTime(Cluster, Span);
    Cluster.queue().at(Start, [&Cluster, Index] {
      Cluster.workers().at(Index).setSpeed(1.0 / 6);
    });
    Cluster.queue().at(Start + seconds(7), [&Cluster, Index] {
      Cluster.workers().at(Index).setSpeed(1);
    });
  }
}

void scheduleFailures(SimCluster &Cluster, Duration Span) {
  for (int I = 0; I < 2; ++I) {
    const size_t Index = anyWorker(Cluster);
    const TimePoint Start = anyTime(Cluster, Span);
    const auto Set = [&Cluster, Index](bool Fails) {
      Cluster.workers().at(Index).m_FailsEverything = Fails;
    };
    Cluster.queue().at(Start, [Set] { Set(true); });
    Cluster.queue().at(Start + seconds(7), [Set] { Set(false); });
  }
}

void schedulePartitions(SimCluster &Cluster, Duration Span) {
  for (int I = 0; I < 3; ++I) {
    const size_t Index = anyWorker(Cluster);
    Cluster.queue().at(anyTime(Cluster, Span), [&Cluster, Index] {
      Cluster.partitionAgent(Index, milliseconds(5500));
    });
  }
}

void scheduleDrains(SimCluster &Cluster, Duration Span) {
  for (int I = 0; I < 3; ++I) {
    const size_t Index = anyWorker(Cluster);
    Cluster.queue().at(anyTime(Cluster, Span), [&Cluster, Index] {
      Cluster.drainWorker(Index, seconds(3));
    });
  }
}

void scheduleZoneWithdrawal(SimCluster &Cluster, Duration Span) {
  const TimePoint Start = anyTime(Cluster, Span);
  Cluster.queue().at(Start,
                     [&Cluster] { Cluster.withdrawZone("zone-0", true); });
  Cluster.queue().at(Start + seconds(10),
                     [&Cluster] { Cluster.withdrawZone("zone-0", false); });
}

void scheduleLeaderLosses(SimCluster &Cluster, Duration Span) {
  for (int I = 0; I < 2; ++I)
    Cluster.queue().at(anyTime(Cluster, Span), [&Cluster] {
      Cluster.loseLeader(milliseconds(900), true, seconds(4));
    });
}

void scheduleMixed(SimCluster &Cluster, Duration Span) {
  scheduleCrashes(Cluster, Span);
  scheduleSlowness(Cluster, Span);
  scheduleFailures(Cluster, Span);
  schedulePartitions(Cluster, Span);
  scheduleDrains(Cluster, Span);
  scheduleLeaderLosses(Cluster, Span);
}

void setUsualSpeeds(SimCluster &Cluster) {
  for (size_t I = 0; I < Cluster.workers().size(); I += FastEvery)
    Cluster.workers().at(I).setSpeed(FastSpeed);
}

void setUnequalSpeeds(SimCluster &Cluster) {
  for (size_t I = 0; I < Cluster.workers().size(); ++I)
    Cluster.workers().at(I).setSpeed(
        I % UnequalSlowEvery == 0 ? UnequalSlowSpeed : UnequalFastSpeed);
}

std::vector<LoadPattern> makePatterns() {
  const auto BurstOf = [](size_t Kind, double Factor) {
    return Burst{Kind, Factor, seconds(14), seconds(6)};
  };
  const std::vector<Burst> All = {BurstOf(0, 2.6), BurstOf(1, 2.6),
                                  BurstOf(2, 2.6)};
  // One workspace sends as much again as all of them together.
  const auto BurstOfOne = [](size_t Kind) {
    return Burst{Kind, 2, seconds(8), seconds(25), "w3"};
  };
  return {
      {"calm", 1, {}, {}},
      {"busy", 1.3, {}, {}},
      {"overload", 2, {}, {}},
      {"burst-batch", 1, {BurstOf(0, 5)}, {}},
      {"burst-urgent", 1, {BurstOf(1, 5)}, {}},
      {"burst-all", 1, All, {}},
      {"competing-workspaces",
       1,
       {BurstOfOne(0), BurstOfOne(1), BurstOfOne(2)},
       {}},
      {"crashes", 1, {}, scheduleCrashes},
      {"slow-workers", 1, {}, scheduleSlowness},
      {"failing-workers", 1, {}, scheduleFailures},
      {"cut-workers", 1, {}, schedulePartitions},
      {"leaving-workers", 1, {}, scheduleDrains},
      {"zone-leaves", 1, {}, scheduleZoneWithdrawal},
      {"leader-losses", 1, {}, scheduleLeaderLosses},
      {"burst-and-faults", 1, All, scheduleMixed},
      {"unequal-workers", 1, {}, {}, setUnequalSpeeds, UnequalStragglerShare},
  };
}

/// Sums of the earned and the total weights of jobs.
struct WeightTotals {
  double m_Earned = 0;
  double m_Total = 0;

  void add(const JobResult &Result, Duration Objective) {
    m_Total += Result.m_Plan->m_Weight;
    m_Earned += Result.m_Plan->m_Weight * Result.earnedShare(Objective);
  }
  double value() const { return m_Total > 0 ? m_Earned / m_Total : 1; }
};

double worstOf(std::vector<WeightTotals> Spans) {
  std::sort(Spans.begin(), Spans.end(),
            [](const WeightTotals &Left, const WeightTotals &Right) {
              return Left.value() < Right.value();
            });
  WeightTotals Worst;
  for (size_t I = 0; I < (Spans.size() + WorstDivisor - 1) / WorstDivisor;
       ++I) {
    Worst.m_Earned += Spans[I].m_Earned;
    Worst.m_Total += Spans[I].m_Total;
  }
  return Worst.value();
}

/// Collects the metrics of several replays of a deployment profile.
class Collector {
public:
  explicit Collector(const DeploymentProfile &Profile)
      : m_Profile(Profile), m_Kinds(Profile.m_Kinds.size()),
        m_Workspaces(Profile.m_Workspaces.size()) {}

  void add(const SimCluster &Cluster) {
    std::map<int64_t, WeightTotals> Spans;
    for (const JobResult &Result : Cluster.results()) {
      if (Result.m_Plan->m_CancelAfter > Duration(0))
        continue;
      const Duration Objective = Cluster.objectiveOf(Result);
      m_All.add(Result, Objective);
      m_Kinds[kindOf(Result)].add(Result, Objective);
      m_Workspaces[workspaceOf(Result)].add(Result, Objective);
      Spans[Result.m_Plan->m_SubmitAfter / ValueSpan].add(Result, Objective);
    }
    std::vector<WeightTotals> Values;
    Values.reserve(Spans.size());
    for (const auto &[Number, Each] : Spans)
      Values.push_back(Each);
    m_Worst += worstOf(std::move(Values));
    m_Lost += Cluster.checker().m_WastedCoreSeconds;
    m_Starts += static_cast<double>(Cluster.checker().starts());
    ++m_Count;
  }

  ReplayMetrics metrics() const {
    ReplayMetrics Result;
    Result.m_ValueShare = m_All.value();
    for (const WeightTotals &Each : m_Kinds)
      Result.m_ValueShareByKind.push_back(Each.value());
    for (const WeightTotals &Each : m_Workspaces)
      Result.m_ValueShareByWorkspace.push_back(Each.value());
    Result.m_WorstValueShare = m_Worst / m_Count;
    Result.m_LostCoreSeconds = m_Lost / m_Count;
    Result.m_Starts = m_Starts / m_Count;
    return Result;
  }

private:
  size_t kindOf(const JobResult &Result) const {
    const auto It =
        std::find_if(m_Profile.m_Kinds.begin(), m_Profile.m_Kinds.end(),
                     [&](const JobKind &Each) {
                       return Each.m_Queue == Result.m_Plan->m_Queue;
                     });
    return static_cast<size_t>(It - m_Profile.m_Kinds.begin());
  }
  size_t workspaceOf(const JobResult &Result) const {
    const auto It =
        std::find(m_Profile.m_Workspaces.begin(), m_Profile.m_Workspaces.end(),
                  Result.m_Plan->m_Workspace);
    return static_cast<size_t>(It - m_Profile.m_Workspaces.begin());
  }

  const DeploymentProfile &m_Profile;
  WeightTotals m_All;
  std::vector<WeightTotals> m_Kinds;
  std::vector<WeightTotals> m_Workspaces;
  double m_Worst = 0;
  double m_Lost = 0;
  double m_Starts = 0;
  double m_Count = 0;
};

} // namespace

std::span<const LoadPattern> loadPatterns() {
  static const std::vector<LoadPattern> Patterns = makePatterns();
  return Patterns;
}

const LoadPattern *loadPatternNamed(std::string_view Name) {
  for (const LoadPattern &Each : loadPatterns())
    if (Each.m_Name == Name)
      return &Each;
  return nullptr;
}

ReplayMetrics replayLoad(const DeploymentProfile &Profile,
                         const LoadPattern &Pattern, uint64_t First,
                         uint64_t Count, const ReplayHooks &Hooks) {
  DeploymentProfile Loaded = Profile;
  for (JobKind &Kind : Loaded.m_Kinds)
    Kind.m_StragglerShare = Pattern.m_StragglerShare;
  Collector Metrics(Profile);
  for (uint64_t Seed = First; Seed < First + Count; ++Seed) {
    SimClusterOptions Options;
    Options.m_Seed = Seed;
    Options.m_ChecksState = false;
    Options.m_Trace = Hooks.m_Trace;
    SimCluster Cluster(Options, policyOf(Profile), fleetOf(Profile));
    if (Pattern.m_Speeds)
      Pattern.m_Speeds(Cluster);
    else
      setUsualSpeeds(Cluster);
    addArrivals(Cluster, Loaded, ArrivalSpan, Pattern.m_Load, Pattern.m_Bursts);
    if (Pattern.m_Faults)
      Pattern.m_Faults(Cluster, ArrivalSpan);
    Cluster.run(ArrivalSpan + FinishSpan);
    Metrics.add(Cluster);
    if (!Hooks.m_OnLate)
      continue;
    for (const JobResult &Result : Cluster.results())
      if (const Duration Objective = Cluster.objectiveOf(Result);
          Result.m_Plan->m_CancelAfter <= Duration(0) &&
          Result.earnedShare(Objective) < 1)
        Hooks.m_OnLate(Seed, Result, Objective);
  }
  return Metrics.metrics();
}

} // namespace anvil::sim
