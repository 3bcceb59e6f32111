#include "Estimator.h"

#include <algorithm>
#include <cmath>

namespace anvil::sched::internal {

namespace {
// Largest weight of past jobs, in jobs; older jobs lose weight, so that the
// estimate follows changes in a workspace's jobs.
constexpr double MaxWeight = 50;
// Weight of the prior (factor 1, standard deviation 1) in jobs.
constexpr double PriorWeight = 3;
// 90% quantile of the normal distribution.
constexpr double Quantile90 = 1.2816;

Duration baseRunTime(Duration Declared) {
  return Declared.count() > 0 ? Declared : Estimator::DefaultRunTime;
}

Duration scaled(Duration Base, double LogFactor) {
  // Bounds the factor so that the number of microseconds does not overflow.
  constexpr double MaxLogFactor = 7;
  const double Factor =
      std::exp(std::clamp(LogFactor, -MaxLogFactor, MaxLogFactor));
  return Duration(
      static_cast<int64_t>(static_cast<double>(Base.count()) * Factor));
}
} // namespace

void Estimator::add(Statistics &Moments, double Value) {
  Moments.m_Weight = std::min(Moments.m_Weight + 1, MaxWeight);
  const double Rate = 1 / (Moments.m_Weight + PriorWeight);
  const double Delta = Value - Moments.m_Mean;
  Moments.m_Mean += Rate * Delta;
  Moments.m_Variance = (1 - Rate) * (Moments.m_Variance + Rate * Delta * Delta);
}

void Estimator::learn(int32_t Workspace, Urgency Class, Duration Declared,
                      Duration Actual) {
  if (static_cast<size_t>(Workspace) >= m_Statistics.size())
    m_Statistics.resize(static_cast<size_t>(Workspace) + 1);
  const double ActualMicros =
      std::max(1.0, static_cast<double>(Actual.count()));
  add(m_Statistics[Workspace][static_cast<size_t>(Class)],
      std::log(ActualMicros /
               static_cast<double>(baseRunTime(Declared).count())));
}

const Estimator::Statistics *Estimator::statisticsFor(int32_t Workspace,
                                                      Urgency Class) const {
  if (static_cast<size_t>(Workspace) >= m_Statistics.size())
    return nullptr;
  return &m_Statistics[Workspace][static_cast<size_t>(Class)];
}

RunTimeEstimate Estimator::estimate(int32_t Workspace, Urgency Class,
                                    Duration Declared, Duration Elapsed) const {
  const Statistics Default;
  const Statistics *Known = statisticsFor(Workspace, Class);
  const Statistics &Learned = Known != nullptr ? *Known : Default;
  const double Spread = std::sqrt(Learned.m_Variance);
  RunTimeEstimate Result{
      scaled(baseRunTime(Declared), Learned.m_Mean),
      scaled(baseRunTime(Declared), Learned.m_Mean + Quantile90 * Spread)};
  // Run times are heavy-tailed, so a job that has exceeded its estimate is
  // expected to run for another half of its elapsed time.
  Result.m_Median = std::max(Result.m_Median, Elapsed + Elapsed / 2);
  Result.m_Percentile90 = std::max(Result.m_Percentile90, Elapsed * 3);
  if (Result.m_Median > Result.m_Percentile90)
    Result.m_Percentile90 = Result.m_Median;
  return Result;
}

} // namespace anvil::sched::internal
