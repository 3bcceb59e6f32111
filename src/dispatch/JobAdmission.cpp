#include "JobAdmission.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

#include "Durations.h"

namespace anvil::dispatch::internal {

namespace {

// The margin in standard deviations of the forecast end: a job whose forecast
// is right on average is refused wrongly in about 2% of the cases.
constexpr double MarginDeviations = 2;

// An older backlog decides nothing. The leader plans several times a second
// unless its commands can't be committed.
constexpr Duration MaxBacklogAge = std::chrono::seconds(1);

// Bounds of the delay before its random factor. The backlog of more than the
// upper bound may drain sooner, as when workers are added.
constexpr Duration MinRetryAfter = std::chrono::seconds(1);
constexpr Duration MaxRetryAfter = std::chrono::seconds(30);

// Returns a number in [0, 1) that depends on the text only, the same on all
// machines.
double fractionOf(std::string_view Text) {
  return std::ldexp(
      static_cast<double>(XXH64(Text.data(), Text.size(), 0) >> 11), -53);
}

bool runsForLong(const wire::JobRecord &Job) {
  return Job.spec.repeats > 0 ||
         std::any_of(
             Job.spec.steps.begin(), Job.spec.steps.end(),
             [](const wire::StepSpec &Each) { return Each.longRunning; });
}

bool needsLabel(const wire::JobRecord &Job) {
  return std::any_of(
      Job.spec.steps.begin(), Job.spec.steps.end(),
      [](const wire::StepSpec &Each) { return !Each.requiredLabel.empty(); });
}

} // namespace

Duration retryAfter(Duration Excess, std::string_view Job) {
  return scaled(std::clamp(Excess, MinRetryAfter, MaxRetryAfter),
                0.5 + fractionOf(Job));
}

bool JobAdmission::startsNow(const wire::JobRecord &Job) const {
  return std::any_of(Job.spec.steps.begin(), Job.spec.steps.end(),
                     [&](const wire::StepSpec &Each) {
                       return Each.dependsOn.empty() &&
                              m_Waiting.hasRoomFor(Job.serviceName, Each);
                     });
}

// Returns the time that the job takes at least if it has all workers of its
// service for itself.
Duration JobAdmission::shortestTime(const wire::JobRecord &Job,
                                    const JobUrgency &Urgency) const {
  const std::optional<wire::ResourceAmounts> Capacity =
      m_Waiting.capacityOf(Job.serviceName);
  double Cores = 0;
  double Memory = 0;
  double Accelerators = 0;
  for (const wire::StepSpec &Step : Job.spec.steps) {
    const wire::ResourceAmounts Need = workload::countedAmounts(Step);
    const double Seconds =
        Step.tasks *
        secondsOf(m_Times.predict(Job.queue, Step.estimateMs).m_Expected);
    Cores += Need.milliCores * Seconds;
    Memory += Need.memoryMib * Seconds;
    Accelerators += Need.accelerators * Seconds;
  }
  const auto Over = [](double Work, int32_t Has) {
    return Has > 0 ? Work / Has : 0;
  };
  const double Seconds = std::max({Over(Cores, Capacity->milliCores),
                                   Over(Memory, Capacity->memoryMib),
                                   Over(Accelerators, Capacity->accelerators)});
  return std::max(Urgency.m_CriticalPathLeft, durationOf(Seconds));
}

double JobAdmission::logVariance(const wire::JobRecord &Job) const {
  double Most = 0;
  for (const wire::StepSpec &Step : Job.spec.steps)
    Most = std::max(Most,
                    m_Times.predict(Job.queue, Step.estimateMs).m_LogVariance);
  return Most;
}

JobVerdict JobAdmission::assess(const wire::JobRecord &Job,
                                const JobUrgency &Urgency,
                                TimePoint Now) const {
  JobVerdict Verdict;
  Verdict.m_ExpectedStart = Now;
  Verdict.m_ExpectedEnd = Now + Urgency.m_CriticalPathLeft;
  Verdict.m_LastUsefulEnd =
      Now + Urgency.m_LateSlack + Urgency.m_CriticalPathLeft;
  Verdict.m_BacklogAge = Now - m_Waiting.madeAt();
  if (runsForLong(Job))
    Verdict.accept("it recurs or runs until it is cancelled");
  else if (needsLabel(Job))
    Verdict.accept("its workers have no backlog of their own");
  else if (!m_Waiting.capacityOf(Job.serviceName))
    Verdict.accept("no worker is known");
  else if (Verdict.m_BacklogAge > MaxBacklogAge)
    Verdict.accept("the backlog is too old");
  else if (startsNow(Job))
    Verdict.accept("room is free");
  else
    forecast(Job, Urgency, Now, Verdict);
  return Verdict;
}

void JobAdmission::forecast(const wire::JobRecord &Job,
                            const JobUrgency &Urgency, TimePoint Now,
                            JobVerdict &Verdict) const {
  const std::optional<Backlog::Ahead> Before =
      m_Waiting.aheadOf(Job.serviceName, Job.priority, Urgency.m_Rank);
  const Duration Wait = std::max(Duration(0), Before->m_Start - Now);
  const Duration Length = shortestTime(Job, Urgency);
  Verdict.m_ExpectedStart = Now + Wait;
  Verdict.m_ExpectedEnd = Now + Wait + Length;
  const double WaitVariance =
      secondsOf(Wait) * secondsOf(Wait) * Before->m_RelativeVariance;
  const double LengthVariance =
      secondsOf(Length) * secondsOf(Length) * logVariance(Job);
  const Duration Margin =
      durationOf(MarginDeviations * std::sqrt(WaitVariance + LengthVariance));
  const Duration Excess =
      Verdict.m_ExpectedEnd - Margin - Verdict.m_LastUsefulEnd;
  if (Excess <= Duration(0)) {
    Verdict.accept("it may end in time");
    return;
  }
  // Its caller could not do better by waiting.
  if (Now + Length > Verdict.m_LastUsefulEnd) {
    Verdict.accept("it is too long for its objective under any load");
    return;
  }
  Verdict.m_Accepted = false;
  Verdict.m_Reason = "it can't end in time";
  Verdict.m_RetryAfter = retryAfter(Excess, Job.id);
}

} // namespace anvil::dispatch::internal
