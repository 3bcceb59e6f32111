#ifndef ANVIL_SRC_CONTROL_SCHEDULERDRIVER_H
#define ANVIL_SRC_CONTROL_SCHEDULERDRIVER_H

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "anvil/sched/Scheduler.h"
#include "anvil/state/ClusterState.h"

namespace anvil::control::internal {

/// Runs the scheduler on the leader: passes it the changes of the replicated
/// state and proposes its decisions as commands.
///
/// Usage: call begin() when leadership is confirmed and the state is complete,
/// onStateEvent() for every change, flush() after each group of changes, tick()
/// at least every 100 ms, end() when leadership is lost.
class SchedulerDriver {
public:
  using RefusalHook = std::function<void(const wire::CommandResult &)>;
  /// Proposes a command; the RefusalHook runs if it was not accepted.
  using ProposeHook = std::function<void(wire::Command, RefusalHook)>;

  explicit SchedulerDriver(ProposeHook Hook) : m_Propose(std::move(Hook)) {}

  /// Creates a scheduler from the state. Returns the error of the scheduler if
  /// that fails.
  absl::Status begin(const state::ClusterState &State, TimePoint Now,
                     int64_t WallClockUs);
  void end();
  bool active() const { return m_Scheduler.has_value(); }

  void onStateEvent(const state::StateEvent &Event);
  void flush(const state::ClusterState &State, TimePoint Now);
  void tick(const state::ClusterState &State, TimePoint Now);

  /// Returns a text on why a job waits or where it is placed; empty if there is
  /// no scheduler or it does not know the job.
  std::string explain(JobId Job, TimePoint Now) const;
  /// Returns one warning per guarantee that can't be met now.
  std::vector<std::string> warnings() const;
  sched::SchedulerCounts counts() const;

private:
  struct EventTranslator;
  struct ActionExecutor;

  void feed(const sched::SchedulerEvent &Event, TimePoint Now);
  void propose(wire::Command Command, JobId PlacedJob);
  void onRefused(JobId Job, const wire::CommandResult &Result);

  ProposeHook m_Propose;
  std::optional<sched::Scheduler> m_Scheduler;
  std::vector<state::StateEvent> m_Events;
  std::vector<sched::SchedulerEvent>
      m_Feedback; ///< Refused placements and probe results, fed at the next
                  ///< flush().
  std::vector<sched::SchedulerAction> m_Actions;
  std::set<JobId>
      m_StartedJobs; ///< Jobs whose current placement has its start token.
  std::map<std::string, std::string> m_Warnings; ///< By workspace and shape.
};

} // namespace anvil::control::internal

#endif // ANVIL_SRC_CONTROL_SCHEDULERDRIVER_H
