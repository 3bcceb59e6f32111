#include "Faults.h"

#include "Sheets.h"

namespace anvil::sim {

using std::chrono::milliseconds;
using std::chrono::seconds;

void scheduleFaults(World &Of, Duration Span) {
  Random &Rng = Of.random();
  const auto At = [&] {
    return Of.queue().now() + Rng.between(milliseconds(500), Span);
  };
  const auto Worker = [&] {
    return static_cast<size_t>(
        Rng.below(static_cast<int64_t>(Of.workers().size())));
  };
  for (int I = 0; I < 4; ++I) {
    const size_t Crashed = Worker();
    const bool SameId = Rng.chance(0.5);
    const Duration Down = Rng.between(milliseconds(100), seconds(6));
    Of.queue().at(At(), [&Of, Crashed, SameId, Down] {
      Of.crashWorker(Crashed, Down, SameId);
    });
    const size_t Killed = Worker();
    const Duration AgentDown = Rng.between(milliseconds(300), seconds(9));
    Of.queue().at(
        At(), [&Of, Killed, AgentDown] { Of.killAgent(Killed, AgentDown); });
    const size_t Cut = Worker();
    const Duration CutFor = Rng.between(seconds(1), seconds(18));
    Of.queue().at(At(), [&Of, Cut, CutFor] { Of.cutAgent(Cut, CutFor); });
    const bool Stale = Rng.chance(0.6);
    const Duration Gap = Rng.between(milliseconds(100), seconds(7));
    const Duration StaleFor = Rng.between(seconds(1), seconds(16));
    Of.queue().at(At(), [&Of, Gap, Stale, StaleFor] {
      Of.loseLeader(Gap, Stale, StaleFor);
    });
  }
  const size_t Drained = Worker();
  Of.queue().at(At(), [&Of, Drained] { Of.drainWorker(Drained, seconds(4)); });
}

std::string
playFaultyDay(uint64_t Seed,
              std::function<void(TimePoint, const std::string &)> Trace) {
  WorldOptions Options;
  Options.m_Seed = Seed;
  Options.m_LossShare = Seed % 3 == 0 ? 0.05 : 0;
  Options.m_LateShare = Seed % 2 == 0 ? 0.08 : 0;
  Options.m_AnswerLossShare = Seed % 4 == 0 ? 0.05 : 0;
  Options.m_Trace = std::move(Trace);
  World Of(Options, smallPolicy(), smallFleet());
  addMixedJobs(Of, seconds(30), 1.0);
  scheduleFaults(Of, seconds(30));
  Of.run(seconds(90));
  return Of.violation();
}

} // namespace anvil::sim
