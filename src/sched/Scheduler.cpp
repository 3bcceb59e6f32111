#include "anvil/sched/Scheduler.h"

#include "Core.h"

namespace anvil::sched {

namespace {
absl::Status invalid(std::string_view Message) {
  return makeLayerError(absl::StatusCode::kInvalidArgument,
                        SchedErrc::InvalidOption, Message);
}
} // namespace

absl::StatusOr<Scheduler> Scheduler::create(SchedulerOptions Options) {
  if (Options.m_PassInterval < Duration::zero())
    return invalid("the pass interval is negative");
  if (Options.m_CheckpointTime <= Duration::zero() ||
      Options.m_ThrottleTime <= Duration::zero() ||
      Options.m_StopTime <= Duration::zero())
    return invalid("the time of each reclaim step must be positive");
  if (Options.m_MaxFailures < 1 || Options.m_QuarantineEvidence < 1)
    return invalid(
        "the failure limit and the quarantine evidence must be at least 1");
  if (Options.m_MaxQuarantinedShare < 0 || Options.m_MaxQuarantinedShare > 1)
    return invalid("the largest quarantined share must be between 0 and 1");
  if (Options.m_RetryDelay <= Duration::zero() ||
      Options.m_ProbeDelay <= Duration::zero())
    return invalid("the retry and probe delays must be positive");
  if (Options.m_MaxSearches < 1 || Options.m_MaxReservations < 0)
    return invalid("the search limit must be at least 1 and the reservation "
                   "limit must not be negative");
  return Scheduler(std::make_unique<internal::SchedulerCore>(Options));
}

Scheduler::Scheduler(std::unique_ptr<internal::SchedulerCore> Core)
    : m_Core(std::move(Core)) {}
Scheduler::Scheduler(Scheduler &&) noexcept = default;
Scheduler &Scheduler::operator=(Scheduler &&) noexcept = default;
Scheduler::~Scheduler() = default;

std::vector<SchedulerAction> Scheduler::step(const SchedulerEvent &Event,
                                             TimePoint Now) {
  return m_Core->step(Event, Now);
}

absl::StatusOr<std::string> Scheduler::explain(JobId Job, TimePoint Now) const {
  return m_Core->explain(Job, Now);
}

SchedulerCounts Scheduler::counts() const { return m_Core->counts(); }

int64_t Scheduler::approximateBytes() const {
  return m_Core->approximateBytes();
}

std::string Scheduler::findViolation() const { return m_Core->findViolation(); }

} // namespace anvil::sched
