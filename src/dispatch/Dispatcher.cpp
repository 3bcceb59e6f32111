#include "anvil/dispatch/Dispatcher.h"

#include <algorithm>
#include <set>

#include "Backlog.h"
#include "Fleet.h"
#include "Guarantees.h"
#include "JobAdmission.h"
#include "JobRank.h"
#include "Placer.h"
#include "Planner.h"
#include "RunMover.h"
#include "RunTimes.h"
#include "RunTracker.h"
#include "WorkerHealth.h"
#include "WorkerSpeed.h"

namespace anvil::dispatch {

using internal::Backlog;
using internal::Fleet;
using internal::Guarantees;
using internal::JobAdmission;
using internal::JobRank;
using internal::Planner;
using internal::RunMover;
using internal::RunTime;
using internal::RunTimes;
using internal::RunTracker;
using internal::WaitingStep;
using internal::WorkerHealth;
using internal::WorkerSpeed;
using workload::WorkloadState;

namespace {

// A new leader knows the runs and the free room of a worker once its agent has
// synced. It stops no run until all agents did, or for at most this long.
constexpr Duration MaxSettleTime = std::chrono::milliseconds(1000);

} // namespace

struct Dispatcher::Impl {
  explicit Impl(DispatchOptions Options)
      : m_Options(std::move(Options)),
        m_Tracker(m_Times, m_Health, m_Options.m_OnLostWork,
                  m_Options.m_LearnSpeeds
                      ? WorkerSpeed(m_Options.m_OnWorkerSpeed)
                      : WorkerSpeed::disabled()),
        m_Rank(m_Times),
        m_Mover({m_Options.m_StopTime, m_Options.m_RestoreTime}) {}

  std::vector<WaitingStep> waitingSteps(const WorkloadState &State,
                                        TimePoint Now);
  void addSteps(const wire::JobRecord &Job, TimePoint Now,
                std::vector<WaitingStep> &Steps);
  WaitingStep makeStep(const wire::JobRecord &Job, int32_t Occurrence,
                       int32_t Step, const wire::StepRecord &Record) const;
  bool hasSettled(const WorkloadState &State, const WorkerSessions &Sessions,
                  TimePoint Now);
  void reportYields(const WorkloadState &State,
                    const std::vector<ShareYield> &Yields);

