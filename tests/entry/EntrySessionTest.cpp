#include <fstream>
#include <regex>
#include <sstream>

#include <boost/test/unit_test.hpp>

#include "SessionHarness.h"

namespace {

using namespace anvil;
using namespace anvil::entry::testing;

/// One request of the session and the scripted replies of the fakes to
/// it.
struct Exchange {
  std::string m_Head;
  std::string m_Body;
  std::vector<wire::CommandResult> m_Results;
  std::vector<wire::QueryReply> m_Replies;
  std::vector<wire::ExecuteReply> m_AgentReplies;
};

wire::CommandResult
claimResult(wire::ClaimState::type State,
            wire::Outcome::type Stored = wire::Outcome::COMPLETED) {
  wire::CommandResult Result;
  Result.status = wire::CommandStatus::OK;
  Result.claimState = State;
  Result.claimToken = State == wire::ClaimState::GRANTED ? 41 : 0;
  Result.claimOutcome.outcome = Stored;
  Result.claimOutcome.httpStatus = 202;
  Result.claimOutcome.contentType = "text/plain";
  Result.claimOutcome.body = "serial 1000-1099\n";
  return Result;
}

wire::CommandResult commandResult(wire::CommandStatus::type Status,
                                  const std::string &Message = "",
                                  const std::string &Field = "",
                                  const std::string &Winner = "") {
  wire::CommandResult Result;
  Result.status = Status;
  Result.index = 12;
  Result.message = Message;
  Result.field = Field;
  Result.winner = Winner;
  Result.jobId = Status == wire::CommandStatus::OK ? 5 : 0;
  return Result;
}

wire::QueryReply queryReply(int Status, const std::string &Json,
                            bool Stale = false) {
  wire::QueryReply Reply;
  Reply.httpStatus = Status;
  Reply.json = Json;
  Reply.stale = Stale;
  return Reply;
}

wire::ExecuteReply notRunReply() {
  wire::ExecuteReply Reply;
  Reply.outcome = wire::Outcome::NOT_RUN;
  Reply.reason = "queue full";
  Reply.load.queued = Reply.load.queueLimit = 4;
  return Reply;
}

std::string requestHead(const std::string &Line,
                        const std::string &Fields = "") {
  return Line + " HTTP/1.1\r\nHost: entry\r\n" + Fields;
}

const std::string Quote =
    "Anvil-Workspace: malabar\r\nAnvil-Class: quote\r\nX-Request-Id: q-1\r\n";
const std::string Reorder =
    "Anvil-Workspace: malabar\r\nAnvil-Class: reorder\r\nX-Request-Id: r-1\r\n";
const std::string KeyedReorder = Reorder + "Idempotency-Key: k-1\r\n";
const std::string Operator = "Anvil-Operator: asha\r\nX-Request-Id: o-1\r\n";
const std::string Config = R"(environment: trial
version: 3
availability_zones:
  - name: kochi
    region: kerala
    workers: [{count: 2, accelerators: 8, cores: 64, memory_gib: 256, per_rack: 2}]
workspaces:
  - name: sieving
    quota: {accelerators: 16, cores: 128, memory_gib: 512}
services:
  - name: sieve
    slots: 8
    connections: 64
    classes:
      - {name: quote, urgency: working-day, deadline_ms: 2000, idempotent: true, queue_limit: 200}
)";
const std::string Job =
    R"({"workspace":"malabar","name":"report","tasks":2,"per_task":{"accelerators":1,"cores":4}})";

