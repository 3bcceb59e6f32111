#include "SchedulerDriver.h"

#include <glog/logging.h>

#include "absl/strings/str_cat.h"

namespace anvil::control::internal {

namespace {

sched::Resources resourcesOf(const wire::Resources &Wire) {
  return {Wire.accelerators, Wire.cores, Wire.memoryMib};
}

sched::Urgency urgencyOf(wire::Urgency::type Wire) {
  switch (Wire) {
  case wire::Urgency::URGENT:
    return sched::Urgency::Urgent;
  case wire::Urgency::WORKING_DAY:
    return sched::Urgency::WorkingDay;
  case wire::Urgency::BATCH:
    return sched::Urgency::Batch;
  case wire::Urgency::OVERNIGHT:
    return sched::Urgency::Overnight;
  }
  return sched::Urgency::Batch;
}

sched::Adjacency adjacencyOf(wire::Adjacency::type Wire) {
  if (Wire == wire::Adjacency::VM)
    return sched::Adjacency::Vm;
  return Wire == wire::Adjacency::RACK ? sched::Adjacency::Rack
                                       : sched::Adjacency::Any;
}

Duration milliseconds(int64_t Count) {
  return std::chrono::milliseconds(Count);
}

sched::JobSpec specOf(const wire::JobSpec &Wire) {
  sched::JobSpec Spec;
  Spec.m_Workspace = WorkspaceId(Wire.workspace);
  Spec.m_Name = Wire.name;
  Spec.m_Tasks = Wire.tasks;
  Spec.m_PerTask = resourcesOf(Wire.perTask);
  Spec.m_Adjacency = adjacencyOf(Wire.adjacency);
  Spec.m_AdjacencyRequired = Wire.adjacencyRequired;
  Spec.m_Urgency = urgencyOf(Wire.urgency);
  Spec.m_Deadline = milliseconds(Wire.deadlineMs);
  Spec.m_Idempotent = Wire.idempotent;
  Spec.m_Checkpointable = Wire.checkpointable;
  Spec.m_DeclaredRunTime = milliseconds(Wire.estimateMs);
  return Spec;
}

sched::WorkerUp workerOf(const state::TargetView &Target) {
  sched::WorkerUp Up;
  Up.m_Vm = VmId(Target.m_Info.vm);
  Up.m_Zone = AvailabilityZoneId(Target.m_Info.availabilityZone);
  Up.m_Rack = RackId(
      absl::StrCat(Target.m_Info.availabilityZone, "/", Target.m_Info.rack));
  Up.m_Capacity = resourcesOf(Target.m_Info.capacity);
  Up.m_Draining = Target.m_Phase == state::VmPhase::Draining;
  Up.m_Quarantined = Target.m_Quarantined;
  return Up;
}

bool isWorker(const state::TargetView &Target) {
  return Target.m_Info.kind == wire::TargetKind::WORKER;
}

sched::JobRestored restoredOf(const state::JobView &Job, TimePoint Now,
                              int64_t WallClockUs) {
  sched::JobRestored Restored;
  Restored.m_Job = Job.m_Id;
  Restored.m_Spec = specOf(Job.m_Spec);
  switch (Job.m_Phase) {
  case state::JobPhase::Reserved:
  case state::JobPhase::Starting:
    Restored.m_Phase = sched::RestoredPhase::Placed;
    break;
  case state::JobPhase::Running:
    Restored.m_Phase = sched::RestoredPhase::Running;
    break;
  case state::JobPhase::Releasing:
    Restored.m_Phase = sched::RestoredPhase::Stopping;
    break;
  default:
    Restored.m_Phase = sched::RestoredPhase::Queued;
    break;
  }
  for (const state::MemberView &Member : Job.m_Members)
    Restored.m_Members.push_back({Member.m_TaskIndex, Member.m_Vm});
  // The timestamps come from the wall clocks of different leaders, which may
  // disagree. A negative age becomes zero, so that no time is in the future.
  Restored.m_SubmittedAt =
      Now - Duration(std::max<int64_t>(WallClockUs - Job.m_SubmittedAtUs, 0));
  Restored.m_StartedAt =
      Now - Duration(std::max<int64_t>(WallClockUs - Job.m_ChangedAtUs, 0));
  return Restored;
}

sched::Resources resourcesOf(const config::Amount &Amount) {
  constexpr int64_t MibPerGib = 1024;
  return {Amount.m_Accelerators, Amount.m_Cores,
          Amount.m_MemoryGib * MibPerGib};
}

sched::Adjacency adjacencyOf(config::Adjacency Declared) {
  if (Declared == config::Adjacency::Vm)
    return sched::Adjacency::Vm;
  return Declared == config::Adjacency::Rack ? sched::Adjacency::Rack
                                             : sched::Adjacency::Any;
}

sched::ConfigurationChanged configurationOf(const config::Document &Document) {
  sched::ConfigurationChanged Changed;
  for (const config::Workspace &Each : Document.m_Workspaces) {
    sched::WorkspaceConfig Workspace;
    Workspace.m_Name = WorkspaceId(Each.m_Name);
    Workspace.m_Quota = resourcesOf(Each.m_Quota);
    for (const config::Guarantee &Guarantee : Each.m_Guarantees)
      Workspace.m_Guarantees.push_back(
          {Guarantee.m_Name, resourcesOf(Guarantee.m_Shape),
           adjacencyOf(Guarantee.m_Adjacency),
           static_cast<int32_t>(Guarantee.m_Count)});
    Changed.m_Workspaces.push_back(std::move(Workspace));
  }
  return Changed;
}

wire::ReclaimMode::type modeOf(sched::ReclaimMode Mode) {
  if (Mode == sched::ReclaimMode::Checkpoint)
    return wire::ReclaimMode::CHECKPOINT;
  return Mode == sched::ReclaimMode::Throttle ? wire::ReclaimMode::THROTTLE
                                              : wire::ReclaimMode::STOP;
}

} // namespace

absl::Status SchedulerDriver::begin(const state::ClusterState &State,
                                    TimePoint Now, int64_t WallClockUs) {
  end();
  absl::StatusOr<sched::Scheduler> Scheduler = sched::Scheduler::create({});
  if (!Scheduler.ok())
    return Scheduler.status();
  m_Scheduler = *std::move(Scheduler);
  if (State.document())
    feed(configurationOf(*State.document()), Now);
  State.forEachTarget([&](const state::TargetView &Target) {
    if (isWorker(Target) && (Target.m_Phase == state::VmPhase::Up ||
                             Target.m_Phase == state::VmPhase::Draining))
      feed(workerOf(Target), Now);
  });
  for (const AvailabilityZoneId &Zone : State.withdrawnZones())
    feed(sched::ZoneWithdrawn{Zone}, Now);
  for (JobId Job : State.liveJobs()) {
    const std::optional<state::JobView> View = State.job(Job);
    feed(restoredOf(*View, Now, WallClockUs), Now);
    if (View->m_StartToken != 0 && View->m_Phase != state::JobPhase::Reserved)
      m_StartedJobs.insert(Job);
  }
  flush(State, Now);
  return absl::OkStatus();
}

void SchedulerDriver::end() {
  m_Scheduler.reset();
  m_Events.clear();
  m_Feedback.clear();
  m_Actions.clear();
  m_Warnings.clear();
  m_StartedJobs.clear();
}

void SchedulerDriver::onStateEvent(const state::StateEvent &Event) {
  if (m_Scheduler)
    m_Events.push_back(Event);
}

// Converts one state event to events of the scheduler.
struct SchedulerDriver::EventTranslator {
  SchedulerDriver &m_Driver;
  const state::ClusterState &m_State;
  TimePoint m_Now;

