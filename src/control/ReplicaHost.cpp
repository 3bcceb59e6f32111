#include "anvil/control/ReplicaHost.h"

#include <algorithm>
#include <unordered_map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>

#include "MemberChange.h"
#include "SyncWorker.h"
#include "anvil/net/WireCodec.h"
#include "anvil/raft/RaftCodec.h"

namespace anvil::control {

using internal::SyncWorker;

struct ReplicaHost::Impl : std::enable_shared_from_this<ReplicaHost::Impl> {
  using ReadDone = std::function<void(absl::Status)>;

  Impl(boost::asio::io_context &Io, ReplicaHostOptions Options,
       raft::Raft Consensus, state::ClusterState State)
      : m_Io(Io), m_Options(std::move(Options)), m_Raft(std::move(Consensus)),
        m_State(std::move(State)), m_Timer(Io) {}

  void startWorker(std::unique_ptr<store::LogStore> Store);
  void start(Hooks Receivers);
  void step(const raft::RaftInput &Input);
  void handle(raft::RaftOutput Output);
  void persist(raft::RaftOutput &Output);
  void install(const raft::Snapshot &Snapshot);
  void apply(const std::vector<raft::LogEntry> &Entries);
  void finishProposals(const std::vector<raft::ProposalResult> &Results);
  void finishReads(const std::vector<raft::ReadResult> &Results);
  void send(const std::vector<raft::RaftMessage> &Messages);
  void armTimer();
  void flushProposals();
  void changeReplicas(const wire::ChangeReplicas &Change, CommandDone Done);
  void snapshotIfDue();
  void onSnapshotSaved(const raft::Snapshot &Snapshot);
  void fail(const absl::Status &Status);

