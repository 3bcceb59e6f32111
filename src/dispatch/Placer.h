#ifndef ANVIL_SRC_DISPATCH_PLACER_H
#define ANVIL_SRC_DISPATCH_PLACER_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Fleet.h"
#include "RunTimes.h"

namespace anvil::dispatch::internal {

/// Tasks of one step that wait to be placed.
struct WaitingStep {
  const wire::JobRecord *m_Job = nullptr;
  int32_t m_Occurrence = 0;
  int32_t m_Step = 0;
  const wire::StepSpec *m_Spec = nullptr;
  const wire::StepRecord *m_Record = nullptr;
  std::vector<int32_t> m_Indexes;
  /// Expected run time of a task on a sound worker.
  Duration m_Expected{0};
  /// Tasks of the step that run already, by worker.
  std::map<std::string, int32_t> m_Running;
  /// All tasks must go to one rack: the gang prefers it, and some rack is large
  /// enough.
  bool m_OneRack = false;
  /// Some task has only one attempt left.
  bool m_LastAttempt = false;
  /// Workers with more evidence against them get no tasks of the step.
  double m_MaxSuspicion = 0;
  /// How long the step could have started by now.
  Duration m_Waited{0};
};

/// How many tasks go to a worker; the index is that of Fleet::workers().
struct Share {
  size_t m_Worker = 0;
  int32_t m_Tasks = 0;
};

/// Workers for a step, and how much longer the tasks take there.
struct Choice {
  std::vector<Share> m_Shares;
  double m_Slowdown = 1;
};

/// Chooses workers for steps.
///
/// A gang goes to one rack if it wants one, or else waits if spreading it would
/// take longer than waiting; tasks go where they leave the fewest fragments,
/// and to sound and fast workers first.
class Placer {
public:
  Placer(Fleet &Of, double RemotePenalty)
      : m_Fleet(Of), m_RemotePenalty(RemotePenalty) {}

  /// Returns workers for all tasks of a gang, or nothing if it can't start now.
  std::optional<Choice> placeGang(const WaitingStep &Step);
  /// Returns workers for as many of the tasks as can start now.
  Choice placeTasks(const WaitingStep &Step);
  /// Takes the resources of the choice.
  void take(const WaitingStep &Step, const Choice &Chosen);
  /// Returns whether some rack could hold the whole gang if it were empty.
  bool fitsSomeRack(const WaitingStep &Step) const;
  /// Returns the racks that a step of one rack may use, or one entry that
  /// stands for all workers.
  std::vector<std::string> racksFor(const WaitingStep &Step) const;

  /// Returns how much evidence against a worker is tolerated: more than usual
  /// only if no sounder workers could hold the step.
  double suspicionLimit(const WaitingStep &Step) const;
  /// Returns whether the worker may get tasks of the step.
  bool allowed(const WorkerView &Worker, const WaitingStep &Step) const;
  /// Returns how many more tasks of the step the worker may hold by the step's
  /// limit.
  static int32_t roomByLimit(const WorkerView &Worker, const WaitingStep &Step,
                             int32_t Planned);
  /// Returns how many more tasks of the step the worker may get now, beside
  /// those planned: one that failed lately is tried with a single task.
  static int32_t roomNow(const WorkerView &Worker, const WaitingStep &Step,
                         int32_t Planned);
  /// Returns how many times longer a task takes on the worker.
  double slowdownOn(const WorkerView &Worker, const WaitingStep &Step) const;

private:
  static int32_t roomWhenEmpty(const WorkerView &Worker,
                               const WaitingStep &Step, int32_t Most);
  /// Returns whether workers with no more evidence against them than \p Limit
  /// could hold the step without their runs.
  bool holds(const WaitingStep &Step, double Limit) const;
  std::optional<Choice> fill(const WaitingStep &Step, const std::string &Rack,
                             int32_t Count, bool Whole);
  double costOn(const WorkerView &Worker, const WaitingStep &Step) const;

  Fleet &m_Fleet;
  double m_RemotePenalty;
};

/// Returns a number that is the lower the fewer fragments a task of \p Need
/// leaves on a worker of \p Capacity with \p Free: 0 if it fills it.
double fragmentsLeft(const wire::ResourceAmounts &Capacity,
                     const wire::ResourceAmounts &Free,
                     const wire::ResourceAmounts &Need);

} // namespace anvil::dispatch::internal

#endif // ANVIL_SRC_DISPATCH_PLACER_H
