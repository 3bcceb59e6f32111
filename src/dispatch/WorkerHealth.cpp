#include "WorkerHealth.h"

#include <algorithm>
#include <cmath>

namespace anvil::dispatch::internal {

namespace {

// Evidence halves in this time, so a worker that failed twice is tried again
// after about ten seconds.
constexpr double SuspicionHalfLifeS = 6;
// No more evidence than this is kept: it takes two half-lives to fade to one
// failure, so that a worker which failed dozens of runs is tried again too.
constexpr double MaxSuspicionKept = 4;
// Weight of an observation of the speed halves in this time.
constexpr double SpeedHalfLifeS = 4;

// Weight of a failure of a step that failed elsewhere too: it may be the fault
// of the step.
constexpr double SharedFailure = 0.3;
// Weight of a failure of a step that failed on this worker before: several
// tasks of one faulty step say little more than one.
constexpr double RepeatedFailure = 0.3;
// A standstill of several seconds is rarely the fault of the task.
constexpr double StallWeight = 1.6;

// A slow worker takes about five times as long, between two and twelve times.
constexpr double SlowLogRatio = 1.6;
constexpr double SlowVariance = 0.3;
// Logarithm of the odds that a worker is slow before anything was seen: 1
// to 20.
constexpr double SlowPrior = -3;
// No single run says more than this, since it may be a task of a rare length.
constexpr double MaxEvidence = 6;

// Observations that are kept for a worker.
constexpr size_t MaxObservations = 64;

double fade(double HalfLifeS, TimePoint Since, TimePoint Now) {
  const double Seconds = std::chrono::duration<double>(Now - Since).count();
  return std::exp2(-std::max(0.0, Seconds) / HalfLifeS);
}

// Returns the logarithm of the density of a normal distribution around zero,
// but for a constant.
double logDensity(double Value, double Variance) {
  return -Value * Value / (2 * Variance) - std::log(Variance) / 2;
}

} // namespace

void WorkerHealth::suspect(const wire::WorkerIncarnation &Worker, double Amount,
                           TimePoint Now) {
  Record &Of = m_Records[keyOf(Worker)];
  Of.m_Suspicion = std::min(MaxSuspicionKept, suspicion(Worker, Now) + Amount);
  Of.m_SuspicionAt = Now;
}

void WorkerHealth::failed(const wire::WorkerIncarnation &Worker,
                          FailureContext Context, TimePoint Now) {
  switch (Context) {
  case FailureContext::FirstOfStep:
    suspect(Worker, 1, Now);
    return;
  case FailureContext::SameWorker:
    suspect(Worker, RepeatedFailure, Now);
    return;
  case FailureContext::OtherWorkers:
    suspect(Worker, SharedFailure, Now);
    return;
  }
}

void WorkerHealth::stalled(const wire::WorkerIncarnation &Worker,
                           TimePoint Now) {
  suspect(Worker, StallWeight, Now);
}

void WorkerHealth::succeeded(const wire::WorkerIncarnation &Worker,
                             TimePoint Now) {
  Record &Of = m_Records[keyOf(Worker)];
  Of.m_Suspicion = suspicion(Worker, Now) / 2;
  Of.m_SuspicionAt = Now;
}

void WorkerHealth::observedSpeed(const wire::WorkerIncarnation &Worker,
                                 const std::string &Run, SpeedEvidence Seen,
                                 TimePoint Now) {
  std::map<std::string, Observation> &Speeds =
      m_Records[keyOf(Worker)].m_Speeds;
  Speeds[Run] = {Seen, Now};
  if (Speeds.size() <= MaxObservations)
    return;
  const auto Oldest = std::min_element(
      Speeds.begin(), Speeds.end(), [](const auto &Left, const auto &Right) {
        return Left.second.m_At < Right.second.m_At;
      });
  Speeds.erase(Oldest);
}

double WorkerHealth::suspicion(const wire::WorkerIncarnation &Worker,
                               TimePoint Now) const {
  const auto It = m_Records.find(keyOf(Worker));
  if (It == m_Records.end())
    return 0;
  return It->second.m_Suspicion *
         fade(SuspicionHalfLifeS, It->second.m_SuspicionAt, Now);
}

double WorkerHealth::slowdown(const wire::WorkerIncarnation &Worker,
                              TimePoint Now) const {
  const auto It = m_Records.find(keyOf(Worker));
  if (It == m_Records.end())
    return 1;
  double Odds = SlowPrior;
  double Sum = 0;
  double Weight = 0;
  for (const auto &[Run, Seen] : It->second.m_Speeds) {
    const double Kept = fade(SpeedHalfLifeS, Seen.m_At, Now);
    const double Ratio = Seen.m_Evidence.m_LogRatio;
    const double Sound = Seen.m_Evidence.m_Variance;
    const double Slow = Sound + SlowVariance;
    const double Evidence =
        logDensity(Ratio - SlowLogRatio, Slow) - logDensity(Ratio, Sound);
    Odds += Kept * std::clamp(Evidence, -MaxEvidence, MaxEvidence);
    Sum += Kept * Ratio / Slow;
    Weight += Kept / Slow;
  }
  if (Odds <= 0 || Weight <= 0)
    return 1;
  return std::max(1.0, std::exp(Sum / Weight));
}

} // namespace anvil::dispatch::internal
