#include "anvil/dispatch/Dispatcher.h"

#include <algorithm>
#include <map>
#include <optional>

#include "anvil/workload/Amounts.h"

namespace anvil::dispatch {

using workload::WorkloadState;

struct Dispatcher::Impl {
  DispatchOptions m_Options;
};

namespace {

/// A worker that may get runs, with what is free in this plan.
struct Room {
  const wire::WorkerRecord *m_Worker = nullptr;
  wire::Amounts m_Used;
};

/// Placements of one plan.
class Planner {
public:
  Planner(const WorkloadState &State, const WorkerSessions &Sessions,
          TimePoint Now)
      : m_State(State) {
    for (const auto &[Id, Worker] : State.workers())
      if (Sessions.usable(Worker, Now) &&
          !State.withdrawnZones().contains(Worker.facts.availabilityZone))
        m_Rooms.push_back({&Worker, Worker.used});
  }

  std::vector<wire::WorkloadCommand> run();

private:
  void planJob(const wire::JobRecord &Job);
  void planStep(const wire::JobRecord &Job, int32_t Occurrence, int32_t Step,
                const wire::StepRecord &Record);
  bool suits(const Room &Where, const wire::JobRecord &Job,
             const wire::StepSpec &Spec) const;
  Room *bestRoom(const wire::JobRecord &Job, const wire::StepSpec &Spec,
                 const std::string &Rack,
                 std::map<std::string, int32_t> &There);
  bool placeAll(const wire::JobRecord &Job, const wire::StepSpec &Spec,
                const std::vector<int32_t> &Indexes, const std::string &Rack,
                bool All, wire::StartRuns &Start);

  const WorkloadState &m_State;
  std::vector<Room> m_Rooms;
  std::vector<wire::WorkloadCommand> m_Commands;
};

std::vector<wire::WorkloadCommand> Planner::run() {
  std::vector<const wire::JobRecord *> Jobs;
  for (const auto &[Index, Id] : m_State.liveJobs())
    if (const wire::JobRecord *Job = m_State.job(Id);
        !workload::hasEnded(Job->phase))
      Jobs.push_back(Job);
  std::stable_sort(Jobs.begin(), Jobs.end(),
                   [](const wire::JobRecord *L, const wire::JobRecord *R) {
                     return L->priority < R->priority;
                   });
  for (const wire::JobRecord *Job : Jobs)
    planJob(*Job);
  return std::move(m_Commands);
}

void Planner::planJob(const wire::JobRecord &Job) {
  for (const auto &[Number, Occurrence] : Job.occurrences)
    for (size_t Step = 0; Step < Occurrence.steps.size(); ++Step)
      if (workload::isUnlocked(Job, Occurrence, static_cast<int32_t>(Step)))
        planStep(Job, Number, static_cast<int32_t>(Step),
                 Occurrence.steps[Step]);
}

void Planner::planStep(const wire::JobRecord &Job, int32_t Occurrence,
                       int32_t Step, const wire::StepRecord &Record) {
  const wire::StepSpec &Spec = Job.spec.steps[static_cast<size_t>(Step)];
  if (Spec.gang && Record.active > 0)
    return;
  std::vector<int32_t> Waiting;
  for (size_t I = 0; I < Record.tasks.size(); ++I)
    if (Record.tasks[I].phase == wire::TaskPhase::WAITING)
      Waiting.push_back(static_cast<int32_t>(I));
  if (Waiting.empty())
    return;
  wire::StartRuns Start;
  Start.jobId = Job.id;
  Start.occurrence = Occurrence;
  Start.step = Step;
  bool Placed = false;
  if (Spec.gang && Spec.rackLocal) {
    std::set<std::string> Racks;
    for (const Room &Each : m_Rooms)
      Racks.insert(Each.m_Worker->facts.rack);
    for (const std::string &Rack : Racks)
      if (!Placed)
        Placed = placeAll(Job, Spec, Waiting, Rack, true, Start);
  }
  if (!Placed)
    Placed = placeAll(Job, Spec, Waiting, "", Spec.gang, Start);
  if (!Placed)
    return;
  Start.reason = "room was free";
  wire::WorkloadCommand Command;
  Command.__set_startRuns(Start);
  m_Commands.push_back(std::move(Command));
}

bool Planner::suits(const Room &Where, const wire::JobRecord &Job,
                    const wire::StepSpec &Spec) const {
  const wire::WorkerFacts &Facts = Where.m_Worker->facts;
  if (Facts.serviceName != Job.serviceName)
    return false;
  return Spec.requiredLabel.empty() ||
         std::find(Facts.labels.begin(), Facts.labels.end(),
                   Spec.requiredLabel) != Facts.labels.end();
}

Room *Planner::bestRoom(const wire::JobRecord &Job, const wire::StepSpec &Spec,
                        const std::string &Rack,
                        std::map<std::string, int32_t> &There) {
  const wire::Amounts Need = workload::countedAmounts(Spec);
  Room *Best = nullptr;
  int32_t BestLeft = 0;
  for (Room &Each : m_Rooms) {
    const wire::WorkerFacts &Facts = Each.m_Worker->facts;
    if (!suits(Each, Job, Spec) || (!Rack.empty() && Facts.rack != Rack) ||
        !workload::fits(Facts.capacity, Each.m_Used, Need))
      continue;
    if (Spec.maxTasksPerWorker > 0 &&
        There[Facts.life.id] >= Spec.maxTasksPerWorker)
      continue;
    const int32_t Left = Facts.capacity.accelerators -
                         Each.m_Used.accelerators - Need.accelerators;
    if (Best && Left >= BestLeft)
      continue;
    Best = &Each;
    BestLeft = Left;
  }
  return Best;
}

bool Planner::placeAll(const wire::JobRecord &Job, const wire::StepSpec &Spec,
                       const std::vector<int32_t> &Indexes,
                       const std::string &Rack, bool All,
                       wire::StartRuns &Start) {
  const std::vector<Room> Before = m_Rooms;
  std::map<std::string, int32_t> There;
  const auto &Steps = Job.occurrences.at(Start.occurrence).steps;
  for (const wire::TaskRecord &Task :
       Steps[static_cast<size_t>(Start.step)].tasks)
    if (workload::isActive(Task))
      ++There[Task.worker.id];
  Start.placements.clear();
  for (const int32_t Index : Indexes) {
    Room *Where = bestRoom(Job, Spec, Rack, There);
    if (!Where) {
      if (All) {
        m_Rooms = Before;
        return false;
      }
      break;
    }
    workload::add(Where->m_Used, workload::countedAmounts(Spec));
    ++There[Where->m_Worker->facts.life.id];
    wire::RunPlacement Placement;
    Placement.index = Index;
    Placement.worker = Where->m_Worker->facts.life;
    Start.placements.push_back(std::move(Placement));
  }
  return !Start.placements.empty();
}

} // namespace

Dispatcher::Dispatcher(DispatchOptions Options)
    : m_Impl(std::make_unique<Impl>(Impl{Options})) {}
Dispatcher::~Dispatcher() = default;

void Dispatcher::reset() {}

std::vector<wire::WorkloadCommand>
Dispatcher::plan(const WorkloadState &State, const WorkerSessions &Sessions,
                 TimePoint Now) {
  return Planner(State, Sessions, Now).run();
}

} // namespace anvil::dispatch