std::vector<Exchange> sessionExchanges() {
  using Status = wire::CommandStatus;
  using State = wire::ClaimState;
  return {
      {requestHead("GET /healthz"), "", {}, {}, {}},
      {requestHead("GET /readyz"), "", {}, {}, {}},
      {requestHead("POST /services/sieve/quotes?grit=40", Quote),
       "forty",
       {},
       {},
       {}},
      {requestHead("GET /services/sieve/quotes", Quote),
       "",
       {},
       {},
       {notRunReply()}},
      {requestHead("GET /services/nope/quotes", Quote), "", {}, {}, {}},
      {requestHead("GET /services/sieve/quotes",
                   Quote + "X-Request-Timeout-Ms: soon\r\n"),
       "",
       {},
       {},
       {}},
      {requestHead("GET /services/sieve/quotes",
                   Quote + "Anvil-Class: reorder\r\n"),
       "",
       {},
       {},
       {}},
      {requestHead("POST /services/sieve/reorders", Reorder),
       "100 cheques",
       {},
       {},
       {}},
      {requestHead("POST /services/sieve/reorders", KeyedReorder),
       "100 cheques",
       {claimResult(State::GRANTED)},
       {},
       {}},
      {requestHead("POST /services/sieve/reorders", KeyedReorder),
       "100 cheques",
       {claimResult(State::CLOSED)},
       {},
       {}},
      {requestHead("POST /services/sieve/reorders", KeyedReorder),
       "100 cheques",
       {claimResult(State::HELD),
        claimResult(State::CLOSED, wire::Outcome::UNKNOWN)},
       {},
       {}},
      {requestHead("POST /services/sieve/reorders", KeyedReorder),
       "200 cheques",
       {commandResult(Status::INVALID, "another digest", "requestDigest")},
       {},
       {}},
      {requestHead("POST /v1/jobs", Operator + "Idempotency-Key: j-1\r\n"),
       Job,
       {commandResult(Status::OK)},
       {},
       {}},
      {requestHead("POST /v1/jobs", Operator), Job, {}, {}, {}},
      {requestHead("POST /v1/jobs", Operator + "Idempotency-Key: j-2\r\n"),
       R"({"workspace":"malabar","name":7})",
       {},
       {},
       {}},
      {requestHead("POST /v1/jobs", Operator + "Idempotency-Key: j-3\r\n"),
       Job,
       {commandResult(Status::INVALID, "no such workspace", "workspace")},
       {},
       {}},
      {requestHead("POST /v1/jobs", Operator + "Idempotency-Key: j-4\r\n"),
       Job,
       {commandResult(Status::LIMIT, "too many jobs")},
       {},
       {}},
      {requestHead("GET /v1/jobs?workspace=malabar", Operator),
       "",
       {},
       {queryReply(200, "[]")},
       {}},
      {requestHead("GET /v1/jobs/5", Operator),
       "",
       {},
       {queryReply(200, "{\"id\":5}")},
       {}},
      {requestHead("GET /v1/jobs/five", Operator), "", {}, {}, {}},
      {requestHead("DELETE /v1/jobs/6", Operator),
       "",
       {commandResult(Status::NOT_FOUND, "no such job")},
       {},
       {}},
      {requestHead("GET /v1/explain/job/5", Operator),
       "",
       {},
       {queryReply(200, "{\"reason\":\"quota\"}")},
       {}},
      {requestHead("GET /v1/explain/rack/5", Operator), "", {}, {}, {}},
      {requestHead("POST /v1/zones/kochi/withdraw"), "", {}, {}, {}},
      {requestHead("POST /v1/zones/kochi/withdraw", Operator),
       "",
       {commandResult(Status::OK)},
       {},
       {}},
      {requestHead("POST /v1/zones/kochi/close", Operator), "", {}, {}, {}},
      {requestHead("PUT /v1/config?environment=live&promoted_from=trial",
                   Operator),
       Config,
       {commandResult(Status::CONFLICT, "version 3 is taken", "version",
                      "ravi")},
       {},
       {}},
      {requestHead("PUT /v1/config", Operator),
       "environment: live\nversion: three\n",
       {},
       {},
       {}},
      {requestHead("GET /v1/status?linearizable=false", Operator),
       "",
       {},
       {queryReply(200, "{\"leader\":\"c1\"}", true)},
       {}},
      {requestHead("GET /v1/timeline?request=q-1&limit=2&format=text",
                   Operator),
       "",
       {},
       {queryReply(400, "{}")},
       {}},
      {requestHead("GET /v1/timeline?limit=0", Operator), "", {}, {}, {}},
      {requestHead("POST /v1/status", Operator), "", {}, {}, {}},
      {requestHead("GET /v2/status", Operator), "", {}, {}, {}},
  };
}

