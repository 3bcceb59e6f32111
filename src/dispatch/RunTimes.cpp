#include "RunTimes.h"

#include <algorithm>
#include <cmath>

namespace anvil::dispatch::internal {

namespace {

// Assumed variance of the logarithms before anything was learned: a factor of
// two either way. It counts as this many observations.
constexpr double PriorVariance = 0.5;
constexpr double PriorCount = 3;

// Expected time of a task that declares none, in a queue without experience.
constexpr double UnknownSeconds = 5;

constexpr double MinSeconds = 0.001;

} // namespace

void RunTimes::Series::add(double Value) {
  ++m_Count;
  const double Before = Value - m_Mean;
  m_Mean += Before / m_Count;
  m_SquareSum += Before * (Value - m_Mean);
}

double RunTimes::Series::variance() const {
  return (m_SquareSum + PriorVariance * PriorCount) / (m_Count + PriorCount);
}

void RunTimes::learn(const std::string &Queue, int64_t EstimateMs,
                     Duration Took) {
  const double Seconds =
      std::max(MinSeconds, std::chrono::duration<double>(Took).count());
  QueueStats &Stats = m_Queues[Queue];
  Stats.m_Took.add(std::log(Seconds));
  if (EstimateMs > 0)
    Stats.m_Ratio.add(
        std::log(Seconds / (static_cast<double>(EstimateMs) / 1000)));
}

RunTime RunTimes::predict(const std::string &Queue, int64_t EstimateMs) const {
  const auto It = m_Queues.find(Queue);
  const QueueStats Stats = It == m_Queues.end() ? QueueStats() : It->second;
  double Weight = 0;
  double Sum = 0;
  if (EstimateMs > 0) {
    const double Declared =
        std::log(std::max(MinSeconds, static_cast<double>(EstimateMs) / 1000));
    // The bias of a few observations is trusted only in part.
    const double Bias = Stats.m_Ratio.m_Mean * Stats.m_Ratio.m_Count /
                        (Stats.m_Ratio.m_Count + PriorCount);
    const double Trust = 1 / Stats.m_Ratio.variance();
    Sum += Trust * (Declared + Bias);
    Weight += Trust;
  }
  if (Stats.m_Took.m_Count > 0) {
    const double Trust = Stats.m_Took.m_Count /
                         (Stats.m_Took.m_Count + PriorCount) /
                         Stats.m_Took.variance();
    Sum += Trust * Stats.m_Took.m_Mean;
    Weight += Trust;
  }
  RunTime Result;
  const double Seconds = Weight > 0 ? std::exp(Sum / Weight) : UnknownSeconds;
  Result.m_Expected = Duration(std::llround(Seconds * 1e6));
  Result.m_LogVariance = Weight > 0 ? 1 / Weight : PriorVariance;
  return Result;
}

} // namespace anvil::dispatch::internal
