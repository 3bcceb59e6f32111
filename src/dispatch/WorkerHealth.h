#ifndef ANVIL_SRC_DISPATCH_WORKERHEALTH_H
#define ANVIL_SRC_DISPATCH_WORKERHEALTH_H

#include <map>
#include <string>

#include "anvil/base/Time.h"
#include "workload_types.h"

namespace anvil::dispatch::internal {

/// How the speed of one run compares to what was expected of it.
struct SpeedEvidence {
  /// Logarithm of observed time by expected time.
  double m_LogRatio = 0;
  /// Variance of that logarithm on a sound worker.
  double m_Variance = 1;
};

/// What else is known of the step of which a run failed.
enum class FailureContext {
  FirstOfStep,  ///< No run of the step has failed before.
  SameWorker,   ///< Runs of the step failed before, on this worker only.
  OtherWorkers, ///< Runs of the step failed on other workers as well.
};

/// Judges workers by how runs went there: failures, standstill and speed.
///
/// Evidence fades and has a bound, so that a worker is tried again. A failure
/// counts less if the step failed elsewhere as well, or here before. A worker
/// counts as slow once the speed of its runs is much more likely under that
/// assumption, since single tasks often take longer than expected.
class WorkerHealth {
public:
  /// A run failed, or the worker refused to start it.
  void failed(const wire::WorkerIncarnation &Worker, FailureContext Context,
              TimePoint Now);
  /// A run ended with success.
  void succeeded(const wire::WorkerIncarnation &Worker, TimePoint Now);
  /// A run made no progress for long.
  void stalled(const wire::WorkerIncarnation &Worker, TimePoint Now);
  /// Replaces what is known of the speed of \p Run, any name that is unique on
  /// the worker.
  void observedSpeed(const wire::WorkerIncarnation &Worker,
                     const std::string &Run, SpeedEvidence Seen, TimePoint Now);

  /// Returns the evidence against the worker; about 1 for one recent failure.
  double suspicion(const wire::WorkerIncarnation &Worker, TimePoint Now) const;
  /// Returns how many times longer tasks take there; 1 unless that is likely.
  double slowdown(const wire::WorkerIncarnation &Worker, TimePoint Now) const;
  void clear() { m_Records.clear(); }

private:
  struct Observation {
    SpeedEvidence m_Evidence;
    TimePoint m_At;
  };
  struct Record {
    double m_Suspicion = 0;
    TimePoint m_SuspicionAt;
    std::map<std::string, Observation> m_Speeds; ///< By run.
  };
  using Key = std::pair<std::string, int64_t>;
  static Key keyOf(const wire::WorkerIncarnation &Worker) {
    return {Worker.id, Worker.startedAtMs};
  }
  void suspect(const wire::WorkerIncarnation &Worker, double Amount,
               TimePoint Now);

  std::map<Key, Record> m_Records;
};

} // namespace anvil::dispatch::internal

#endif // ANVIL_SRC_DISPATCH_WORKERHEALTH_H
