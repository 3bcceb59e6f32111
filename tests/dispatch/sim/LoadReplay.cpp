#include "LoadReplay.h"

#include <algorithm>
#include <map>

namespace anvil::sim {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Time with arrivals, as on a day of the users, and time to finish afterwards.
constexpr Duration ArrivalSpan = seconds(45);
constexpr Duration FinishSpan = seconds(60);

// Spans by whose worst quarter the worst moments are judged.
constexpr Duration JudgedSpan = seconds(4);
constexpr size_t WorstShare = 4;

// Every third worker of the users is faster than the others by this factor.
constexpr double FastSpeed = 1.3;
constexpr size_t FastEvery = 3;

size_t anyWorker(World &Of) {
  return static_cast<size_t>(
      Of.random().below(static_cast<int64_t>(Of.workers().size())));
}

TimePoint anyTime(World &Of, Duration Span) {
  return Of.queue().now() + Of.random().between(seconds(3), Span);
}

void scheduleCrashes(World &Of, Duration Span) {
  for (int I = 0; I < 3; ++I) {
    const size_t Index = anyWorker(Of);
    Of.queue().at(anyTime(Of, Span),
                  [&Of, Index] { Of.crashWorker(Index, seconds(3), false); });
  }
}

void scheduleSlowness(World &Of, Duration Span) {
  for (int I = 0; I < 3; ++I) {
    const size_t Index = anyWorker(Of);
    const TimePoint At = anyTime(Of, Span);
    Of.queue().at(At,
                  [&Of, Index] { Of.workers().at(Index).setSpeed(1.0 / 6); });
    Of.queue().at(At + seconds(7),
                  [&Of, Index] { Of.workers().at(Index).setSpeed(1); });
  }
}

void scheduleFailures(World &Of, Duration Span) {
  for (int I = 0; I < 2; ++I) {
    const size_t Index = anyWorker(Of);
    const TimePoint At = anyTime(Of, Span);
    const auto Set = [&Of, Index](bool Fails) {
      Of.workers().at(Index).m_FailsEverything = Fails;
    };
    Of.queue().at(At, [Set] { Set(true); });
    Of.queue().at(At + seconds(7), [Set] { Set(false); });
  }
}

void scheduleCuts(World &Of, Duration Span) {
  for (int I = 0; I < 3; ++I) {
    const size_t Index = anyWorker(Of);
    Of.queue().at(anyTime(Of, Span),
                  [&Of, Index] { Of.cutAgent(Index, milliseconds(5500)); });
  }
}

void scheduleLeaving(World &Of, Duration Span) {
  for (int I = 0; I < 3; ++I) {
    const size_t Index = anyWorker(Of);
    Of.queue().at(anyTime(Of, Span),
                  [&Of, Index] { Of.drainWorker(Index, seconds(3)); });
  }
}

void scheduleZoneLeaving(World &Of, Duration Span) {
  const TimePoint At = anyTime(Of, Span);
  Of.queue().at(At, [&Of] { Of.withdrawZone("zone-0", true); });
  Of.queue().at(At + seconds(10), [&Of] { Of.withdrawZone("zone-0", false); });
}

void scheduleLeaderLosses(World &Of, Duration Span) {
  for (int I = 0; I < 2; ++I)
    Of.queue().at(anyTime(Of, Span), [&Of] {
      Of.loseLeader(milliseconds(900), true, seconds(4));
    });
}

void scheduleMixed(World &Of, Duration Span) {
  scheduleCrashes(Of, Span);
  scheduleSlowness(Of, Span);
  scheduleFailures(Of, Span);
  scheduleCuts(Of, Span);
  scheduleLeaving(Of, Span);
  scheduleLeaderLosses(Of, Span);
}

std::vector<LoadPattern> makePatterns() {
  const auto BurstOf = [](size_t Kind, double Factor) {
    return Burst{Kind, Factor, seconds(14), seconds(6)};
  };
  const std::vector<Burst> All = {BurstOf(0, 2.6), BurstOf(1, 2.6),
                                  BurstOf(2, 2.6)};
  return {
      {"calm", 1, {}, {}},
      {"busy", 1.3, {}, {}},
      {"overload", 2, {}, {}},
      {"burst-batch", 1, {BurstOf(0, 5)}, {}},
      {"burst-urgent", 1, {BurstOf(1, 5)}, {}},
      {"burst-all", 1, All, {}},
      {"crashes", 1, {}, scheduleCrashes},
      {"slow-workers", 1, {}, scheduleSlowness},
      {"failing-workers", 1, {}, scheduleFailures},
      {"cut-workers", 1, {}, scheduleCuts},
      {"leaving-workers", 1, {}, scheduleLeaving},
      {"zone-leaves", 1, {}, scheduleZoneLeaving},
      {"leader-losses", 1, {}, scheduleLeaderLosses},
      {"burst-and-faults", 1, All, scheduleMixed},
  };
}

/// Sums of weights over several replays.
struct Share {
  double m_Earned = 0;
  double m_Owed = 0;