  const DispatchOptions m_Options;
  RunTimes m_Times;
  WorkerHealth m_Health;
  RunTracker m_Tracker;
  JobRank m_Rank;
  RunMover m_Mover;
  /// When each waiting step became able to start, by job, occurrence and step.
  std::map<std::tuple<std::string, int32_t, int32_t>, TimePoint> m_WaitingSince;
  /// When the leadership began, until all workers are known or the time to get
  /// to know them is over.
  std::optional<TimePoint> m_UnsettledSince;
  /// What the last plan found; nothing before the first plan.
  Backlog m_Backlog;
  /// Jobs that DispatchOptions::m_OnShareYielded has received.
  std::set<std::string> m_ReportedYields;
};

WaitingStep Dispatcher::Impl::makeStep(const wire::JobRecord &Job,
                                       int32_t Occurrence, int32_t Step,
                                       const wire::StepRecord &Record) const {
  WaitingStep Result;
  Result.m_Job = &Job;
  Result.m_Occurrence = Occurrence;
  Result.m_Step = Step;
  Result.m_Spec = &Job.spec.steps[static_cast<size_t>(Step)];
  Result.m_Record = &Record;
  const RunTime Time = m_Times.predict(Job.queue, Result.m_Spec->estimateMs);
  Result.m_Expected = Time.m_Expected;
  Result.m_LogVariance = Time.m_LogVariance;
  int32_t MostFailures = Record.gangFailures;
  for (size_t I = 0; I < Record.tasks.size(); ++I) {
    const wire::TaskRecord &Task = Record.tasks[I];
    if (workload::isActive(Task))
      ++Result.m_Running[Task.worker.id];
    if (Task.phase != wire::TaskPhase::WAITING)
      continue;
    Result.m_Indexes.push_back(static_cast<int32_t>(I));
    MostFailures = std::max(MostFailures, Task.failures);
  }
  Result.m_LastAttempt =
      MostFailures > 0 && MostFailures + 1 >= Job.maxAttempts;
  return Result;
}

void Dispatcher::Impl::addSteps(const wire::JobRecord &Job, TimePoint Now,
                                std::vector<WaitingStep> &Steps) {
  for (const auto &[Number, Occurrence] : Job.occurrences)
    for (size_t Step = 0; Step < Occurrence.steps.size(); ++Step) {
      const auto Index = static_cast<int32_t>(Step);
      const wire::StepRecord &Record = Occurrence.steps[Step];
      const wire::StepSpec &Spec = Job.spec.steps[Step];
      if (!workload::areDependenciesDone(Job, Occurrence, Index) ||
          (Spec.gang && Record.active > 0))
        continue;
      WaitingStep Waiting = makeStep(Job, Number, Index, Record);
      if (Waiting.m_Indexes.empty())
        continue;
      const TimePoint Since =
          m_WaitingSince.emplace(std::tuple(Job.id, Number, Index), Now)
              .first->second;
      Waiting.m_Waited = Now - Since;
      Steps.push_back(std::move(Waiting));
    }
}

std::vector<WaitingStep>
Dispatcher::Impl::waitingSteps(const WorkloadState &State, TimePoint Now) {
  std::vector<WaitingStep> Steps;
  for (const auto &[Index, Id] : State.liveJobs())
    if (const wire::JobRecord &Job = *State.job(Id);
        !workload::hasEnded(Job.phase))
      addSteps(Job, Now, Steps);
  // Removes steps that do not wait any more.
  std::set<std::tuple<std::string, int32_t, int32_t>> Present;
  for (const WaitingStep &Step : Steps)
    Present.emplace(Step.m_Job->id, Step.m_Occurrence, Step.m_Step);
  for (auto It = m_WaitingSince.begin(); It != m_WaitingSince.end();)
    It = Present.contains(It->first) ? std::next(It) : m_WaitingSince.erase(It);
  return Steps;
}

Dispatcher::Dispatcher(DispatchOptions Options)
    : m_Impl(std::make_unique<Impl>(std::move(Options))) {}
Dispatcher::~Dispatcher() = default;

bool Dispatcher::Impl::hasSettled(const WorkloadState &State,
                                  const WorkerSessions &Sessions,
                                  TimePoint Now) {
  if (!m_UnsettledSince)
    return true;
  const bool AllKnown = std::all_of(
      State.workers().begin(), State.workers().end(), [&](const auto &Each) {
        const LiveWorker *Live =
            Sessions.findLive(Each.second.info.incarnation);
        return Live && Live->m_HasRunList;
      });
  if (!AllKnown && Now - *m_UnsettledSince < MaxSettleTime)
    return false;
  m_UnsettledSince.reset();
  return true;
}

void Dispatcher::reset(TimePoint Now) {
  m_Impl->m_UnsettledSince = Now;
  m_Impl->m_Times.clear();
  m_Impl->m_Health.clear();
  m_Impl->m_Tracker.clear();
  m_Impl->m_Rank.clear();
  m_Impl->m_WaitingSince.clear();
  m_Impl->m_Backlog = Backlog();
  m_Impl->m_ReportedYields.clear();
}

void Dispatcher::Impl::reportYields(const WorkloadState &State,
                                    const std::vector<ShareYield> &Yields) {
  std::erase_if(m_ReportedYields, [&](const std::string &Id) {
    const wire::JobRecord *Job = State.job(Id);
    return !Job || workload::hasEnded(Job->phase);
  });
  if (!m_Options.m_OnShareYielded)
    return;
  for (const ShareYield &Each : Yields)
    if (m_ReportedYields.insert(Each.m_Job).second)
      m_Options.m_OnShareYielded(Each);
}

void Dispatcher::observe(const workload::WorkloadEvent &Event,
                         const WorkloadState &State, TimePoint Now) {
  m_Impl->m_Tracker.observe(Event, State, Now);
}

std::vector<wire::WorkloadCommand>
Dispatcher::plan(const WorkloadState &State, const WorkerSessions &Sessions,
                 TimePoint Now) {
  m_Impl->m_Rank.update(State, Now);
  m_Impl->m_Tracker.update(State, Sessions, Now);
  Fleet PlanFleet(State, Sessions, m_Impl->m_Tracker, m_Impl->m_Health, Now);
  Planner Plan(State, PlanFleet, m_Impl->m_Options, m_Impl->m_Tracker,
               m_Impl->m_Rank, m_Impl->hasSettled(State, Sessions, Now), Now);
  Backlog Found(PlanFleet, Now);
  Plan.stopUnstartedInWithdrawnZones();
  Plan.moveOffDrainingWorkers(m_Impl->m_Mover);
  Plan.placeAll(m_Impl->waitingSteps(State, Now), Found);
  m_Impl->reportYields(State, Plan.yields());
  Plan.moveStalledOrSlow(m_Impl->m_Mover);
  Found.complete(PlanFleet);
  m_Impl->m_Backlog = std::move(Found);
  return Plan.takeCommands();
}

JobVerdict Dispatcher::assess(const wire::JobRecord &Candidate,
                              const WorkloadState &State,
                              const WorkerSessions & /*Sessions*/,
                              TimePoint Now) const {
  const JobAdmission Admission(m_Impl->m_Backlog, m_Impl->m_Times);
  JobVerdict Verdict = Admission.assess(
      Candidate, m_Impl->m_Rank.urgencyOf(Candidate, m_Impl->m_Tracker, Now),
      Now);
  if (Verdict.m_Accepted)
    return Verdict;
  if (!m_Impl->m_Options.m_RefuseLateJobs)
    Verdict.accept("refusals are switched off");
  else if (m_Impl->m_UnsettledSince)
    Verdict.accept("not all workers are known");
  else if (Guarantees(State).wouldCover(Candidate))
    Verdict.accept("its workspace guarantees the room");
  return Verdict;
}

} // namespace anvil::dispatch
