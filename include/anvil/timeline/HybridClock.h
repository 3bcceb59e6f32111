#ifndef ANVIL_TIMELINE_HYBRIDCLOCK_H
#define ANVIL_TIMELINE_HYBRIDCLOCK_H

#include <algorithm>
#include <compare>
#include <cstdint>

namespace anvil::timeline {

/// Time stamp that follows wall clocks and keeps causes before effects:
/// microseconds since the Unix epoch and a counter for events within one
/// microsecond or behind a clock that runs ahead.
struct HybridTime {
  int64_t m_WallUs = 0;
  int32_t m_Logical = 0;

  auto operator<=>(const HybridTime &) const = default;
};

/// Gives time stamps to the events of one process.
///
/// Usage: now() for an own event or a message to send, observe() for the stamp
/// of a received message. Every stamp is above all that were given or observed
/// before. A remote clock may pull this one ahead by at most m_MaxAhead; a
/// stamp farther ahead is counted and otherwise ignored, so that one wrong
/// clock can't move all others.
class HybridClock {
public:
  /// Largest lead of a remote stamp over the own wall clock that is followed:
  /// 60 s.
  static constexpr int64_t MaxAheadUs = 60'000'000;

  /// Returns the next stamp; \p WallUs is the wall clock of this process.
  HybridTime now(int64_t WallUs) {
    if (WallUs > m_Last.m_WallUs)
      m_Last = {WallUs, 0};
    else
      ++m_Last.m_Logical;
    return m_Last;
  }

  /// Takes in the stamp of a message that was received.
  void observe(HybridTime Remote, int64_t WallUs) {
    if (Remote.m_WallUs > WallUs + MaxAheadUs)
      ++m_Ignored;
    else
      m_Last = std::max(m_Last, Remote);
  }

  /// Returns how many stamps were too far ahead.
  int64_t ignored() const { return m_Ignored; }

private:
  HybridTime m_Last;
  int64_t m_Ignored = 0;
};

} // namespace anvil::timeline

#endif // ANVIL_TIMELINE_HYBRIDCLOCK_H
