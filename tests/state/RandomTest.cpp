#include <map>
#include <random>
#include <set>

#include "state/StateFixture.h"

namespace {

using namespace anvil::state;
using namespace anvil::state::test;
namespace wire = anvil::wire;
using anvil::VmId;
using wire::CommandStatus;

const std::vector<std::string> Workers = {"w0", "w1", "w2", "w3", "w4", "w5"};
const std::vector<std::string> Minions = {"m0", "m1"};

// Generates random commands, most of them valid in the current state, some of
// them late, repeated or invalid.
class CommandSource {
public:
  CommandSource(uint64_t Seed, const ClusterState &State)
      : m_Random(Seed), m_State(State) {}

  wire::Command next() {
    if (!m_Sent.empty() && chance(5))
      return m_Sent[pick(m_Sent.size())]; // A resend or a late command.
    wire::Command Command = draw();
    m_Sent.push_back(Command);
    if (m_Sent.size() > 200)
      m_Sent.erase(m_Sent.begin());
    return Command;
  }

  size_t pick(size_t Count) { return m_Random() % Count; }

private:
  bool chance(size_t Percent) { return pick(100) < Percent; }
  const std::string &worker() { return Workers[pick(Workers.size())]; }
  const std::string &minion() { return Minions[pick(Minions.size())]; }
  std::string zone() { return chance(50) ? "kochi" : "kollam"; }

  bool isUsable(const std::string &Vm) const {
    const auto Known = m_State.target(VmId(Vm));
    return Known && Known->m_Usable;
  }

  int64_t incarnation(const std::string &Vm) {
    const auto Known = m_State.target(VmId(Vm));
    const int64_t Current = Known ? Known->m_Info.incarnation : 1;
    return chance(95) ? Current : Current + static_cast<int64_t>(pick(3)) - 1;
  }

  int64_t liveJob() {
    const std::vector<anvil::JobId> Live = m_State.liveJobs();
    return Live.empty() ? 1 : Live[pick(Live.size())].value();
  }

  wire::Command draw() {
    const size_t Kind = pick(100);
    if (Kind < 40)
      return drawReport();
    if (Kind < 50)
      return drawPlacement();
    if (Kind < 58)
      return drawSubmission();
    if (Kind < 78)
      return drawClaim();
    if (Kind < 88)
      return drawTarget();
    return drawOperation();
  }

  wire::Command drawReport() {
    const std::string &Vm = worker();
    const std::vector<wire::Assignment> Assignments =
        m_State.assignmentsFor(VmId(Vm));
    if (Assignments.empty())
      return report(Vm, liveJob(), 0, 1, wire::TaskState::RUNNING,
                    incarnation(Vm));
    const wire::Assignment &Task = Assignments[pick(Assignments.size())];
    wire::TaskState::type State = answerTo(Task.order);
    if (chance(8))
      State = static_cast<wire::TaskState::type>(1 + pick(7));
    return report(Vm, Task.jobId, Task.taskIndex, Task.startToken, State,
                  incarnation(Vm));
  }

  wire::TaskState::type answerTo(wire::TaskOrder::type Order) {
    if (Order == wire::TaskOrder::PREPARE)
      return wire::TaskState::PREPARED;
    if (Order == wire::TaskOrder::STOP)
      return wire::TaskState::STOPPED;
    if (Order == wire::TaskOrder::CHECKPOINT_AND_STOP)
      return wire::TaskState::CHECKPOINTED;
    return chance(60) ? wire::TaskState::RUNNING : wire::TaskState::SUCCEEDED;
  }

  wire::Command drawPlacement() {
    const int64_t Id = liveJob();
    const auto View = m_State.job(anvil::JobId(Id));
    std::vector<std::string> Vms(View ? static_cast<size_t>(View->m_Spec.tasks)
                                      : 1);
    wire::Command Command = place(Id, Vms);
    for (wire::MemberPlacement &Member : Command.placeJob.members) {
      Member.vm = worker();
      for (size_t Tries = 0; Tries < 20 && !isUsable(Member.vm); ++Tries)
        Member.vm = worker();
      Member.incarnation = incarnation(Member.vm);
    }
    if (chance(5))
      Command.placeJob.members.pop_back();
    return Command;
  }

