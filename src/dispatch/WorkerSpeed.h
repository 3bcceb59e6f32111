#ifndef ANVIL_SRC_DISPATCH_WORKERSPEED_H
#define ANVIL_SRC_DISPATCH_WORKERSPEED_H

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "WorkerHealth.h"
#include "anvil/base/Time.h"
#include "anvil/dispatch/Dispatcher.h"
#include "anvil/workload/WorkloadState.h"

namespace anvil::dispatch::internal {

/// Estimates the lasting speed of each machine from the times of its runs.
///
/// It answers the load of a service whose workers differ in speed for good: 1
/// is normal, and a task takes its expected time divided by the speed. Faults
/// that last seconds are left to WorkerHealth, which compares runs with what is
/// expected at the lasting speed.
///
/// The estimate is a running mean of logarithms that begins at speed 1 with the
/// weight of a few observations. Each observation moves it by a bounded amount,
/// so that a single task of unusual length changes little. It belongs to the
/// machine: a worker that restarts there under another id keeps it.
class WorkerSpeed {
public:
  using ChangeHook = std::function<void(const WorkerSpeedChange &)>;

  /// \p OnChange receives speeds that changed clearly; it may be empty.
  explicit WorkerSpeed(ChangeHook OnChange = {})
      : m_OnChange(std::move(OnChange)) {}

  /// Returns an instance that learns nothing: all speeds are 1.
  static WorkerSpeed disabled();

  /// Records on which machines the registered workers run. Speeds of machines
  /// without a worker are discarded after a while.
  void updateWorkers(const workload::WorkloadState &State, TimePoint Now);
  /// Records on which machine one worker runs.
  void updateWorker(const wire::WorkerInfo &Info, TimePoint Now);

  /// Learns from one run. \p Seen compares its time with what is expected at
  /// the present speed of the worker; \p Weight is 1 for an undisturbed run
  /// that is compared with other runs of its step, and less for weaker
  /// evidence.
  void learn(const wire::WorkerIncarnation &Worker, SpeedEvidence Seen,
             double Weight);

  /// Returns the speed of the worker, between 0.25 and 4; 1 if nothing is
  /// known.
  double speedOf(const wire::WorkerIncarnation &Worker) const;
  void clear();

private:
  struct Estimate {
    double m_LogSpeed = 0;
    double m_Weight = 0; ///< Sum of the weights of the observations.
    int64_t m_Observations = 0;
    double m_ReportedSpeed = 1;
    TimePoint m_SeenAt; ///< When a worker was registered there last.

    /// Returns 1 until there is clear evidence of another speed.
    double speed() const;
  };

  ChangeHook m_OnChange;
  bool m_Learns = true;
  std::map<std::string, std::string> m_Machines; ///< By worker id.
  std::map<std::string, Estimate> m_Estimates;   ///< By machine.
};

} // namespace anvil::dispatch::internal

#endif // ANVIL_SRC_DISPATCH_WORKERSPEED_H
