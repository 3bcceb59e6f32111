#ifndef ANVIL_TESTS_STATE_STATEFIXTURE_H
#define ANVIL_TESTS_STATE_STATEFIXTURE_H

#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "anvil/state/ClusterState.h"

namespace anvil::state::test {

/// One second in microseconds.
constexpr int64_t SecondUs = 1'000'000;

/// Returns the command with \p Body set.
template <typename Payload>
wire::Command wrap(void (wire::Command::*Set)(const Payload &),
                   const Payload &Body) {
  wire::Command Command;
  (Command.*Set)(Body);
  return Command;
}

// Builders of commands. Parameters are the fields that tests vary.

inline wire::Command registerWorker(const std::string &Vm, int64_t Incarnation,
                                    const std::string &Zone = "kochi",
                                    int32_t Accelerators = 8) {
  wire::RegisterTarget Body;
  Body.target.vm = Vm;
  Body.target.kind = wire::TargetKind::WORKER;
  Body.target.availabilityZone = Zone;
  Body.target.rack = Zone + "-r1";
  Body.target.agentAddress = "127.0.0.1:1";
  Body.target.incarnation = Incarnation;
  Body.target.capacity.accelerators = Accelerators;
  Body.target.capacity.cores = 64;
  Body.target.capacity.memoryMib = 256 << 10;
  return wrap(&wire::Command::__set_registerTarget, Body);
}

inline wire::Command registerMinion(const std::string &Vm, int64_t Incarnation,
                                    const std::string &Zone = "kochi") {
  wire::Command Command = registerWorker(Vm, Incarnation, Zone, 0);
  Command.registerTarget.target.kind = wire::TargetKind::MINION;
  Command.registerTarget.target.serviceName = "shellgrit";
  Command.registerTarget.target.slots = 8;
  return Command;
}

inline wire::Command lose(const std::string &Vm, int64_t Incarnation) {
  wire::LoseTarget Body;
  Body.vm = Vm;
  Body.incarnation = Incarnation;
  Body.reason = "no heartbeat";
  return wrap(&wire::Command::__set_loseTarget, Body);
}

inline wire::Command drain(const std::string &Vm, bool Draining) {
  wire::DrainTarget Body;
  Body.vm = Vm;
  Body.draining = Draining;
  return wrap(&wire::Command::__set_drainTarget, Body);
}

inline wire::Command quarantine(const std::string &Vm, bool Quarantined) {
  wire::SetWorkerQuarantine Body;
  Body.vm = Vm;
  Body.quarantined = Quarantined;
  Body.reason = "fails every task";
  return wrap(&wire::Command::__set_setWorkerQuarantine, Body);
}

inline wire::Command zoneService(const std::string &Zone, bool InService,
                                 const std::string &RequestId) {
  wire::SetZoneService Body;
  Body.availabilityZone = Zone;
  Body.inService = InService;
  Body.operatorId = "asha";
  Body.requestId = RequestId;
  return wrap(&wire::Command::__set_setZoneService, Body);
}

inline std::string documentText(int64_t Version,
                                const std::string &Limits = "{}",
                                int Quota = 64) {
  return "environment: production\nversion: " + std::to_string(Version) +
         "\navailability_zones:\n  - {name: kochi, region: kerala}\n  - {name: "
         "kollam, region: kerala}\n"
         "workspaces:\n  - {name: sieving, quota: {accelerators: " +
         std::to_string(Quota) +
         ", cores: 512, memory_gib: 2048}}\nservices:\n  - name: shellgrit\n   "
         " slots: 8\n    connections: 64\n"
         "    classes:\n      - {name: quote, urgency: urgent, deadline_ms: "
         "2000, idempotent: true, queue_limit: 9}\n"
         "limits: " +
         Limits + "\n";
}

inline wire::Command applyConfig(int64_t Version, const std::string &Text,
                                 const std::string &Operator = "asha") {
  wire::ApplyConfig Body;
  Body.version = Version;
  Body.document = Text;
  Body.operatorId = Operator;
  Body.environment = "production";
  return wrap(&wire::Command::__set_applyConfig, Body);
}

inline wire::Command submit(int32_t Tasks, bool Idempotent = true,
                            const std::string &SubmissionId = "",
                            int32_t Accelerators = 4) {
  wire::SubmitJob Body;
  Body.submissionId = SubmissionId;
  Body.spec.workspace = "sieving";
  Body.spec.name = "report";
  Body.spec.tasks = Tasks;
  Body.spec.perTask.accelerators = Accelerators;
  Body.spec.perTask.cores = 8;
  Body.spec.perTask.memoryMib = 1'024;
  Body.spec.idempotent = Idempotent;
  Body.spec.payload = "run";
  return wrap(&wire::Command::__set_submitJob, Body);
}

inline wire::Command cancel(int64_t Job) {
  wire::CancelJob Body;
  Body.jobId = Job;
  return wrap(&wire::Command::__set_cancelJob, Body);
}

/// Places task I of the job on the I-th VM; all VMs have the same incarnation.
inline wire::Command place(int64_t Job, const std::vector<std::string> &Vms,
                           int64_t Incarnation = 1) {
  wire::PlaceJob Body;
  Body.jobId = Job;
  Body.reason = "fits";
  for (size_t Task = 0; Task < Vms.size(); ++Task) {
    wire::MemberPlacement &Member = Body.members.emplace_back();
    Member.taskIndex = static_cast<int32_t>(Task);
    Member.vm = Vms[Task];
    Member.incarnation = Incarnation;
  }
  return wrap(&wire::Command::__set_placeJob, Body);
}

inline wire::Command reclaim(int64_t Job, wire::ReclaimMode::type Mode) {
  wire::ReclaimJob Body;
  Body.jobId = Job;
  Body.mode = Mode;
  Body.reason = "guarantee of pricing";
  return wrap(&wire::Command::__set_reclaimJob, Body);
}

inline wire::Command report(const std::string &Vm, int64_t Job, int32_t Task,
                            int64_t Token, wire::TaskState::type State,
                            int64_t Incarnation = 1) {
  wire::ReportTasks Body;
  Body.vm = Vm;
  Body.incarnation = Incarnation;
  wire::TaskStatus &Status = Body.tasks.emplace_back();
  Status.jobId = Job;
  Status.taskIndex = Task;
  Status.startToken = Token;
  Status.state = State;
  return wrap(&wire::Command::__set_reportTasks, Body);
}

inline wire::Command expireLeases(int64_t Job, std::vector<int32_t> Tasks) {
  wire::ExpireLeases Body;
  Body.jobId = Job;
  Body.taskIndexes = std::move(Tasks);
  return wrap(&wire::Command::__set_expireLeases, Body);
}

inline wire::Command openClaim(const std::string &Id, const std::string &Vm,
                               const std::string &Attempt = "",
                               const std::string &Digest = "d1",
                               int64_t Incarnation = 1) {
  wire::OpenClaim Body;
  Body.claimId = Id;
  Body.vm = Vm;
  Body.incarnation = Incarnation;
  Body.requestDigest = Digest;
  Body.entry = "entry-1";
  Body.attemptId = Attempt;
  return wrap(&wire::Command::__set_openClaim, Body);
}

inline wire::Command closeClaim(const std::string &Id, int64_t Token,
                                wire::Outcome::type Outcome,
                                const std::string &Vm,
                                const std::string &Body = "ok",
                                int64_t Incarnation = 1) {
  wire::CloseClaim Close;
  Close.vm = Vm;
  Close.incarnation = Incarnation;
  Close.outcome.claimId = Id;
  Close.outcome.token = Token;
  Close.outcome.outcome = Outcome;
  Close.outcome.httpStatus = 200;
  Close.outcome.body = Body;
  return wrap(&wire::Command::__set_closeClaim, Close);
}

inline wire::Command expireClaims(int64_t BeforeUs) {
  wire::ExpireClaims Body;
  Body.closedBeforeUs = BeforeUs;
  return wrap(&wire::Command::__set_expireClaims, Body);
}

/// A state with a configuration, workers a, b (kochi) and c (kollam) and
/// minions m and n (kochi), all of incarnation 1. Each command advances the
/// time by 1 s.
class Cluster {
public:
  Cluster() : m_State(*ClusterState::create()) {
    apply(applyConfig(1, documentText(1)));
    apply(registerWorker("a", 1));
    apply(registerWorker("b", 1));
    apply(registerWorker("c", 1, "kollam"));
    apply(registerMinion("m", 1));
    apply(registerMinion("n", 1));
  }

