#include "anvil/control/ReplicaHost.h"

#include <unordered_map>

#include <boost/asio/io_context.hpp>
#include <glog/logging.h>

#include "MemberChange.h"
#include "anvil/net/WireCodec.h"
#include "anvil/replica/ReplicatedLog.h"

namespace anvil::control {

struct ReplicaHost::Impl {
  Impl(boost::asio::io_context &Io, ReplicaHostOptions Options,
       std::unique_ptr<replica::ReplicatedLog> Log, state::ClusterState State)
      : m_Io(Io), m_Options(std::move(Options)), m_Log(std::move(Log)),
        m_State(std::move(State)) {}

  replica::ReplicatedLogHooks logHooks();
  absl::Status apply(std::string_view Bytes, raft::LogIndex Index);
  absl::Status restore(std::string_view Snapshot);
  void send(raft::ReplicaId Recipient, std::string Message);
  void changeReplicas(const wire::ChangeReplicas &Change, CommandDone Done);
  wire::CommandResult resultAt(raft::LogIndex Index) const;

  boost::asio::io_context &m_Io;
  const ReplicaHostOptions m_Options;
  std::unique_ptr<replica::ReplicatedLog> m_Log;
  state::ClusterState m_State;
  Hooks m_Hooks;
  std::map<raft::ReplicaId, std::unique_ptr<net::RpcClient>> m_PeerClients;
  std::unordered_map<uint64_t, wire::CommandResult>
      m_Results; ///< By log index, until the callbacks of the proposals have
                 ///< run.
};

replica::ReplicatedLogHooks ReplicaHost::Impl::logHooks() {
  replica::ReplicatedLogHooks Result;
  Result.m_Apply = [this](std::string_view Bytes, raft::LogIndex Index) {
    return apply(Bytes, Index);
  };
  Result.m_Snapshot = [this] { return m_State.snapshot(); };
  Result.m_Restore = [this](std::string_view Snapshot) {
    return restore(Snapshot);
  };
  Result.m_Send = [this](raft::ReplicaId Recipient, std::string Message) {
    send(Recipient, std::move(Message));
  };
  Result.m_OnRole = m_Hooks.m_OnRole;
  Result.m_OnApplied = m_Hooks.m_OnApplied;
  Result.m_OnAnswered = [this] { m_Results.clear(); };
  Result.m_OnFatal = [this](const absl::Status &Status) {
    m_PeerClients.clear();
    if (m_Hooks.m_OnFatal)
      m_Hooks.m_OnFatal(Status);
  };
  return Result;
}

absl::Status ReplicaHost::Impl::apply(std::string_view Bytes,
                                      raft::LogIndex Index) {
  wire::Command Command;
  if (absl::Status Status = net::decodeStruct(Bytes, Command); !Status.ok())
    return Status;
  m_Results[Index] = m_State.apply(Command, static_cast<int64_t>(Index));
  return absl::OkStatus();
}

absl::Status ReplicaHost::Impl::restore(std::string_view Snapshot) {
  absl::StatusOr<state::ClusterState> Restored =
      state::ClusterState::restore(Snapshot);
  if (!Restored.ok())
    return Restored.status();
  m_State = *std::move(Restored);
  m_State.setEventHook(m_Hooks.m_OnStateEvent);
  return absl::OkStatus();
}

void ReplicaHost::Impl::send(raft::ReplicaId Recipient, std::string Message) {
  const auto Client = m_PeerClients.find(Recipient);
  if (Client != m_PeerClients.end())
    Client->second->notify(wire::Method::RAFT_MESSAGE, std::move(Message));
}

void ReplicaHost::Impl::changeReplicas(const wire::ChangeReplicas &Change,
                                       CommandDone Done) {
  const raft::ReplicaId Replica(Change.replicaId);
  const bool HasAddress =
      Replica == m_Options.m_Raft.m_Self || m_PeerClients.contains(Replica);
  if (std::optional<wire::CommandResult> Answer =
          internal::answerWithoutLogEntry(Change, m_Log->status(),
                                          HasAddress)) {
    Done(*std::move(Answer));
    return;
  }
  LOG(INFO) << "replica: changing the control group kind="
            << internal::nameOf(Change.kind) << " replica=" << Change.replicaId
            << " operator=" << Change.operatorId;
  m_Log->changeMembership(
      internal::raftKindOf(Change.kind), Replica,
      [this, Change,
       Done = std::move(Done)](const absl::StatusOr<raft::LogIndex> &Index) {
        if (Index.ok())
          Done(internal::changeResult(Change, resultAt(*Index)));
        else
          Done(internal::changeResult(Change, Index.status()));
      });
}

// The state machine has no result for a membership change, only an index.
wire::CommandResult ReplicaHost::Impl::resultAt(raft::LogIndex Index) const {
  const auto It = m_Results.find(Index);
  wire::CommandResult Result =
      It == m_Results.end() ? wire::CommandResult() : It->second;
  // The result of a repeated command already has the index of the first.
  if (Result.index == 0)
    Result.index = static_cast<int64_t>(Index);
  return Result;
}

absl::StatusOr<std::unique_ptr<ReplicaHost>>
ReplicaHost::create(boost::asio::io_context &Io, ReplicaHostOptions Options,
                    std::unique_ptr<store::LogStore> Store) {
  replica::ReplicatedLogOptions LogOptions;
  LogOptions.m_Raft = Options.m_Raft;
  LogOptions.m_Bootstrap = Options.m_Bootstrap;
  LogOptions.m_SnapshotEvery = Options.m_SnapshotEvery;
  LogOptions.m_Now = Options.m_Now;
  absl::StatusOr<std::unique_ptr<replica::ReplicatedLog>> Log =
      replica::ReplicatedLog::create(Io, std::move(LogOptions),
                                     std::move(Store));
  if (!Log.ok())
    return Log.status();
  const raft::SnapshotData Data = (*Log)->snapshot();
  absl::StatusOr<state::ClusterState> State =
      Data ? state::ClusterState::restore(*Data)
           : state::ClusterState::create();
  if (!State.ok())
    return State.status();
  return std::unique_ptr<ReplicaHost>(new ReplicaHost(std::make_shared<Impl>(
      Io, std::move(Options), *std::move(Log), *std::move(State))));
}

ReplicaHost::ReplicaHost(std::shared_ptr<Impl> State)
    : m_Impl(std::move(State)) {}

ReplicaHost::~ReplicaHost() {
  m_Impl->m_Log.reset();
  m_Impl->m_PeerClients.clear();
}

void ReplicaHost::start(Hooks Callbacks) {
  m_Impl->m_Hooks = std::move(Callbacks);
  m_Impl->m_State.setEventHook(m_Impl->m_Hooks.m_OnStateEvent);
  for (const auto &[Id, Endpoint] : m_Impl->m_Options.m_Peers)
    m_Impl->m_PeerClients[Id] =
        net::RpcClient::create(m_Impl->m_Io, Endpoint, m_Impl->m_Options.m_Rpc);
  m_Impl->m_Log->start(m_Impl->logHooks());
}

void ReplicaHost::receive(std::string_view Bytes) {
  m_Impl->m_Log->receive(Bytes);
}

void ReplicaHost::propose(wire::Command Command, CommandDone Done) {
  if (Command.__isset.changeReplicas && !m_Impl->m_Log->failed()) {
    m_Impl->changeReplicas(Command.changeReplicas, std::move(Done));
    return;
  }
  Command.proposedAtUs = m_Impl->m_Options.m_WallClockMicros();
  m_Impl->m_Log->propose(
      net::encodeStruct(Command),
      [this, Done = std::move(Done)](absl::StatusOr<raft::LogIndex> Index) {
        if (Index.ok())
          Done(m_Impl->resultAt(*Index));
        else
          Done(Index.status());
      });
}

void ReplicaHost::read(std::function<void(absl::Status)> Done) {
  m_Impl->m_Log->read(std::move(Done));
}

void ReplicaHost::changeMembership(raft::MembershipChangeKind Kind,
                                   raft::ReplicaId Replica,
                                   std::function<void(absl::Status)> Done) {
  m_Impl->m_Log->changeMembership(
      Kind, Replica,
      [Done = std::move(Done)](const absl::StatusOr<raft::LogIndex> &Index) {
        Done(Index.status());
      });
}

void ReplicaHost::yieldLeadership() {
  if (!leads())
    return;
  for (raft::ReplicaId Voter : status().m_Members.m_Voters) {
    const auto Client = m_Impl->m_PeerClients.find(Voter);
    if (Client == m_Impl->m_PeerClients.end() || !Client->second->connected())
      continue;
    m_Impl->m_Log->transferLeadership(Voter);
    return;
  }
}

const state::ClusterState &ReplicaHost::state() const {
  return m_Impl->m_State;
}
raft::RaftStatus ReplicaHost::status() const { return m_Impl->m_Log->status(); }
bool ReplicaHost::leads() const { return m_Impl->m_Log->leads(); }

net::RpcClient *ReplicaHost::peer(raft::ReplicaId Replica) {
  const auto It = m_Impl->m_PeerClients.find(Replica);
  return It == m_Impl->m_PeerClients.end() ? nullptr : It->second.get();
}

} // namespace anvil::control
