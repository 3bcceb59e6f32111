#include "Estimator.h"

#include <algorithm>
#include <cmath>

namespace anvil::sched::internal {

namespace {
// Number of past jobs that count; older ones fade, so that a workspace whose
// habits change is learned again.
constexpr double MemoryLength = 50;
// Weight of the prior (factor 1, standard deviation 1) in jobs.
constexpr double PriorWeight = 3;
// 90% quantile of the normal distribution.
constexpr double HighQuantile = 1.2816;

Duration baseOf(Duration Declared) {
  return Declared.count() > 0 ? Declared : Estimator::DefaultRunTime;
}

Duration scaled(Duration Base, double LogFactor) {
  // Keeps a wild factor from overflowing the microsecond count.
  constexpr double MaxLogFactor = 7;
  const double Factor =
      std::exp(std::clamp(LogFactor, -MaxLogFactor, MaxLogFactor));
  return Duration(
      static_cast<int64_t>(static_cast<double>(Base.count()) * Factor));
}
} // namespace

void Estimator::add(Statistics &Target, double Value) {
  Target.m_Weight = std::min(Target.m_Weight + 1, MemoryLength);
  const double Rate = 1 / (Target.m_Weight + PriorWeight);
  const double Delta = Value - Target.m_Mean;
  Target.m_Mean += Rate * Delta;
  Target.m_Variance = (1 - Rate) * (Target.m_Variance + Rate * Delta * Delta);
}

void Estimator::learn(int32_t Workspace, Urgency Class, Duration Declared,
                      Duration Actual) {
  if (static_cast<size_t>(Workspace) >= m_Cells.size())
    m_Cells.resize(static_cast<size_t>(Workspace) + 1);
  const double Actually = std::max(1.0, static_cast<double>(Actual.count()));
  add(m_Cells[Workspace][static_cast<size_t>(Class)],
      std::log(Actually / static_cast<double>(baseOf(Declared).count())));
}

const Estimator::Statistics *Estimator::cell(int32_t Workspace,
                                             Urgency Class) const {
  if (static_cast<size_t>(Workspace) >= m_Cells.size())
    return nullptr;
  return &m_Cells[Workspace][static_cast<size_t>(Class)];
}

RunTimeEstimate Estimator::estimate(int32_t Workspace, Urgency Class,
                                    Duration Declared, Duration Elapsed) const {
  const Statistics Default;
  const Statistics *Known = cell(Workspace, Class);
  const Statistics &Use = Known != nullptr ? *Known : Default;
  const double Spread = std::sqrt(Use.m_Variance);
  RunTimeEstimate Result{
      scaled(baseOf(Declared), Use.m_Mean),
      scaled(baseOf(Declared), Use.m_Mean + HighQuantile * Spread)};
  // A job that has outrun its estimate is expected to run for half as long
  // again, since run times are heavy-tailed.
  Result.m_Median = std::max(Result.m_Median, Elapsed + Elapsed / 2);
  Result.m_High = std::max(Result.m_High, Elapsed * 3);
  if (Result.m_Median > Result.m_High)
    Result.m_High = Result.m_Median;
  return Result;
}

} // namespace anvil::sched::internal