  boost::asio::io_context &m_Io;
  const ReplicaHostOptions m_Options;
  raft::Raft m_Raft;
  state::ClusterState m_State;
  boost::asio::steady_timer m_Timer;
  Hooks m_Hooks;
  std::map<raft::ReplicaId, std::unique_ptr<net::RpcClient>> m_Links;
  std::unique_ptr<SyncWorker> m_Worker;
  std::unordered_map<uint64_t, CommandDone> m_Commands;
  std::unordered_map<uint64_t, ReadDone> m_Reads;
  std::unordered_map<uint64_t, wire::CommandResult>
      m_Results; ///< By log index, during one output.
  std::vector<raft::Proposal> m_Queued;
  uint64_t m_NextContext = 1;
  raft::LogIndex m_SnapshotIndex = 0;
  bool m_SnapshotRunning = false;
  bool m_Failed = false;
  bool m_InStep = false;
  std::vector<raft::RaftInput>
      m_Deferred; ///< Inputs that arrived while an output was handled.
};

void ReplicaHost::Impl::startWorker(std::unique_ptr<store::LogStore> Store) {
  std::weak_ptr<Impl> Weak = weak_from_this();
  SyncWorker::Completions Completions;
  Completions.m_OnPersisted = [Weak](uint64_t Sequence) {
    if (auto Self = Weak.lock())
      Self->step(raft::PersistedInput{Sequence});
  };
  Completions.m_OnSnapshotSaved = [Weak](const raft::Snapshot &Snapshot) {
    if (auto Self = Weak.lock())
      Self->onSnapshotSaved(Snapshot);
  };
  Completions.m_OnFailure = [Weak](const absl::Status &Status) {
    if (auto Self = Weak.lock())
      Self->fail(Status);
  };
  m_Worker = std::make_unique<SyncWorker>(m_Io, std::move(Store),
                                          std::move(Completions));
}

void ReplicaHost::Impl::start(Hooks Receivers) {
  m_Hooks = std::move(Receivers);
  m_State.setEventHook(m_Hooks.m_OnStateEvent);
  for (const auto &[Id, Endpoint] : m_Options.m_Peers)
    m_Links[Id] = net::RpcClient::create(m_Io, Endpoint, m_Options.m_Rpc);
  step(raft::TickInput{});
}

// Effects may ask for further steps; those wait until the present output has
// been carried out.
void ReplicaHost::Impl::step(const raft::RaftInput &Input) {
  if (m_Failed)
    return;
  m_Deferred.push_back(Input);
  if (m_InStep)
    return;
  m_InStep = true;
  for (size_t I = 0; I < m_Deferred.size() && !m_Failed; ++I) {
    const raft::RaftInput Next = std::move(m_Deferred[I]);
    handle(m_Raft.step(Next, m_Options.m_Now()));
  }
  m_Deferred.clear();
  m_InStep = false;
  armTimer();
}

void ReplicaHost::Impl::handle(raft::RaftOutput Output) {
  persist(Output);
  send(Output.m_Messages);
  if (Output.m_Install)
    install(Output.m_Install->m_Snapshot);
  if (!Output.m_Committed.empty())
    apply(Output.m_Committed);
  finishProposals(Output.m_Proposals);
  finishReads(Output.m_Reads);
  m_Results.clear();
  if (Output.m_Role && m_Hooks.m_OnRole)
    m_Hooks.m_OnRole(*Output.m_Role);
  if (Output.m_CompactTo)
    m_Worker->compactTo(*Output.m_CompactTo);
}

void ReplicaHost::Impl::persist(raft::RaftOutput &Output) {
  if (Output.m_Sequence == 0)
    return;
  store::StoreBatch Batch;
  if (Output.m_Install) {
    Batch.m_Install = Output.m_Install->m_Snapshot;
    Batch.m_KeepSuffix = Output.m_Install->m_KeepSuffix;
  }
  Batch.m_TruncateFrom = Output.m_TruncateFrom;
  Batch.m_Append = std::move(Output.m_Append);
  Batch.m_Hard = Output.m_Hard;
  m_Worker->persist(Output.m_Sequence, std::move(Batch));
}

void ReplicaHost::Impl::install(const raft::Snapshot &Snapshot) {
  absl::StatusOr<state::ClusterState> Restored =
      state::ClusterState::restore(*Snapshot.m_Data);
  if (!Restored.ok()) {
    fail(Restored.status());
    return;
  }
  m_State = *std::move(Restored);
  m_State.setEventHook(m_Hooks.m_OnStateEvent);
  m_SnapshotIndex = Snapshot.m_Meta.m_Index;
  LOG(INFO) << "replica: installed snapshot index=" << m_SnapshotIndex;
  step(raft::AppliedInput{Snapshot.m_Meta.m_Index});
}

void ReplicaHost::Impl::apply(const std::vector<raft::LogEntry> &Entries) {
  for (const raft::LogEntry &Entry : Entries) {
    if (Entry.m_Kind != raft::EntryKind::Command)
      continue;
    wire::Command Command;
    const absl::Status Status = net::decodeStruct(Entry.m_Data, Command);
    if (!Status.ok()) {
      fail(Status);
      return;
    }
    m_Results[Entry.m_Index] =
        m_State.apply(Command, static_cast<int64_t>(Entry.m_Index));
  }
  step(raft::AppliedInput{Entries.back().m_Index});
  if (m_Hooks.m_OnApplied)
    m_Hooks.m_OnApplied();
  snapshotIfDue();
}

void ReplicaHost::Impl::finishProposals(
    const std::vector<raft::ProposalResult> &Results) {
  for (const raft::ProposalResult &Result : Results) {
    auto Node = m_Commands.extract(Result.m_Context);
    if (Node.empty())
      continue;
    if (!Result.m_Status.ok()) {
      Node.mapped()(Result.m_Status);
      continue;
    }
    wire::CommandResult Outcome = m_Results[Result.m_Index];
    // A repeated command is answered with the index of the first.
    if (Outcome.index == 0)
      Outcome.index = static_cast<int64_t>(Result.m_Index);
    Node.mapped()(std::move(Outcome));
  }
}

void ReplicaHost::Impl::finishReads(
    const std::vector<raft::ReadResult> &Results) {
  for (const raft::ReadResult &Result : Results) {
    auto Node = m_Reads.extract(Result.m_Context);
    if (!Node.empty())
      Node.mapped()(Result.m_Status);
  }
}

void ReplicaHost::Impl::send(const std::vector<raft::RaftMessage> &Messages) {
  for (const raft::RaftMessage &Message : Messages) {
    const auto Link = m_Links.find(Message.m_To);
    if (Link != m_Links.end())
      Link->second->notify(wire::Method::RAFT_MESSAGE,
                           raft::encodeMessage(Message));
  }
}

void ReplicaHost::Impl::armTimer() {
  const Duration Wait =
      std::max(m_Raft.nextDeadline() - m_Options.m_Now(), Duration(1000));
  m_Timer.expires_after(std::min<Duration>(Wait, std::chrono::seconds(1)));
  std::weak_ptr<Impl> Weak = weak_from_this();
  m_Timer.async_wait([Weak](boost::system::error_code Error) {
    auto Self = Weak.lock();
    if (!Error && Self)
      Self->step(raft::TickInput{});
  });
}

// Proposals of one round of the event loop share a message and a disk write.
void ReplicaHost::Impl::flushProposals() {
  if (m_Queued.empty())
    return;
  raft::ProposeInput Input;
  Input.m_Proposals = std::exchange(m_Queued, {});
  step(Input);
}

void ReplicaHost::Impl::changeReplicas(const wire::ChangeReplicas &Change,
                                       CommandDone Done) {
  const raft::ReplicaId Replica(Change.replicaId);
  const bool HasAddress =
      Replica == m_Options.m_Raft.m_Self || m_Links.contains(Replica);
  if (std::optional<wire::CommandResult> Answer =
          internal::answerUnchanged(Change, m_Raft.status(), HasAddress)) {
    Done(*std::move(Answer));
    return;
  }
  LOG(INFO) << "replica: changing the control group kind="
            << internal::nameOf(Change.kind) << " replica=" << Change.replicaId
            << " operator=" << Change.operatorId;
  const uint64_t Context = m_NextContext++;
  m_Commands.emplace(Context, [Change, Done = std::move(Done)](
                                  absl::StatusOr<wire::CommandResult> Result) {
    Done(internal::changeResult(Change, std::move(Result)));
  });
  step(raft::ChangeMembershipInput{Context, internal::raftKindOf(Change.kind),
                                   Replica});
}

void ReplicaHost::Impl::snapshotIfDue() {
  const auto Applied = static_cast<raft::LogIndex>(m_State.appliedIndex());
  if (m_SnapshotRunning ||
      Applied < m_SnapshotIndex + m_Options.m_SnapshotEvery)
    return;
  absl::StatusOr<raft::SnapshotMeta> Meta = m_Raft.snapshotMeta(Applied);
  if (!Meta.ok())
    return;
  raft::Snapshot Snapshot;
  Snapshot.m_Meta = *std::move(Meta);
  Snapshot.m_Data = std::make_shared<const std::string>(m_State.snapshot());
  m_SnapshotRunning = true;
  m_Worker->saveSnapshot(std::move(Snapshot));
}

void ReplicaHost::Impl::onSnapshotSaved(const raft::Snapshot &Snapshot) {
  m_SnapshotRunning = false;
  m_SnapshotIndex = std::max(m_SnapshotIndex, Snapshot.m_Meta.m_Index);
  LOG(INFO) << "replica: saved snapshot index=" << Snapshot.m_Meta.m_Index
            << " bytes=" << Snapshot.m_Data->size();
  step(raft::SnapshotMadeInput{Snapshot});
}

void ReplicaHost::Impl::fail(const absl::Status &Status) {
  if (std::exchange(m_Failed, true))
    return;
  LOG(ERROR) << "replica: stopped, storage or log is unusable: "
             << Status.message();
  m_Timer.cancel();
  m_Links.clear();
  if (m_Hooks.m_OnFatal)
    m_Hooks.m_OnFatal(Status);
}

namespace {

// Makes the first state of a new group durable, so that a crash right after the
// start can't lose it.
absl::StatusOr<raft::RaftPersistentState>
bootstrap(const raft::Membership &Members, store::LogStore &Store) {
  raft::RaftPersistentState Initial = raft::bootstrapState(Members);
  store::StoreBatch Batch;
  Batch.m_Append = Initial.m_Entries;
  Batch.m_Hard = Initial.m_Hard;
  if (absl::Status Status = Store.commit(std::span(&Batch, 1)); !Status.ok())
    return Status;
  return Initial;
}

} // namespace

absl::StatusOr<std::unique_ptr<ReplicaHost>>
ReplicaHost::create(boost::asio::io_context &Io, ReplicaHostOptions Options,
                    std::unique_ptr<store::LogStore> Store) {
  raft::RaftPersistentState Recovered = Store->takeRecovered();
  if (Store->empty() && Options.m_Bootstrap) {
    absl::StatusOr<raft::RaftPersistentState> Initial =
        bootstrap(*Options.m_Bootstrap, *Store);
    if (!Initial.ok())
      return Initial.status();
    Recovered = *std::move(Initial);
  }
  const raft::SnapshotData Data = Recovered.m_Snapshot.m_Data;
  const raft::LogIndex SnapshotIndex = Recovered.m_Snapshot.m_Meta.m_Index;
  absl::StatusOr<state::ClusterState> State =
      SnapshotIndex ? state::ClusterState::restore(*Data)
                    : state::ClusterState::create();
  if (!State.ok())
    return State.status();
  absl::StatusOr<raft::Raft> Consensus =
      raft::Raft::create(Options.m_Raft, std::move(Recovered));
  if (!Consensus.ok())
    return Consensus.status();
  auto Shared = std::make_shared<Impl>(
      Io, std::move(Options), *std::move(Consensus), *std::move(State));
  Shared->m_SnapshotIndex = SnapshotIndex;
  Shared->startWorker(std::move(Store));
  return std::unique_ptr<ReplicaHost>(new ReplicaHost(std::move(Shared)));
}

ReplicaHost::ReplicaHost(std::shared_ptr<Impl> State)
    : m_Impl(std::move(State)) {}

ReplicaHost::~ReplicaHost() {
  m_Impl->m_Failed = true;
  m_Impl->m_Timer.cancel();
  m_Impl->m_Links.clear();
  m_Impl->m_Worker.reset();
}

void ReplicaHost::start(Hooks Receivers) {
  m_Impl->start(std::move(Receivers));
}

void ReplicaHost::receive(std::string_view Bytes) {
  absl::StatusOr<raft::RaftMessage> Message = raft::decodeMessage(Bytes);
  if (!Message.ok()) {
    LOG_EVERY_N(WARNING, 100)
        << "replica: dropped a message: " << Message.status().message();
    return;
  }
  m_Impl->step(raft::ReceiveInput{*std::move(Message)});
}

void ReplicaHost::propose(wire::Command Command, CommandDone Done) {
  if (m_Impl->m_Failed) {
    Done(makeLayerError(absl::StatusCode::kUnavailable,
                        raft::RaftErrc::NotLeader, "replica has stopped"));
    return;
  }
  if (Command.__isset.changeReplicas) {
    m_Impl->changeReplicas(Command.changeReplicas, std::move(Done));
    return;
  }
  Command.proposedAtUs = m_Impl->m_Options.m_WallClockMicros();
  const uint64_t Context = m_Impl->m_NextContext++;
  m_Impl->m_Commands.emplace(Context, std::move(Done));
  m_Impl->m_Queued.push_back({Context, net::encodeStruct(Command)});
  if (m_Impl->m_Queued.size() > 1)
    return;
  std::weak_ptr<Impl> Weak = m_Impl;
  boost::asio::post(m_Impl->m_Io, [Weak] {
    if (auto Self = Weak.lock())
      Self->flushProposals();
  });
}

void ReplicaHost::read(std::function<void(absl::Status)> Done) {
  const uint64_t Context = m_Impl->m_NextContext++;
  m_Impl->m_Reads.emplace(Context, std::move(Done));
  m_Impl->step(raft::ReadInput{Context});
}

void ReplicaHost::changeMembership(raft::MembershipChangeKind Kind,
                                   raft::ReplicaId Replica,
                                   std::function<void(absl::Status)> Done) {
  const uint64_t Context = m_Impl->m_NextContext++;
  m_Impl->m_Commands.emplace(
      Context, [Done = std::move(Done)](
                   const absl::StatusOr<wire::CommandResult> &Result) {
        Done(Result.status());
      });
  m_Impl->step(raft::ChangeMembershipInput{Context, Kind, Replica});
}

void ReplicaHost::yieldLeadership() {
  if (!leads())
    return;
  for (raft::ReplicaId Voter : status().m_Members.m_Voters) {
    const auto Link = m_Impl->m_Links.find(Voter);
    if (Link == m_Impl->m_Links.end() || !Link->second->connected())
      continue;
    m_Impl->step(raft::TransferLeadershipInput{Voter});
    return;
  }
}

const state::ClusterState &ReplicaHost::state() const {
  return m_Impl->m_State;
}
raft::RaftStatus ReplicaHost::status() const { return m_Impl->m_Raft.status(); }
bool ReplicaHost::leads() const {
  return !m_Impl->m_Failed && status().m_Role == raft::RaftRole::Leader;
}

net::RpcClient *ReplicaHost::peer(raft::ReplicaId Replica) {
  const auto It = m_Impl->m_Links.find(Replica);
  return It == m_Impl->m_Links.end() ? nullptr : It->second.get();
}

} // namespace anvil::control