  wire::Command drawSubmission() {
    // With a long queue, almost every command would refer to a queued job.
    if (m_State.counters().m_QueuedJobs > 10)
      return drawPlacement();
    wire::Command Command =
        submit(1 + static_cast<int32_t>(pick(4)), chance(50),
               "s" + std::to_string(m_Random()), 2);
    Command.submitJob.spec.checkpointable = chance(30);
    return Command;
  }

  wire::Command drawClaim() {
    const std::string Id = "k" + std::to_string(pick(8));
    const std::string &Vm = minion();
    if (chance(50))
      return openClaim(Id, Vm, chance(70) ? "e" + std::to_string(pick(4)) : "",
                       "d", incarnation(Vm));
    if (chance(10))
      return expireClaims(static_cast<int64_t>(pick(20'000)) * SecondUs);
    const auto Known = m_State.claim(Id);
    const auto Outcome = static_cast<wire::Outcome::type>(1 + pick(3));
    return closeClaim(Id, Known ? Known->claimToken : 1, Outcome, Vm,
                      std::to_string(m_Random()), incarnation(Vm));
  }

  wire::Command drawTarget() {
    const std::string &Vm = chance(70) ? worker() : minion();
    const std::string Zone = Vm.back() % 2 == 0 ? "kochi" : "kollam";
    const int64_t Incarnation = incarnation(Vm) + (chance(10) ? 1 : 0);
    if (chance(75))
      return Vm[0] == 'w' ? registerWorker(Vm, Incarnation, Zone)
                          : registerMinion(Vm, Incarnation, Zone);
    return chance(60) ? lose(Vm, Incarnation) : drain(Vm, chance(30));
  }

  wire::Command drawOperation() {
    switch (pick(6)) {
    case 0:
      return cancel(liveJob());
    case 1:
      return reclaim(liveJob(),
                     static_cast<wire::ReclaimMode::type>(1 + pick(3)));
    case 2:
      return quarantine(worker(), chance(30));
    case 3:
      return zoneService(zone(), chance(80), "r" + std::to_string(pick(1'000)));
    case 4: {
      const int64_t Version =
          m_State.configuration().m_Version + static_cast<int64_t>(pick(3)) - 1;
      return applyConfig(
          Version, documentText(Version, chance(50) ? "{}" : "{claims: 6}"),
          chance(50) ? "x" : "y");
    }
    default:
      return expireLeases(liveJob(), {0, 1, 2, 3});
    }
  }

  std::mt19937_64 m_Random;
  const ClusterState &m_State;
  std::vector<wire::Command> m_Sent;
};

// Checks the invariants of the state after every command.
class Invariants {
public:
  void check(const ClusterState &State, const wire::Command &Command,
             const wire::CommandResult &Result) {
    checkGangs(State);
    checkCapacity(State);
    checkClaims(State, Command, Result);
    const int64_t Version = State.configuration().m_Version;
    BOOST_REQUIRE_GE(Version, m_ConfigVersion);
    m_ConfigVersion = Version;
  }

private:
  static bool allowed(JobPhase Job, TaskPhase Task) {
    switch (Job) {
    case JobPhase::Reserved:
      return Task == TaskPhase::Reserved || Task == TaskPhase::Prepared;
    case JobPhase::Starting:
      return Task == TaskPhase::Starting || Task == TaskPhase::Running ||
             Task == TaskPhase::Succeeded;
    case JobPhase::Running:
      return Task == TaskPhase::Running || Task == TaskPhase::Succeeded;
    case JobPhase::Releasing:
      return Task == TaskPhase::Stopping || Task == TaskPhase::Lost ||
             Task == TaskPhase::Succeeded || Task == TaskPhase::Released;
    default:
      return false; // A job in any other phase has no members.
    }
  }

  // Requirement H2: a gang is placed as a whole, and either all of its members
  // have START orders or none has.
  void checkGangs(const ClusterState &State) {
    m_Used.clear();
    for (const anvil::JobId Id : State.liveJobs()) {
      const JobView View = *State.job(Id);
      const bool Placed = View.m_Phase != JobPhase::Queued;
      BOOST_REQUIRE_EQUAL(View.m_Members.size(),
                          Placed ? static_cast<size_t>(View.m_Spec.tasks) : 0U);
      for (const MemberView &Member : View.m_Members) {
        BOOST_REQUIRE_MESSAGE(allowed(View.m_Phase, Member.m_Phase),
                              "job " << Id << " " << nameOf(View.m_Phase)
                                     << " has a task "
                                     << nameOf(Member.m_Phase));
        if (Member.m_Phase != TaskPhase::Released)
          m_Used[Member.m_Vm.str()] += View.m_Spec.perTask.accelerators;
      }
      // Requirement H6: a job that ran and can neither be repeated nor resumed
      // is never queued or reserved again.
      const bool Once = !View.m_Spec.idempotent && !View.m_Spec.checkpointable;
      if (Once && View.m_Phase == JobPhase::Running)
        m_Ran.insert(Id.value());
      const bool Offered = View.m_Phase == JobPhase::Queued ||
                           View.m_Phase == JobPhase::Reserved;
      BOOST_REQUIRE_MESSAGE(!Offered || !m_Ran.contains(Id.value()),
                            "job " << Id << " may run twice");
    }
  }

  void checkCapacity(const ClusterState &State) {
    int64_t Held = 0;
    for (const std::string &Vm : Workers) {
      const auto View = State.target(VmId(Vm));
      if (!View)
        continue;
      BOOST_REQUIRE_EQUAL(View->m_Used.accelerators, m_Used[Vm]);
      BOOST_REQUIRE_LE(View->m_Used.accelerators,
                       View->m_Info.capacity.accelerators);
      Held += View->m_Used.accelerators;
    }
    BOOST_REQUIRE_EQUAL(
        State.heldBy(anvil::WorkspaceId("sieving")).accelerators, Held);
    BOOST_REQUIRE_LE(Held, 64);
  }

  // Each claim has at most one open grant, and a completed outcome is kept
  // until it expires.
  void checkClaims(const ClusterState &State, const wire::Command &Command,
                   const wire::CommandResult &Result) {
    if (Command.__isset.openClaim && Result.status == CommandStatus::OK) {
      const std::string &Id = Command.openClaim.claimId;
      if (Result.claimState == wire::ClaimState::GRANTED &&
          m_OpenTokens.contains(Id))
        BOOST_REQUIRE_EQUAL(m_OpenTokens[Id], Result.claimToken);
      if (Result.claimState == wire::ClaimState::GRANTED) {
        BOOST_REQUIRE_MESSAGE(!m_Completed.contains(Id),
                              "claim " << Id
                                       << " was granted after it completed");
        m_OpenTokens[Id] = Result.claimToken;
      }
      if (Result.claimState == wire::ClaimState::CLOSED &&
          m_Completed.contains(Id))
        BOOST_REQUIRE_EQUAL(Result.claimOutcome.body, m_Completed[Id]);
    }
    if (Command.__isset.closeClaim && Result.status == CommandStatus::OK) {
      const wire::ClaimOutcome &Outcome = Command.closeClaim.outcome;
      m_OpenTokens.erase(Outcome.claimId);
      if (Outcome.outcome == wire::Outcome::COMPLETED)
        m_Completed.emplace(Outcome.claimId, Outcome.body);
    }
    if (Command.__isset.expireClaims)
      std::erase_if(m_Completed, [&](const auto &Each) {
        return !State.claim(Each.first).has_value();
      });
    checkOpenClaims(State, Command.__isset.loseTarget ||
                               Command.__isset.registerTarget);
  }

  // An open claim ends only by CloseClaim or by the loss of its target.
  void checkOpenClaims(const ClusterState &State, bool TargetMayBeLost) {
    for (auto Next = m_OpenTokens.begin(); Next != m_OpenTokens.end();) {
      const auto Stored = State.claim(Next->first);
      BOOST_REQUIRE(Stored.has_value());
      BOOST_REQUIRE_EQUAL(Stored->claimToken, Next->second);
      const bool Lost =
          TargetMayBeLost && Stored->claimState == wire::ClaimState::CLOSED;
      if (Lost) {
        BOOST_REQUIRE((Stored->claimOutcome.outcome == wire::Outcome::UNKNOWN));
      } else {
        BOOST_REQUIRE((Stored->claimState == wire::ClaimState::HELD));
      }
      Next = Lost ? m_OpenTokens.erase(Next) : std::next(Next);
    }
  }

  std::map<std::string, int64_t> m_Used;
  std::set<int64_t> m_Ran;
  std::map<std::string, int64_t> m_OpenTokens;
  std::map<std::string, std::string> m_Completed;
  int64_t m_ConfigVersion = 0;
};

ClusterState restored(const std::string &Bytes) {
  absl::StatusOr<ClusterState> State = ClusterState::restore(Bytes);
  BOOST_REQUIRE_MESSAGE(State.ok(), State.status());
  return *std::move(State);
}

} // namespace

BOOST_AUTO_TEST_SUITE(RandomTest)

// Guards against sequences of commands that break an invariant, make replicas
// diverge, or produce a snapshot from which a restored replica diverges.
BOOST_AUTO_TEST_CASE(InvariantsHoldAndReplicasAgreeAfterEveryCommand) {
  constexpr int Commands = 15'000;
  constexpr int CommandsPerSnapshot = 250;
  for (const uint64_t Seed : {1, 2, 3, 4}) {
    BOOST_TEST_CONTEXT("seed " << Seed) {
      ClusterState Replica = *ClusterState::create();
      ClusterState Other = *ClusterState::create();
      CommandSource Source(Seed, Replica);
      Invariants Checks;
      int64_t NowUs = 0;
      for (int Index = 1; Index <= Commands; ++Index) {
        wire::Command Command =
            Index == 1 ? applyConfig(1, documentText(1)) : Source.next();
        NowUs += static_cast<int64_t>(1 + Source.pick(3)) * SecondUs;
        Command.proposedAtUs = NowUs;
        const wire::CommandResult Result = Replica.apply(Command, Index);
        BOOST_REQUIRE_MESSAGE(Other.apply(Command, Index) == Result,
                              "replicas differ at command " << Index);
        BOOST_TEST_CONTEXT("command " << Index) {
          Checks.check(Replica, Command, Result);
        }
        if (Index % CommandsPerSnapshot != 0)
          continue;
        const std::string Bytes = Replica.snapshot();
        BOOST_REQUIRE_MESSAGE(Other.snapshot() == Bytes,
                              "snapshots differ at command " << Index);
        Other = restored(Bytes);
        BOOST_REQUIRE_MESSAGE(Other.snapshot() == Bytes,
                              "the snapshot of a restored state differs");
      }
      // Ensures that the commands reach each of these outcomes.
      const Counters Totals = Replica.counters();
      BOOST_TEST(Totals.m_JobsCompleted > 10);
      BOOST_TEST(Totals.m_JobsCancelled > 10);
      BOOST_TEST(Totals.m_JobsOutcomeUnknown > 10);
      BOOST_TEST(Totals.m_ClaimsRefusedByLimit > 0);
      BOOST_TEST(Totals.m_StaleReports > 10);
    }
  }
}

// Guards against a state that is restored from a truncated or damaged snapshot
// or from one of an unknown format version.
BOOST_AUTO_TEST_CASE(DamagedSnapshotsAreRefused) {
  Cluster Fixture;
  Fixture.submitAndRun({"a", "c"}, submit(2));
  Fixture.apply(openClaim("k", "m"));
  const std::string Whole = Fixture.m_State.snapshot();
  BOOST_TEST(restored(Whole).snapshot() == Whole);
  for (size_t Length = 0; Length < Whole.size(); Length += 7)
    BOOST_REQUIRE(!ClusterState::restore(Whole.substr(0, Length)).ok());
  for (size_t Offset = 0; Offset < Whole.size(); Offset += 5) {
    std::string Damaged = Whole;
    Damaged[Offset] = static_cast<char>(Damaged[Offset] ^ 0x10);
    BOOST_REQUIRE_MESSAGE(!ClusterState::restore(Damaged).ok(),
                          "byte " << Offset);
  }
  std::string Newer = Whole;
  Newer[8] = 2;
  BOOST_TEST(ClusterState::restore(Newer).status().message() ==
             "snapshot: format version 2 is unknown, this program reads 1");
}

BOOST_AUTO_TEST_SUITE_END()
