#include "Replica.h"

#include <charconv>
#include <cmath>

#include <boost/asio/io_context.hpp>

#include "anvil/base/Port.h"
#include "anvil/net/WireCodec.h"

namespace anvil::node::internal {

namespace {

// File that holds the id of the replica. A new id is generated for an empty
// folder, so a replica that lost its disk is a new replica to the group.
constexpr const char *IdFile = "replica-id";

constexpr metrics::Metric CommitTime{
    "anvil_commit_seconds",
    "Time from a proposal until it was committed and applied, or failed."};

constexpr metrics::Metric LostCoreSeconds{
    "anvil_lost_core_seconds_total",
    "Work of runs that ended without a result and was not saved, by cause."};

std::optional<int64_t> parseId(std::string_view Text) {
  int64_t Id = 0;
  const auto Result =
      std::from_chars(Text.data(), Text.data() + Text.size(), Id);
  const bool Whole =
      Result.ec == std::errc() && Result.ptr == Text.data() + Text.size();
  return Whole && Id > 0 ? std::optional(Id) : std::nullopt;
}

absl::Status syncId(store::FileSystem &Files) {
  absl::StatusOr<std::unique_ptr<store::AppendFile>> File =
      Files.openAppend(IdFile);
  if (!File.ok())
    return File.status();
  if (absl::Status Status = (*File)->sync(); !Status.ok())
    return Status;
  return Files.syncDirectory();
}

// Reads the id of the replica, or generates one and makes it durable.
absl::StatusOr<int64_t> ensureId(store::FileSystem &Files,
                                 const std::function<double()> &Random) {
  const absl::StatusOr<std::string> Text = Files.read(IdFile);
  if (Text.ok())
    if (const std::optional<int64_t> Id = parseId(*Text)) {
      // A process that wrote the file may have ended before the sync.
      absl::Status Status = syncId(Files);
      if (!Status.ok())
        return Status;
      return *Id;
    }
  if (!Text.ok() && !absl::IsNotFound(Text.status()))
    return Text.status();
  // An unreadable id was cut off by a power loss before the replica could vote,
  // so it can be replaced.
  if (Text.ok())
    if (absl::Status Status = Files.remove(IdFile); !Status.ok())
      return Status;
  const int64_t Id =
      1 + static_cast<int64_t>(Random() * 9'000'000'000'000'000.0);
  absl::StatusOr<std::unique_ptr<store::AppendFile>> File =
      Files.openAppend(IdFile);
  if (!File.ok())
    return File.status();
  if (absl::Status Status = (*File)->append(std::to_string(Id)); !Status.ok())
    return Status;
  if (absl::Status Status = (*File)->sync(); !Status.ok())
    return Status;
  if (absl::Status Status = Files.syncDirectory(); !Status.ok())
    return Status;
  return Id;
}

} // namespace

Replica::Replica(boost::asio::io_context &Io, ReplicaOptions Options,
                 std::shared_ptr<LeaderClient> Client, log::EventLog &Log,
                 std::function<void(const absl::Status &)> OnFatal)
    : m_Io(Io), m_Options(std::move(Options)),
      m_LeaderClient(std::move(Client)), m_Log(Log),
      m_OnFatal(std::move(OnFatal)), m_State(m_Options.m_Limits),
      m_StateMetrics(*m_Options.m_Metrics) {}

Replica::~Replica() = default;

absl::StatusOr<std::shared_ptr<Replica>>
Replica::create(boost::asio::io_context &Io, ReplicaOptions Options,
                std::shared_ptr<LeaderClient> Client, log::EventLog &Log,
                std::function<void(const absl::Status &)> OnFatal) {
  absl::StatusOr<std::unique_ptr<store::FileSystem>> Files =
      store::openDataFolder(Options.m_DataFolder);
  if (!Files.ok())
    return Files.status();
  absl::StatusOr<int64_t> Id = ensureId(**Files, Options.m_Random);
  if (!Id.ok())
    return Id.status();
  Options.m_Raft.m_Self = raft::ReplicaId(*Id);
  Options.m_Leader.m_Membership.m_Self = Options.m_Raft.m_Self;
  store::StoreOptions StoreOptions;
  StoreOptions.m_SegmentBytes = Options.m_SegmentBytes;
  absl::StatusOr<std::unique_ptr<store::LogStore>> Store =
      store::LogStore::open(StoreOptions, **Files);
  if (!Store.ok())
    return Store.status();
  std::shared_ptr<Replica> Result(new Replica(
      Io, std::move(Options), std::move(Client), Log, std::move(OnFatal)));
  Result->m_Files = *std::move(Files);
  Result->m_Store = *std::move(Store);
  const bool Empty = Result->m_Store->empty();
  Log.write("replica-opened", {{"replica", *Id}, {"empty", Empty}});
  if (!Empty)
    if (absl::Status Status = Result->open(std::nullopt); !Status.ok())
      return Status;
  return Result;
}

absl::Status Replica::foundGroup() {
  raft::Membership Members;
  Members.m_Voters.push_back(id());
  m_Log.write("group-founded", {{"replica", id().value()}});
  return open(Members);
}

absl::Status Replica::joinGroup() {
  m_Log.write("group-joining", {{"replica", id().value()}});
  return open(std::nullopt);
}

absl::Status Replica::open(std::optional<raft::Membership> Bootstrap) {
  replica::ReplicatedLogOptions LogOptions;
  LogOptions.m_Raft = m_Options.m_Raft;
  LogOptions.m_Bootstrap = std::move(Bootstrap);
  LogOptions.m_SnapshotEvery = m_Options.m_SnapshotEvery;
  LogOptions.m_Now = m_Options.m_Now;
  LogOptions.m_OnRecovered = [this](std::string_view Command) {
    recoverAddress(Command);
  };
  absl::StatusOr<std::unique_ptr<replica::ReplicatedLog>> Opened =
      replica::ReplicatedLog::create(m_Io, std::move(LogOptions),
                                     std::move(m_Store));
  if (!Opened.ok())
    return Opened.status();
  m_ReplicatedLog = *std::move(Opened);
  if (const raft::SnapshotData Data = m_ReplicatedLog->snapshot())
    if (absl::Status Status = restore(*Data); !Status.ok())
      return Status;
  LeaderOptions Leader = m_Options.m_Leader;
  Leader.m_Dispatch.m_OnLostWork = [this](const dispatch::LostWork &Lost) {
    onLostWork(Lost);
  };
  Leader.m_Dispatch.m_OnWorkerSpeed =
      [this](const dispatch::WorkerSpeedChange &Change) {
        m_Log.write("worker-speed", {{"worker", Change.m_Worker},
                                     {"machine", Change.m_Machine},
                                     {"speed", Change.m_Speed},
                                     {"observations", Change.m_Observations}});
      };
  Leader.m_Dispatch.m_OnShareYielded =
      [this](const dispatch::ShareYield &Yield) { onShareYielded(Yield); };
  m_Duties = std::make_shared<LeaderDuties>(m_Io, std::move(Leader),
                                            leaderPorts(), m_Log);
  m_State.setEventHook(
      [this](const workload::WorkloadEvent &Event) { onStateEvent(Event); });
  m_ReplicatedLog->start(hooks());
  return absl::OkStatus();
}

// Restores peer addresses from log entries that are not applied yet. After a
// restart nothing is applied until a leader announces the commit index, and an
// election needs the addresses of the other replicas.
void Replica::recoverAddress(std::string_view Bytes) {
  wire::WorkloadCommand Command;
  if (!net::decodeStruct(Bytes, Command).ok() ||
      !Command.__isset.registerReplica)
    return;
  const wire::ReplicaAddress &Recovered = Command.registerReplica.replica;
  if (absl::StatusOr<net::Endpoint> Peer =
          net::parseEndpoint(Recovered.address);
      Peer.ok())
    m_Peers[Recovered.id] = *std::move(Peer);
}

replica::ReplicatedLogHooks Replica::hooks() {
  replica::ReplicatedLogHooks Result;
  Result.m_Apply = [this](std::string_view Bytes, raft::LogIndex Index) {
    return apply(Bytes, Index);
  };
  Result.m_Snapshot = [this] { return m_State.snapshot(); };
  Result.m_Restore = [this](std::string_view Snapshot) {
    return restore(Snapshot);
  };
  Result.m_Send = [this](raft::ReplicaId Receiver, std::string Message) {
    send(Receiver, std::move(Message));
  };
  Result.m_OnRole = [this](const raft::RoleChange &Change) {
    onRoleChange(Change);
  };
  Result.m_OnApplied = [this] {
    m_LeaderClient->updateView(groupView());
    m_Duties->wake();
  };
  Result.m_OnAnswered = [this] { m_Results.clear(); };
  Result.m_OnFatal = [this](const absl::Status &Status) {
    m_Duties->end();
    if (m_OnFatal)
      m_OnFatal(Status);
  };
  return Result;
}

absl::Status Replica::apply(std::string_view Bytes, raft::LogIndex Index) {
  wire::WorkloadCommand Command;
  if (absl::Status Status = net::decodeStruct(Bytes, Command); !Status.ok())
    return Status;
  m_Results[Index] = m_State.apply(Command, static_cast<int64_t>(Index));
  return absl::OkStatus();
}

absl::Status Replica::restore(std::string_view Snapshot) {
  absl::StatusOr<workload::WorkloadState> Restored =
      workload::WorkloadState::restore(Snapshot, m_Options.m_Limits);
  if (!Restored.ok())
    return Restored.status();
  m_State = *std::move(Restored);
  m_State.setEventHook(
      [this](const workload::WorkloadEvent &Event) { onStateEvent(Event); });
  m_Log.write("state-restored", {{"applied", m_State.appliedIndex()},
                                 {"jobs", m_State.liveJobs().size()}});
  return absl::OkStatus();
}

std::optional<net::Endpoint> Replica::addressOf(int64_t Id) const {
  const auto Registered = m_State.replicas().find(Id);
  if (Registered != m_State.replicas().end())
    if (absl::StatusOr<net::Endpoint> Parsed =
            net::parseEndpoint(Registered->second.address);
        Parsed.ok())
      return *Parsed;
  const auto Known = m_Peers.find(Id);
  if (Known != m_Peers.end())
    return Known->second;
  for (const wire::ReplicaAddress &Each : m_LeaderClient->view().replicas)
    if (Each.id == Id)
      if (absl::StatusOr<net::Endpoint> Parsed =
              net::parseEndpoint(Each.address);
          Parsed.ok())
        return *Parsed;
  return std::nullopt;
}

void Replica::send(raft::ReplicaId Receiver, std::string Message) {
  const std::optional<net::Endpoint> Peer = addressOf(Receiver.value());
  if (!Peer)
    return;
  wire::GroupMessage Envelope;
  Envelope.senderId = id().value();
  Envelope.receiverId = Receiver.value();
  Envelope.senderAddress = m_Options.m_Address.str();
  Envelope.body = std::move(Message);
  m_LeaderClient->rpcClientFor(*Peer).notify(wire::Method::RAFT_MESSAGE,
                                             net::encodeStruct(Envelope));
}

void Replica::receive(const wire::GroupMessage &Message) {
  // The message may be for a replica that had this address before.
  if (!m_ReplicatedLog || Message.receiverId != id().value())
    return;
  absl::StatusOr<net::Endpoint> Sender =
      net::parseEndpoint(Message.senderAddress);
  if (Sender.ok())
    m_Peers[Message.senderId] = *std::move(Sender);
  m_ReplicatedLog->receive(Message.body);
}

void Replica::onRoleChange(const raft::RoleChange &Change) {
  const char *Names[] = {"follower", "pre-candidate", "candidate", "leader"};
  m_Log.write("role-changed", {{"role", Names[static_cast<int>(Change.m_Role)]},
                               {"term", Change.m_Term},
                               {"leader", Change.m_Leader.value()}});
  m_Role = Change;
  m_LeaderClient->updateView(groupView());
  if (Change.m_Role == raft::RaftRole::Leader)
    beginLeadership(Change.m_Term);
  else
    m_Duties->end();
}

// A new leader's state may lack entries that its predecessor committed until a
// read in its own term is confirmed.
void Replica::beginLeadership(raft::TermNumber Term) {
  m_ReplicatedLog->read(
      [Weak = weak_from_this(), Term](const absl::Status &Status) {
        auto Self = Weak.lock();
        if (!Self || Self->m_Role.m_Role != raft::RaftRole::Leader ||
            Self->m_Role.m_Term != Term || Self->m_Duties->active())
          return;
        if (Self->m_ReplicatedLog->failed())
          return;
        if (!Status.ok()) {
          Self->beginLeadership(Term);
          return;
        }
        Self->m_StateMetrics.reset();
        Self->m_Duties->begin();
        Self->registerSelf();
      });
}

// Puts the address of the leader itself into the state, since other replicas
// learn the members of the group from the leader.
void Replica::registerSelf() {
  wire::RegisterReplica Register;
  Register.replica.id = id().value();
  Register.replica.address = m_Options.m_Address.str();
  Register.replica.availabilityZone = m_Options.m_AvailabilityZone;
  const auto Known = m_State.replicas().find(Register.replica.id);
  if (Known != m_State.replicas().end() && Known->second == Register.replica)
    return;
  wire::WorkloadCommand Command;
  Command.__set_registerReplica(Register);
  propose(std::move(Command),
          [](const absl::StatusOr<wire::WorkloadResult> &) {});
}

void Replica::propose(wire::WorkloadCommand Command, CommandDone Done) {
  Command.proposedAtMs = m_Options.m_WallClockMicros() / 1000;
  m_ReplicatedLog->propose(
      net::encodeStruct(Command),
      [this, ProposedAt = m_Options.m_Now(),
       Done = std::move(Done)](absl::StatusOr<raft::LogIndex> Index) {
        m_Options.m_Metrics->observe(
            CommitTime, {{"outcome", Index.ok() ? "committed" : "failed"}},
            m_Options.m_Now() - ProposedAt);
        if (!Index.ok()) {
          Done(Index.status());
          return;
        }
        const auto Result = m_Results.find(*Index);
        if (Result == m_Results.end())
          Done(absl::InternalError("a committed command has no result"));
        else
          Done(Result->second);
      });
}

LeaderPorts Replica::leaderPorts() {
  LeaderPorts Ports;
  Ports.m_Propose = [this](wire::WorkloadCommand Command, CommandDone Done) {
    propose(std::move(Command), std::move(Done));
  };
  Ports.m_Read = [this](std::function<void(absl::Status)> Done) {
    m_ReplicatedLog->read(std::move(Done));
  };
  Ports.m_ChangeMembership = [this](raft::MembershipChangeKind Kind,
                                    raft::ReplicaId Member,
                                    std::function<void(absl::Status)> Done) {
    m_ReplicatedLog->changeMembership(
        Kind, Member,
        [Done = std::move(Done)](const absl::StatusOr<raft::LogIndex> &Index) {
          Done(Index.status());
        });
  };
  Ports.m_State = [this]() -> const workload::WorkloadState & {
    return m_State;
  };
  Ports.m_Status = [this] { return status(); };
  Ports.m_GroupView = [this] { return groupView(); };
  Ports.m_Now = m_Options.m_Now;
  Ports.m_WallClockMicros = m_Options.m_WallClockMicros;
  return Ports;
}

void Replica::onLostWork(const dispatch::LostWork &Lost) {
  const auto CoreMillis =
      static_cast<int64_t>(std::llround(Lost.m_CoreSeconds * 1000));
  m_Options.m_Metrics->count(LostCoreSeconds, {{"cause", Lost.m_Cause}},
                             std::llround(Lost.m_CoreSeconds));
  m_Log.write("work-lost", {{"task", workload::nameOf(Lost.m_Task)},
                            {"run", Lost.m_Run},
                            {"core_ms", CoreMillis},
                            {"cause", Lost.m_Cause}});
}

void Replica::onShareYielded(const dispatch::ShareYield &Yield) {
  const auto Percent = [](double Share) {
    return static_cast<int64_t>(std::llround(100 * Share));
  };
  m_Log.write("share-yielded", {{"job", Yield.m_Job},
                                {"workspace", Yield.m_Workspace},
                                {"share_percent", Percent(Yield.m_Share)},
                                {"part_percent", Percent(Yield.m_Part)}});
}

wire::GroupView Replica::groupView() const {
  wire::GroupView View;
  for (const auto &[Id, Replica] : m_State.replicas())
    View.replicas.push_back(Replica);
  View.leader = m_Role.m_Leader.value();
  View.term = static_cast<int64_t>(m_Role.m_Term);
  return View;
}

raft::RaftStatus Replica::status() const {
  return m_ReplicatedLog ? m_ReplicatedLog->status() : raft::RaftStatus();
}

void Replica::yieldLeadership() {
  if (!m_ReplicatedLog || !m_ReplicatedLog->leads())
    return;
  for (raft::ReplicaId Voter : status().m_Members.m_Voters) {
    const auto Registered = m_State.replicas().find(Voter.value());
    if (Voter == id() || Registered == m_State.replicas().end())
      continue;
    absl::StatusOr<net::Endpoint> Peer =
        net::parseEndpoint(Registered->second.address);
    if (!Peer.ok() || !m_LeaderClient->rpcClientFor(*Peer).connected())
      continue;
    m_Log.write("leadership-handed-over", {{"to", Voter.value()}});
    m_ReplicatedLog->transferLeadership(Voter);
    return;
  }
}

void Replica::workerSync(const wire::WorkerSyncRequest &Request,
                         std::function<void(wire::WorkerSyncReply)> Done) {
  if (leads()) {
    m_Duties->workerSync(Request, std::move(Done));
    return;
  }
  wire::WorkerSyncReply Reply;
  Reply.group = groupView();
  Done(std::move(Reply));
}

void Replica::entryWatch(const wire::EntryWatchRequest &Request,
                         std::function<void(wire::EntryWatchReply)> Done) {
  if (leads()) {
    m_Duties->entryWatch(Request, std::move(Done));
    return;
  }
  wire::EntryWatchReply Reply;
  Reply.group = groupView();
  Done(std::move(Reply));
}

} // namespace anvil::node::internal
