#include <deque>
#include <functional>

#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>

#include "support/TestEntry.h"
#include "workload/WorkloadFixture.h"

namespace anvil::node {
namespace {

using support::TestEntry;

constexpr Duration CallTimeout = std::chrono::seconds(3);
constexpr size_t Replicas = 3;

wire::WorkloadCall callFor(const std::string &Job, std::string_view Prefix) {
  wire::WorkloadCall Call;
  Call.jobId = Job;
  Call.address.host = "quotes.example";
  Call.address.path = std::string(Prefix) + Job;
  Call.address.key = "key-1";
  return Call;
}

wire::WorkloadCall submitCall(const std::string &Job, std::string_view Prefix) {
  wire::WorkloadCall Call = callFor(Job, Prefix);
  Call.__set_submit(workload::makeSpec({workload::makeStep(1)}));
  return Call;
}

wire::WorkloadCall statusCall(const std::string &Job, std::string_view Prefix) {
  wire::WorkloadCall Call = callFor(Job, Prefix);
  Call.__set_status(true);
  return Call;
}

wire::WorkloadCall cancelCall(const std::string &Job, std::string_view Prefix) {
  wire::WorkloadCall Call = callFor(Job, Prefix);
  Call.__set_cancel(true);
  return Call;
}

std::string jobNumber(int64_t Number) {
  return std::to_string(1'000'000'000'000'000 + Number);
}

/// A group of replicas in one thread.
class Group {
public:
  Group() {
    std::vector<net::Endpoint> Addresses;
    Addresses.reserve(Replicas);
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
    putPolicy(workload::makePolicy(1));
    BOOST_REQUIRE(m_Loop.runUntil([this] {
      return std::all_of(
          m_Entries.begin(), m_Entries.end(),
          [](TestEntry &Each) { return Each.process().ready(); });
    }));
  }

  /// Puts \p Policy and waits until it is acknowledged.
  void putPolicy(const wire::PolicyDocument &Policy) {
    wire::PutPolicy Put;
    Put.document = Policy;
    wire::WorkloadCall Call;
    Call.__set_putPolicy(Put);
    BOOST_TEST(
        callAndWait(m_Loop, m_Entries[0], Call, 5 * CallTimeout).succeeded());
  }

  support::Loopback m_Loop;
  std::deque<TestEntry> m_Entries;
};

/// A caller that hands one job in again and again until it is accepted.
class Consumer {
public:
  Consumer(support::Loopback &Loop, TestEntry &Entry, const std::string &Job,
           std::string_view Prefix, Duration RetryPause)
      : m_Entry(Entry), m_RetryPause(RetryPause), m_Timer(Loop.m_Io),
        m_Submit(submitCall(Job, Prefix)) {}

  void submit() {
    m_Entry.process().call(m_Submit, CallTimeout,
                           [this](const CallResult &Result) {
                             m_Accepted = Result.succeeded();
                             if (!m_Accepted)
                               submitLater();
                           });
  }
  bool accepted() const { return m_Accepted; }
  const wire::WorkloadCall &call() const { return m_Submit; }

private:
  void submitLater() {
    m_Timer.expires_after(m_RetryPause);
    m_Timer.async_wait([this](boost::system::error_code Error) {
      if (!Error)
        submit();
    });
  }

  TestEntry &m_Entry;
  const Duration m_RetryPause;
  boost::asio::steady_timer m_Timer;
  const wire::WorkloadCall m_Submit;
  bool m_Accepted = false;
};

} // namespace

BOOST_AUTO_TEST_SUITE(SubmissionTest)

// Guards against a job that is acknowledged and not stored, because the policy
// that adds its queue came into force while a refusal was being confirmed.
BOOST_FIXTURE_TEST_CASE(StoresEachAcceptedJobWhileAPolicyAddsItsQueue, Group) {
  constexpr int Versions = 60;
  constexpr int Consumers = 12;
  wire::PolicyDocument Policy = workload::makePolicy(1);
  int Lost = 0;
  for (int Version = 2; Version < Versions; ++Version) {
    wire::QueuePolicy Added = Policy.queues.front();
    Added.name = "queue-" + std::to_string(Version);
    Added.pathPrefix = "/" + Added.name + "/";
    Policy.version = Version;
    Policy.queues.push_back(Added);
    std::deque<Consumer> Waiting;
    for (int I = 0; I < Consumers; ++I)
      Waiting
          .emplace_back(
              m_Loop, m_Entries[static_cast<size_t>(I) % m_Entries.size()],
              jobNumber(int64_t{Version} * Consumers + I), Added.pathPrefix,
              // Different pauses spread the attempts over the time
              // in which the policy comes into force.
              std::chrono::microseconds(150 + 40 * I))
          .submit();
    putPolicy(Policy);
    BOOST_REQUIRE(m_Loop.runUntil([&Waiting] {
      return std::all_of(Waiting.begin(), Waiting.end(),
                         [](const Consumer &Each) { return Each.accepted(); });
    }));
    for (const Consumer &Each : Waiting) {
      const wire::WorkloadCall Status =
          statusCall(Each.call().jobId, Added.pathPrefix);
      Lost += !callAndWait(m_Loop, m_Entries[0], Status).succeeded();
    }
  }
  BOOST_TEST(Lost == 0);
}

// Guards against a job that runs although its caller was told, by another
// process, that there is no such job to cancel.
BOOST_FIXTURE_TEST_CASE(RefusesAJobThatWasCancelledOnItsWay, Group) {
  const std::string Job = jobNumber(1);
  const wire::WorkloadCall Cancel = cancelCall(Job, "/q/");
  BOOST_TEST(callAndWait(m_Loop, m_Entries[0], Cancel).m_Status ==
             wire::WorkloadStatus::NO_JOB);
  const wire::WorkloadCall Submit = submitCall(Job, "/q/");
  BOOST_TEST(callAndWait(m_Loop, m_Entries[1], Submit).m_Status ==
             wire::WorkloadStatus::NO_JOB);
}

// Guards against handing in a job whose caller gave it up while the entry
// looked for a leader.
BOOST_FIXTURE_TEST_CASE(HandsInNoJobWhoseCallerHasGone, Group) {
  const std::string Job = jobNumber(2);
  const wire::WorkloadCall Submit = submitCall(Job, "/q/");
  std::optional<CallResult> Result;
  m_Entries[0].process().call(
      Submit, CallTimeout,
      [&Result](CallResult Answer) { Result = std::move(Answer); },
      [] { return false; });
  BOOST_REQUIRE(m_Loop.runUntil([&Result] { return Result.has_value(); }));
  BOOST_TEST(Result->m_Status == wire::WorkloadStatus::NOT_READY);
  const wire::WorkloadCall Status = statusCall(Job, "/q/");
  BOOST_TEST(callAndWait(m_Loop, m_Entries[0], Status).m_Status ==
             wire::WorkloadStatus::NO_JOB);
}

// Guards against answering that there is no such job, and ignoring its
// cancelling, because its queue was removed and added again under a new name.
BOOST_FIXTURE_TEST_CASE(FindsAJobAfterItsQueueWasAddedAgain, Group) {
  const std::string Job = jobNumber(3);
  const wire::WorkloadCall Submit = submitCall(Job, "/q/");
  BOOST_TEST(callAndWait(m_Loop, m_Entries[0], Submit).succeeded());
  wire::PolicyDocument Policy = workload::makePolicy(2);
  Policy.queues.clear();
  putPolicy(Policy);
  Policy = workload::makePolicy(3);
  Policy.queues.front().name = "offers";
  putPolicy(Policy);

  const wire::WorkloadCall Status = statusCall(Job, "/q/");
  BOOST_TEST(callAndWait(m_Loop, m_Entries[0], Status).succeeded());
  const wire::WorkloadCall Cancel = cancelCall(Job, "/q/");
  BOOST_TEST(callAndWait(m_Loop, m_Entries[0], Cancel).succeeded());
  BOOST_TEST(callAndWait(m_Loop, m_Entries[0], Status).m_Phase ==
             wire::JobPhase::CANCELLED);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::node
