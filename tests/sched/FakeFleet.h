#ifndef ANVIL_TESTS_SCHED_FAKEFLEET_H
#define ANVIL_TESTS_SCHED_FAKEFLEET_H

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"

#include "anvil/sched/Scheduler.h"

namespace anvil::sched::test {

using namespace std::chrono_literals;

/// Memory of a worker in MiB.
inline constexpr int64_t WorkerMemory = int64_t{256} * 1024;

/// Drives a Scheduler, applies its actions, and checks the invariants after
/// each step.
class FakeFleet {
public:
  struct JobRecord {
    JobSpec m_Spec;
    std::vector<VmId> m_Members;
    bool m_Placed = false;
    bool m_Running = false;
    bool m_Over = false;
    bool m_Reclaiming = false;
    /// A job that is not idempotent started and did not stop at a checkpoint.
    bool m_MayNotRunAgain = false;
    int m_Placements = 0;
    std::string m_LastReason;
    std::vector<ReclaimMode> m_Modes;
  };

  explicit FakeFleet(SchedulerOptions Options = {})
      : m_Scheduler(*Scheduler::create(Options)) {}

  void addWorker(const std::string &Vm, const std::string &Zone,
                 const std::string &Rack, Resources Capacity) {
    m_Capacity[VmId(Vm)] = Capacity;
    m_ZoneOf[VmId(Vm)] = AvailabilityZoneId(Zone);
    feed(WorkerUp{VmId(Vm), AvailabilityZoneId(Zone), RackId(Rack), Capacity});
  }

  /// Adds \p Count workers of 8 accelerators, 64 cores and 256 GiB, two to a
  /// rack, two racks to a zone.
  void addWorkers(int Count) {
    for (int I = 0; I < Count; ++I)
      addWorker(absl::StrCat("w", I), absl::StrCat("zone", I / 4),
                absl::StrCat("rack", I / 2), {8, 64, WorkerMemory});
  }

  JobId submit(const JobSpec &Spec) {
    const JobId Id(++m_NextJob);
    m_Jobs[Id].m_Spec = Spec;
    feed(JobSubmitted{Id, Spec});
    return Id;
  }

  void start(JobId Id) {
    JobRecord &Job = m_Jobs[Id];
    BOOST_REQUIRE(Job.m_Placed);
    BOOST_TEST(!Job.m_MayNotRunAgain, "job " << Id << " runs twice");
    Job.m_Running = true;
    Job.m_MayNotRunAgain = !Job.m_Spec.m_Idempotent;
    feed(PlacementConfirmed{Id});
    feed(JobStarted{Id});
  }

  /// Submits a job, which must be placed at once, and starts it.
  JobId run(const JobSpec &Spec) {
    const JobId Id = submit(Spec);
    advance(100ms);
    start(Id);
    return Id;
  }

  void end(JobId Id) {
    free(Id);
    m_Jobs[Id].m_Over = true;
    feed(JobEnded{Id});
  }

  void release(JobId Id, bool AtCheckpoint = false) {
    JobRecord &Job = m_Jobs[Id];
    const bool Started = Job.m_Running;
    if (AtCheckpoint)
      Job.m_MayNotRunAgain = false;
    free(Id);
    feed(GangReleased{Id, Started, AtCheckpoint && Started});
  }

  void fail(JobId Id, const VmId &Vm) {
    feed(TaskFailed{Id, 0, Vm, "exit code 1"});
    if (!m_Jobs[Id].m_Over)
      release(Id);
  }

  void advance(Duration Span) {
    constexpr Duration Step = 100ms;
    for (Duration Done{0}; Done < Span; Done += Step) {
      m_Now += Step;
      feed(Tick{});
    }
  }

  void feed(const SchedulerEvent &Event) {
    if (const auto *Withdrawn = std::get_if<ZoneWithdrawn>(&Event))
      m_Withdrawn.insert(Withdrawn->m_Zone);
    if (const auto *Restored = std::get_if<ZoneRestored>(&Event))
      m_Withdrawn.erase(Restored->m_Zone);
    if (const auto *Drained = std::get_if<WorkerDrained>(&Event))
      setOutOfService(Drained->m_Vm, Drained->m_Draining);
    if (const auto *Lost = std::get_if<WorkerLost>(&Event))
      setOutOfService(Lost->m_Vm, true);
    if (const auto *Up = std::get_if<WorkerUp>(&Event))
      setOutOfService(Up->m_Vm, Up->m_Draining);
    m_LastActions = m_Scheduler.step(Event, m_Now);
    for (const SchedulerAction &Action : m_LastActions)
      std::visit([this](const auto &Each) { apply(Each); }, Action);
    const std::string Violation = m_Scheduler.findViolation();
    BOOST_TEST(Violation == "");
  }

  std::string explain(JobId Id) const {
    const auto Text = m_Scheduler.explain(Id, m_Now);
    return Text.ok() ? *Text : std::string(Text.status().message());
  }

  std::set<VmId> vmsOf(JobId Id) {
    return {m_Jobs[Id].m_Members.begin(), m_Jobs[Id].m_Members.end()};
  }

  Scheduler m_Scheduler;
  TimePoint m_Now = timePointFromMicros(1'000'000);
  std::map<JobId, JobRecord> m_Jobs;
  std::map<VmId, Resources> m_Capacity;
  std::map<VmId, AvailabilityZoneId> m_ZoneOf;
  std::map<VmId, Resources> m_Used;
  std::set<AvailabilityZoneId> m_Withdrawn;
  std::set<VmId> m_OutOfService;
  std::set<VmId> m_Quarantined;
  std::set<VmId> m_Probed;
  std::map<std::string, int> m_Missing;
  std::vector<SchedulerAction> m_LastActions;
  /// Placements, reclaims and quarantines so far.
  std::string m_Log;

private:
  void setOutOfService(const VmId &Vm, bool OutOfService) {
    if (OutOfService)
      m_OutOfService.insert(Vm);
    else
      m_OutOfService.erase(Vm);
  }

