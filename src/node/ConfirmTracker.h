#ifndef ANVIL_SRC_NODE_CONFIRMTRACKER_H
#define ANVIL_SRC_NODE_CONFIRMTRACKER_H

#include <cstdint>

namespace anvil::node::internal {

/// Tracks the highest sequence number of one client that a leadership
/// confirmation covers: only requests that were received before the
/// confirmation began count.
///
/// Usage: received() for each request, begin() when a confirmation starts,
/// confirm() when it succeeds.
class ConfirmTracker {
public:
  void received(int64_t Sequence) {
    if (Sequence > m_Highest)
      m_Highest = Sequence;
  }
  void begin() { m_Confirming = m_Highest; }
  void confirm() {
    if (m_Confirming > m_Confirmed)
      m_Confirmed = m_Confirming;
  }
  int64_t highest() const { return m_Highest; }
  int64_t confirmed() const { return m_Confirmed; }

private:
  int64_t m_Highest = 0;
  int64_t m_Confirming = 0;
  int64_t m_Confirmed = 0;
};

} // namespace anvil::node::internal

#endif // ANVIL_SRC_NODE_CONFIRMTRACKER_H
