#ifndef ANVIL_SRC_AGENT_CLAIMLEDGER_H
#define ANVIL_SRC_AGENT_CLAIMLEDGER_H

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "anvil/agent/AgentTypes.h"

namespace anvil::agent::internal {

/// Identifies one grant of a claim. Tokens grow, so older grants order first.
struct ClaimKey {
  int64_t m_Token = 0;
  std::string m_ClaimId;
  auto operator<=>(const ClaimKey &) const = default;
};

/// What the ledger knows about a claim key.
enum class ClaimKnown { Never, Open, Closed, Forgotten };

/// Outcome of a closed claim as repeats of its request receive it.
struct StoredOutcome {
  wire::Outcome::type m_Outcome = wire::Outcome::UNKNOWN;
  int32_t m_HttpStatus = 0;
  std::string m_ContentType;
  std::string m_Body;
};

/// Remembers which claim tokens were seen in this incarnation and what became
/// of them.
///
/// A token is open, then closed with an outcome that is reported until control
/// acknowledges it. Bodies of acknowledged claims are dropped first when space
/// runs out; the token and its outcome stay much longer. Once tokens are
/// dropped too, every unseen token up to the newest dropped one counts as
/// forgotten, which is answered as unknown.
class ClaimLedger {
public:
  explicit ClaimLedger(const AgentOptions &Options) : m_Options(Options) {}

  ClaimKnown known(const ClaimKey &Key) const;
  /// Returns the outcome of a closed claim; a response that is no longer stored
  /// gives unknown.
  StoredOutcome outcomeOf(const ClaimKey &Key) const;
  /// Returns true if no further claim may open until control acknowledges some.
  bool full() const;
  void open(const ClaimKey &Key);
  /// Closes an open claim, or records the refusal of one that was never opened.
  void close(const ClaimKey &Key, StoredOutcome Outcome);
  /// Returns the outcomes to report in heartbeat \p Sequence, oldest first and
  /// bounded.
  std::vector<wire::ClaimOutcome> report(int64_t Sequence);
  /// Marks the outcomes of \p ClaimIds that were first reported in \p Sequence
  /// or before as acknowledged.
  void acknowledge(const std::vector<std::string> &ClaimIds, int64_t Sequence);
  /// Returns the outcomes that no heartbeat has carried yet.
  size_t unreported() const { return m_Unreported; }
  /// Returns the outcomes that wait for an acknowledgement.
  size_t unacknowledged() const { return m_Unacked.size(); }

private:
  struct Entry {
    bool m_Open = true;
    bool m_Acked = false;
    bool m_BodyDropped = false;
    int64_t m_FirstReport =
        0; ///< Heartbeat that first carried the outcome; 0 is none.
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
