#include "RunTimes.h"

#include <algorithm>
#include <cmath>
#include <numbers>

#include "Durations.h"

namespace anvil::dispatch::internal {

namespace {

// Assumed variance of the logarithms before anything is known: a factor of two
// either way. It counts as this many observations.
constexpr double PriorVariance = 0.5;
constexpr double PriorCount = 3;

// Expected time of a task that declares none, in a queue without history.
constexpr double UnknownSeconds = 5;

constexpr double MinSeconds = 0.001;

} // namespace

void RunTimes::Series::add(double Value) {
  ++m_Count;
  const double Delta = Value - m_Mean;
  m_Mean += Delta / m_Count;
  m_SquareSum += Delta * (Value - m_Mean);
}

double RunTimes::Series::variance() const {
  return (m_SquareSum + PriorVariance * PriorCount) / (m_Count + PriorCount);
}

void RunTimes::learn(const std::string &Queue, int64_t EstimateMs,
                     Duration Elapsed) {
  const double Seconds = std::max(MinSeconds, secondsOf(Elapsed));
  QueueStats &Stats = m_Queues[Queue];
  Stats.m_LogSeconds.add(std::log(Seconds));
  if (EstimateMs > 0)
    Stats.m_LogEstimateRatio.add(
        std::log(Seconds / (static_cast<double>(EstimateMs) / 1000)));
}

RunTime RunTimes::predict(const std::string &Queue, int64_t EstimateMs) const {
  const auto It = m_Queues.find(Queue);
  const QueueStats Stats = It == m_Queues.end() ? QueueStats() : It->second;
  double TotalPrecision = 0;
  double Sum = 0;
  if (EstimateMs > 0) {
    const double Declared =
        std::log(std::max(MinSeconds, static_cast<double>(EstimateMs) / 1000));
    // The bias of a few observations is applied only in part.
    const double Bias = Stats.m_LogEstimateRatio.m_Mean *
                        Stats.m_LogEstimateRatio.m_Count /
                        (Stats.m_LogEstimateRatio.m_Count + PriorCount);
    const double Precision = 1 / Stats.m_LogEstimateRatio.variance();
    Sum += Precision * (Declared + Bias);
    TotalPrecision += Precision;
  }
  if (Stats.m_LogSeconds.m_Count > 0) {
    const double Precision = Stats.m_LogSeconds.m_Count /
                             (Stats.m_LogSeconds.m_Count + PriorCount) /
                             Stats.m_LogSeconds.variance();
    Sum += Precision * Stats.m_LogSeconds.m_Mean;
    TotalPrecision += Precision;
  }
  RunTime Result;
  const double Seconds =
      TotalPrecision > 0 ? std::exp(Sum / TotalPrecision) : UnknownSeconds;
  Result.m_Expected = Duration(std::llround(Seconds * 1e6));
  Result.m_LogVariance =
      TotalPrecision > 0 ? 1 / TotalPrecision : PriorVariance;
  return Result;
}

Duration remainingTime(const RunTime &Whole, Duration Elapsed) {
  const double Expected = std::max(MinSeconds, secondsOf(Whole.m_Expected));
  const double Ran = secondsOf(Elapsed);
  if (Ran <= 0 || Whole.m_LogVariance <= 0)
    return std::max(Duration(0), Whole.m_Expected - Elapsed);
  const double Sigma = std::sqrt(Whole.m_LogVariance);
  // Standard score of the time that it has run.
  const double Score =
      (std::log(Ran / Expected) + Whole.m_LogVariance / 2) / Sigma;
  const auto Tail = [](double Value) {
    return std::erfc(Value / std::numbers::sqrt2) / 2;
  };
  // Beyond this score the tails are too small to divide, and the mean residual
  // is close to its asymptote.
  constexpr double MaxScore = 6;
  const double Left = Score < MaxScore
                          ? Expected * Tail(Score - Sigma) / Tail(Score) - Ran
                          : Ran * Sigma / Score;
  return durationOf(std::max(0.0, Left));
}

} // namespace anvil::dispatch::internal
