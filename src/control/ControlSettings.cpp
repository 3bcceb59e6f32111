#include "anvil/control/ControlSettings.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include "anvil/base/Port.h"
#include "anvil/daemon/Process.h"

namespace anvil::control {

namespace {

constexpr int64_t MaxReplicaId = 1'000'000;
constexpr int64_t DefaultSnapshotEvery = 20'000;
constexpr int64_t MaxSnapshotEvery = 10'000'000;

// Values that are checked together after all settings have been parsed.
struct ParsedSettings {
  int64_t m_ReplicaId = 0;
  int64_t m_SnapshotEvery = DefaultSnapshotEvery;
  bool m_Bootstrap = false;
  std::map<raft::ReplicaId, net::Endpoint> m_Replicas;
};

absl::Status applyParsedSettings(const ParsedSettings &Parsed,
                                 ControlOptions &Options) {
  const raft::ReplicaId Self(Parsed.m_ReplicaId);
  const auto OwnEndpoint = Parsed.m_Replicas.find(Self);
  if (OwnEndpoint == Parsed.m_Replicas.end())
    return absl::InvalidArgumentError(absl::StrCat(
        "--replicas has no entry for --replica-id ", Parsed.m_ReplicaId));
  Options.m_Replica.m_Raft.m_Self = Self;
  Options.m_Replica.m_SnapshotEvery =
      static_cast<uint64_t>(Parsed.m_SnapshotEvery);
  Options.m_Replica.m_Peers = Parsed.m_Replicas;
  Options.m_Replica.m_Peers.erase(Self);
  if (Options.m_Listen.m_Port == 0)
    Options.m_Listen = OwnEndpoint->second;
  if (Parsed.m_Bootstrap) {
    raft::Membership Members;
    for (const auto &[Id, Endpoint] : Parsed.m_Replicas)
      Members.m_Voters.push_back(Id);
    Options.m_Replica.m_Bootstrap = std::move(Members);
  }
  return absl::OkStatus();
}

} // namespace

absl::StatusOr<std::map<raft::ReplicaId, net::Endpoint>>
parseReplicas(std::string_view Text) {
  std::map<raft::ReplicaId, net::Endpoint> Replicas;
  for (absl::string_view Part :
       absl::StrSplit(toAbsl(Text), ',', absl::SkipEmpty())) {
    const std::pair<absl::string_view, absl::string_view> Pair =
        absl::StrSplit(Part, absl::MaxSplits('=', 1));
    int64_t Id = 0;
    if (!absl::SimpleAtoi(Pair.first, &Id) || Id <= 0 || Id > MaxReplicaId)
      return absl::InvalidArgumentError(
          absl::StrCat("'", Part, "' is not ID=IP:PORT with an ID from 1 to ",
                       MaxReplicaId));
    const absl::StatusOr<net::Endpoint> Endpoint =
        net::parseEndpoint(fromAbsl(Pair.second));
    if (!Endpoint.ok())
      return Endpoint.status();
    if (!Replicas.emplace(raft::ReplicaId(Id), *Endpoint).second)
      return absl::InvalidArgumentError(
          absl::StrCat("replica ", Id, " appears twice"));
  }
  if (Replicas.empty())
    return absl::InvalidArgumentError("needs at least one ID=IP:PORT");
  return Replicas;
}

daemon::Settings controlSettings(ControlOptions &Options) {
  auto Shared = std::make_shared<ParsedSettings>();
  daemon::Settings Settings(
      "anvil-control",
      "Keeps one replica of the cluster state and the sessions of agents.");
  Settings.addName("name", "", "Name of this process in logs and time lines.",
                   Options.m_Name);
  Settings.addName("availability-zone", "", "Availability zone of this VM.",
                   Options.m_AvailabilityZone);
  Settings.addInteger(
      "replica-id", 0, 0, MaxReplicaId,
      "ID of this replica; a replica that lost its disk must get a "
      "new one.",
      Shared->m_ReplicaId);
  Settings.add(
      "replicas", "", "All replicas as ID=IP:PORT,...",
      [Shared](std::string_view Text) {
        absl::StatusOr<std::map<raft::ReplicaId, net::Endpoint>> Replicas =
            parseReplicas(Text);
        if (!Replicas.ok())
          return Replicas.status();
        Shared->m_Replicas = *std::move(Replicas);
        return absl::OkStatus();
      },
      daemon::Presence::Required);
  Settings.addEndpoint(
      "listen", "",
      "Address to listen on, if it differs from that in --replicas.",
      Options.m_Listen, daemon::Presence::Optional);
  Settings.addText("data", "",
                   "Folder for the log and snapshots; survives restarts.",
                   Options.m_DataFolder, daemon::Presence::Required);
  Settings.addSwitch(
      "bootstrap",
      "Start a new group of all --replicas if the data folder is empty.",
      Shared->m_Bootstrap);
  Settings.addInteger("snapshot-every", DefaultSnapshotEvery, 100,
                      MaxSnapshotEvery, "Changes between two snapshots.",
                      Shared->m_SnapshotEvery);
  Settings.addCheck(
      [Shared, &Options] { return applyParsedSettings(*Shared, Options); });
  return Settings;
}

void fillProcessHooks(ControlOptions &Options) {
  const std::function<double()> Random = daemon::makeRandomSource();
  Options.m_Replica.m_Now = daemon::monotonicNow;
  Options.m_Replica.m_WallClockMicros = daemon::wallClockMicros;
  Options.m_Replica.m_Rpc.m_Random = Random;
  Options.m_Replica.m_Raft.m_Random = [Random](uint64_t Bound) {
    return static_cast<uint64_t>(Random() * static_cast<double>(Bound));
  };
}

} // namespace anvil::control
