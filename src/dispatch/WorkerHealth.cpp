#include "WorkerHealth.h"

#include <algorithm>
#include <cmath>

#include "Durations.h"

namespace anvil::dispatch::internal {

namespace {

// Half-life of the suspicion, in seconds. A worker that failed twice is tried
// again after about ten seconds.
constexpr double SuspicionHalfLifeS = 6;
// Upper bound of the suspicion. It decays to that of a single failure in two
// half-lives, so that a worker that failed dozens of runs is tried again too.
constexpr double MaxSuspicionKept = 4;
// Half-life of the weight of a speed observation, in seconds.
constexpr double SpeedHalfLifeS = 4;

// Suspicion added by a failure of a step that failed on other workers too: it
// may be the fault of the step.
constexpr double SharedFailureWeight = 0.3;
// Suspicion added by a failure of a step that failed on this worker before:
// several failing tasks of one step prove little more than one.
constexpr double RepeatedFailureWeight = 0.3;
// Suspicion added by a stall: a stall of several seconds is rarely the fault of
// the task.
constexpr double StallWeight = 1.6;

// Mean and variance of the logarithm of the slowdown of a slow worker: about
// five times as long, between two and twelve times.
constexpr double SlowLogRatio = 1.6;
constexpr double SlowVariance = 0.3;
// Logarithm of the prior odds, 1 to 20, that a worker is slow.
constexpr double SlowPrior = -3;
// Upper bound of the evidence of a single run, since its task may have an
// unusual length.
constexpr double MaxEvidence = 6;

// Largest number of observations kept for a worker.
constexpr size_t MaxObservations = 64;

double decay(double HalfLifeS, TimePoint Since, TimePoint Now) {
  return std::exp2(-std::max(0.0, secondsOf(Now - Since)) / HalfLifeS);
}

// Returns the logarithm of the density of a normal distribution around zero, up
// to a constant.
double logDensity(double Value, double Variance) {
  return -Value * Value / (2 * Variance) - std::log(Variance) / 2;
}

} // namespace

void WorkerHealth::addSuspicion(const wire::WorkerIncarnation &Worker,
                                double Amount, TimePoint Now) {
  Record &Entry = m_Records[keyOf(Worker)];
  Entry.m_Suspicion =
      std::min(MaxSuspicionKept, suspicion(Worker, Now) + Amount);
  Entry.m_SuspicionAt = Now;
}

void WorkerHealth::recordFailure(const wire::WorkerIncarnation &Worker,
                                 FailureContext Context, TimePoint Now) {
  switch (Context) {
  case FailureContext::FirstOfStep:
    addSuspicion(Worker, 1, Now);
    return;
  case FailureContext::SameWorker:
    addSuspicion(Worker, RepeatedFailureWeight, Now);
    return;
  case FailureContext::OtherWorkers:
    addSuspicion(Worker, SharedFailureWeight, Now);
    return;
  }
}

void WorkerHealth::recordStall(const wire::WorkerIncarnation &Worker,
                               TimePoint Now) {
  addSuspicion(Worker, StallWeight, Now);
}

void WorkerHealth::recordSuccess(const wire::WorkerIncarnation &Worker,
                                 TimePoint Now) {
  Record &Entry = m_Records[keyOf(Worker)];
  Entry.m_Suspicion = suspicion(Worker, Now) / 2;
  Entry.m_SuspicionAt = Now;
}

void WorkerHealth::recordSpeed(const wire::WorkerIncarnation &Worker,
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
         decay(SuspicionHalfLifeS, It->second.m_SuspicionAt, Now);
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
    const double ObservationWeight = decay(SpeedHalfLifeS, Seen.m_At, Now);
    const double Ratio = Seen.m_Evidence.m_LogRatio;
    const double HealthyVariance = Seen.m_Evidence.m_Variance;
    const double SlowWorkerVariance = HealthyVariance + SlowVariance;
    const double Evidence =
        logDensity(Ratio - SlowLogRatio, SlowWorkerVariance) -
        logDensity(Ratio, HealthyVariance);
    Odds += ObservationWeight * std::clamp(Evidence, -MaxEvidence, MaxEvidence);
    Sum += ObservationWeight * Ratio / SlowWorkerVariance;
    Weight += ObservationWeight / SlowWorkerVariance;
  }
  if (Odds <= 0 || Weight <= 0)
    return 1;
  return std::max(1.0, std::exp(Sum / Weight));
}

} // namespace anvil::dispatch::internal
