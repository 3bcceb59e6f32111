#include "Fleet.h"

#include <algorithm>

namespace anvil::dispatch::internal {

using workload::add;
using workload::subtract;

namespace {

bool isNotNegative(const wire::ResourceAmounts &Value) {
  return Value.milliCores >= 0 && Value.memoryMib >= 0 &&
         Value.accelerators >= 0;
}

RunView viewOf(const workload::WantedRun &Wanted,
               const workload::WorkloadState &State, const RunTracker &Tracker,
               TimePoint Now) {
  RunView View;
  View.m_Task = Wanted.m_Task;
  View.m_Run = Wanted.m_Run;
  View.m_Stopping = Wanted.m_Stop;
  View.m_Job = State.job(Wanted.m_Task.jobId);
  View.m_Spec =
      &View.m_Job->spec.steps[static_cast<size_t>(Wanted.m_Task.step)];
  View.m_Amounts = workload::countedAmounts(*View.m_Spec);
  View.m_Forecast = Tracker.forecast(*View.m_Job, Wanted.m_Task,
                                     *State.task(Wanted.m_Task), Now);
  return View;
}

} // namespace

wire::ResourceAmounts WorkerView::freeAt(TimePoint When) const {
  wire::ResourceAmounts Result = m_Free;
  for (const RunView &Run : m_Runs)
    if (Run.m_Stopping || Run.m_Forecast.m_OnLentRoom ||
        Run.m_Forecast.m_EndsAt <= When)
      add(Result, Run.m_Amounts);
  subtract(Result, m_Promised);
  return Result;
}

Fleet::Fleet(const workload::WorkloadState &State,
             const WorkerSessions &Sessions, const RunTracker &Tracker,
             const WorkerHealth &Health, TimePoint Now)
    : m_Now(Now) {
  for (const auto &[Id, Record] : State.workers()) {
    WorkerView View;
    View.m_Record = &Record;
    const wire::WorkerIncarnation &Incarnation = Record.info.incarnation;
    View.m_ZoneWithdrawn =
        State.withdrawnZones().contains(Record.info.availabilityZone);
    View.m_Usable = Sessions.usable(Record, Now) && !View.m_ZoneWithdrawn;
    if (const LiveWorker *Live = Sessions.findLive(Incarnation)) {
      View.m_RunsKnown = Live->m_HasRunList;
      View.m_Draining = Live->m_Draining;
      View.m_LeavesAt = Live->m_LeavesAt;
    }
    View.m_Slowdown = Health.slowdown(Incarnation, Now);
    View.m_Speed = Tracker.speeds().speedOf(Incarnation);
    View.m_Suspicion = Health.suspicion(Incarnation, Now);
    View.m_Free = Record.info.capacity;
    subtract(View.m_Free, Record.used);
    for (const workload::WantedRun &Wanted : State.wantedRuns(Incarnation)) {
      View.m_Runs.push_back(viewOf(Wanted, State, Tracker, Now));
      if (Wanted.m_Stop)
        add(View.m_Releasing, View.m_Runs.back().m_Amounts);
    }
    m_Workers.push_back(std::move(View));
  }
  indexRacks();
}

Fleet::Fleet(std::vector<WorkerView> Workers, TimePoint Now)
    : m_Now(Now), m_Workers(std::move(Workers)) {
  indexRacks();
}

void Fleet::indexRacks() {
  std::vector<size_t> All;
  for (size_t I = 0; I < m_Workers.size(); ++I) {
    All.push_back(I);
    if (const std::string &Rack = m_Workers[I].info().rack; !Rack.empty())
      m_ByRack[Rack].push_back(I);
  }
  m_ByRack[""] = std::move(All);
}

std::span<const size_t> Fleet::inRack(const std::string &Rack) const {
  const auto It = m_ByRack.find(Rack);
  if (It == m_ByRack.end())
    return {};
  return It->second;
}

int32_t Fleet::countThatFit(const WorkerView &Worker,
                            const wire::ResourceAmounts &Need, TimePoint EndsAt,
                            int32_t Most) const {
  int32_t Count = 0;
  while (Count < Most) {
    wire::ResourceAmounts Free = Worker.m_Free;
    subtract(Free, Need, Count + 1);
    if (!isNotNegative(Free))
      break;
    const bool KeepsReservations =
        std::all_of(Worker.m_Reservations.begin(), Worker.m_Reservations.end(),
                    [&](const Reservation &Each) {
                      if (Each.m_From >= EndsAt)
                        return true;
                      wire::ResourceAmounts FreeThen =
                          Worker.freeAt(Each.m_From);
                      subtract(FreeThen, Need, Count + 1);
                      for (const Reservation &Other : Worker.m_Reservations)
                        if (Other.m_From <= Each.m_From)
                          subtract(FreeThen, Other.m_Amounts);
                      return isNotNegative(FreeThen);
                    });
    if (!KeepsReservations)
      break;
    ++Count;
  }
  return Count;
}

bool isEligible(const WorkerView &Worker, const wire::JobRecord &Job,
                const wire::StepSpec &Spec) {
  const wire::WorkerInfo &Info = Worker.info();
  if (Info.serviceName != Job.serviceName)
    return false;
  return Spec.requiredLabel.empty() ||
         std::find(Info.labels.begin(), Info.labels.end(),
                   Spec.requiredLabel) != Info.labels.end();
}

} // namespace anvil::dispatch::internal
