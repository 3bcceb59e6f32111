#include "anvil/ctl/Cli.h"

#include <sstream>

#include <boost/test/unit_test.hpp>

namespace anvil::ctl {
namespace {

// Runs commands with fakes of the entries, the terminal and the file system.
struct CliFixture {
  std::ostringstream m_Out;
  std::ostringstream m_Err;
  std::vector<std::pair<std::string, ApiCall>> m_Calls;
  ApiResult m_Response{true, true, 200, "{}", ""};
  std::map<std::string, std::string> m_Files;
  bool m_Confirmed = true;
  CliOptions m_Options{"asha", false, false};

  ExitCode run(const std::vector<std::string> &Words) {
    CliEnvironment Environment;
    Environment.m_Call = [this](const std::string &Entry, const ApiCall &Call) {
      m_Calls.emplace_back(Entry, Call);
      return m_Response;
    };
    Environment.m_Entries = {"127.0.0.1:1", "127.0.0.1:2"};
    Environment.m_ReadFile =
        [this](const std::string &Path) -> std::optional<std::string> {
      const auto It = m_Files.find(Path);
      return It == m_Files.end() ? std::nullopt : std::optional(It->second);
    };
    Environment.m_NewId = [] { return std::string("id-1"); };
    Environment.m_Sleep = [](Duration) {};
    Environment.m_Confirm = [this](const std::string &) { return m_Confirmed; };
    Environment.m_Out = &m_Out;
    Environment.m_Err = &m_Err;
    return runCommand(Words, m_Options, Environment);
  }
};

struct ExitCase {
  const char *m_Name;
  std::vector<std::string> m_Words;
  ApiResult m_Response;
  ExitCode m_Expected;
};

BOOST_FIXTURE_TEST_SUITE(CliTest, CliFixture)

// Guards against an exit code that makes a script treat a refused or unknown
// change as done, or repeat one that may have taken effect.
BOOST_AUTO_TEST_CASE(ExitCodeReportsTheKnownOutcome) {
  const std::string Refusal =
      R"({"error":{"code":"conflict","message":"taken","field":"version"}})";
  const std::vector<ExitCase> Cases = {
      {"done",
       {"zone", "restore", "kochi"},
       {true, true, 200, "{}", ""},
       ExitCode::Ok},
      {"conflict",
       {"zone", "restore", "kochi"},
       {true, true, 409, Refusal, ""},
       ExitCode::Refused},
      {"bad input",
       {"job", "show", "x"},
       {true, true, 400, Refusal, ""},
       ExitCode::Refused},
      {"no entry",
       {"status"},
       {false, false, 0, "", "connect failed"},
       ExitCode::Unreachable},
      {"no control",
       {"status"},
       {true, true, 503, Refusal, ""},
       ExitCode::Unreachable},
      {"change without an answer",
       {"job", "cancel", "7"},
       {false, true, 0, "", "cut"},
       ExitCode::Unknown},
      {"read without an answer",
       {"job", "show", "7"},
       {false, true, 0, "", "cut"},
       ExitCode::Unreachable},
      {"change not confirmed",
       {"zone", "restore", "kochi"},
       {true, true, 504, Refusal, ""},
       ExitCode::Unknown},
      {"unknown command", {"zone", "explode", "kochi"}, {}, ExitCode::Usage},
      {"missing argument", {"job", "show"}, {}, ExitCode::Usage},
      {"unknown flag", {"status", "--colour", "red"}, {}, ExitCode::Usage},
      {"no words", {}, {}, ExitCode::Usage},
  };
  for (const ExitCase &Case : Cases) {
    m_Response = Case.m_Response;
    const ExitCode Actual = run(Case.m_Words);
    BOOST_TEST(static_cast<int>(Actual) == static_cast<int>(Case.m_Expected),
               Case.m_Name);
  }
}

// Guards against a zone that is withdrawn by a mistyped command without
// confirmation.
BOOST_AUTO_TEST_CASE(WithdrawalRequiresConfirmation) {
  m_Confirmed = false;
  BOOST_TEST((run({"zone", "withdraw", "kochi"}) == ExitCode::Usage));
  BOOST_TEST(m_Calls.empty());
  m_Options.m_Yes = true;
  BOOST_TEST((run({"zone", "withdraw", "kochi"}) == ExitCode::Ok));
  BOOST_REQUIRE(m_Calls.size() == 1u);
  BOOST_TEST(m_Calls[0].second.m_Target == "/v1/zones/kochi/withdraw");
}

// Guards against an invalid document being sent to control, and against error
// messages without file and line.
BOOST_AUTO_TEST_CASE(WrongDocumentIsNotSent) {
  m_Files["bad.yaml"] = "environment: live\nversion: nine\n";
  BOOST_TEST((run({"config", "apply", "bad.yaml"}) == ExitCode::Refused));
  BOOST_TEST(m_Calls.empty());
  BOOST_TEST(m_Err.str().find("bad.yaml:2") != std::string::npos, m_Err.str());
}

// Guards against the promotion of a document that is not in force in the trial
// environment.
BOOST_AUTO_TEST_CASE(PromotionRequiresTheDigestOfTheTrial) {
  m_Files["live.yaml"] = "environment: live\nversion: 2\navailability_zones:\n "
                         " - {name: kochi, region: kerala}\n"
                         "workspaces: []\nservices: []\n";
  m_Response.m_Body = R"({"environment":"trial","digest":"other"})";
  BOOST_TEST((run({"config", "promote", "live.yaml", "--trial",
                   "127.0.0.1:9"}) == ExitCode::Refused));
  BOOST_REQUIRE(m_Calls.size() == 1u);
  BOOST_TEST(m_Calls[0].first == "127.0.0.1:9");
  run({"config", "check", "live.yaml"});
  const std::string Valid = m_Out.str();
  const std::string Digest = Valid.substr(Valid.find("digest ") + 7, 32);
  m_Response.m_Body = R"({"environment":"trial","digest":")" + Digest + "\"}";
  BOOST_TEST((run({"config", "promote", "live.yaml", "--trial",
                   "127.0.0.1:9"}) == ExitCode::Ok),
             m_Err.str());
  BOOST_TEST(m_Calls.back().second.m_Target ==
             "/v1/config?promoted_from=trial@" + Digest);
}

// Guards against a table that omits fields or rows because the objects have
// different fields.
BOOST_AUTO_TEST_CASE(RendersRowsAndFields) {
  BOOST_TEST(
      renderTable(R"([{"vm":"a","slots":8},{"vm":"bcd","zone":"kochi"}])") ==
      "vm   slots  zone\na    8      -\nbcd  -      kochi\n");
  BOOST_TEST(renderTable("[]") == "none\n");
  BOOST_TEST(renderTable("not json") == "not json");
}

// Guards against a timeline that is incomplete or missing because only one
// entry is queried and that entry lacks events or is down.
BOOST_AUTO_TEST_CASE(TimelineQueriesEveryEntry) {
  m_Response.m_Body =
      R"([{"at_us":1000000,"process":"entry-1","sequence":1,"kind":"k","text":"t"}])";
  BOOST_TEST((run({"timeline"}) == ExitCode::Ok));
  BOOST_TEST(m_Calls.size() == 2u);
  BOOST_TEST(m_Out.str() == "00:00:01.000000 entry-1 k: t\n");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace anvil::ctl