  void add(const JobResult &Result, Duration Objective) {
    m_Owed += Result.m_Plan->m_Weight;
    m_Earned += Result.m_Plan->m_Weight * Result.earned(Objective);
  }
  double value() const { return m_Owed > 0 ? m_Earned / m_Owed : 1; }
};

double worstOf(std::vector<Share> Spans) {
  std::sort(Spans.begin(), Spans.end(),
            [](const Share &Left, const Share &Right) {
              return Left.value() < Right.value();
            });
  Share Worst;
  for (size_t I = 0; I < (Spans.size() + WorstShare - 1) / WorstShare; ++I) {
    Worst.m_Earned += Spans[I].m_Earned;
    Worst.m_Owed += Spans[I].m_Owed;
  }
  return Worst.value();
}

/// Collects the figures of several replays of a sheet.
class Collector {
public:
  explicit Collector(const Sheet &Of)
      : m_Sheet(Of), m_Kinds(Of.m_Kinds.size()) {}

  void add(const World &Played) {
    std::map<int64_t, Share> Spans;
    for (const JobResult &Result : Played.results()) {
      if (Result.m_Plan->m_CancelAfter > Duration(0))
        continue;
      const Duration Objective = Played.objectiveOf(Result);
      m_All.add(Result, Objective);
      m_Kinds[kindOf(Result)].add(Result, Objective);
      Spans[Result.m_Plan->m_At / JudgedSpan].add(Result, Objective);
    }
    std::vector<Share> Values;
    Values.reserve(Spans.size());
    for (const auto &[Number, Each] : Spans)
      Values.push_back(Each);
    m_Worst += worstOf(std::move(Values));
    m_Lost += Played.truth().m_WastedCoreSeconds;
    m_Starts += static_cast<double>(Played.truth().starts());
    ++m_Count;
  }

  ReplayFigures figures() const {
    ReplayFigures Result;
    Result.m_Worth = m_All.value();
    for (const Share &Each : m_Kinds)
      Result.m_WorthByKind.push_back(Each.value());
    Result.m_WorstSpans = m_Worst / m_Count;
    Result.m_LostCoreSeconds = m_Lost / m_Count;
    Result.m_Starts = m_Starts / m_Count;
    return Result;
  }

private:
  size_t kindOf(const JobResult &Result) const {
    const auto It =
        std::find_if(m_Sheet.m_Kinds.begin(), m_Sheet.m_Kinds.end(),
                     [&](const JobKind &Each) {
                       return Each.m_Queue == Result.m_Plan->m_Queue;
                     });
    return static_cast<size_t>(It - m_Sheet.m_Kinds.begin());
  }

  const Sheet &m_Sheet;
  Share m_All;
  std::vector<Share> m_Kinds;
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

ReplayFigures replayLoad(const Sheet &Of, const LoadPattern &Pattern,
                         uint64_t First, uint64_t Count,
                         const ReplayHooks &Hooks) {
  Collector Figures(Of);
  for (uint64_t Seed = First; Seed < First + Count; ++Seed) {
    WorldOptions Options;
    Options.m_Seed = Seed;
    Options.m_ChecksState = false;
    Options.m_Trace = Hooks.m_Trace;
    World Played(Options, policyOf(Of), fleetOf(Of));
    for (size_t I = 0; I < Played.workers().size(); I += FastEvery)
      Played.workers().at(I).setSpeed(FastSpeed);
    addArrivals(Played, Of, ArrivalSpan, Pattern.m_Load, Pattern.m_Bursts);
    if (Pattern.m_Faults)
      Pattern.m_Faults(Played, ArrivalSpan);
    Played.run(ArrivalSpan + FinishSpan);
    Figures.add(Played);
    if (!Hooks.m_OnLate)
      continue;
    for (const JobResult &Result : Played.results())
      if (const Duration Objective = Played.objectiveOf(Result);
          Result.m_Plan->m_CancelAfter <= Duration(0) &&
          Result.earned(Objective) < 1)
        Hooks.m_OnLate(Seed, Result, Objective);
  }
  return Figures.figures();
}

} // namespace anvil::sim
