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

/// Runs the scheduler on the leader: feeds it the changes of the replicated
/// state and proposes what it decides.
///
/// Usage: begin() when leadership is confirmed and the state is complete,
/// onStateEvent() for every change, flush() after each group of changes, tick()
/// at least every 100 ms, end() when leadership is lost.
class SchedulerDriver {
public:
  using Refused = std::function<void(const wire::CommandResult &)>;
  /// Proposes a command; the hook runs if it was not accepted.
  using Propose = std::function<void(wire::Command, Refused)>;

  explicit SchedulerDriver(Propose Hook) : m_Propose(std::move(Hook)) {}

  /// Builds a scheduler from the state. \returns the error of the scheduler.
  absl::Status begin(const state::ClusterState &State, TimePoint Now,
                     int64_t WallClockUs);
  void end();
  bool active() const { return m_Scheduler.has_value(); }

  void onStateEvent(const state::StateEvent &Event);
  void flush(const state::ClusterState &State, TimePoint Now);
  void tick(const state::ClusterState &State, TimePoint Now);

  /// Returns why a job is where it is, in sentences.
  std::string explain(JobId Job, TimePoint Now) const;
  /// Returns the warnings on guarantees that can't be kept now, one text each.
  std::vector<std::string> warnings() const;
  sched::SchedulerCounts counts() const;

private:
  struct Translate;
  struct Perform;

  void feed(const sched::SchedulerEvent &Event, TimePoint Now);
  void send(wire::Command Command, JobId Placed);
  void onRefused(JobId Job, const wire::CommandResult &Result);

  Propose m_Propose;
  std::optional<sched::Scheduler> m_Scheduler;
  std::vector<state::StateEvent> m_Events;
  std::vector<sched::SchedulerEvent>
      m_Answers; ///< Refusals and results of probes.
  std::vector<sched::SchedulerAction> m_Actions;
  std::set<JobId>
      m_Started; ///< Jobs whose present placement got its start token.
  std::map<std::string, std::string> m_Warnings; ///< By workspace and shape.
};

} // namespace anvil::control::internal

#endif // ANVIL_SRC_CONTROL_SCHEDULERDRIVER_H
