#include "anvil/replica/ReplicatedLog.h"

#include <algorithm>
#include <unordered_map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>

#include "SyncWorker.h"
#include "anvil/raft/RaftCodec.h"

namespace anvil::replica {

using internal::SyncWorker;

namespace {

absl::Status stoppedError(raft::RaftErrc Code) {
  return makeLayerError(absl::StatusCode::kUnavailable, Code,
                        "replica has stopped");
}

} // namespace

struct ReplicatedLog::Impl : std::enable_shared_from_this<ReplicatedLog::Impl> {
  using ReadDone = std::function<void(absl::Status)>;

  Impl(boost::asio::io_context &Io, ReplicatedLogOptions Options,
       raft::Raft Consensus)
      : m_Io(Io), m_Options(std::move(Options)), m_Raft(std::move(Consensus)),
        m_Timer(Io) {}

  void startWorker(std::unique_ptr<store::LogStore> Store);
  void step(const raft::RaftInput &Input);
  void carryOut(raft::RaftOutput Output);
  void persist(raft::RaftOutput &Output);
  void install(const raft::Snapshot &Snapshot);
  void apply(const std::vector<raft::LogEntry> &Entries);
  void finishProposals(const std::vector<raft::ProposalResult> &Results);
  void finishReads(const std::vector<raft::ReadResult> &Results);
  void send(const std::vector<raft::RaftMessage> &Messages);
  void armTimer();
  void flushProposals();
  void snapshotIfDue();
  void onSnapshotSaved(const raft::Snapshot &Snapshot);
  void fail(const absl::Status &Status);
  void abandonPending();

