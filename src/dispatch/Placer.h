#ifndef ANVIL_SRC_DISPATCH_PLACER_H
#define ANVIL_SRC_DISPATCH_PLACER_H

#include <cstdint>
#include <limits>
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
  /// Expected run time of a task on a healthy worker of normal speed.
  Duration m_Expected{0};
  /// Variance of the logarithm of the run time; see RunTime.
  double m_LogVariance = 0;
  /// Number of running tasks of the step, by worker id.
  std::map<std::string, int32_t> m_Running;
  /// All tasks must go to one rack: the gang asks for it, and some rack is
  /// large enough.
  bool m_OneRack = false;
  /// Some task that has failed before has only one attempt left.
  bool m_LastAttempt = false;
  /// Workers with a higher suspicion get no tasks of the step.
  double m_MaxSuspicion = 0;
  /// Time since a plan first saw the step ready to start.
  Duration m_Waited{0};
  /// Its tasks may take resources that are reserved for other steps.
  bool m_MayTakeReserved = false;
  /// Time by which the job may end later and still meet its objective.
  Duration m_Slack{0};
};

/// How many tasks go to a worker; m_Worker is an index of Fleet::workers().
struct Share {
  size_t m_Worker = 0;
  int32_t m_Tasks = 0;
};

/// The workers chosen for a step.
struct StepPlacement {
  std::vector<Share> m_Shares;
  /// Largest factor by which tasks take longer there, apart from the speeds.
  double m_Slowdown = 1;
  /// Lowest and highest lasting speed of these workers.
  double m_LowestSpeed = std::numeric_limits<double>::infinity();
  double m_HighestSpeed = 0;
};

/// Chooses workers for steps.
///
/// Each task goes to the allowed worker with the least cost. The cost is the
/// sum, in seconds, of the additional run time on that worker, a cost for its
/// suspicion and a cost for the fragments that the task leaves. A worker above
/// the normal speed has a negative additional time, which counts less the more
/// slack a job has, so that fast workers remain for urgent and long tasks. A
/// gang runs at the speed of its slowest member, so it gets no faster workers
/// than that if there are others. One that asks for one rack gets one, unless
/// the caller allows it to span racks.
class Placer {
public:
  Placer(Fleet &PlanFleet, double RemotePenalty)
      : m_Fleet(PlanFleet), m_RemotePenalty(RemotePenalty) {}

  /// Returns workers for all tasks of a gang, or nothing if it can't start now.
  std::optional<StepPlacement> placeGang(const WaitingStep &Step);
  /// Returns workers for as many of the tasks as can start now.
  StepPlacement placeTasks(const WaitingStep &Step);
  /// Subtracts the resources of the placement from what is free.
  void take(const WaitingStep &Step, const StepPlacement &Chosen);
  /// Returns whether some rack could hold the whole gang if nothing else ran
  /// there.
  bool fitsSomeRack(const WaitingStep &Step) const;
  /// Returns the racks in which to search for room: each eligible rack if the
  /// step must stay in one, or else a single empty name that stands for all
  /// workers.
  std::vector<std::string> racksFor(const WaitingStep &Step) const;

  /// Returns the highest suspicion of a worker that may get tasks of the step;
  /// infinity means any worker. The usual limit is lowered for a last attempt
  /// until the minimum wait is over, if the workers within the lower limit
  /// could hold the step. It is lifted for a long-running step after the
  /// minimum wait, and for any step that the workers within the usual limit
  /// could not hold.
  double suspicionLimit(const WaitingStep &Step) const;
  /// Returns whether the worker may get tasks of the step, apart from its free
  /// resources.
  bool allowed(const WorkerView &Worker, const WaitingStep &Step) const;
  /// Returns how many more tasks of the step the worker may hold by the step's
  /// limit for each worker. \p Planned are those that are being placed.
  static int32_t roomByLimit(const WorkerView &Worker, const WaitingStep &Step,
                             int32_t Planned);
  /// Returns how many more tasks of the step the worker may get now, besides
  /// the \p Planned ones. A worker that failed recently is probed with a single
  /// task, unless the step accepts any worker.
  static int32_t roomNow(const WorkerView &Worker, const WaitingStep &Step,
                         int32_t Planned);
  /// Returns the factor by which a task of the step takes longer on the worker.
  double slowdownOn(const WorkerView &Worker, const WaitingStep &Step) const;

private:
  static int32_t roomWhenEmpty(const WorkerView &Worker,
                               const WaitingStep &Step, int32_t Most);
  /// Returns whether workers whose suspicion is at most \p SuspicionLimit could
  /// hold the step if nothing else ran there.
  bool couldHold(const WaitingStep &Step, double SuspicionLimit) const;
  std::optional<StepPlacement> chooseWorkers(const WaitingStep &Step,
                                             const std::string &Rack,
                                             int32_t Count, bool AllOrNothing,
                                             double GangSpeed = 0);
  std::optional<StepPlacement> chooseForGang(const WaitingStep &Step,
                                             const std::string &Rack);
  // A gang speed of 0 stands for the speed of each worker.
  double costOn(const WorkerView &Worker, const WaitingStep &Step,
                double GangSpeed) const;
  TimePoint endOn(const WorkerView &Worker, const WaitingStep &Step,
                  double GangSpeed) const;
  std::optional<double> costOfNext(const WorkerView &Worker,
                                   const WaitingStep &Step, int32_t Planned,
                                   double GangSpeed) const;

  Fleet &m_Fleet;
  double m_RemotePenalty;
};

/// Returns a measure of the fragments that a task of \p Need leaves on a worker
/// of \p Capacity with \p Free: the lower the fewer, and 0 if the task takes
/// all free accelerators and memory. Cores do not count.
double fragmentsLeft(const wire::ResourceAmounts &Capacity,
                     const wire::ResourceAmounts &Free,
                     const wire::ResourceAmounts &Need);

} // namespace anvil::dispatch::internal

#endif // ANVIL_SRC_DISPATCH_PLACER_H