  void change(const VmId &Vm, const Resources &Amount, int Sign) {
    Resources &Used = m_Used[Vm];
    Used.m_Accelerators += Amount.m_Accelerators * Sign;
    Used.m_Cores += Amount.m_Cores * Sign;
    Used.m_MemoryMib += Amount.m_MemoryMib * Sign;
  }

  void free(JobId Id) {
    JobRecord &Job = m_Jobs[Id];
    for (const VmId &Vm : Job.m_Members)
      change(Vm, Job.m_Spec.m_PerTask, -1);
    Job.m_Members.clear();
    Job.m_Placed = Job.m_Running = Job.m_Reclaiming = false;
  }

  void apply(const PlaceGang &Action) {
    JobRecord &Job = m_Jobs[Action.m_Job];
    BOOST_TEST(static_cast<int32_t>(Action.m_Members.size()) ==
               Job.m_Spec.m_Tasks);
    BOOST_TEST(!Job.m_Placed, "job " << Action.m_Job << " is placed twice");
    BOOST_TEST(!Job.m_Over,
               "job " << Action.m_Job << " is placed after its end");
    BOOST_TEST(!Job.m_MayNotRunAgain,
               "job " << Action.m_Job << " is placed again");
    for (const MemberPlacement &Each : Action.m_Members) {
      const VmId &Vm = Each.m_Vm;
      BOOST_TEST(!m_Withdrawn.contains(m_ZoneOf.at(Vm)),
                 "placed in a withdrawn zone on " << Vm);
      BOOST_TEST((!m_OutOfService.contains(Vm) && !m_Quarantined.contains(Vm)),
                 "placed on " << Vm << ", which is unusable");
      change(Vm, Job.m_Spec.m_PerTask, 1);
      const Resources &Used = m_Used[Vm];
      const Resources &Capacity = m_Capacity[Vm];
      BOOST_TEST(Used.m_Accelerators <= Capacity.m_Accelerators);
      BOOST_TEST(Used.m_Cores <= Capacity.m_Cores);
      BOOST_TEST(Used.m_MemoryMib <= Capacity.m_MemoryMib);
      Job.m_Members.push_back(Vm);
    }
    absl::StrAppend(&m_Log, "place ", Action.m_Job.value(), " on ",
                    Action.m_Members[0].m_Vm.str(), "\n");
    Job.m_Placed = true;
    ++Job.m_Placements;
    Job.m_LastReason = Action.m_Reason;
    BOOST_TEST(!Action.m_Reason.empty());
  }
  void apply(const ReclaimJob &Action) {
    JobRecord &Job = m_Jobs[Action.m_Job];
    BOOST_TEST(Job.m_Placed);
    BOOST_TEST(!Action.m_Reason.empty());
    absl::StrAppend(&m_Log, "reclaim ", Action.m_Job.value(), "\n");
    Job.m_Reclaiming = true;
    Job.m_LastReason = Action.m_Reason;
    Job.m_Modes.push_back(Action.m_Mode);
  }
  void apply(const ParkJob &Action) {
    m_Jobs[Action.m_Job].m_LastReason = Action.m_Reason;
  }
  void apply(const GiveUpJob &Action) {
    m_Jobs[Action.m_Job].m_LastReason = Action.m_Reason;
    m_Jobs[Action.m_Job].m_Over = true;
  }
  void apply(const QuarantineWorker &Action) {
    absl::StrAppend(&m_Log, "quarantine ", Action.m_Vm.str(),
                    Action.m_Quarantined ? " on\n" : " off\n");
    if (Action.m_Quarantined)
      m_Quarantined.insert(Action.m_Vm);
    else
      m_Quarantined.erase(Action.m_Vm);
  }
  void apply(const ProbeWorker &Action) { m_Probed.insert(Action.m_Vm); }
  void apply(const WarnGuarantee &Action) {
    m_Missing[absl::StrCat(Action.m_Workspace.str(), "/", Action.m_Shape)] =
        Action.m_Missing;
  }

  int64_t m_NextJob = 0;
};

/// Returns a configuration with the workspaces a and b; a has \p Count
/// guaranteed instances of one whole worker.
inline ConfigurationChanged twoWorkspaces(int32_t Count) {
  WorkspaceConfig First{WorkspaceId("a"), {}, {}};
  if (Count > 0)
    First.m_Guarantees = {
        {"node", {8, 64, WorkerMemory}, Adjacency::Vm, Count}};
  return {{First, {WorkspaceId("b"), {}, {}}}};
}

/// Returns an idempotent batch job.
inline JobSpec job(const std::string &Workspace, int32_t Tasks,
                   int64_t Accelerators) {
  JobSpec Spec;
  Spec.m_Workspace = WorkspaceId(Workspace);
  Spec.m_Tasks = Tasks;
  Spec.m_PerTask = {Accelerators, Accelerators * 4, Accelerators * 1024};
  Spec.m_Idempotent = true;
  Spec.m_DeclaredRunTime = 10min;
  return Spec;
}

} // namespace anvil::sched::test

#endif // ANVIL_TESTS_SCHED_FAKEFLEET_H