  wire::CommandResult apply(wire::Command Command) {
    m_NowUs += SecondUs;
    Command.proposedAtUs = m_NowUs;
    return m_State.apply(Command, ++m_Index);
  }

  wire::CommandStatus::type statusOf(wire::Command Command) {
    return apply(std::move(Command)).status;
  }

  /// Submits a job with a task for each VM, places it and returns its id.
  int64_t submitAndPlace(const std::vector<std::string> &Vms,
                         bool Idempotent = true) {
    return submitAndPlace(Vms,
                          submit(static_cast<int32_t>(Vms.size()), Idempotent,
                                 "s" + std::to_string(m_Index)));
  }

  int64_t submitAndPlace(const std::vector<std::string> &Vms,
                         const wire::Command &Submission) {
    const int64_t Job = apply(Submission).jobId;
    const wire::CommandResult Result = apply(place(Job, Vms));
    BOOST_REQUIRE_MESSAGE(Result.status == wire::CommandStatus::OK,
                          Result.message);
    return Job;
  }

  /// Reports \p State for each member, in order of the task index.
  void reportAll(int64_t Job, wire::TaskState::type State) {
    const int64_t Token = job(Job).m_StartToken;
    for (const MemberView &Member : job(Job).m_Members)
      apply(report(Member.m_Vm.str(), Job, Member.m_TaskIndex, Token, State));
  }

  /// Submits and places a job, brings it to phase Running and returns its id.
  int64_t submitAndRun(const std::vector<std::string> &Vms,
                       const wire::Command &Submission) {
    const int64_t Job = submitAndPlace(Vms, Submission);
    reportAll(Job, wire::TaskState::PREPARED);
    reportAll(Job, wire::TaskState::RUNNING);
    BOOST_REQUIRE(job(Job).m_Phase == JobPhase::Running);
    return Job;
  }

  JobView job(int64_t Job) const { return *m_State.job(JobId(Job)); }
  std::string phase(int64_t Job) const {
    return std::string(nameOf(job(Job).m_Phase));
  }
  int32_t usedOn(const std::string &Vm) const {
    return m_State.target(VmId(Vm))->m_Used.accelerators;
  }

  /// Returns the orders for a VM, such as "7/0 START".
  std::vector<std::string> orders(const std::string &Vm) const {
    std::vector<std::string> Text;
    for (const wire::Assignment &Each : m_State.assignmentsFor(VmId(Vm))) {
      Text.push_back(std::to_string(Each.jobId) + "/" +
                     std::to_string(Each.taskIndex) + " " +
                     wire::_TaskOrder_VALUES_TO_NAMES.at(Each.order));
    }
    return Text;
  }

  ClusterState m_State;
  int64_t m_Index = 0;
  int64_t m_NowUs = 0;
};

} // namespace anvil::state::test

#endif // ANVIL_TESTS_STATE_STATEFIXTURE_H
