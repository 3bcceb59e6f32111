#ifndef ANVIL_SRC_AGENT_CLAIMLEDGER_H
#define ANVIL_SRC_AGENT_CLAIMLEDGER_H

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "anvil/agent/AgentTypes.h"

namespace anvil::agent::internal {

/// Identifies one grant of a claim. Tokens increase, so older grants sort
/// first.
struct ClaimKey {
  int64_t m_Token = 0;
  std::string m_ClaimId;
  auto operator<=>(const ClaimKey &) const = default;
};

/// State of a claim token in the ledger.
enum class TokenState { Never, Open, Closed, Forgotten };

/// Outcome of a closed claim, with which repeated requests are answered.
struct StoredOutcome {
  wire::Outcome::type m_Outcome = wire::Outcome::UNKNOWN;
  int32_t m_HttpStatus = 0;
  std::string m_ContentType;
  std::string m_Body;
};

/// Stores the claim tokens that this incarnation has received and their
/// outcomes.
///
/// A token is first open, then closed with an outcome that is reported until
/// control acknowledges it. If the stored bodies exceed their limit, bodies of
/// acknowledged claims are dropped; the token and its outcome are kept. If the
/// tokens exceed their limit, the oldest acknowledged ones are dropped. From
/// then on every token up to the newest dropped one that is not stored counts
/// as forgotten and gets the outcome unknown.
class ClaimLedger {
public:
  explicit ClaimLedger(const AgentOptions &Options) : m_Options(Options) {}

  TokenState stateOf(const ClaimKey &Key) const;
  /// Returns the outcome of a closed claim, or unknown if its response is no
  /// longer stored.
  StoredOutcome outcomeOf(const ClaimKey &Key) const;
  /// Returns true if no claim may be opened until control acknowledges
  /// outcomes.
  bool full() const;
  void open(const ClaimKey &Key);
  /// Closes an open claim, or records the refusal of one that was not opened.
  void close(const ClaimKey &Key, StoredOutcome Outcome);
  /// Returns the unacknowledged outcomes for heartbeat \p Sequence, oldest
  /// first, up to the limits of a heartbeat.
  std::vector<wire::ClaimOutcome> report(int64_t Sequence);
  /// Marks the outcomes of \p ClaimIds as acknowledged if they were first
  /// reported in heartbeat \p Sequence or before.
  void acknowledge(const std::vector<std::string> &ClaimIds, int64_t Sequence);
  /// Returns the number of outcomes that no heartbeat has reported.
  size_t unreported() const { return m_Unreported; }
  /// Returns the number of outcomes that control has not acknowledged.
  size_t unacknowledged() const { return m_Unacked.size(); }

private:
  struct Entry {
    bool m_Open = true;
    bool m_Acked = false;
    bool m_BodyDropped = false;
    /// Heartbeat that first reported the outcome; 0 if there is none.
    int64_t m_FirstReport = 0;
    StoredOutcome m_Stored;
  };
  void dropBodies();
  void dropTokens();

  const AgentOptions &m_Options;
  std::map<ClaimKey, Entry> m_Entries;
  std::set<ClaimKey> m_Unacked; ///< Closed and not acknowledged.
  std::deque<ClaimKey>
      m_Droppable; ///< Acknowledged with a stored body, oldest first.
  size_t m_OpenCount = 0;
  size_t m_Unreported = 0;
  size_t m_Bytes = 0;
  size_t m_UnackedBytes = 0;
  int64_t m_ForgottenUpTo = 0;
};

} // namespace anvil::agent::internal

#endif // ANVIL_SRC_AGENT_CLAIMLEDGER_H