  void feed(const sched::SchedulerEvent &Event) const {
    m_Driver.feed(Event, m_Now);
  }

  void operator()(const state::JobSubmitted &Event) const {
    if (const std::optional<state::JobView> Job = m_State.job(Event.m_Job))
      feed(sched::JobSubmitted{Event.m_Job, specOf(Job->m_Spec)});
  }
  void operator()(const state::JobPhaseChanged &Event) const {
    switch (Event.m_Phase) {
    case state::JobPhase::Reserved:
      feed(sched::PlacementConfirmed{Event.m_Job});
      break;
    case state::JobPhase::Starting:
      m_Driver.m_StartedJobs.insert(Event.m_Job);
      break;
    case state::JobPhase::Running:
      feed(sched::JobStarted{Event.m_Job});
      break;
    case state::JobPhase::Queued:
      feedGangReleased(Event.m_Job);
      break;
    default:
      break;
    }
  }
  void operator()(const state::JobEnded &Event) const {
    if (Event.m_Phase == state::JobPhase::Completed) {
      feed(sched::JobEnded{Event.m_Job});
    } else {
      feed(sched::JobCancelled{Event.m_Job});
      feedGangReleased(Event.m_Job);
    }
    m_Driver.m_StartedJobs.erase(Event.m_Job);
  }
  void operator()(const state::TaskReported &Event) const {
    if (Event.m_Failed)
      feed(sched::TaskFailed{Event.m_Job, Event.m_TaskIndex, Event.m_Vm,
                             "reported by the agent"});
    else if (Event.m_Phase == state::TaskPhase::Running)
      feed(sched::TaskStarted{Event.m_Job, Event.m_TaskIndex});
    else if (Event.m_Phase == state::TaskPhase::Succeeded)
      feed(sched::TaskEnded{Event.m_Job, Event.m_TaskIndex});
  }
  void operator()(const state::TargetUp &Event) const {
    const std::optional<state::TargetView> Target = m_State.target(Event.m_Vm);
    if (Target && isWorker(*Target))
      feed(workerOf(*Target));
  }
  void operator()(const state::TargetLost &Event) const {
    // When an incarnation is reported lost, a newer one of the same VM may
    // already be up.
    const std::optional<state::TargetView> Target = m_State.target(Event.m_Vm);
    if (!Target || Target->m_Info.incarnation == Event.m_Incarnation)
      feed(sched::WorkerLost{Event.m_Vm});
  }
  void operator()(const state::TargetRemoved &Event) const {
    feed(sched::WorkerLost{Event.m_Vm});
  }
  void operator()(const state::TargetDrained &Event) const {
    feed(sched::WorkerDrained{Event.m_Vm, Event.m_Draining});
  }
  void operator()(const state::ZoneChanged &Event) const {
    if (Event.m_InService)
      feed(sched::ZoneRestored{Event.m_Zone});
    else
      feed(sched::ZoneWithdrawn{Event.m_Zone});
  }
  void operator()(const state::ConfigChanged &) const {
    if (m_State.document())
      feed(configurationOf(*m_State.document()));
  }
  // The scheduler caused these itself, or they don't affect it.
  void operator()(const state::JobThrottled &) const {}
  void operator()(const state::TaskReleased &) const {}
  void operator()(const state::WorkerQuarantined &) const {}
  void operator()(const state::ClaimChanged &) const {}

