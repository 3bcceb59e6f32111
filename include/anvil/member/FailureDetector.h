#ifndef ANVIL_MEMBER_FAILUREDETECTOR_H
#define ANVIL_MEMBER_FAILUREDETECTOR_H

#include <vector>

#include "absl/container/flat_hash_map.h"

#include "anvil/base/Ids.h"
#include "anvil/base/Time.h"

namespace anvil::member {

/// Settings of a FailureDetector.
struct FailureDetectorOptions {
  /// A target without a heartbeat for this long is lost. Ten heartbeats, so
  /// that lost or late ones are no loss.
  Duration m_LostAfter = std::chrono::seconds(10);
  /// Time between two ticks above which this process itself must have been
  /// paused.
  Duration m_PauseLimit = std::chrono::seconds(2);
};

/// Tells which targets have not been heard of for too long.
///
/// Usage: watch() every target when leadership begins or a target joins,
/// heard() for each reported heartbeat, tick() at least every second. A pause
/// of the own process counts for no target: after it every silence starts anew
/// from where it was.
class FailureDetector {
public:
  explicit FailureDetector(FailureDetectorOptions Options)
      : m_Options(Options) {}

  /// Starts to watch \p Vm as if it had been heard of just now; keeps the
  /// record of a known one.
  void watch(const VmId &Vm, TimePoint Now);
  /// Stops watching.
  void forget(const VmId &Vm);
  /// Notes a heartbeat; unknown targets are ignored.
  void heard(const VmId &Vm, TimePoint Now);
  /// Returns the targets that are lost, each once until it is heard of or
  /// watched again.
  std::vector<VmId> tick(TimePoint Now);
  /// Returns the number of watched targets.
  size_t size() const { return m_LastHeard.size(); }

private:
  FailureDetectorOptions m_Options;
  absl::flat_hash_map<VmId, TimePoint> m_LastHeard;
  TimePoint m_LastTick;
  bool m_Ticked = false;
};

} // namespace anvil::member

#endif // ANVIL_MEMBER_FAILUREDETECTOR_H
