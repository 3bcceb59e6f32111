#ifndef ANVIL_SRC_DISPATCH_WORKERHEALTH_H
#define ANVIL_SRC_DISPATCH_WORKERHEALTH_H

#include <map>
#include <string>

#include "WorkerKey.h"
#include "anvil/base/Time.h"
#include "workload_types.h"

namespace anvil::dispatch::internal {

/// How the speed of one run compares with what was expected.
struct SpeedEvidence {
  /// Logarithm of observed time by expected time.
  double m_LogRatio = 0;
  /// Variance of that logarithm on a healthy worker.
  double m_Variance = 1;
};

/// How earlier runs of the step of a failed run ended.
enum class FailureContext {
  FirstOfStep,  ///< No run of the step failed before.
  SameWorker,   ///< Runs of the step failed before, on this worker only.
  OtherWorkers, ///< Runs of the step failed on other workers as well.
};

/// Estimates the health of workers from failures, stalls and speeds of the runs
/// there.
///
/// Suspicion, the evidence against a worker, decays and has an upper bound, so
/// that the worker is tried again. A failure adds less if the step failed
/// before, here or elsewhere. Single tasks often take longer than expected, so
/// a worker counts as slow only once that explains the speeds of its runs much
/// better.
class WorkerHealth {
public:
  /// Records that a run failed, or that the worker refused to start it.
  void recordFailure(const wire::WorkerIncarnation &Worker,
                     FailureContext Context, TimePoint Now);
  /// Records that a run ended with success.
  void recordSuccess(const wire::WorkerIncarnation &Worker, TimePoint Now);
  /// Records that a run has stalled.
  void recordStall(const wire::WorkerIncarnation &Worker, TimePoint Now);
  /// Replaces the speed evidence of \p Run, any name that is unique on the
  /// worker.
  void recordSpeed(const wire::WorkerIncarnation &Worker,
                   const std::string &Run, SpeedEvidence Seen, TimePoint Now);

  /// Returns the suspicion of the worker; about 1 after one recent failure.
  double suspicion(const wire::WorkerIncarnation &Worker, TimePoint Now) const;
  /// Returns the factor by which tasks take longer there; 1 unless the worker
  /// is likely to be slow.
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
  void addSuspicion(const wire::WorkerIncarnation &Worker, double Amount,
                    TimePoint Now);

  std::map<WorkerKey, Record> m_Records;
};

} // namespace anvil::dispatch::internal

#endif // ANVIL_SRC_DISPATCH_WORKERHEALTH_H
