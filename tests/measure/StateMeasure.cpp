// Prints the cost of each command and the size of the state at five sizes up to
// section 3 of the design page. Usage: state_measure [PERCENT ...], by default
// 12 25 50 75 100.

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>
#include <vector>

#include "anvil/state/ClusterState.h"

namespace {

using namespace anvil;
using Clock = std::chrono::steady_clock;

constexpr int64_t FullTargets = 8'300;
constexpr int64_t FullTasks = 150'000;
constexpr int64_t FullClaims = 100'000;
constexpr int32_t GangSize = 8;
constexpr int64_t MessagesPerTask = 2; // PREPARED and RUNNING

double microsSince(Clock::time_point Start) {
  return std::chrono::duration<double, std::micro>(Clock::now() - Start)
      .count();
}

// Applies commands and keeps the time of each by kind.
class Meter {
public:
  explicit Meter(state::ClusterState &State) : m_State(State) {}

  wire::CommandResult apply(const char *Kind, const wire::Command &Command) {
    const Clock::time_point Start = Clock::now();
    wire::CommandResult Result = m_State.apply(Command, ++m_Index);
    m_Micros[Kind].push_back(microsSince(Start));
    if (Result.status != wire::CommandStatus::OK) {
      std::fprintf(stderr, "%s: %s\n", Kind, Result.message.c_str());
      std::exit(1);
    }
    return Result;
  }

