#include "Faults.h"

#include "DeploymentProfile.h"

namespace anvil::sim {

using std::chrono::milliseconds;
using std::chrono::seconds;

void scheduleFaults(SimCluster &Cluster, Duration Span) {
  Random &Rng = Cluster.random();
  const auto RandomTime = [&] {
    return Cluster.queue().now() + Rng.between(milliseconds(500), Span);
  };
  const auto RandomWorker = [&] {
    return static_cast<size_t>(
        Rng.below(static_cast<int64_t>(Cluster.workers().size())));
  };
  for (int I = 0; I < 4; ++I) {
    const size_t Crashed = RandomWorker();
    const bool SameId = Rng.chance(0.5);
    const Duration Down = Rng.between(milliseconds(100), seconds(6));
    Cluster.queue().at(RandomTime(), [&Cluster, Crashed, SameId, Down] {
      Cluster.crashWorker(Crashed, Down, SameId);
    });
    const size_t Killed = RandomWorker();
    const Duration AgentDown = Rng.between(milliseconds(300), seconds(9));
    Cluster.queue().at(RandomTime(), [&Cluster, Killed, AgentDown] {
      Cluster.killAgent(Killed, AgentDown);
    });
    const size_t Partitioned = RandomWorker();
    const Duration PartitionSpan = Rng.between(seconds(1), seconds(18));
    Cluster.queue().at(RandomTime(), [&Cluster, Partitioned, PartitionSpan] {
      Cluster.partitionAgent(Partitioned, PartitionSpan);
    });
    const bool Stale = Rng.chance(0.6);
    const Duration Gap = Rng.between(milliseconds(100), seconds(7));
    const Duration StaleFor = Rng.between(seconds(1), seconds(16));
    Cluster.queue().at(RandomTime(), [&Cluster, Gap, Stale, StaleFor] {
      Cluster.loseLeader(Gap, Stale, StaleFor);
    });
  }
  const size_t Drained = RandomWorker();
  Cluster.queue().at(RandomTime(), [&Cluster, Drained] {
    Cluster.drainWorker(Drained, seconds(4));
  });
}

std::string
simulateWithFaults(uint64_t Seed,
                   std::function<void(TimePoint, const std::string &)> Trace) {
  SimClusterOptions Options;
  Options.m_Seed = Seed;
  Options.m_MessageLossShare = Seed % 3 == 0 ? 0.05 : 0;
  Options.m_LateOrderShare = Seed % 2 == 0 ? 0.08 : 0;
  Options.m_AnswerLossShare = Seed % 4 == 0 ? 0.05 : 0;
  Options.m_Trace = std::move(Trace);
  SimCluster Cluster(Options, smallPolicy(), smallFleet());
  addMixedJobs(Cluster, seconds(30), 1.0);
  scheduleFaults(Cluster, seconds(30));
  Cluster.run(seconds(90));
  return Cluster.violation();
}

} // namespace anvil::sim