std::string normalized(std::string Text) {
  Text = std::regex_replace(Text, std::regex("\r"), "");
  Text = std::regex_replace(Text, std::regex("e1-[0-9a-f]{8}-[0-9]+"), "ID");
  Text =
      std::regex_replace(Text, std::regex("attemptId=[0-9]+/"), "attemptId=N/");
  // The digest depends on the canonical form of a document, which the tests of
  // module config cover.
  Text = std::regex_replace(Text, std::regex(", digest=[0-9a-f]{32}"),
                            ", digest=DIGEST");
  // The choice between the two minions depends on the age of their last
  // reports.
  Text = std::regex_replace(Text, std::regex("vm=minion-[12]"), "vm=VM");
  // Unset members of a command are left out of the transcript.
  return std::regex_replace(Text, std::regex("(, )?[A-Za-z]+=<null>"), "");
}

std::string runSession(SessionHarness &Harness) {
  std::string Transcript;
  for (const Exchange &Exchange : sessionExchanges()) {
    Harness.run([&Harness, &Exchange] {
      Harness.m_RecordedCalls.clear();
      // The entry may ask either replica.
      for (const auto &Control : Harness.m_Controls) {
        Control->m_Results = {Exchange.m_Results.begin(),
                              Exchange.m_Results.end()};
        Control->m_Replies = {Exchange.m_Replies.begin(),
                              Exchange.m_Replies.end()};
      }
      Harness.m_Agent->m_Replies = {Exchange.m_AgentReplies.begin(),
                                    Exchange.m_AgentReplies.end()};
    });
    const std::string Answer =
        Harness.exchange(Exchange.m_Head, Exchange.m_Body);
    Transcript +=
        "> " + Exchange.m_Head.substr(0, Exchange.m_Head.find(" HTTP")) + "\n";
    Harness.run([&Harness, &Transcript] {
      for (const std::string &RecordedCall : Harness.m_RecordedCalls)
        Transcript += RecordedCall + "\n";
    });
    Transcript += Answer + "\n";
  }
  return normalized(Transcript);
}

std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

} // namespace

BOOST_AUTO_TEST_SUITE(EntrySessionTest)

// Guards against an unintended change of the HTTP interface, of the commands
// sent to control or of the calls sent to agents. The actual transcript is
// written to the build folder.
BOOST_AUTO_TEST_CASE(SessionMatchesTheGoldenFile) {
  SessionHarness Harness;
  Harness.awaitReady();

  const std::string Actual = runSession(Harness);

  std::ofstream(ANVIL_BINARY_DIR "/entry-session.txt") << Actual;
  const std::string Expected =
      readFile(ANVIL_SOURCE_DIR "/tests/entry/golden/session.txt");
  std::istringstream ExpectedLines(Expected);
  std::istringstream ActualLines(Actual);
  std::string ExpectedLine;
  std::string ActualLine;
  for (int Line = 1; Line < 100000; ++Line) {
    const bool HasExpected =
        static_cast<bool>(std::getline(ExpectedLines, ExpectedLine));
    const bool HasActual =
        static_cast<bool>(std::getline(ActualLines, ActualLine));
    BOOST_REQUIRE_MESSAGE(HasExpected == HasActual,
                          "line " << Line << ": one transcript ends here");
    if (!HasExpected)
      break;
    BOOST_TEST(ActualLine == ExpectedLine,
               "line " << Line << "\n  expected " << ExpectedLine
                       << "\n  actual   " << ActualLine);
  }
}

