#include "agent/ClaimLedger.h"

#include <algorithm>
#include <utility>

namespace anvil::agent::internal {

TokenState ClaimLedger::stateOf(const ClaimKey &Key) const {
  const auto Found = m_Entries.find(Key);
  if (Found != m_Entries.end())
    return Found->second.m_Open ? TokenState::Open : TokenState::Closed;
  return Key.m_Token <= m_ForgottenUpTo ? TokenState::Forgotten
                                        : TokenState::Never;
}

StoredOutcome ClaimLedger::outcomeOf(const ClaimKey &Key) const {
  const auto Found = m_Entries.find(Key);
  // An empty body with the outcome completed would be an incomplete response.
  if (Found == m_Entries.end() || Found->second.m_BodyDropped)
    return {};
  return Found->second.m_Stored;
}

bool ClaimLedger::full() const {
  return m_Unacked.size() + m_OpenCount >= m_Options.m_MaxUnackedClaims ||
         m_UnackedBytes >= m_Options.m_MaxClaimBytes;
}

void ClaimLedger::open(const ClaimKey &Key) {
  if (m_Entries.emplace(Key, Entry{}).second)
    ++m_OpenCount;
  dropTokens();
}

void ClaimLedger::close(const ClaimKey &Key, StoredOutcome Outcome) {
  const auto [Found, Inserted] = m_Entries.emplace(Key, Entry{});
  Entry &Claim = Found->second;
  if (!Claim.m_Open)
    return;
  if (!Inserted)
    --m_OpenCount;
  Claim.m_Open = false;
  if (Outcome.m_Body.size() > m_Options.m_MaxStoredBody)
    Outcome = {};
  Claim.m_Stored = std::move(Outcome);
  m_Bytes += Claim.m_Stored.m_Body.size();
  // Beyond the limit, refusals are stored but not reported. The reply to the
  // entry frees the claim, and repeated requests are still refused.
  const bool Refusal = Inserted && m_Unacked.size() + m_OpenCount >=
                                       m_Options.m_MaxUnackedClaims;
  Claim.m_Acked = Refusal;
  if (!Refusal) {
    m_Unacked.insert(Key);
    ++m_Unreported;
    m_UnackedBytes += Claim.m_Stored.m_Body.size();
  }
  dropBodies();
  dropTokens();
}

std::vector<wire::ClaimOutcome> ClaimLedger::report(int64_t Sequence) {
  std::vector<wire::ClaimOutcome> Outcomes;
  size_t Bytes = 0;
  for (const ClaimKey &Key : m_Unacked) {
    Entry &Claim = m_Entries.at(Key);
    if (Outcomes.size() >= m_Options.m_MaxReportedOutcomes)
      break;
    Bytes += Claim.m_Stored.m_Body.size();
    if (!Outcomes.empty() && Bytes > m_Options.m_MaxReportedBytes)
      break;
    if (Claim.m_FirstReport == 0) {
      Claim.m_FirstReport = Sequence;
      --m_Unreported;
    }
    wire::ClaimOutcome &Report = Outcomes.emplace_back();
    Report.claimId = Key.m_ClaimId;
    Report.token = Key.m_Token;
    Report.outcome = Claim.m_Stored.m_Outcome;
    Report.httpStatus = Claim.m_Stored.m_HttpStatus;
    Report.contentType = Claim.m_Stored.m_ContentType;
    Report.body = Claim.m_Stored.m_Body;
  }
  return Outcomes;
}

void ClaimLedger::acknowledge(const std::vector<std::string> &ClaimIds,
                              int64_t Sequence) {
  const std::set<std::string_view> Acknowledged(ClaimIds.begin(),
                                                ClaimIds.end());
  if (Acknowledged.empty())
    return;
  for (auto Next = m_Unacked.begin(); Next != m_Unacked.end();) {
    Entry &Claim = m_Entries.at(*Next);
    const bool Reported =
        Claim.m_FirstReport != 0 && Claim.m_FirstReport <= Sequence;
    if (!Reported || !Acknowledged.contains(Next->m_ClaimId)) {
      ++Next;
      continue;
    }
    Claim.m_Acked = true;
    m_UnackedBytes -= Claim.m_Stored.m_Body.size();
    if (!Claim.m_Stored.m_Body.empty())
      m_Droppable.push_back(*Next);
    Next = m_Unacked.erase(Next);
  }
}

void ClaimLedger::dropBodies() {
  while (m_Bytes > m_Options.m_MaxClaimBytes && !m_Droppable.empty()) {
    const auto Found = m_Entries.find(m_Droppable.front());
    m_Droppable.pop_front();
    if (Found == m_Entries.end())
      continue;
    Entry &Claim = Found->second;
    m_Bytes -= Claim.m_Stored.m_Body.size();
    Claim.m_Stored.m_Body = std::string();
    Claim.m_BodyDropped = true;
  }
}

void ClaimLedger::dropTokens() {
  for (auto Next = m_Entries.begin();
       Next != m_Entries.end() && m_Entries.size() > m_Options.m_MaxTokens;) {
    const Entry &Claim = Next->second;
    if (Claim.m_Open || !Claim.m_Acked) {
      ++Next;
      continue;
    }
    m_Bytes -= Claim.m_Stored.m_Body.size();
    m_ForgottenUpTo = std::max(m_ForgottenUpTo, Next->first.m_Token);
    Next = m_Entries.erase(Next);
  }
}

} // namespace anvil::agent::internal
