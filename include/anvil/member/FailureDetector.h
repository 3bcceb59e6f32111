#ifndef ANVIL_MEMBER_FAILUREDETECTOR_H
#define ANVIL_MEMBER_FAILUREDETECTOR_H

#include <vector>

#include "absl/container/flat_hash_map.h"

#include "anvil/base/Ids.h"
#include "anvil/base/Time.h"

namespace anvil::member {

/// Settings of a FailureDetector.
struct FailureDetectorOptions {
  /// A target without a heartbeat for longer than this is lost. It covers ten
  /// heartbeat intervals, so that a few missing or late heartbeats are
  /// tolerated.
  Duration m_LostAfter = std::chrono::seconds(10);
  /// Time between two ticks above which this process is considered to have been
  /// paused.
  Duration m_PauseLimit = std::chrono::seconds(2);
};

/// Detects targets that have stopped sending heartbeats.
///
/// Usage: watch() every target when leadership begins or a target joins,
/// recordHeartbeat() for each reported heartbeat, tick() at least every second.
/// A pause of this process does not count as missing heartbeats: tick() shifts
/// the time of each last heartbeat by the length of the pause.
class FailureDetector {
public:
  explicit FailureDetector(FailureDetectorOptions Options)
      : m_Options(Options) {}

  /// Starts to watch \p Vm as if it had sent a heartbeat at \p Now. Has no
  /// effect on a target that is watched already.
  void watch(const VmId &Vm, TimePoint Now);
  /// Stops watching \p Vm.
  void forget(const VmId &Vm);
  /// Records a heartbeat at \p Now. Targets that are not watched are ignored.
  void recordHeartbeat(const VmId &Vm, TimePoint Now);
  /// Returns the targets that are lost, sorted, and stops watching them.
  std::vector<VmId> tick(TimePoint Now);
  /// Returns the number of watched targets.
  size_t size() const { return m_LastHeartbeat.size(); }

private:
  FailureDetectorOptions m_Options;
  absl::flat_hash_map<VmId, TimePoint> m_LastHeartbeat;
  TimePoint m_LastTick;
  bool m_HasTicked = false;
};

} // namespace anvil::member

#endif // ANVIL_MEMBER_FAILUREDETECTOR_H
