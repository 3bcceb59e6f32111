#ifndef ANVIL_SRC_DISPATCH_JOBADMISSION_H
#define ANVIL_SRC_DISPATCH_JOBADMISSION_H

#include <string_view>

#include "Backlog.h"
#include "JobRank.h"
#include "RunTimes.h"
#include "anvil/dispatch/Dispatcher.h"

namespace anvil::dispatch::internal {

/// Decides whether a new job is accepted, from the work that goes before it.
///
/// It answers a sustained overload: a job that can't end while it has a value
/// would only take room from others, and its caller learns at once that it
/// should try later. A job is refused only if its end would be too late even if
/// the work before it took less time than expected, by a margin that follows
/// from the variance of the run times.
class JobAdmission {
public:
  /// Both must outlive this object.
  JobAdmission(const Backlog &Waiting, const RunTimes &Times)
      : m_Waiting(Waiting), m_Times(Times) {}

  /// Assesses a job that is not in the state. \p Urgency is the one that it has
  /// at \p Now. Switches and guarantees are up to the caller.
  JobVerdict assess(const wire::JobRecord &Job, const JobUrgency &Urgency,
                    TimePoint Now) const;

private:
  bool startsNow(const wire::JobRecord &Job) const;
  void forecast(const wire::JobRecord &Job, const JobUrgency &Urgency,
                TimePoint Now, JobVerdict &Verdict) const;
  Duration shortestTime(const wire::JobRecord &Job,
                        const JobUrgency &Urgency) const;
  double logVariance(const wire::JobRecord &Job) const;

  const Backlog &m_Waiting;
  const RunTimes &m_Times;
};

/// Returns the time after which a refused job should be submitted again: \p
/// Excess, within bounds, times a factor from 0.5 to 1.5 that depends on the
/// job only, so that callers do not return together.
Duration retryAfter(Duration Excess, std::string_view Job);

} // namespace anvil::dispatch::internal

#endif // ANVIL_SRC_DISPATCH_JOBADMISSION_H
