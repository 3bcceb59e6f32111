#include "raft/support/Simulator.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "absl/strings/str_cat.h"

#include "anvil/raft/RaftCodec.h"

namespace anvil::raft::sim {

namespace {

/// Small, so that most transfers take several chunks.
constexpr uint64_t ChunkBytes = 64;
constexpr uint64_t RetainedEntries = 20;
constexpr uint64_t PromotionLag = 8;
constexpr int64_t MaxLateMicros = 3'000'000;
constexpr int64_t MinTickMicros = 10'000;
constexpr int64_t MaxTickMicros = 20'000;

SnapshotData encodeState(const RegisterState &State) {
  std::string Bytes =
      absl::StrCat(State.m_Index, " ", State.m_Value, " ", State.m_Hash, " ");
  Bytes.append(50 + State.m_Index % 400, 'x');
  return std::make_shared<const std::string>(std::move(Bytes));
}

RegisterState decodeState(const SnapshotData &Data) {
  RegisterState State;
  if (Data)
    std::istringstream(*Data) >> State.m_Index >> State.m_Value >> State.m_Hash;
  return State;
}

} // namespace

Simulator::Simulator(SimOptions Options)
    : m_Options(std::move(Options)), m_Random(m_Options.m_Seed) {
  Membership Members;
  for (int64_t Id = 1; Id <= m_Options.m_Voters; ++Id)
    Members.m_Voters.emplace_back(Id);
  m_TargetVoters = Members.m_Voters.size();
  for (const ReplicaId Id : Members.m_Voters)
    start(addReplica(Id, bootstrapState(Members)));
  m_NextReplica = m_Options.m_Voters + 1;
  if (!m_Options.m_Faults)
    return;
  chooseProfile();
  for (int Client = 0; Client < 3; ++Client)
    schedule(m_Random.between(0, 100'000),
             [this, Client] { clientOperation(Client); });
  schedule(0, [this] { readAtLeaders(); });
  schedule(500'000, [this] { injectFaults(); });
  schedule(2'000'000, [this] { runOperator(); });
}

SimReport Simulator::run(uint64_t Steps) {
  while (m_Report.m_Steps < Steps && !m_Checker.failure() && handleNext()) {
  }
  if (!m_Checker.failure()) {
    endFaults();
    if (!runUntil([this] { return isSettled(); }, std::chrono::seconds(30)))
      m_Checker.fail("no progress within 30 s after all faults were repaired");
  }
  m_Report.m_Failure = m_Checker.failure();
  m_Report.m_Committed = m_Checker.committedIndex();
  m_Report.m_Operations = m_Checker.completedOperations();
  return m_Report;
}

bool Simulator::runUntil(const std::function<bool()> &Done, Duration Limit) {
  const int64_t End = m_Now + Limit.count();
  while (!Done()) {
    if (m_Checker.failure() || m_Events.top().m_Time > End)
      return false;
    handleNext();
  }
  return true;
}

void Simulator::schedule(int64_t Delay, std::function<void()> Action) {
  m_Events.push({m_Now + Delay, m_NextOrder++, std::move(Action)});
}

void Simulator::scheduleFor(SimReplica &Replica, int64_t Delay,
                            std::function<void()> Action) {
  schedule(Delay, [&Replica, Incarnation = Replica.m_Incarnation,
                   Action = std::move(Action)] {
    if (Replica.m_Raft && Replica.m_Incarnation == Incarnation)
      Action();
  });
}

bool Simulator::handleNext() {
  if (m_Events.empty())
    return false;
  Event Next = m_Events.top();
  m_Events.pop();
  m_Now = Next.m_Time;
  ++m_Report.m_Steps;
  Next.m_Action();
  return true;
}

SimReplica &Simulator::addReplica(ReplicaId Id, RaftPersistentState Initial) {
  auto Replica = std::make_unique<SimReplica>();
  Replica->m_Id = Id;
  Replica->m_Disk = SimDisk(std::move(Initial));
  // The fastest and the slowest clock differ by 10%.
  Replica->m_ClockRate =
      0.955 + 0.001 * static_cast<double>(m_Random.below(96));
  Replica->m_ClockOffset = m_Random.between(0, 1'000'000'000);
  return *(m_Replicas[Id] = std::move(Replica));
}

void Simulator::start(SimReplica &Replica) {
  RaftOptions Options;
  Options.m_Self = Replica.m_Id;
  Options.m_Random = [this](uint64_t Bound) { return m_Random.below(Bound); };
  Options.m_SnapshotChunkBytes = ChunkBytes;
  Options.m_RetainedEntries = RetainedEntries;
  Options.m_MaxPromotionLag = PromotionLag;
  Options.m_MaxBatchEntries = 8;
  Options.m_MaxInflightEntries = 32;
  if (m_Options.m_Configure)
    m_Options.m_Configure(Options);
  absl::StatusOr<Raft> Started =
      Raft::create(std::move(Options), Replica.m_Disk.durable());
  if (!Started.ok())
    return m_Checker.fail(absl::StrCat("restart of ", Replica.m_Id.value(),
                                       ": ", Started.status().ToString()));
  ++Replica.m_Incarnation;
  Replica.m_Raft.emplace(*std::move(Started));
  Replica.m_State = decodeState(Replica.m_Disk.durable().m_Snapshot.m_Data);
  Replica.m_ToApply.clear();
  Replica.m_ApplyScheduled = false;
  Replica.m_Acknowledge.clear();
  m_Checker.onRestore(Replica.m_Id, Replica.m_State);
  scheduleTick(Replica);
}

void Simulator::scheduleTick(SimReplica &Replica) {
  scheduleFor(Replica, m_Random.between(MinTickMicros, MaxTickMicros),
              [this, &Replica] {
                step(Replica, TickInput{});
                scheduleTick(Replica);
              });
}

void Simulator::crash(ReplicaId Id) {
  SimReplica &Replica = replica(Id);
  Replica.m_Raft.reset();
  Replica.m_Disk.crash(m_Random);
  ++m_Report.m_Crashes;
}

void Simulator::restart(ReplicaId Id) {
  SimReplica &Replica = replica(Id);
  if (!Replica.m_Raft && !Replica.m_Lost)
    start(Replica);
}

void Simulator::isolate(ReplicaId Id) {
  for (const auto &[Other, Replica] : m_Replicas) {
    block(Id, Other);
    block(Other, Id);
  }
}

std::vector<ReplicaId> Simulator::upReplicas() const {
  std::vector<ReplicaId> Up;
  for (const auto &[Id, Replica] : m_Replicas) {
    if (Replica->m_Raft)
      Up.push_back(Id);
  }
  return Up;
}

SimReplica *Simulator::leader() {
  SimReplica *Found = nullptr;
  for (const auto &[Id, Replica] : m_Replicas) {
    if (!Replica->m_Raft ||
        Replica->m_Raft->status().m_Role != RaftRole::Leader)
      continue;
    if (Found == nullptr ||
        Replica->m_Raft->status().m_Term > Found->m_Raft->status().m_Term)
      Found = Replica.get();
  }
  return Found;
}

void Simulator::step(SimReplica &Replica, const RaftInput &Input) {
  const auto LocalMicros =
      static_cast<int64_t>(static_cast<double>(m_Now) * Replica.m_ClockRate);
  const Membership Before = Replica.m_Raft->status().m_Members;
  RaftOutput Output = Replica.m_Raft->step(
      Input, timePointFromMicros(Replica.m_ClockOffset + LocalMicros));
  const auto *Change = std::get_if<ChangeMembershipInput>(&Input);
  if (Change != nullptr &&
      Replica.m_Raft->status().m_Members.isVoter(Change->m_Replica) &&
      !Before.isVoter(Change->m_Replica))
    checkPromotion(Replica, Change->m_Replica);
  carryOut(Replica, std::move(Output));
}

uint64_t Simulator::write(SimReplica &Replica) {
  const uint64_t Context = m_NextContext++;
  m_Checker.onInvoke(Context);
  step(Replica, ProposeInput{{{Context, absl::StrCat(Context)}}});
  return Context;
}

void Simulator::carryOut(SimReplica &Replica, RaftOutput Output) {
  checkOutput(Replica, Output);
  persist(Replica, Output);
  // A crash here leaves the entry of the new term on the disk although it is
  // not sent to any other replica.
  const bool IsNewLeader =
      Output.m_Role && Output.m_Role->m_Role == RaftRole::Leader;
  if (IsNewLeader && !m_Repairing &&
      m_Random.chance(m_Profile.m_NewLeaderCrashRate / 2))
    return crashAndRestart(Replica);
  if (Output.m_Install)
    install(Replica, Output.m_Install->m_Snapshot);
  for (const RaftMessage &Message : Output.m_Messages)
    transmit(Message);
  finishOperations(Replica, Output);
  std::move(Output.m_Committed.begin(), Output.m_Committed.end(),
            std::back_inserter(Replica.m_ToApply));
  scheduleApply(Replica);
}

void Simulator::checkOutput(SimReplica &Replica, const RaftOutput &Output) {
  for (const LogEntry &Entry : Output.m_Append)
    m_Checker.onAppend(Replica.m_Id, Entry,
                       Replica.m_Raft->termAt(Entry.m_Index - 1).value_or(0));
  if (Output.m_Role && Output.m_Role->m_Role == RaftRole::Leader) {
    ++m_Report.m_Elections;
    m_Checker.onLeader(Replica.m_Id, Output.m_Role->m_Term, *Replica.m_Raft);
    if (!m_Repairing && m_Random.chance(m_Profile.m_NewLeaderCrashRate))
      crashSoon(Replica);
  }
  if (Output.m_Hard && !m_Repairing &&
      m_Random.chance(m_Profile.m_VoteCrashRate))
    crashSoon(Replica);
  for (const LogEntry &Entry : Output.m_Committed)
    if (!Replica.m_Disk.holds(Entry.m_Index, Entry.m_Term))
      m_Checker.fail(absl::StrCat("durability: replica ", Replica.m_Id.value(),
                                  " delivers index ", Entry.m_Index,
                                  " before it is on its disk"));
  checkCommitDurable(Replica);
}

/// Checks that a leader commits only entries that are on the disks of a
/// majority of the voters.
void Simulator::checkCommitDurable(const SimReplica &Replica) {
  const RaftStatus Status = Replica.m_Raft->status();
  if (Status.m_Role != RaftRole::Leader || Status.m_Commit <= m_CheckedCommit)
    return;
  m_CheckedCommit = Status.m_Commit;
  const TermNumber Term = Replica.m_Raft->termAt(Status.m_Commit).value_or(0);
  size_t Holders = 0;
  for (const ReplicaId Voter : Status.m_Members.m_Voters)
    Holders += replica(Voter).m_Disk.holds(Status.m_Commit, Term) ? 1 : 0;
  if (Holders < Status.m_Members.quorum()) {
    m_Checker.fail(absl::StrCat("durability: leader ", Replica.m_Id.value(),
                                " commits index ", Status.m_Commit,
                                " that is on ", Holders, " disks of ",
                                Status.m_Members.m_Voters.size(), " voters"));
  }
}

void Simulator::checkPromotion(const SimReplica &Leader, ReplicaId Promoted) {
  ++m_Report.m_Promotions;
  const LogIndex Last = Leader.m_Raft->status().m_LastIndex - 1;
  const LogIndex Held = replica(Promoted).m_Disk.durableLastIndex();
  if (Held + PromotionLag < Last)
    m_Checker.fail(absl::StrCat("promotion: learner ", Promoted.value(),
                                " holds index ", Held, " of ", Last));
}

void Simulator::persist(SimReplica &Replica, const RaftOutput &Output) {
  Replica.m_Disk.write(Output);
  if (Output.m_CompactTo)
    Replica.m_Disk.compactTo(*Output.m_CompactTo);
  if (Output.m_Sequence == 0)
    return;
  // The report may arrive late or in another order than the writes; it covers
  // all earlier outputs.
  scheduleFor(Replica, m_Random.between(100, m_Profile.m_MaxSyncDelay),
              [this, &Replica, Sequence = Output.m_Sequence] {
                Replica.m_Disk.sync(Sequence);
                step(Replica, PersistedInput{Sequence});
              });
}

void Simulator::install(SimReplica &Replica, const Snapshot &Received) {
  ++m_Report.m_Installs;
  Replica.m_State = decodeState(Received.m_Data);
  Replica.m_ToApply.clear();
  Replica.m_Acknowledge.clear();
  m_Checker.onRestore(Replica.m_Id, Replica.m_State);
  scheduleFor(Replica, 0, [this, &Replica] {
    step(Replica, AppliedInput{Replica.m_State.m_Index});
  });
}

void Simulator::transmit(const RaftMessage &Message) {
  if (m_Blocked.contains({Message.m_From, Message.m_To}) ||
      m_Random.chance(m_DropRate))
    return;
  const int Copies = m_Random.chance(m_DuplicateRate) ? 2 : 1;
  for (int Copy = 0; Copy < Copies; ++Copy) {
    const int64_t MaxDelay = m_Random.chance(m_Profile.m_LateRate)
                                 ? MaxLateMicros
                                 : m_Profile.m_MaxMessageDelay;
    schedule(m_Random.between(200, MaxDelay),
             [this, Bytes = encodeMessage(Message)] { deliver(Bytes); });
  }
}

void Simulator::deliver(const std::string &Bytes) {
  absl::StatusOr<RaftMessage> Message = decodeMessage(Bytes);
  if (!Message.ok())
    return m_Checker.fail(std::string(Message.status().message()));
  const auto Receiver = m_Replicas.find(Message->m_To);
  if (Receiver != m_Replicas.end() && Receiver->second->m_Raft)
    step(*Receiver->second, ReceiveInput{*std::move(Message)});
}

void Simulator::scheduleApply(SimReplica &Replica) {
  if (Replica.m_ToApply.empty() || Replica.m_ApplyScheduled)
    return;
  Replica.m_ApplyScheduled = true;
  scheduleFor(Replica, m_Random.between(0, 3'000),
              [this, &Replica] { applyNext(Replica); });
}

void Simulator::applyNext(SimReplica &Replica) {
  Replica.m_ApplyScheduled = false;
  for (uint64_t Count = 1 + m_Random.below(8);
       Count > 0 && !Replica.m_ToApply.empty(); --Count) {
    const LogEntry Entry = Replica.m_ToApply.front();
    Replica.m_ToApply.pop_front();
    Replica.m_State = applyEntry(Replica.m_State, Entry);
    m_Checker.onApply(Replica.m_Id, Entry, Replica.m_State);
    if (Entry.m_Kind == EntryKind::Membership &&
        Entry.m_Index > m_LastMembership.m_Index)
      m_LastMembership = Entry;
    const auto Written = Replica.m_Acknowledge.find(Entry.m_Index);
    if (Written == Replica.m_Acknowledge.end())
      continue;
    m_Checker.onWriteDone(Written->second, Entry.m_Index);
    m_SettleIndex = m_Repairing ? Entry.m_Index : 0;
    Replica.m_Acknowledge.erase(Written);
  }
  step(Replica, AppliedInput{Replica.m_State.m_Index});
}

void Simulator::finishOperations(SimReplica &Replica,
                                 const RaftOutput &Output) {
  for (const ProposalResult &Result : Output.m_Proposals) {
    // Context 0 marks a membership change.
    if (Result.m_Context == 0)
      continue;
    if (Result.m_Status.ok()) {
      Replica.m_Acknowledge[Result.m_Index] = Result.m_Context;
    } else if (layerErrorOf<RaftErrc>(Result.m_Status) !=
               RaftErrc::OutcomeUnknown) {
      m_Checker.onWriteRefused(Result.m_Context);
    }
  }
  for (const ReadResult &Result : Output.m_Reads) {
    if (!Result.m_Status.ok())
      continue;
    if (Replica.m_State.m_Index < Result.m_Index) {
      m_Checker.fail(absl::StrCat(
          "read at replica ", Replica.m_Id.value(), " needs index ",
          Result.m_Index, " but the state has ", Replica.m_State.m_Index));
    }
    m_Checker.onReadDone(Result.m_Context, Replica.m_State);
  }
}

void Simulator::makeSnapshot(SimReplica &Replica) {
  const absl::StatusOr<SnapshotMeta> Meta =
      Replica.m_Raft->snapshotMeta(Replica.m_State.m_Index);
  if (!Meta.ok())
    return;
  const Snapshot Made{*Meta, encodeState(Replica.m_State)};
  scheduleFor(Replica, m_Random.between(0, 20'000), [this, &Replica, Made] {
    Replica.m_Disk.saveSnapshot(Made);
    step(Replica, SnapshotMadeInput{Made});
  });
}

} // namespace anvil::raft::sim
