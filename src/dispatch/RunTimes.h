#ifndef ANVIL_SRC_DISPATCH_RUNTIMES_H
#define ANVIL_SRC_DISPATCH_RUNTIMES_H

#include <cstdint>
#include <map>
#include <string>

#include "anvil/base/Time.h"

namespace anvil::dispatch::internal {

/// Expected run time of a task and its uncertainty.
struct RunTime {
  Duration m_Expected{0};
  /// Variance of the logarithm of the actual time around the expected one.
  double m_LogVariance = 0;
};

/// Predicts how long a task runs from its declared time and from how long the
/// tasks of its queue took.
///
/// Declared times are far off in some queues and close in others, so both
/// sources are weighted by how well they predicted so far.
class RunTimes {
public:
  /// Records that a task of \p Queue, which declared \p EstimateMs (0 for
  /// none), ran for \p Elapsed from its beginning to its end, at the normal
  /// speed of a worker.
  void learn(const std::string &Queue, int64_t EstimateMs, Duration Elapsed);
  /// Returns the expected run time on a healthy worker of normal speed.
  RunTime predict(const std::string &Queue, int64_t EstimateMs) const;
  void clear() { m_Queues.clear(); }

private:
  /// Mean and variance of a series of logarithms.
  struct Series {
    double m_Count = 0;
    double m_Mean = 0;
    double m_SquareSum = 0;

    void add(double Value);
    double variance() const;
  };
  struct QueueStats {
    Series m_LogSeconds;       ///< Logarithms of the run times in seconds.
    Series m_LogEstimateRatio; ///< Logarithms of run time by declared time.
  };

  std::map<std::string, QueueStats> m_Queues;
};

/// Returns how much longer a task is expected to run that has run for \p
/// Elapsed: the mean residual of a log-normal distribution with the mean and
/// the logarithmic variance of \p Whole. At the beginning it is the expected
/// time; a task that has exceeded that is expected to run longer, and the more
/// so the longer it has run.
Duration remainingTime(const RunTime &Whole, Duration Elapsed);

} // namespace anvil::dispatch::internal

#endif // ANVIL_SRC_DISPATCH_RUNTIMES_H
