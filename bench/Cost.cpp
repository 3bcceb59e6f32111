#include "Cost.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <random>

#include "absl/strings/str_cat.h"

#include "Workload.h"

namespace anvil::bench {

namespace {

/// Drives one scheduler at one size and times its steps.
class CostRun {
public:
  CostRun(int Divisor, uint64_t Seed)
      : m_Divisor(Divisor), m_Random(Seed), m_Scheduler(make()) {}

  CostFigures run() {
    setUp();
    steadyState(m_Figures.m_DecisionP50, m_Figures.m_DecisionP99,
                m_Figures.m_ScansPerDecision);
    addBacklog();
    steadyState(m_Figures.m_BacklogP50, m_Figures.m_BacklogP99,
                m_Figures.m_BacklogScans);
    m_Figures.m_StateMegabytes =
        static_cast<double>(m_Scheduler.approximateBytes()) / 1e6;
    cancelWave();
    zoneLoss();
    return m_Figures;
  }

private:
  static Scheduler make() { return *Scheduler::create({}); }

  double step(const SchedulerEvent &Event) {
    const auto Before = std::chrono::steady_clock::now();
    m_Last = m_Scheduler.step(Event, m_Now);
    const std::chrono::duration<double, std::milli> Span =
        std::chrono::steady_clock::now() - Before;
    for (const SchedulerAction &Action : m_Last) {
      if (const auto *Place = std::get_if<PlaceGang>(&Action))
        m_Placed.push_back(Place->m_Job);
      if (const auto *Reclaim = std::get_if<ReclaimJob>(&Action))
        m_Reclaimed.push_back(Reclaim->m_Job);
    }
    return Span.count();
  }

  void advance(Duration Span) { m_Now += Span; }

  JobSpec draw() {
    JobSpec Spec;
    const auto Pick = m_Random() % 100;
    Spec.m_Workspace = WorkspaceId(absl::StrCat("team-", m_Random() % m_Teams));
    Spec.m_Idempotent = true;
    Spec.m_Checkpointable = m_Random() % 2 == 0;
    Spec.m_DeclaredRunTime = std::chrono::minutes(30 + m_Random() % 600);
    if (Pick < 82) {
      Spec.m_Tasks = static_cast<int32_t>(
          std::min<uint64_t>(64 + m_Random() % 193, 3072 / m_Divisor));
      Spec.m_PerTask = {0, 2, 3 * Gib};
    } else {
      Spec.m_Tasks = static_cast<int32_t>(
          std::min(256 >> (m_Random() % 6), 2048 / m_Divisor));
      Spec.m_PerTask = {1, 6, 24 * Gib};
      Spec.m_Adjacency = Adjacency::Rack;
      Spec.m_Urgency = Pick >= 95 ? Urgency::Urgent : Urgency::Batch;
      if (Pick >= 95)
        Spec.m_Tasks = 2;
    }
    return Spec;
  }

  JobId submit(const JobSpec &Spec, double &Span) {
    const JobId Id(++m_NextJob);
    m_Tasks[Id.value()] = Spec.m_Tasks;
    Span += step(JobSubmitted{Id, Spec});
    return Id;
  }

  /// Starts what was placed since the last call.
  void startPlaced() {
    for (const JobId Id : std::vector<JobId>(std::move(m_Placed))) {
      step(JobStarted{Id});
      m_Running.push_back(Id);
      m_RunningTasks += m_Tasks[Id.value()];
    }
    m_Placed.clear();
  }

  void setUp() {
    const std::vector<WorkerUp> Fleet = fullFleet(m_Divisor);
    m_Teams = std::max(4, 200 / m_Divisor);
    ConfigurationChanged Config;
    for (int I = 0; I < m_Teams; ++I)
      Config.m_Workspaces.push_back(
          {WorkspaceId(absl::StrCat("team-", I)),
           {},
           {{"shape", {8, 64, 256 * Gib}, Adjacency::Vm, 3}}});
    step(Config);
    for (const WorkerUp &Each : Fleet) {
      step(Each);
      m_Figures.m_Accelerators += Each.m_Capacity.m_Accelerators;
    }
    m_Figures.m_Workers = std::ssize(Fleet);
    const int64_t Wanted = 150'000 / m_Divisor;
    for (int Rounds = 0; m_RunningTasks < Wanted && Rounds < 20'000; ++Rounds) {
      double Ignored = 0;
      submit(draw(), Ignored);
      advance(std::chrono::milliseconds(25));
      step(Tick{});
      startPlaced();
      advance(std::chrono::seconds(2));
    }
    m_Figures.m_Tasks = m_RunningTasks;
  }

  /// Ends one gang and submits another, and counts each step as a decision.
  void steadyState(double &P50, double &P99, double &Scans) {
    constexpr int Rounds = 1500;
    std::vector<double> Spans;
    const int64_t ScannedBefore = m_Scheduler.counts().m_WorkersScanned;
    for (int I = 0; I < Rounds; ++I) {
      advance(std::chrono::milliseconds(25));
      const size_t Pick = m_Random() % m_Running.size();
      std::swap(m_Running[Pick], m_Running.back());
      const JobId Ended = m_Running.back();
      m_Running.pop_back();
      m_RunningTasks -= m_Tasks[Ended.value()];
      Spans.push_back(step(JobEnded{Ended}));
      startPlaced();
      advance(std::chrono::milliseconds(25));
      double Span = 0;
      submit(draw(), Span);
      Spans.push_back(Span);
      startPlaced();
      advance(std::chrono::milliseconds(25));
      Spans.push_back(step(Tick{}));
      startPlaced();
      settleReclaims();
    }
    const int64_t Scanned =
        m_Scheduler.counts().m_WorkersScanned - ScannedBefore;
    Scans = static_cast<double>(Scanned) / static_cast<double>(Spans.size());
    std::sort(Spans.begin(), Spans.end());
    P50 = Spans[Spans.size() / 2];
    P99 = Spans[Spans.size() * 99 / 100];
  }

