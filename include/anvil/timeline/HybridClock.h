#ifndef ANVIL_TIMELINE_HYBRIDCLOCK_H
#define ANVIL_TIMELINE_HYBRIDCLOCK_H

#include <algorithm>
#include <compare>
#include <cstdint>

namespace anvil::timeline {

/// Time stamp of a hybrid logical clock, which follows the wall clock and
/// orders causes before effects: microseconds since the Unix epoch, and a
/// counter that orders the events of one microsecond and those that follow a
/// stamp ahead of the own wall clock.
struct HybridTime {
  int64_t m_WallUs = 0;
  int32_t m_Logical = 0;

  auto operator<=>(const HybridTime &) const = default;
};

/// Hybrid logical clock that stamps the events of one process.
///
/// Usage: call now() for an event of the process or a message to send, and
/// observe() with the stamp of each received message. Each stamp is greater
/// than all that were returned or accepted before. A remote stamp may be ahead
/// of the own wall clock by at most MaxAheadUs; one further ahead is counted
/// and otherwise ignored, so that one wrong clock can't advance all others.
class HybridClock {
public:
  /// Largest accepted lead of a remote stamp over the own wall clock: 60 s.
  static constexpr int64_t MaxAheadUs = 60'000'000;

  /// Returns the next stamp; \p WallUs is the wall clock of this process.
  HybridTime now(int64_t WallUs) {
    if (WallUs > m_Last.m_WallUs)
      m_Last = {WallUs, 0};
    else
      ++m_Last.m_Logical;
    return m_Last;
  }

  /// Advances the clock to the stamp of a received message.
  void observe(HybridTime Remote, int64_t WallUs) {
    if (Remote.m_WallUs > WallUs + MaxAheadUs)
      ++m_Ignored;
    else
      m_Last = std::max(m_Last, Remote);
  }

  /// Returns how many stamps were ignored because they were too far ahead.
  int64_t ignored() const { return m_Ignored; }

private:
  HybridTime m_Last;
  int64_t m_Ignored = 0;
};

} // namespace anvil::timeline

#endif // ANVIL_TIMELINE_HYBRIDCLOCK_H
