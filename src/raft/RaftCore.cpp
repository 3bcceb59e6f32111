#include "raft/RaftCore.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "absl/strings/str_cat.h"

namespace anvil::raft::internal {

RaftCore::RaftCore(RaftOptions Options, HardState Hard, Snapshot Base,
                   RaftLog Log, bool DropsStaleEntries)
    : m_Options(std::move(Options)), m_Hard(Hard), m_Snapshot(std::move(Base)),
      m_Log(std::move(Log)) {
  const LogIndex SnapshotIndex = m_Snapshot.m_Meta.m_Index;
  m_Commit = m_Delivered = m_Applied = SnapshotIndex;
  m_Durable = m_Log.lastIndex();
  m_ReportedRole.m_Term = Hard.m_Term;
  // A random first read id distinguishes the reads of this process from those
  // before a restart, whose responses may still arrive.
  m_NextReadId = m_Options.m_Random(std::numeric_limits<uint64_t>::max() / 2);
  // Without the truncation, entries that an installed snapshot superseded would
  // precede the next append on disk.
  if (DropsStaleEntries)
    m_Output.m_TruncateFrom = 1;
}

RaftOutput RaftCore::step(const RaftInput &Input, TimePoint Now) {
  m_Now = m_Started ? std::max(m_Now, Now) : Now;
  if (!m_Started) {
    m_Started = true;
    resetElectionDeadline();
  }
  std::visit([this](const auto &Event) { handle(Event); }, Input);
  finishStep();
  return std::exchange(m_Output, {});
}

void RaftCore::handle(const TickInput &) {
  finishLocalReads();
  if (m_Role == RaftRole::Leader)
    return tickLeader();
  if (m_Now >= m_ElectionDeadline)
    startPreVote();
}

void RaftCore::handle(const ReceiveInput &Input) {
  const RaftMessage &Message = Input.m_Message;
  if (Message.m_To != m_Options.m_Self || Message.m_From == m_Options.m_Self ||
      !checkTerm(Message))
    return;
  std::visit([&](const auto &Body) { handleMessage(Message, Body); },
             Message.m_Body);
}

void RaftCore::handle(const ProposeInput &Input) {
  for (const Proposal &Item : Input.m_Proposals) {
    if (m_Role != RaftRole::Leader) {
      failProposal(Item.m_Context, absl::StatusCode::kFailedPrecondition,
                   RaftErrc::NotLeader, "not the leader");
    } else if (m_TransferTarget != NoReplica) {
      failProposal(Item.m_Context, absl::StatusCode::kUnavailable,
                   RaftErrc::Busy, "leadership is being transferred");
    } else if (m_Log.lastIndex() - m_Commit >=
               m_Options.m_MaxUncommittedEntries) {
      failProposal(Item.m_Context, absl::StatusCode::kResourceExhausted,
                   RaftErrc::Busy, "too many uncommitted entries");
    } else {
      const LogIndex Index = append(EntryKind::Command, Item.m_Data, {});
      m_PendingProposals.insert({Index, {Item.m_Context, m_Hard.m_Term}});
    }
  }
}

void RaftCore::handle(const PersistedInput &Input) {
  m_SyncedSequence =
      std::min(std::max(m_SyncedSequence, Input.m_Sequence), m_Sequence);
  while (!m_PendingWrites.empty() &&
         m_PendingWrites.front().m_Sequence <= m_SyncedSequence) {
    m_Durable = std::max(m_Durable, m_PendingWrites.front().m_LastIndex);
    m_PendingWrites.pop_front();
  }
  countOwnVoteIfDurable();
}

void RaftCore::handle(const AppliedInput &Input) {
  m_Applied = std::max(m_Applied, std::min(Input.m_Index, m_Delivered));
}

void RaftCore::finishStep() {
  if (m_Role == RaftRole::Leader) {
    advanceCommit();
    finishLeaderReads();
    startReadRound();
    continueTransfer();
    flushPeers();
    stepDownIfRemoved();
  }
  deliverCommitted();
  finishLocalReads();
  assignSequence();
  releaseHeldMessages();
  reportRole();
}

void RaftCore::assignSequence() {
  const bool HasWrites = m_Output.m_Install || m_Output.m_TruncateFrom ||
                         !m_Output.m_Append.empty() || m_Output.m_Hard;
  if (HasWrites) {
    m_Output.m_Sequence = ++m_Sequence;
    m_PendingWrites.push_back({m_Sequence, m_Log.lastIndex()});
  }
  for (auto Held = m_HeldMessages.rbegin();
       Held != m_HeldMessages.rend() && Held->m_Sequence == 0; ++Held)
    Held->m_Sequence = m_Sequence;
}

void RaftCore::releaseHeldMessages() {
  while (!m_HeldMessages.empty() &&
         m_HeldMessages.front().m_Sequence <= m_SyncedSequence) {
    RaftMessage &Message = m_HeldMessages.front().m_Message;
    // The receiver would ignore a message of an older term.
    if (Message.m_Term == m_Hard.m_Term)
      m_Output.m_Messages.push_back(std::move(Message));
    m_HeldMessages.pop_front();
  }
}

void RaftCore::deliverCommitted() {
  const LogIndex End = std::min(m_Commit, m_Durable);
  while (m_Delivered < End) {
    const LogEntry &Entry = m_Log.at(++m_Delivered);
    finishProposalsAt(Entry);
    m_Output.m_Committed.push_back(Entry);
  }
}

void RaftCore::finishProposalsAt(const LogEntry &Entry) {
  const auto [First, Last] = m_PendingProposals.equal_range(Entry.m_Index);
  for (auto Item = First; Item != Last; ++Item) {
    if (Item->second.m_Term == Entry.m_Term) {
      m_Output.m_Proposals.push_back(
          {Item->second.m_Context, absl::OkStatus(), Entry.m_Index});
    } else {
      failProposal(Item->second.m_Context, absl::StatusCode::kAborted,
                   RaftErrc::Superseded,
                   "another entry was committed in its place");
    }
  }
  m_PendingProposals.erase(First, Last);
}

void RaftCore::reportRole() {
  const RoleChange Current{m_Role, m_Hard.m_Term, m_Leader};
  if (Current == m_ReportedRole)
    return;
  m_ReportedRole = Current;
  m_Output.m_Role = Current;
}

void RaftCore::becomeFollower(TermNumber Term, ReplicaId Leader) {
  if (m_Role == RaftRole::Leader)
    failLeaderReads();
  if (m_Leader != Leader || Term != m_Hard.m_Term)
    failUnconfirmedReads("the leader changed");
  if (Term != m_Hard.m_Term)
    setHardState(Term, NoReplica);
  m_Role = RaftRole::Follower;
  m_Leader = Leader;
  m_Votes.clear();
  m_Peers.clear();
  m_TransferTarget = NoReplica;
  resetElectionDeadline();
}

void RaftCore::becomeLeader() {
  m_Role = RaftRole::Leader;
  m_Leader = m_Options.m_Self;
  m_Votes.clear();
  m_Incoming.reset();
  m_Round = 0;
  m_Peers.clear();
  updatePeers();
  // Committing this entry also commits the entries of older terms.
  append(EntryKind::Noop, "", {});
  broadcastHeartbeat();
}

void RaftCore::setHardState(TermNumber Term, ReplicaId VotedFor) {
  m_Hard = {Term, VotedFor};
  m_Output.m_Hard = m_Hard;
}

LogIndex RaftCore::append(EntryKind Kind, std::string Data,
                          Membership Members) {
  appendLocal({m_Log.lastIndex() + 1, m_Hard.m_Term, Kind, std::move(Data),
               std::move(Members)});
  return m_Log.lastIndex();
}

void RaftCore::appendLocal(LogEntry Entry) {
  m_Output.m_Append.push_back(Entry);
  m_Log.append(std::move(Entry));
}

void RaftCore::truncateLocal(LogIndex First) {
  m_Log.truncateFrom(First);
  m_Output.m_TruncateFrom =
      std::min(First, m_Output.m_TruncateFrom.value_or(First));
  m_Durable = std::min(m_Durable, First - 1);
  for (PendingWrite &Write : m_PendingWrites)
    Write.m_LastIndex = std::min(Write.m_LastIndex, First - 1);
}

void RaftCore::send(ReplicaId Receiver, RaftMessage::Body Body) {
  m_Output.m_Messages.push_back(
      {m_Options.m_Self, Receiver, m_Hard.m_Term, std::move(Body)});
}

void RaftCore::sendWhenDurable(ReplicaId Receiver, RaftMessage::Body Body) {
  m_HeldMessages.push_back(
      {0, {m_Options.m_Self, Receiver, m_Hard.m_Term, std::move(Body)}});
}

void RaftCore::failProposal(uint64_t Context, absl::StatusCode Kind,
                            RaftErrc Code, std::string_view Text) {
  m_Output.m_Proposals.push_back(
      {Context, makeLayerError(Kind, Code, Text), 0});
}

TimePoint RaftCore::nextDeadline() const {
  TimePoint Result =
      m_Role == RaftRole::Leader ? m_HeartbeatDue : m_ElectionDeadline;
  if (m_Role == RaftRole::Leader && m_TransferTarget != NoReplica)
    Result = std::min(Result, m_TransferDeadline);
  for (const auto &[Id, Read] : m_LocalReads) {
    if (!Read.m_Confirmed)
      Result = std::min(Result, Read.m_Deadline);
  }
  return Result;
}

RaftStatus RaftCore::status() const {
  RaftStatus Status;
  Status.m_Role = m_Role;
  Status.m_Term = m_Hard.m_Term;
  Status.m_Leader = m_Leader;
  Status.m_Commit = m_Commit;
  Status.m_Applied = m_Applied;
  Status.m_Durable = m_Durable;
  Status.m_FirstIndex = m_Log.baseIndex() + 1;
  Status.m_LastIndex = m_Log.lastIndex();
  Status.m_Members = m_Log.membership();
  Status.m_MembersCommitted = m_Log.membershipIndex() <= m_Commit;
  if (m_Role == RaftRole::Leader)
    for (const ReplicaId Learner : Status.m_Members.m_Learners)
      if (hasCaughtUp(Learner) && wasHeardRecently(Learner))
        Status.m_PromotableLearners.push_back(Learner);
  return Status;
}

} // namespace anvil::raft::internal