  /// Submits gangs until a share of the fleet's accelerators is waited for in
  /// vain.
  void addBacklog() {
    const int64_t Wanted = std::max(8, 400 / m_Divisor);
    for (int I = 0; I < 4000 && m_Scheduler.counts().m_Queued < Wanted; ++I) {
      JobSpec Spec = draw();
      Spec.m_Tasks = static_cast<int32_t>(
          std::min<uint64_t>(8 + m_Random() % 249, 2048 / m_Divisor));
      Spec.m_PerTask = {1, 6, 24 * Gib};
      double Ignored = 0;
      submit(Spec, Ignored);
      advance(std::chrono::milliseconds(25));
      step(Tick{});
      startPlaced();
      settleReclaims();
    }
    // Long enough for gangs to be displaced and to get reservations.
    advance(std::chrono::hours(1));
    m_Figures.m_Backlog = m_Scheduler.counts().m_Queued;
  }

  void settleReclaims() {
    for (const JobId Id : std::vector<JobId>(std::move(m_Reclaimed))) {
      std::erase(m_Running, Id);
      m_RunningTasks -= m_Tasks[Id.value()];
      step(GangReleased{Id, true, true});
    }
    m_Reclaimed.clear();
  }

  /// Queues 50,000 small jobs (fewer at smaller sizes) and cancels all of them
  /// at one instant.
  void cancelWave() {
    const int Count = 50'000 / m_Divisor;
    std::vector<JobId> Wave;
    double Ignored = 0;
    for (int I = 0; I < Count; ++I) {
      JobSpec Spec = draw();
      Spec.m_PerTask = {1, 1, 1024};
      Spec.m_Tasks = 1 + static_cast<int32_t>(m_Random() % 256);
      Wave.push_back(submit(Spec, Ignored));
    }
    advance(std::chrono::milliseconds(25));
    step(Tick{});
    startPlaced();
    double Span = 0;
    for (const JobId Id : Wave)
      Span += step(JobCancelled{Id});
    for (const JobId Id : Wave) {
      if (std::erase(m_Running, Id) > 0)
        Span += step(GangReleased{Id, true, false});
    }
    advance(std::chrono::milliseconds(25));
    Span += step(Tick{});
    m_Figures.m_CancelWave = Span;
    m_Figures.m_Cancelled = Count;
    startPlaced();
    settleReclaims();
  }

  /// Withdraws one zone until no more gangs are asked to move, then loses all
  /// its workers at once.
  void zoneLoss() {
    advance(std::chrono::seconds(1));
    const int64_t ScannedBefore = m_Scheduler.counts().m_WorkersScanned;
    m_Figures.m_ZoneWithdrawn = step(
        ZoneWithdrawn{AvailabilityZoneId("zone-2"), std::chrono::seconds(60)});
    for (int Quiet = 0; Quiet < 6;) {
      advance(std::chrono::milliseconds(100));
      m_Figures.m_ZoneWithdrawn += step(Tick{});
      Quiet = m_Reclaimed.empty() ? Quiet + 1 : 0;
      for (const JobId Id : std::vector<JobId>(std::move(m_Reclaimed)))
        m_Figures.m_ZoneWithdrawn += step(GangReleased{Id, true, true});
      m_Reclaimed.clear();
      startPlaced();
    }
    m_Figures.m_ZoneScans = static_cast<double>(
        m_Scheduler.counts().m_WorkersScanned - ScannedBefore);
    for (const WorkerUp &Each : fullFleet(m_Divisor)) {
      if (Each.m_Zone.str() == "zone-4")
        m_Figures.m_ZoneLost += step(WorkerLost{Each.m_Vm});
    }
    advance(std::chrono::milliseconds(25));
    m_Figures.m_ZoneLost += step(Tick{});
  }

  int m_Divisor;
  std::mt19937_64 m_Random;
  Scheduler m_Scheduler;
  CostFigures m_Figures;
  TimePoint m_Now{};
  int m_Teams = 0;
  int64_t m_NextJob = 0;
  int64_t m_RunningTasks = 0;
  absl::flat_hash_map<int64_t, int32_t> m_Tasks;
  std::vector<JobId> m_Running;
  std::vector<JobId> m_Placed;
  std::vector<JobId> m_Reclaimed;
  std::vector<SchedulerAction> m_Last;
};

} // namespace

CostFigures measureCost(int Divisor, uint64_t Seed) {
  return CostRun(Divisor, Seed).run();
}

double slopeOf(const std::vector<CostFigures> &Sizes,
               double CostFigures::*Value) {
  double SumX = 0;
  double SumY = 0;
  double SumXX = 0;
  double SumXY = 0;
  for (const CostFigures &Each : Sizes) {
    const double X = std::log(static_cast<double>(Each.m_Workers));
    const double Y = std::log(std::max(Each.*Value, 1e-6));
    SumX += X;
    SumY += Y;
    SumXX += X * X;
    SumXY += X * Y;
  }
  const auto N = static_cast<double>(Sizes.size());
  return (N * SumXY - SumX * SumY) / (N * SumXX - SumX * SumX);
}

} // namespace anvil::bench