// Guards against an entry that stops serving when the control replica that it
// uses fails.
BOOST_AUTO_TEST_CASE(ChangesToAnotherControlReplica) {
  SessionHarness Harness;
  Harness.awaitReady();
  Harness.run([&Harness] {
    // The fixed random number selects the first replica at the start.
    Harness.m_Controls[0].reset();
    Harness.m_Controls[1]->m_Replies.push_back(
        queryReply(200, "{\"leader\":\"c2\"}"));
  });

  const std::string Answer = Harness.exchange(requestHead("GET /v1/status"));

  BOOST_TEST(Answer.find("{\"leader\":\"c2\"}") != std::string::npos, Answer);
  Harness.awaitReady();
}

// Guards against a shutdown that does not report not ready, or that refuses
// requests while callers are still directed to this entry.
BOOST_AUTO_TEST_CASE(ReportsNotReadyButServesDuringTheDrainNotice) {
  SessionHarness Harness(std::chrono::hours(1));
  Harness.awaitReady();
  Harness.run([&Harness] {
    Harness.m_Entry->shutdown([](const entry::EntryReport &) {});
  });

  const std::string Ready = Harness.exchange("GET /readyz HTTP/1.1\r\n");
  BOOST_TEST(Ready.find("503") != std::string::npos, Ready);
  BOOST_TEST(Ready.find("shutting-down") != std::string::npos, Ready);
  BOOST_TEST(Harness.exchange(requestHead("GET /services/sieve/q", Quote))
                 .find("200 OK") != std::string::npos);
}

// Guards against a shutdown that cuts off a request in progress, or that never
// ends once the request is answered.
BOOST_AUTO_TEST_CASE(ShutdownFinishesRequestsInProgress) {
  SessionHarness Harness;
  Harness.awaitReady();
  Harness.run([&Harness] { Harness.m_Agent->m_HoldRequests = true; });
  auto Answer = std::async(std::launch::async, [&Harness] {
    return Harness.exchange(requestHead("GET /services/sieve/q", Quote));
  });
  Harness.awaitHeldRequests(1);
  std::promise<entry::EntryReport> Stopped;

  Harness.run([&] {
    Harness.m_Entry->shutdown([&Stopped](const entry::EntryReport &Report) {
      Stopped.set_value(Report);
    });
  });

  Harness.run([&Harness] { Harness.m_Agent->release(); });
  BOOST_TEST(Answer.get().find("Anvil-Outcome: completed") !=
             std::string::npos);
  BOOST_TEST(Stopped.get_future().get().m_CutOff.empty());
}

// Guards against a forced shutdown whose report misses an interrupted request
// or connection, before or after the listener is closed.
BOOST_AUTO_TEST_CASE(CutOffReportsWhatItCutOff) {
  for (const bool ListenerClosed : {false, true}) {
    SessionHarness Harness(ListenerClosed ? Duration(0)
                                          : std::chrono::hours(1));
    Harness.awaitReady();
    Harness.run([&Harness] { Harness.m_Agent->m_HoldRequests = true; });
    auto Answer = std::async(std::launch::async, [&Harness] {
      return Harness.exchange(requestHead("GET /services/sieve/q", Quote));
    });
    Harness.awaitHeldRequests(1);
    std::promise<entry::EntryReport> Stopped;
    Harness.run([&] {
      Harness.m_Entry->shutdown([&Stopped](const entry::EntryReport &Report) {
        Stopped.set_value(Report);
      });
    });
    while (ListenerClosed && Harness.accepts())
      std::this_thread::yield();

    Harness.run([&Harness] { Harness.m_Entry->cutOff(); });

    const entry::EntryReport Report = Stopped.get_future().get();
    BOOST_REQUIRE(Report.m_CutOff.size() == 1U);
    BOOST_TEST(Report.m_CutOff[0] == "GET /services/sieve/q request=q-1");
    BOOST_TEST(Report.m_CutOffConnections == 1U);
    BOOST_TEST(Answer.get().empty());
  }
}

BOOST_AUTO_TEST_SUITE_END()