  void feedGangReleased(JobId Job) const {
    const std::optional<state::JobView> View = m_State.job(Job);
    sched::GangReleased Released{Job};
    Released.m_AnyStarted = m_Driver.m_StartedJobs.erase(Job) != 0;
    Released.m_StoppedAtCheckpoint = View && View->m_Checkpointed;
    feed(Released);
  }
};

// Executes one action of the scheduler: most become a command, the others only
// affect this replica.
struct SchedulerDriver::ActionExecutor {
  SchedulerDriver &m_Driver;
  const state::ClusterState &m_State;
  TimePoint m_Now;

  void operator()(const sched::PlaceGang &Action) const {
    wire::Command Command;
    Command.__isset.placeJob = true;
    Command.placeJob.jobId = Action.m_Job.value();
    Command.placeJob.reason = Action.m_Reason;
    for (const sched::MemberPlacement &Member : Action.m_Members)
      Command.placeJob.members.push_back(memberOf(Member));
    m_Driver.propose(std::move(Command), Action.m_Job);
  }
  void operator()(const sched::ReclaimJob &Action) const {
    wire::Command Command;
    Command.__isset.reclaimJob = true;
    Command.reclaimJob.jobId = Action.m_Job.value();
    Command.reclaimJob.mode = modeOf(Action.m_Mode);
    Command.reclaimJob.reason = Action.m_Reason;
    Command.reclaimJob.deadlineMs =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            Action.m_Deadline - m_Now)
            .count();
    m_Driver.propose(std::move(Command), JobId());
  }
  void operator()(const sched::ParkJob &Action) const {
    wire::Command Command;
    Command.__isset.parkJob = true;
    Command.parkJob.jobId = Action.m_Job.value();
    Command.parkJob.reason = Action.m_Reason;
    m_Driver.propose(std::move(Command), JobId());
  }
  void operator()(const sched::GiveUpJob &Action) const {
    wire::Command Command;
    Command.__isset.failJob = true;
    Command.failJob.jobId = Action.m_Job.value();
    Command.failJob.reason = Action.m_Reason;
    m_Driver.propose(std::move(Command), JobId());
  }
  void operator()(const sched::QuarantineWorker &Action) const {
    wire::Command Command;
    Command.__isset.setWorkerQuarantine = true;
    Command.setWorkerQuarantine.vm = Action.m_Vm.str();
    Command.setWorkerQuarantine.quarantined = Action.m_Quarantined;
    Command.setWorkerQuarantine.reason = Action.m_Reason;
    m_Driver.propose(std::move(Command), JobId());
  }
  // Workers have no self-test. A worker that is up counts as healthy and gets
  // tasks again; further failures quarantine it for longer.
  void operator()(const sched::ProbeWorker &Action) const {
    const std::optional<state::TargetView> Target = m_State.target(Action.m_Vm);
    const bool Healthy = Target && Target->m_Phase == state::VmPhase::Up;
    m_Driver.m_Feedback.push_back(sched::ProbeEnded{Action.m_Vm, Healthy});
  }
  void operator()(const sched::WarnGuarantee &Action) const {
    const std::string Key =
        absl::StrCat(Action.m_Workspace.str(), "/", Action.m_Shape);
    if (Action.m_Missing == 0)
      m_Driver.m_Warnings.erase(Key);
    else
      m_Driver.m_Warnings[Key] = absl::StrCat(Key, ": ", Action.m_Missing,
                                              " missing, ", Action.m_Reason);
    LOG(WARNING) << "sched: guarantee " << Key
                 << " missing=" << Action.m_Missing
                 << " reason=" << Action.m_Reason;
  }

