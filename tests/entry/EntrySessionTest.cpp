#include <fstream>
#include <regex>
#include <sstream>

#include <boost/test/unit_test.hpp>

#include "SessionHarness.h"

namespace {

using namespace anvil;
using namespace anvil::entry::testing;

/// One exchange of the session, with the script of the fakes for it.
struct Exchange {
  std::string m_Head;
  std::string m_Body;
  std::vector<wire::CommandResult> m_Results;
  std::vector<wire::QueryReply> m_Replies;
  std::vector<wire::ExecuteReply> m_AgentReplies;
};

wire::CommandResult
claim(wire::ClaimState::type State,
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

wire::CommandResult result(wire::CommandStatus::type Status,
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

wire::QueryReply reply(int Status, const std::string &Json,
                       bool Stale = false) {
  wire::QueryReply Reply;
  Reply.httpStatus = Status;
  Reply.json = Json;
  Reply.stale = Stale;
  return Reply;
}

wire::ExecuteReply notRun() {
  wire::ExecuteReply Reply;
  Reply.outcome = wire::Outcome::NOT_RUN;
  Reply.reason = "queue full";
  Reply.load.queued = Reply.load.queueLimit = 4;
  return Reply;
}

std::string head(const std::string &Line, const std::string &Fields = "") {
  return Line + " HTTP/1.1\r\nHost: entry\r\n" + Fields;
}

const std::string Quote =
    "Anvil-Workspace: malabar\r\nAnvil-Class: quote\r\nX-Request-Id: q-1\r\n";
const std::string Reorder =
    "Anvil-Workspace: malabar\r\nAnvil-Class: reorder\r\nX-Request-Id: r-1\r\n";
const std::string Keyed = Reorder + "Idempotency-Key: k-1\r\n";
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

std::vector<Exchange> session() {
  using S = wire::CommandStatus;
  using C = wire::ClaimState;
  return {
      {head("GET /healthz"), "", {}, {}, {}},
      {head("GET /readyz"), "", {}, {}, {}},
      {head("POST /services/sieve/quotes?grit=40", Quote), "forty", {}, {}, {}},
      {head("GET /services/sieve/quotes", Quote), "", {}, {}, {notRun()}},
      {head("GET /services/nope/quotes", Quote), "", {}, {}, {}},
      {head("GET /services/sieve/quotes",
            Quote + "X-Request-Timeout-Ms: soon\r\n"),
       "",
       {},
       {},
       {}},
      {head("GET /services/sieve/quotes", Quote + "Anvil-Class: reorder\r\n"),
       "",
       {},
       {},
       {}},
      {head("POST /services/sieve/reorders", Reorder),
       "100 cheques",
       {},
       {},
       {}},
      {head("POST /services/sieve/reorders", Keyed),
       "100 cheques",
       {claim(C::GRANTED)},
       {},
       {}},
      {head("POST /services/sieve/reorders", Keyed),
       "100 cheques",
       {claim(C::CLOSED)},
       {},
       {}},
      {head("POST /services/sieve/reorders", Keyed),
       "100 cheques",
       {claim(C::HELD), claim(C::CLOSED, wire::Outcome::UNKNOWN)},
       {},
       {}},
      {head("POST /services/sieve/reorders", Keyed),
       "200 cheques",
       {result(S::INVALID, "another digest", "requestDigest")},
       {},
       {}},
      {head("POST /v1/jobs", Operator + "Idempotency-Key: j-1\r\n"),
       Job,
       {result(S::OK)},
       {},
       {}},
      {head("POST /v1/jobs", Operator), Job, {}, {}, {}},
      {head("POST /v1/jobs", Operator + "Idempotency-Key: j-2\r\n"),
       R"({"workspace":"malabar","name":7})",
       {},
       {},
       {}},
      {head("POST /v1/jobs", Operator + "Idempotency-Key: j-3\r\n"),
       Job,
       {result(S::INVALID, "no such workspace", "workspace")},
       {},
       {}},
      {head("POST /v1/jobs", Operator + "Idempotency-Key: j-4\r\n"),
       Job,
       {result(S::LIMIT, "too many jobs")},
       {},
       {}},
      {head("GET /v1/jobs?workspace=malabar", Operator),
       "",
       {},
       {reply(200, "[]")},
       {}},
      {head("GET /v1/jobs/5", Operator),
       "",
       {},
       {reply(200, "{\"id\":5}")},
       {}},
      {head("GET /v1/jobs/five", Operator), "", {}, {}, {}},
      {head("DELETE /v1/jobs/6", Operator),
       "",
       {result(S::NOT_FOUND, "no such job")},
       {},
       {}},
      {head("GET /v1/explain/job/5", Operator),
       "",
       {},
       {reply(200, "{\"reason\":\"quota\"}")},
       {}},
      {head("GET /v1/explain/rack/5", Operator), "", {}, {}, {}},
      {head("POST /v1/zones/kochi/withdraw"), "", {}, {}, {}},
      {head("POST /v1/zones/kochi/withdraw", Operator),
       "",
       {result(S::OK)},
       {},
       {}},
      {head("POST /v1/zones/kochi/close", Operator), "", {}, {}, {}},
      {head("PUT /v1/config?environment=live&promoted_from=trial", Operator),
       Config,
       {result(S::CONFLICT, "version 3 is taken", "version", "ravi")},
       {},
       {}},
      {head("PUT /v1/config", Operator),
       "environment: live\nversion: three\n",
       {},
       {},
       {}},
      {head("GET /v1/status?linearizable=false", Operator),
       "",
       {},
       {reply(200, "{\"leader\":\"c1\"}", true)},
       {}},
      {head("GET /v1/timeline?request=q-1&limit=2&format=text", Operator),
       "",
       {},
       {reply(400, "{}")},
       {}},
      {head("GET /v1/timeline?limit=0", Operator), "", {}, {}, {}},
      {head("POST /v1/status", Operator), "", {}, {}, {}},
      {head("GET /v2/status", Operator), "", {}, {}, {}},
  };
}

std::string normalised(std::string Text) {
  Text = std::regex_replace(Text, std::regex("\r"), "");
  Text = std::regex_replace(Text, std::regex("e1-[0-9a-f]{8}-[0-9]+"), "ID");
  Text =
      std::regex_replace(Text, std::regex("attemptId=[0-9]+/"), "attemptId=N/");
  // The canonical form of a document, which the digest is made of, belongs to
  // module config.
  Text = std::regex_replace(Text, std::regex(", digest=[0-9a-f]{32}"),
                            ", digest=DIGEST");
  // Which of the two minions is chosen depends on the age of their last
  // reports.
  Text = std::regex_replace(Text, std::regex("vm=minion-[12]"), "vm=VM");
  // Unset members of a command say nothing.
  return std::regex_replace(Text, std::regex("(, )?[A-Za-z]+=<null>"), "");
}

std::string play(SessionHarness &Harness) {
  std::string Transcript;
  for (const Exchange &Each : session()) {
    Harness.run([&Harness, &Each] {
      Harness.m_Notes.clear();
      // The entry may ask either replica.
      for (const auto &Control : Harness.m_Controls) {
        Control->m_Results = {Each.m_Results.begin(), Each.m_Results.end()};
        Control->m_Replies = {Each.m_Replies.begin(), Each.m_Replies.end()};
      }
      Harness.m_Agent->m_Replies = {Each.m_AgentReplies.begin(),
                                    Each.m_AgentReplies.end()};
    });
    const std::string Answer = Harness.exchange(Each.m_Head, Each.m_Body);
    Transcript +=
        "> " + Each.m_Head.substr(0, Each.m_Head.find(" HTTP")) + "\n";
    Harness.run([&Harness, &Transcript] {
      for (const std::string &Note : Harness.m_Notes)
        Transcript += Note + "\n";
    });
    Transcript += Answer + "\n";
  }
  return normalised(Transcript);
}

std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

} // namespace

BOOST_AUTO_TEST_SUITE(EntrySessionTest)

// Guards against a change of the HTTP interface, of the commands sent to
// control or of the calls sent to agents that nobody decided. The actual
// transcript is left in the build folder.
BOOST_AUTO_TEST_CASE(SessionMatchesTheGoldenFile) {
  SessionHarness Harness;
  Harness.awaitReady();

  const std::string Actual = play(Harness);

  std::ofstream(ANVIL_BINARY_DIR "/entry-session.txt") << Actual;
  const std::string Expected =
      readFile(ANVIL_SOURCE_DIR "/tests/entry/golden/session.txt");
  std::istringstream Left(Expected);
  std::istringstream Right(Actual);
  std::string ExpectedLine;
  std::string ActualLine;
  for (int Line = 1; Line < 100000; ++Line) {
    const bool More = static_cast<bool>(std::getline(Left, ExpectedLine));
    const bool MoreActual = static_cast<bool>(std::getline(Right, ActualLine));
    BOOST_REQUIRE_MESSAGE(More == MoreActual,
                          "line " << Line << ": one transcript ends here");
    if (!More)
      break;
    BOOST_TEST(ActualLine == ExpectedLine,
               "line " << Line << "\n  expected " << ExpectedLine
                       << "\n  actual   " << ActualLine);
  }
}

// Guards against an entry that is lost with the control replica that it uses.
BOOST_AUTO_TEST_CASE(ChangesToAnotherControlReplica) {
  SessionHarness Harness;
  Harness.awaitReady();
  Harness.run([&Harness] {
    // The fixed random number lets the entry start with the first replica.
    Harness.m_Controls[0].reset();
    Harness.m_Controls[1]->m_Replies.push_back(
        reply(200, "{\"leader\":\"c2\"}"));
  });

  const std::string Answer = Harness.exchange(head("GET /v1/status"));

  BOOST_TEST(Answer.find("{\"leader\":\"c2\"}") != std::string::npos, Answer);
  Harness.awaitReady();
}

// Guards against a shutdown that is not announced, or that refuses requests
// while callers are still sent here.
BOOST_AUTO_TEST_CASE(ReportsNotReadyButServesDuringTheDrainNotice) {
  SessionHarness Harness(std::chrono::hours(1));
  Harness.awaitReady();
  Harness.run([&Harness] {
    Harness.m_Entry->shutdown([](const entry::EntryReport &) {});
  });

  const std::string Ready = Harness.exchange("GET /readyz HTTP/1.1\r\n");
  BOOST_TEST(Ready.find("503") != std::string::npos, Ready);
  BOOST_TEST(Ready.find("shutting-down") != std::string::npos, Ready);
  BOOST_TEST(
      Harness.exchange(head("GET /services/sieve/q", Quote)).find("200 OK") !=
      std::string::npos);
}

// Guards against a shutdown that cuts off a request or never ends.
BOOST_AUTO_TEST_CASE(ShutdownFinishesRequestsInProgress) {
  SessionHarness Harness;
  Harness.awaitReady();
  Harness.run([&Harness] { Harness.m_Agent->m_Hold = true; });
  auto Answer = std::async(std::launch::async, [&Harness] {
    return Harness.exchange(head("GET /services/sieve/q", Quote));
  });
  Harness.awaitHeld(1);
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

// Guards against a forced end that does not say what it cut off, before and
// after the listener is closed.
BOOST_AUTO_TEST_CASE(CutOffReportsWhatItCutOff) {
  for (const bool ListenerClosed : {false, true}) {
    SessionHarness Harness(ListenerClosed ? Duration(0)
                                          : std::chrono::hours(1));
    Harness.awaitReady();
    Harness.run([&Harness] { Harness.m_Agent->m_Hold = true; });
    auto Answer = std::async(std::launch::async, [&Harness] {
      return Harness.exchange(head("GET /services/sieve/q", Quote));
    });
    Harness.awaitHeld(1);
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
