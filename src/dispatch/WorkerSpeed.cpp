#include "WorkerSpeed.h"

#include <algorithm>
#include <cmath>

namespace anvil::dispatch::internal {

namespace {

// Speed 1 has the weight of this many observations at the beginning.
constexpr double PriorWeight = 3;
// Weight that earlier observations keep at most, so that a machine whose speed
// changes for good is judged anew after some dozens of runs.
constexpr double MaxWeight = 40;

// Largest logarithm by which an observation counts as deviating. A task that
// takes seven times as long counts like one that takes twice as long.
constexpr double MaxDeviation = 0.7;

// Variance of the logarithm of the times of two tasks of one step. Evidence
// with a larger variance has less weight.
constexpr double UsualVariance = 0.2;

// A speed counts as 1 while its logarithm is within this many standard errors
// of 0, or within the least significant one. Otherwise chance would decide
// between equal workers.
constexpr double SignificantErrors = 1.5;
constexpr double LeastSignificant = 0.1;

constexpr double MinSpeed = 0.25;
constexpr double MaxSpeed = 4;

// Factor by which a speed must change to be reported again.
constexpr double ReportedChange = 1.2;

// Speeds of machines without a worker are kept for this long.
constexpr Duration KeepUnused = std::chrono::minutes(10);

} // namespace

double WorkerSpeed::Estimate::speed() const {
  const double Error = std::sqrt(UsualVariance / (PriorWeight + m_Weight));
  return std::abs(m_LogSpeed) <=
                 std::max(LeastSignificant, SignificantErrors * Error)
             ? 1
             : std::exp(m_LogSpeed);
}

WorkerSpeed WorkerSpeed::disabled() {
  WorkerSpeed Result;
  Result.m_Learns = false;
  return Result;
}

void WorkerSpeed::updateWorker(const wire::WorkerInfo &Info, TimePoint Now) {
  const std::string &Machine = Info.vm.empty() ? Info.incarnation.id : Info.vm;
  m_Machines[Info.incarnation.id] = Machine;
  m_Estimates[Machine].m_SeenAt = Now;
}

void WorkerSpeed::updateWorkers(const workload::WorkloadState &State,
                                TimePoint Now) {
  if (!m_Learns)
    return;
  std::erase_if(m_Machines, [&](const auto &Each) {
    return !State.workers().contains(Each.first);
  });
  for (const auto &[Id, Record] : State.workers())
    updateWorker(Record.info, Now);
  std::erase_if(m_Estimates, [&](const auto &Each) {
    return Now - Each.second.m_SeenAt > KeepUnused;
  });
}

void WorkerSpeed::learn(const wire::WorkerIncarnation &Worker,
                        SpeedEvidence Seen, double Weight) {
  const auto Machine = m_Machines.find(Worker.id);
  if (!m_Learns || Machine == m_Machines.end() || Weight <= 0)
    return;
  Estimate &Known = m_Estimates[Machine->second];
  const double Added =
      Weight *
      std::min(1.0, UsualVariance / std::max(UsualVariance, Seen.m_Variance));
  // The run was compared with what is expected at the speed in use.
  const double Observed = std::log(Known.speed()) - Seen.m_LogRatio;
  const double Deviation =
      std::clamp(Observed - Known.m_LogSpeed, -MaxDeviation, MaxDeviation);
  Known.m_Weight = std::min(MaxWeight, Known.m_Weight + Added);
  Known.m_LogSpeed = std::clamp(
      Known.m_LogSpeed + Deviation * Added / (PriorWeight + Known.m_Weight),
      std::log(MinSpeed), std::log(MaxSpeed));
  ++Known.m_Observations;
  const double Speed = Known.speed();
  if (std::abs(std::log(Speed / Known.m_ReportedSpeed)) <=
      std::log(ReportedChange))
    return;
  Known.m_ReportedSpeed = Speed;
  if (m_OnChange)
    m_OnChange({Worker.id, Machine->second, Speed, Known.m_Observations});
}

double WorkerSpeed::speedOf(const wire::WorkerIncarnation &Worker) const {
  const auto Machine = m_Machines.find(Worker.id);
  if (Machine == m_Machines.end())
    return 1;
  const auto It = m_Estimates.find(Machine->second);
  return It == m_Estimates.end() ? 1 : It->second.speed();
}

void WorkerSpeed::clear() {
  m_Machines.clear();
  m_Estimates.clear();
}

} // namespace anvil::dispatch::internal