  void print() {
    for (auto &[Kind, Micros] : m_Micros) {
      std::sort(Micros.begin(), Micros.end());
      double Sum = 0;
      for (const double Each : Micros)
        Sum += Each;
      const double Count = static_cast<double>(Micros.size());
      std::printf(
          "  %-10s count=%-7zu mean_us=%-8.2f p99_us=%-8.2f max_us=%.2f\n",
          Kind.c_str(), Micros.size(), Sum / Count,
          Micros[Micros.size() * 99 / 100], Micros.back());
    }
  }

private:
  state::ClusterState &m_State;
  int64_t m_Index = 0;
  std::map<std::string, std::vector<double>> m_Micros;
};

std::string vmName(int64_t Number) {
  return "worker-" + std::to_string(Number);
}

wire::Command configure() {
  wire::Command Command;
  Command.__isset.applyConfig = true;
  Command.applyConfig.version = 1;
  Command.applyConfig.environment = "full";
  Command.applyConfig.document =
      "environment: full\nversion: 1\navailability_zones: []\nservices: "
      "[]\nworkspaces:\n";
  for (int I = 0; I < 200; ++I) {
    Command.applyConfig.document += "  - {name: team-" + std::to_string(I) +
                                    ", quota: {accelerators: 15000, cores: "
                                    "1000000, memory_gib: 9000000}}\n";
  }
  return Command;
}

void addTargets(Meter &Apply, int64_t Targets) {
  wire::Command Command;
  Command.__isset.registerTarget = true;
  wire::TargetInfo &Info = Command.registerTarget.target;
  Info.kind = wire::TargetKind::WORKER;
  Info.incarnation = 1;
  Info.capacity.cores = 64;
  Info.capacity.accelerators = 2;
  Info.capacity.memoryMib = 512 << 10;
  for (int64_t I = 0; I < Targets; ++I) {
    Info.vm = vmName(I);
    Info.availabilityZone = "zone-" + std::to_string(I % 6);
    Info.rack = "rack-" + std::to_string(I / 40);
    Info.agentAddress = "10.0.0.1:7000";
    Apply.apply("register", Command);
  }
}

void reportAll(Meter &Apply, const wire::Command &Placed, int64_t Token,
               wire::TaskState::type State) {
  wire::Command Command;
  Command.__isset.reportTasks = true;
  Command.reportTasks.incarnation = 1;
  wire::TaskStatus &Status = Command.reportTasks.tasks.emplace_back();
  Status.jobId = Placed.placeJob.jobId;
  Status.startToken = Token;
  Status.state = State;
  for (const wire::MemberPlacement &Member : Placed.placeJob.members) {
    Command.reportTasks.vm = Member.vm;
    Status.taskIndex = Member.taskIndex;
    Apply.apply("report", Command);
  }
}

void addJob(Meter &Apply, int64_t Number, int64_t Targets) {
  wire::Command Command;
  Command.__isset.submitJob = true;
  Command.submitJob.submissionId = "submission-" + std::to_string(Number);
  wire::JobSpec &Spec = Command.submitJob.spec;
  Spec.workspace = "team-" + std::to_string(Number % 200);
  Spec.name = "training";
  Spec.tasks = GangSize;
  Spec.perTask.cores = 2;
  Spec.perTask.memoryMib = 1'024;
  Spec.payload = std::string(200, 'p');
  wire::Command Place;
  Place.__isset.placeJob = true;
  Place.placeJob.jobId = Apply.apply("submit", Command).jobId;
  for (int32_t Task = 0; Task < GangSize; ++Task) {
    wire::MemberPlacement &Member = Place.placeJob.members.emplace_back();
    Member.taskIndex = Task;
    Member.vm = vmName((Number * GangSize + Task) % Targets);
    Member.incarnation = 1;
  }
  const int64_t Token = Apply.apply("place", Place).index;
  reportAll(Apply, Place, Token, wire::TaskState::PREPARED);
  reportAll(Apply, Place, Token, wire::TaskState::RUNNING);
}

void addClaims(Meter &Apply, int64_t Claims) {
  wire::Command Minion;
  Minion.__isset.registerTarget = true;
  Minion.registerTarget.target.vm = "minion";
  Minion.registerTarget.target.kind = wire::TargetKind::MINION;
  Minion.registerTarget.target.availabilityZone = "zone-0";
  Minion.registerTarget.target.incarnation = 1;
  Apply.apply("register", Minion);
  for (int64_t I = 0; I < Claims; ++I) {
    wire::Command Open;
    Open.__isset.openClaim = true;
    Open.openClaim.claimId = "team-1/cheques/order-" + std::to_string(I);
    Open.openClaim.vm = "minion";
    Open.openClaim.incarnation = 1;
    Open.openClaim.requestDigest = std::string(32, 'd');
    Open.openClaim.entry = "entry-1";
    Open.openClaim.attemptId = "entry-1/" + std::to_string(I);
    wire::Command Close;
    Close.__isset.closeClaim = true;
    Close.closeClaim.vm = "minion";
    Close.closeClaim.incarnation = 1;
    Close.closeClaim.outcome.claimId = Open.openClaim.claimId;
    Close.closeClaim.outcome.token = Apply.apply("open", Open).claimToken;
    Close.closeClaim.outcome.outcome = wire::Outcome::COMPLETED;
    Close.closeClaim.outcome.body = std::string(100, 'b');
    Apply.apply("close", Close);
  }
}

void withdrawZone(Meter &Apply) {
  wire::Command Command;
  Command.__isset.setZoneService = true;
  Command.setZoneService.availabilityZone = "zone-1";
  Command.setZoneService.requestId = "request-1";
  Apply.apply("withdraw", Command);
}

void loseAndCancel(Meter &Apply, state::ClusterState &State, int64_t Targets) {
  for (int64_t I = 0; I < Targets / 6; ++I) {
    wire::Command Command;
    Command.__isset.loseTarget = true;
    Command.loseTarget.vm = vmName(I * 6);
    Command.loseTarget.incarnation = 1;
    Apply.apply("lose", Command);
  }
  for (const JobId Id : State.liveJobs()) {
    wire::Command Command;
    Command.__isset.cancelJob = true;
    Command.cancelJob.jobId = Id.value();
    Apply.apply("cancel", Command);
  }
}

size_t heapBytes() { return mallinfo2().uordblks; }

void measure(int64_t Percent) {
  const int64_t Targets = FullTargets * Percent / 100;
  const int64_t Jobs = FullTasks * Percent / 100 / GangSize;
  const int64_t Claims = FullClaims * Percent / 100;
  std::printf("size=%ld%% targets=%ld tasks=%ld claims=%ld\n", Percent, Targets,
              Jobs * GangSize, Claims);
  const size_t Before = heapBytes();
  state::ClusterState State = *state::ClusterState::create();
  Meter Apply(State);
  Apply.apply("config", configure());
  addTargets(Apply, Targets);
  for (int64_t I = 0; I < Jobs; ++I)
    addJob(Apply, I, Targets);
  addClaims(Apply, Claims);
  // The meter keeps one double per command.
  const int64_t Commands =
      Targets + 2 + Jobs * (2 + GangSize * MessagesPerTask) + Claims * 2;
  const size_t Heap =
      heapBytes() - Before - static_cast<size_t>(Commands) * sizeof(double);

  Clock::time_point Start = Clock::now();
  size_t Assignments = 0;
  for (int64_t I = 0; I < Targets; ++I)
    Assignments += State.assignmentsFor(VmId(vmName(I))).size();
  const double AssignmentMicros =
      microsSince(Start) / static_cast<double>(Targets);
  Start = Clock::now();
  const std::string Bytes = State.snapshot();
  const double SnapshotMicros = microsSince(Start);
  Start = Clock::now();
  const bool Equal = state::ClusterState::restore(Bytes)->snapshot() == Bytes;
  const double RestoreMicros = microsSince(Start);
  std::printf("  heap_mb=%.1f snapshot_mb=%.1f snapshot_ms=%.1f "
              "restore_and_snapshot_ms=%.1f equal=%d\n",
              static_cast<double>(Heap) / 1e6,
              static_cast<double>(Bytes.size()) / 1e6, SnapshotMicros / 1e3,
              RestoreMicros / 1e3, Equal ? 1 : 0);
  std::printf("  assignments=%zu assignments_for_vm_us=%.2f\n", Assignments,
              AssignmentMicros);
  withdrawZone(Apply);
  loseAndCancel(Apply, State, Targets);
  Apply.print();
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count == 1) {
    for (const int64_t Percent : {12, 25, 50, 75, 100})
      measure(Percent);
  }
  for (int I = 1; I < Count; ++I)
    measure(std::max(1, std::atoi(Arguments[I])));
  return 0;
}
