#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

#include "raft/RaftCore.h"

namespace anvil::raft::internal {

absl::StatusOr<SnapshotMeta> RaftCore::snapshotMeta(LogIndex Index) const {
  const std::optional<TermNumber> Term = m_Log.termAt(Index);
  // An installed snapshot may be applied before it and the hard state of its
  // term are durable. If the host saved another snapshot of that state now, it
  // would be inconsistent with the rest of the disk after a crash.
  if (Index > m_Applied || Index > m_Durable || !Term)
    return makeLayerError(
        absl::StatusCode::kFailedPrecondition, RaftErrc::ChangeRefused,
        absl::StrCat("no snapshot at index ", Index, ", applied ", m_Applied,
                     ", durable ", m_Durable, ", compacted to ",
                     m_Log.baseIndex()));
  return SnapshotMeta{Index, *Term, m_Log.membershipAt(Index)};
}

void RaftCore::handle(const SnapshotMadeInput &Input) {
  const SnapshotMeta &Meta = Input.m_Snapshot.m_Meta;
  const bool IsApplied =
      Meta.m_Index <= m_Applied && m_Log.termAt(Meta.m_Index) == Meta.m_Term;
  if (!IsApplied || Meta.m_Index <= m_Snapshot.m_Meta.m_Index ||
      !Input.m_Snapshot.m_Data)
    return;
  m_Snapshot = Input.m_Snapshot;
  const LogIndex Retained = std::min(Meta.m_Index, m_Options.m_RetainedEntries);
  const LogIndex CompactIndex = Meta.m_Index - Retained;
  if (CompactIndex > m_Log.baseIndex())
    m_Log.compactTo(CompactIndex);
  m_Output.m_CompactTo = m_Log.baseIndex();
}

void RaftCore::startTransfer(Progress &Peer) {
  Peer.m_Mode = ProgressMode::Snapshot;
  Peer.m_Transfer = m_Snapshot;
  Peer.m_Offset = 0;
  Peer.m_ChunkSentAt.reset();
}

void RaftCore::sendChunk(ReplicaId Receiver, Progress &Peer) {
  const std::string &Bytes = *Peer.m_Transfer.m_Data;
  SnapshotChunk Chunk;
  Chunk.m_Meta = Peer.m_Transfer.m_Meta;
  Chunk.m_Offset = std::min<uint64_t>(Peer.m_Offset, Bytes.size());
  Chunk.m_TotalSize = Bytes.size();
  Chunk.m_Data = Bytes.substr(Chunk.m_Offset, m_Options.m_SnapshotChunkBytes);
  Peer.m_ChunkSentAt = m_Now;
  send(Receiver, std::move(Chunk));
}

void RaftCore::handleMessage(const RaftMessage &Message,
                             const SnapshotChunkResponse &Response) {
  Progress *Peer = peerOf(Message);
  if (Peer == nullptr || Peer->m_Mode != ProgressMode::Snapshot)
    return;
  if (Response.m_SnapshotIndex != Peer->m_Transfer.m_Meta.m_Index ||
      Response.m_NextOffset == Peer->m_Offset)
    return;
  Peer->m_Offset = Response.m_NextOffset;
  Peer->m_ChunkSentAt.reset();
}

/// Returns whether the chunk belongs to the transfer in progress, which the
/// same leader may resume in a later term.
bool RaftCore::continuesIncoming(const RaftMessage &Message,
                                 const SnapshotChunk &Chunk) const {
  return m_Incoming && m_Incoming->m_From == Message.m_From &&
         m_Incoming->m_Meta == Chunk.m_Meta &&
         m_Incoming->m_TotalSize == Chunk.m_TotalSize;
}

void RaftCore::handleMessage(const RaftMessage &Message,
                             const SnapshotChunk &Chunk) {
  if (m_Role == RaftRole::Leader)
    return;
  followLeader(Message.m_From);
  if (Chunk.m_Meta.m_Index <= m_Commit) {
    m_Incoming.reset();
    return sendWhenDurable(
        Message.m_From, AppendResponse{.m_Success = true, .m_Match = m_Commit});
  }
  if (!continuesIncoming(Message, Chunk))
    m_Incoming =
        IncomingSnapshot{Message.m_From, Chunk.m_Meta, Chunk.m_TotalSize, {}};
  if (Chunk.m_Offset == m_Incoming->m_Bytes.size())
    m_Incoming->m_Bytes += Chunk.m_Data;
  const uint64_t Received = m_Incoming->m_Bytes.size();
  if (Received > m_Incoming->m_TotalSize) {
    m_Incoming.reset();
  } else if (Received == m_Incoming->m_TotalSize) {
    installIncoming(Message.m_From);
  } else {
    send(Message.m_From, SnapshotChunkResponse{Chunk.m_Meta.m_Index, Received});
  }
}

void RaftCore::installIncoming(ReplicaId Sender) {
  IncomingSnapshot Incoming = *std::exchange(m_Incoming, std::nullopt);
  const SnapshotMeta &Meta = Incoming.m_Meta;
  const bool KeepSuffix = m_Log.termAt(Meta.m_Index) == Meta.m_Term;
  m_Snapshot = {
      Meta, std::make_shared<const std::string>(std::move(Incoming.m_Bytes))};
  if (KeepSuffix) {
    m_Log.compactTo(Meta.m_Index);
  } else {
    m_Log.reset(Meta);
    m_Durable = 0;
    for (PendingWrite &Write : m_PendingWrites)
      Write.m_LastIndex = 0;
  }
  m_Commit = m_Delivered = Meta.m_Index;
  m_Output.m_Install = SnapshotInstall{m_Snapshot, KeepSuffix};
  const auto End = m_PendingProposals.upper_bound(Meta.m_Index);
  for (auto Item = m_PendingProposals.begin(); Item != End; ++Item) {
    failProposal(Item->second.m_Context, absl::StatusCode::kUnknown,
                 RaftErrc::OutcomeUnknown, "a snapshot replaced the entry");
  }
  m_PendingProposals.erase(m_PendingProposals.begin(), End);
  sendWhenDurable(Sender,
                  AppendResponse{.m_Success = true, .m_Match = Meta.m_Index});
}

} // namespace anvil::raft::internal
