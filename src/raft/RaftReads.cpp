#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

#include "raft/RaftCore.h"

namespace anvil::raft::internal {

void RaftCore::handle(const ReadInput &Input) {
  if (m_LocalReads.size() >= m_Options.m_MaxPendingReads)
    return failRead(Input.m_Context, absl::StatusCode::kResourceExhausted,
                    RaftErrc::Busy, "too many pending reads");
  if (m_Leader == NoReplica)
    return failRead(Input.m_Context, absl::StatusCode::kUnavailable,
                    RaftErrc::NotLeader, "no leader is known");
  const uint64_t ReadId = m_NextReadId++;
  m_LocalReads[ReadId] = {Input.m_Context, m_Now + m_Options.m_ReadTimeout,
                          false, 0};
  if (m_Role == RaftRole::Leader) {
    startLeaderRead({m_Options.m_Self, ReadId, 0, 0});
  } else {
    send(m_Leader, ReadIndexRequest{ReadId});
  }
}

/// Records the index that the read must see and the heartbeat round that
/// confirms that no later leader existed when the read arrived.
void RaftCore::startLeaderRead(LeaderRead Read) {
  // Before an entry of its own term is committed, the leader's commit index may
  // be lower than what earlier leaders acknowledged.
  if (!committedInOwnTerm()) {
    m_DeferredReads.push_back(Read);
    return;
  }
  Read.m_Index = m_Commit;
  Read.m_Round = m_Round + 1;
  m_LeaderReads.push_back(Read);
}

/// Starts a heartbeat round for waiting reads unless a round is in progress, so
/// that reads share rounds.
void RaftCore::startReadRound() {
  if (m_LeaderReads.empty() || m_LeaderReads.back().m_Round <= m_Round ||
      confirmedRound() < m_Round)
    return;
  broadcastHeartbeat();
  finishLeaderReads();
}

/// Returns the last heartbeat round that a quorum of voters answered.
uint64_t RaftCore::confirmedRound() const {
  const Membership &Members = m_Log.membership();
  std::vector<uint64_t> Rounds;
  for (const ReplicaId Voter : Members.m_Voters)
    Rounds.push_back(
        Voter == m_Options.m_Self ? m_Round : m_Peers.at(Voter).m_AckedRound);
  std::sort(Rounds.begin(), Rounds.end(), std::greater<>());
  return Rounds[Members.quorum() - 1];
}

void RaftCore::finishLeaderReads() {
  if (m_LeaderReads.empty())
    return;
  const uint64_t Confirmed = confirmedRound();
  auto Read = m_LeaderReads.begin();
  for (; Read != m_LeaderReads.end() && Read->m_Round <= Confirmed; ++Read)
    answerLeaderRead(*Read, /*Confirmed=*/true);
  m_LeaderReads.erase(m_LeaderReads.begin(), Read);
}

void RaftCore::answerLeaderRead(const LeaderRead &Read, bool Confirmed) {
  if (Read.m_From != m_Options.m_Self)
    return send(Read.m_From,
                ReadIndexResponse{Read.m_ReadId, Confirmed, Read.m_Index});
  const auto Local = m_LocalReads.find(Read.m_ReadId);
  if (Local == m_LocalReads.end() || !Confirmed)
    return;
  Local->second.m_Confirmed = true;
  Local->second.m_Index = Read.m_Index;
}

void RaftCore::failLeaderReads() {
  for (const LeaderRead &Read : std::exchange(m_LeaderReads, {}))
    answerLeaderRead(Read, /*Confirmed=*/false);
  for (const LeaderRead &Read : std::exchange(m_DeferredReads, {}))
    answerLeaderRead(Read, /*Confirmed=*/false);
}

/// Finishes confirmed reads whose index is applied, and fails reads that were
/// not confirmed in time.
void RaftCore::finishLocalReads() {
  std::erase_if(m_LocalReads, [this](const auto &Item) {
    const LocalRead &Read = Item.second;
    if (Read.m_Confirmed && Read.m_Index <= m_Applied) {
      m_Output.m_Reads.push_back(
          {Read.m_Context, absl::OkStatus(), Read.m_Index});
      return true;
    }
    if (!Read.m_Confirmed && m_Now >= Read.m_Deadline) {
      failRead(Read.m_Context, absl::StatusCode::kDeadlineExceeded,
               RaftErrc::ReadNotConfirmed, "not confirmed in time");
      return true;
    }
    return false;
  });
}

void RaftCore::failUnconfirmedReads(std::string_view Reason) {
  std::erase_if(m_LocalReads, [this, Reason](const auto &Item) {
    if (Item.second.m_Confirmed)
      return false;
    failRead(Item.second.m_Context, absl::StatusCode::kUnavailable,
             RaftErrc::ReadNotConfirmed, Reason);
    return true;
  });
}

void RaftCore::failRead(uint64_t Context, absl::StatusCode Kind, RaftErrc Code,
                        std::string_view Reason) {
  m_Output.m_Reads.push_back({Context, makeLayerError(Kind, Code, Reason), 0});
}

void RaftCore::handleMessage(const RaftMessage &Message,
                             const ReadIndexRequest &Request) {
  if (m_Role != RaftRole::Leader)
    return send(Message.m_From, ReadIndexResponse{Request.m_ReadId, false, 0});
  if (m_LeaderReads.size() + m_DeferredReads.size() >=
      m_Options.m_MaxPendingReads)
    return send(Message.m_From, ReadIndexResponse{Request.m_ReadId, false, 0});
  startLeaderRead({Message.m_From, Request.m_ReadId, 0, 0});
}

void RaftCore::handleMessage(const RaftMessage &,
                             const ReadIndexResponse &Response) {
  const auto Read = m_LocalReads.find(Response.m_ReadId);
  if (Read == m_LocalReads.end() || Read->second.m_Confirmed)
    return;
  if (Response.m_Confirmed) {
    Read->second.m_Confirmed = true;
    Read->second.m_Index = Response.m_Index;
    return;
  }
  failRead(Read->second.m_Context, absl::StatusCode::kUnavailable,
           RaftErrc::ReadNotConfirmed, "the leader could not confirm the read");
  m_LocalReads.erase(Read);
}

} // namespace anvil::raft::internal
