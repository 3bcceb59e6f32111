#ifndef ANVIL_SCHED_SRC_ESTIMATOR_H
#define ANVIL_SCHED_SRC_ESTIMATOR_H

#include <array>
#include <cstdint>
#include <vector>

#include "anvil/base/Time.h"
#include "anvil/sched/Job.h"

namespace anvil::sched::internal {

/// Median and 90th percentile of the run time of a job.
struct RunTimeEstimate {
  Duration m_Median{};
  Duration m_Percentile90{};
};

/// Learns, per workspace and class, by what factor run times differ from the
/// declared ones.
///
/// Keeps mean and variance of the logarithm of actual / declared.
/// DefaultRunTime replaces a run time that was not declared.
class Estimator {
public:
  static constexpr Duration DefaultRunTime = std::chrono::minutes(10);

  void learn(int32_t Workspace, Urgency Class, Duration Declared,
             Duration Actual);
  /// Estimates the total run time of a job that has already run for \p Elapsed.
  RunTimeEstimate estimate(int32_t Workspace, Urgency Class, Duration Declared,
                           Duration Elapsed) const;

private:
  struct Statistics {
    double m_Mean = 0;
    double m_Variance = 1;
    double m_Weight = 0;
  };

  static void add(Statistics &Moments, double Value);
  const Statistics *statisticsFor(int32_t Workspace, Urgency Class) const;

  std::vector<std::array<Statistics, UrgencyCount>> m_Statistics;
};

} // namespace anvil::sched::internal

#endif // ANVIL_SCHED_SRC_ESTIMATOR_H
