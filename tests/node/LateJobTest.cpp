#include <algorithm>
#include <list>

#include <boost/test/unit_test.hpp>

#include "anvil/net/WireCodec.h"
#include "support/TestEntry.h"
#include "workload/WorkloadFixture.h"

namespace anvil::node {
namespace {

using support::TestEntry;

// Time after which a new leader no longer waits for agents, with some reserve.
constexpr Duration SettleTime = std::chrono::milliseconds(1300);
constexpr int Batches = 24;

wire::WorkloadCall callFor(const std::string &Job, std::string_view Prefix) {
  wire::WorkloadCall Call;
  Call.jobId = Job;
  Call.address.host = "quotes.example";
  Call.address.path = std::string(Prefix) + Job;
  Call.address.key = "key-1";
  return Call;
}

wire::WorkloadCall submitCall(const std::string &Job, std::string_view Prefix,
                              int64_t EstimateMs) {
  wire::WorkloadCall Call = callFor(Job, Prefix);
  wire::StepSpec Step = workload::makeStep(1);
  Step.estimateMs = EstimateMs;
  Call.__set_submit(workload::makeSpec({Step}));
  return Call;
}

std::string batchNumber(int Number) {
  return std::to_string(1'000'000'000'000'000 + Number);
}

const std::string Late = "00000000000000aa";

/// A group whose only worker starts nothing, since its agent falls silent, and
/// whose queue holds batches for 300 s of that worker.
class FullGroup {
public:
  explicit FullGroup(size_t Replicas = 1) {
    std::vector<net::Endpoint> Addresses;
    for (size_t I = 0; I < Replicas; ++I)
      Addresses.push_back({"127.0.0.1", support::findFreePort()});
    for (const net::Endpoint &Address : Addresses) {
      support::TestEntryOptions Options;
      Options.m_Listen = Address;
      Options.m_Seeds = Addresses;
      Options.m_HasDisk = true;
      Options.m_Random = 0.2 * static_cast<double>(m_Entries.size() + 1);
      m_Entries.emplace_back(m_Loop, Options);
    }
    putPolicy();
    BOOST_REQUIRE(m_Loop.runUntil([this] { return findLeader() != nullptr; }));
    const TimePoint SettledAt = daemon::monotonicNow() + SettleTime;
    addWorker();
    for (int I = 0; I < Batches; ++I)
      BOOST_REQUIRE(
          call(submitCall(batchNumber(I), "/batch/", 100'000)).succeeded());
    BOOST_REQUIRE(
        m_Loop.runUntil([&] { return daemon::monotonicNow() >= SettledAt; }));
  }

  CallResult call(const wire::WorkloadCall &Call) {
    return callAndWait(m_Loop, leader(), Call);
  }
  TestEntry &leader() { return *findLeader(); }
  /// Cancels all batches.
  void drain() {
    for (int I = 0; I < Batches; ++I) {
      wire::WorkloadCall Cancel = callFor(batchNumber(I), "/batch/");
      Cancel.__set_cancel(true);
      BOOST_REQUIRE(call(Cancel).succeeded());
    }
  }
  /// Ends all processes but the leader.
  void endFollowers() {
    m_Entries.remove_if(
        [](const TestEntry &Each) { return !Each.process().leads(); });
  }

  support::Loopback m_Loop;

private:
  TestEntry *findLeader() {
    const auto It =
        std::find_if(m_Entries.begin(), m_Entries.end(),
                     [](TestEntry &Each) { return Each.process().leads(); });
    return It == m_Entries.end() ? nullptr : &*It;
  }
  void putPolicy() {
    wire::PutPolicy Put;
    Put.document = workload::makePolicy(1);
    wire::QueuePolicy Batch = Put.document.queues.front();
    Batch.name = "batch";
    Batch.pathPrefix = "/batch/";
    Batch.slackFactor = 1;
    // Their slack lasts for the whole test, so they rank above the new jobs.
    Batch.latencyTargetMs = 30'000;
    Put.document.queues.push_back(Batch);
    Put.document.workspaces.front().guaranteed.accelerators = 0;
    wire::WorkloadCall Call;
    Call.__set_putPolicy(Put);
    BOOST_REQUIRE(
        callAndWait(m_Loop, m_Entries.front(), Call, std::chrono::seconds(15))
            .succeeded());
    BOOST_REQUIRE(m_Loop.runUntil([this] {
      return std::all_of(
          m_Entries.begin(), m_Entries.end(),
          [](TestEntry &Each) { return Each.process().ready(); });
    }));
  }
  void addWorker() {
    wire::WorkerSyncRequest Request;
    Request.agentIncarnation = "agent-1";
    Request.sequence = 1;
    Request.info.incarnation = workload::incarnation("w-1");
    Request.info.serviceName = "desk";
    Request.info.capacity = workload::amounts(64000, 64000, 8);
    Request.info.agentAddress = "127.0.0.1:9";
    net::RpcOptions Options;
    Options.m_Random = [] { return 0.5; };
    const auto Agent =
        net::RpcClient::create(m_Loop.m_Io, leader().address(), Options);
    Agent->call(wire::Method::WORKER_SYNC, net::encodeStruct(Request),
                std::chrono::seconds(2), "",
                [](const absl::StatusOr<std::string> &) {});
    BOOST_REQUIRE(m_Loop.runUntil(
        [this] { return leader().logged("worker-registered") == 1; }));
  }

  std::list<TestEntry> m_Entries;
};

} // namespace

BOOST_AUTO_TEST_SUITE(LateJobTest)

// Guards against accepting a job that can't end in time, and against a refusal
// that does not tell its caller when to return or operators why it was made.
BOOST_AUTO_TEST_CASE(RefusesALateJobWithATimeToRetry) {
  FullGroup Group;
  const CallResult Result = Group.call(submitCall(Late, "/q/", 1000));
  BOOST_TEST(Result.m_Status == wire::WorkloadStatus::OVERLOADED);
  BOOST_TEST(Result.m_Message == "it can't end in time");
  BOOST_TEST((Result.m_RetryAfter >= std::chrono::milliseconds(500)));
  BOOST_TEST(Group.leader().logged("\"event\":\"submit-refused\"") == 1);
  BOOST_TEST(Group.leader().logged("\"expected_end_ms\":") == 1);
  BOOST_TEST(Group.leader().logged("\"last_useful_end_ms\":") == 1);
  BOOST_TEST(Group.leader().logged("\"retry_after_ms\":") == 1);
  BOOST_TEST(Group.leader().logged("\"backlog_age_ms\":") == 1);
  BOOST_TEST(Group.leader().metricsText().find(
                 "anvil_jobs_refused_total{reason=\"it can't end in time\","
                 "workspace=\"team\"} 1") != std::string::npos);
}

// Guards against a refusal that leaves a trace of the job, and so against a
// refused job that runs, or one that is refused for good.
BOOST_AUTO_TEST_CASE(AcceptsARefusedJobThatLaterFindsRoom) {
  FullGroup Group;
  const wire::WorkloadCall Submit = submitCall(Late, "/q/", 1000);
  BOOST_TEST(Group.call(Submit).m_Status == wire::WorkloadStatus::OVERLOADED);
  wire::WorkloadCall Status = callFor(Late, "/q/");
  Status.__set_status(true);
  BOOST_TEST(Group.call(Status).m_Status == wire::WorkloadStatus::NO_JOB);
  Group.drain();
  BOOST_TEST(Group.call(Submit).succeeded());
}

// Guards against telling a caller that a job which is stored does not run.
BOOST_AUTO_TEST_CASE(ConfirmsAJobThatIsInTheState) {
  FullGroup Group;
  wire::WorkloadCall Lasting = submitCall(Late, "/q/", 1000);
  Lasting.submit.steps[0].longRunning = true;
  BOOST_TEST(Group.call(Lasting).succeeded());
  BOOST_TEST(Group.call(submitCall(Late, "/q/", 1000)).m_Status ==
             wire::WorkloadStatus::UNCHANGED);
}

// Guards against refusing a submission whose earlier copy is being committed:
// the caller would be told that the job does not run, and it would run.
BOOST_AUTO_TEST_CASE(RefusesNoJobWhoseProposalIsInFlight) {
  FullGroup Group;
  wire::WorkloadCall Lasting = submitCall(Late, "/q/", 1000);
  Lasting.submit.steps[0].longRunning = true;
  std::vector<wire::WorkloadStatus::type> Results;
  for (const wire::WorkloadCall &Each :
       {Lasting, submitCall(Late, "/q/", 1000)})
    Group.leader().process().call(Each, std::chrono::seconds(3),
                                  [&Results](const CallResult &Result) {
                                    Results.push_back(Result.m_Status);
                                  });
  BOOST_REQUIRE(
      Group.m_Loop.runUntil([&Results] { return Results.size() == 2; }));
  BOOST_TEST((Results == std::vector{wire::WorkloadStatus::OK,
                                     wire::WorkloadStatus::UNCHANGED}));
}

// Guards against a leader that refuses a job after the others have elected a
// new one, which may know the job.
BOOST_AUTO_TEST_CASE(RefusesNothingWithoutAQuorum) {
  FullGroup Group(3);
  const wire::WorkloadCall Submit = submitCall(Late, "/q/", 1000);
  BOOST_TEST(Group.call(Submit).m_Status == wire::WorkloadStatus::OVERLOADED);
  Group.endFollowers();
  const CallResult Result = Group.call(Submit);
  BOOST_TEST((Result.m_Status == wire::WorkloadStatus::NOT_READY ||
              Result.m_Status == wire::WorkloadStatus::UNKNOWN));
  BOOST_TEST((Result.m_RetryAfter == Duration(0)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::node