  wire::MemberPlacement memberOf(const sched::MemberPlacement &Member) const {
    const std::optional<state::TargetView> Target = m_State.target(Member.m_Vm);
    wire::MemberPlacement Wire;
    Wire.taskIndex = Member.m_TaskIndex;
    Wire.vm = Member.m_Vm.str();
    Wire.incarnation = Target ? Target->m_Info.incarnation : 0;
    return Wire;
  }
};

void SchedulerDriver::feed(const sched::SchedulerEvent &Event, TimePoint Now) {
  for (sched::SchedulerAction &Action : m_Scheduler->step(Event, Now))
    m_Actions.push_back(std::move(Action));
}

void SchedulerDriver::flush(const state::ClusterState &State, TimePoint Now) {
  if (!m_Scheduler)
    return;
  const std::vector<state::StateEvent> Events = std::exchange(m_Events, {});
  for (const state::StateEvent &Event : Events)
    std::visit(EventTranslator{*this, State, Now}, Event);
  const std::vector<sched::SchedulerEvent> Feedback =
      std::exchange(m_Feedback, {});
  for (const sched::SchedulerEvent &Event : Feedback)
    feed(Event, Now);
  const std::vector<sched::SchedulerAction> Actions =
      std::exchange(m_Actions, {});
  for (const sched::SchedulerAction &Action : Actions)
    std::visit(ActionExecutor{*this, State, Now}, Action);
}

void SchedulerDriver::tick(const state::ClusterState &State, TimePoint Now) {
  if (!m_Scheduler)
    return;
  flush(State, Now);
  feed(sched::Tick{}, Now);
  flush(State, Now);
}

// \p PlacedJob is the job if the command is a placement, otherwise JobId(). The
// scheduler must be told of a refused placement.
void SchedulerDriver::propose(wire::Command Command, JobId PlacedJob) {
  m_Propose(std::move(Command),
            [this, PlacedJob](const wire::CommandResult &Result) {
              onRefused(PlacedJob, Result);
            });
}

void SchedulerDriver::onRefused(JobId Job, const wire::CommandResult &Result) {
  if (m_Scheduler && Job != JobId())
    m_Feedback.push_back(sched::PlacementRefused{Job, Result.message, VmId()});
}

std::string SchedulerDriver::explain(JobId Job, TimePoint Now) const {
  if (!m_Scheduler)
    return {};
  return m_Scheduler->explain(Job, Now).value_or("");
}

std::vector<std::string> SchedulerDriver::warnings() const {
  std::vector<std::string> Result;
  for (const auto &[Key, Text] : m_Warnings)
    Result.push_back(Text);
  return Result;
}

sched::SchedulerCounts SchedulerDriver::counts() const {
  return m_Scheduler ? m_Scheduler->counts() : sched::SchedulerCounts{};
}

} // namespace anvil::control::internal