  boost::asio::io_context &m_Io;
  const ReplicatedLogOptions m_Options;
  raft::Raft m_Raft;
  boost::asio::steady_timer m_Timer;
  ReplicatedLogHooks m_Hooks;
  std::unique_ptr<SyncWorker> m_Worker;
  std::unordered_map<uint64_t, ProposalDone> m_PendingProposals;
  std::unordered_map<uint64_t, ReadDone> m_PendingReads;
  std::vector<raft::Proposal> m_QueuedProposals;
  uint64_t m_NextContext = 1;
  raft::SnapshotData m_RecoveredSnapshot;
  raft::LogIndex m_SnapshotIndex = 0;
  raft::LogIndex m_AppliedIndex = 0; ///< Last index in the state machine.
  bool m_SnapshotRunning = false;
  bool m_Failed = false;
  bool m_IsStepping = false;
  std::vector<raft::RaftInput>
      m_DeferredInputs; ///< Inputs that arrive while an output is carried out.
};

void ReplicatedLog::Impl::startWorker(std::unique_ptr<store::LogStore> Store) {
  std::weak_ptr<Impl> WeakSelf = weak_from_this();
  SyncWorker::Completions Completions;
  Completions.m_OnPersisted = [WeakSelf](uint64_t Sequence) {
    if (auto Self = WeakSelf.lock())
      Self->step(raft::PersistedInput{Sequence});
  };
  Completions.m_OnSnapshotSaved = [WeakSelf](const raft::Snapshot &Snapshot) {
    if (auto Self = WeakSelf.lock())
      Self->onSnapshotSaved(Snapshot);
  };
  Completions.m_OnFailure = [WeakSelf](const absl::Status &Status) {
    if (auto Self = WeakSelf.lock())
      Self->fail(Status);
  };
  m_Worker = std::make_unique<SyncWorker>(m_Io, std::move(Store),
                                          std::move(Completions));
}

// Carrying out an output can cause further steps. They are queued until the
// current output is done, because outputs must be carried out in order.
void ReplicatedLog::Impl::step(const raft::RaftInput &Input) {
  if (m_Failed)
    return;
  m_DeferredInputs.push_back(Input);
  if (m_IsStepping)
    return;
  m_IsStepping = true;
  for (size_t I = 0; I < m_DeferredInputs.size() && !m_Failed; ++I) {
    const raft::RaftInput Next = std::move(m_DeferredInputs[I]);
    carryOut(m_Raft.step(Next, m_Options.m_Now()));
  }
  m_DeferredInputs.clear();
  m_IsStepping = false;
  snapshotIfDue();
  armTimer();
}

void ReplicatedLog::Impl::carryOut(raft::RaftOutput Output) {
  persist(Output);
  send(Output.m_Messages);
  if (Output.m_Install)
    install(Output.m_Install->m_Snapshot);
  if (!Output.m_Committed.empty())
    apply(Output.m_Committed);
  finishProposals(Output.m_Proposals);
  if (!Output.m_Committed.empty() && m_Hooks.m_OnAnswered)
    m_Hooks.m_OnAnswered();
  finishReads(Output.m_Reads);
  if (Output.m_Role && m_Hooks.m_OnRole)
    m_Hooks.m_OnRole(*Output.m_Role);
  if (Output.m_CompactTo)
    m_Worker->compactTo(*Output.m_CompactTo);
}

void ReplicatedLog::Impl::persist(raft::RaftOutput &Output) {
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

void ReplicatedLog::Impl::install(const raft::Snapshot &Snapshot) {
  const absl::Status Restored = m_Hooks.m_Restore(*Snapshot.m_Data);
  if (!Restored.ok()) {
    fail(Restored);
    return;
  }
  m_SnapshotIndex = Snapshot.m_Meta.m_Index;
  m_AppliedIndex = Snapshot.m_Meta.m_Index;
  LOG(INFO) << "replica: installed snapshot index=" << m_SnapshotIndex;
  step(raft::AppliedInput{Snapshot.m_Meta.m_Index});
}

void ReplicatedLog::Impl::apply(const std::vector<raft::LogEntry> &Entries) {
  for (const raft::LogEntry &Entry : Entries) {
    if (Entry.m_Kind != raft::EntryKind::Command)
      continue;
    const absl::Status Status = m_Hooks.m_Apply(Entry.m_Data, Entry.m_Index);
    if (!Status.ok()) {
      fail(Status);
      return;
    }
  }
  m_AppliedIndex = Entries.back().m_Index;
  step(raft::AppliedInput{m_AppliedIndex});
  if (m_Hooks.m_OnApplied)
    m_Hooks.m_OnApplied();
}

void ReplicatedLog::Impl::finishProposals(
    const std::vector<raft::ProposalResult> &Results) {
  for (const raft::ProposalResult &Result : Results) {
    auto Pending = m_PendingProposals.extract(Result.m_Context);
    if (Pending.empty())
      continue;
    if (Result.m_Status.ok())
      Pending.mapped()(Result.m_Index);
    else
      Pending.mapped()(Result.m_Status);
  }
}

void ReplicatedLog::Impl::finishReads(
    const std::vector<raft::ReadResult> &Results) {
  for (const raft::ReadResult &Result : Results) {
    auto Pending = m_PendingReads.extract(Result.m_Context);
    if (!Pending.empty())
      Pending.mapped()(Result.m_Status);
  }
}

void ReplicatedLog::Impl::send(const std::vector<raft::RaftMessage> &Messages) {
  for (const raft::RaftMessage &Message : Messages)
    m_Hooks.m_Send(Message.m_To, raft::encodeMessage(Message));
}

void ReplicatedLog::Impl::armTimer() {
  const Duration Wait =
      std::max(m_Raft.nextDeadline() - m_Options.m_Now(), Duration(1000));
  m_Timer.expires_after(std::min<Duration>(Wait, std::chrono::seconds(1)));
  std::weak_ptr<Impl> WeakSelf = weak_from_this();
  m_Timer.async_wait([WeakSelf](boost::system::error_code Error) {
    auto Self = WeakSelf.lock();
    if (!Error && Self)
      Self->step(raft::TickInput{});
  });
}

// Proposals that arrive in one iteration of the event loop share a message and
// a disk write.
void ReplicatedLog::Impl::flushProposals() {
  if (m_QueuedProposals.empty())
    return;
  raft::ProposeInput Input;
  Input.m_Proposals = std::exchange(m_QueuedProposals, {});
  step(Input);
}

// Runs after all deferred inputs, because the consensus module accepts the
// metadata of an index only once it knows that the index is applied.
void ReplicatedLog::Impl::snapshotIfDue() {
  if (m_Failed || m_SnapshotRunning ||
      m_AppliedIndex < m_SnapshotIndex + m_Options.m_SnapshotEvery)
    return;
  // The index may not be durable on this replica yet; a later step tries again.
  absl::StatusOr<raft::SnapshotMeta> Meta = m_Raft.snapshotMeta(m_AppliedIndex);
  if (!Meta.ok())
    return;
  raft::Snapshot Snapshot;
  Snapshot.m_Meta = *std::move(Meta);
  Snapshot.m_Data = std::make_shared<const std::string>(m_Hooks.m_Snapshot());
  m_SnapshotRunning = true;
  m_Worker->saveSnapshot(std::move(Snapshot));
}

void ReplicatedLog::Impl::onSnapshotSaved(const raft::Snapshot &Snapshot) {
  m_SnapshotRunning = false;
  m_SnapshotIndex = std::max(m_SnapshotIndex, Snapshot.m_Meta.m_Index);
  LOG(INFO) << "replica: saved snapshot index=" << Snapshot.m_Meta.m_Index
            << " bytes=" << Snapshot.m_Data->size();
  step(raft::SnapshotMadeInput{Snapshot});
}

void ReplicatedLog::Impl::fail(const absl::Status &Status) {
  if (std::exchange(m_Failed, true))
    return;
  LOG(ERROR) << "replica: stopped, storage or log is unusable: "
             << Status.message();
  m_Timer.cancel();
  if (m_Hooks.m_OnFatal)
    m_Hooks.m_OnFatal(Status);
  abandonPending();
}

// The proposals may have been sent to other replicas and still be committed.
void ReplicatedLog::Impl::abandonPending() {
  for (auto &[Context, Done] : std::exchange(m_PendingProposals, {}))
    Done(stoppedError(raft::RaftErrc::OutcomeUnknown));
  for (auto &[Context, Done] : std::exchange(m_PendingReads, {}))
    Done(stoppedError(raft::RaftErrc::ReadNotConfirmed));
}

namespace {

// Makes the initial state of a new group durable before the replica starts, so
// that a crash right after the start can't lose it.
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

absl::StatusOr<std::unique_ptr<ReplicatedLog>>
ReplicatedLog::create(boost::asio::io_context &Io, ReplicatedLogOptions Options,
                      std::unique_ptr<store::LogStore> Store) {
  raft::RaftPersistentState Recovered = Store->takeRecovered();
  if (Store->empty() && Options.m_Bootstrap) {
    absl::StatusOr<raft::RaftPersistentState> Initial =
        bootstrap(*Options.m_Bootstrap, *Store);
    if (!Initial.ok())
      return Initial.status();
    Recovered = *std::move(Initial);
  }
  const raft::Snapshot Snapshot = Recovered.m_Snapshot;
  if (Options.m_OnRecovered)
    for (const raft::LogEntry &Entry : Recovered.m_Entries)
      if (Entry.m_Kind == raft::EntryKind::Command)
        Options.m_OnRecovered(Entry.m_Data);
  absl::StatusOr<raft::Raft> Consensus =
      raft::Raft::create(Options.m_Raft, std::move(Recovered));
  if (!Consensus.ok())
    return Consensus.status();
  auto Shared =
      std::make_shared<Impl>(Io, std::move(Options), *std::move(Consensus));
  Shared->m_SnapshotIndex = Snapshot.m_Meta.m_Index;
  Shared->m_AppliedIndex = Snapshot.m_Meta.m_Index;
  Shared->m_RecoveredSnapshot =
      Snapshot.m_Meta.m_Index ? Snapshot.m_Data : nullptr;
  Shared->startWorker(std::move(Store));
  return std::unique_ptr<ReplicatedLog>(new ReplicatedLog(std::move(Shared)));
}

ReplicatedLog::ReplicatedLog(std::shared_ptr<Impl> State)
    : m_Impl(std::move(State)) {}

ReplicatedLog::~ReplicatedLog() {
  m_Impl->m_Failed = true;
  m_Impl->m_Timer.cancel();
  m_Impl->m_Worker.reset();
}

raft::SnapshotData ReplicatedLog::snapshot() const {
  return m_Impl->m_RecoveredSnapshot;
}

void ReplicatedLog::start(ReplicatedLogHooks Hooks) {
  m_Impl->m_Hooks = std::move(Hooks);
  m_Impl->m_RecoveredSnapshot.reset();
  m_Impl->step(raft::TickInput{});
}

void ReplicatedLog::receive(std::string_view Bytes) {
  absl::StatusOr<raft::RaftMessage> Message = raft::decodeMessage(Bytes);
  if (!Message.ok()) {
    LOG_EVERY_N(WARNING, 100)
        << "replica: dropped a message: " << Message.status().message();
    return;
  }
  m_Impl->step(raft::ReceiveInput{*std::move(Message)});
}

void ReplicatedLog::propose(std::string Command, ProposalDone Done) {
  if (m_Impl->m_Failed) {
    Done(stoppedError(raft::RaftErrc::NotLeader));
    return;
  }
  const uint64_t Context = m_Impl->m_NextContext++;
  m_Impl->m_PendingProposals.emplace(Context, std::move(Done));
  m_Impl->m_QueuedProposals.push_back({Context, std::move(Command)});
  if (m_Impl->m_QueuedProposals.size() > 1)
    return;
  std::weak_ptr<Impl> WeakSelf = m_Impl;
  boost::asio::post(m_Impl->m_Io, [WeakSelf] {
    if (auto Self = WeakSelf.lock())
      Self->flushProposals();
  });
}

void ReplicatedLog::read(std::function<void(absl::Status)> Done) {
  if (m_Impl->m_Failed) {
    Done(stoppedError(raft::RaftErrc::ReadNotConfirmed));
    return;
  }
  const uint64_t Context = m_Impl->m_NextContext++;
  m_Impl->m_PendingReads.emplace(Context, std::move(Done));
  m_Impl->step(raft::ReadInput{Context});
}

void ReplicatedLog::changeMembership(raft::MembershipChangeKind Kind,
                                     raft::ReplicaId Replica,
                                     ProposalDone Done) {
  if (m_Impl->m_Failed) {
    Done(stoppedError(raft::RaftErrc::NotLeader));
    return;
  }
  const uint64_t Context = m_Impl->m_NextContext++;
  m_Impl->m_PendingProposals.emplace(Context, std::move(Done));
  m_Impl->step(raft::ChangeMembershipInput{Context, Kind, Replica});
}

void ReplicatedLog::transferLeadership(raft::ReplicaId Target) {
  m_Impl->step(raft::TransferLeadershipInput{Target});
}

raft::RaftStatus ReplicatedLog::status() const {
  return m_Impl->m_Raft.status();
}

bool ReplicatedLog::leads() const {
  return !m_Impl->m_Failed && status().m_Role == raft::RaftRole::Leader;
}

bool ReplicatedLog::failed() const { return m_Impl->m_Failed; }

void ReplicatedLog::fail(const absl::Status &Reason) { m_Impl->fail(Reason); }

} // namespace anvil::replica
