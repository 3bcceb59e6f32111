#include "state/StateFixture.h"

#include "anvil/config/Config.h"
#include "anvil/state/StateQuery.h"

namespace {

using namespace anvil::state;
using namespace anvil::state::test;
using anvil::wire::Command;
using anvil::wire::CommandResult;
using anvil::wire::CommandStatus;

std::string explain(const Cluster &C, const std::string &Kind,
                    const std::string &Name) {
  return answerQuery(C.m_State, "explain/" + Kind, Name).json;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ClusterTest)

// Guards against a late registration or loss of an old incarnation that
// replaces the current one.
BOOST_AUTO_TEST_CASE(OldIncarnationsChangeNothing) {
  Cluster C;
  C.apply(registerWorker("a", 5));
  BOOST_TEST((C.statusOf(registerWorker("a", 4)) == CommandStatus::REFUSED));
  BOOST_TEST((C.statusOf(lose("a", 1)) == CommandStatus::REFUSED));
  BOOST_TEST((C.statusOf(lose("nobody", 1)) == CommandStatus::NOT_FOUND));
  BOOST_TEST(C.m_State.mayStartOn(anvil::VmId("a"), 5));
  BOOST_TEST(!C.m_State.mayStartOn(anvil::VmId("a"), 4));
  BOOST_TEST((C.statusOf(lose("a", 5)) == CommandStatus::OK));
  BOOST_TEST((C.statusOf(lose("a", 5)) == CommandStatus::OK));
  BOOST_TEST(!C.m_State.mayStartOn(anvil::VmId("a"), 5));
  BOOST_TEST((C.statusOf(registerWorker("a", 5, "kochi", 4)) ==
              CommandStatus::INVALID));
  BOOST_TEST(
      (C.statusOf(registerWorker("a", 6, "kochi", 4)) == CommandStatus::OK));
  BOOST_TEST(C.m_State.mayStartOn(anvil::VmId("a"), 6));
}

// Guards against entries that route to a target after it left, or miss its
// return.
BOOST_AUTO_TEST_CASE(RoutesAndTheirVersionFollowEveryChange) {
  Cluster C;
  const auto Usable = [&C] {
    std::string Vms;
    for (const anvil::wire::RouteTarget &Each : C.m_State.routes())
      Vms += Each.usable ? Each.vm : "-";
    return Vms;
  };
  struct Case {
    anvil::wire::Command m_Command;
    const char *m_Usable;
    bool m_Changes;
  };
  const std::vector<Case> Cases = {
      {drain("m", true), "-n", true},
      {drain("m", true), "-n", false},
      {drain("m", false), "mn", true},
      {quarantine("n", true), "m-", true},
      {quarantine("n", false), "mn", true},
      {zoneService("kochi", false, "1"), "--", true},
      {zoneService("kochi", true, "2"), "mn", true},
      {zoneService("kochi", true, "3"), "mn", false},
      {lose("m", 1), "-n", true},
      {registerMinion("m", 1), "mn", true},
      {registerMinion("m", 1), "mn", false},
      {registerMinion("m", 2), "mn", true},
      {drain("a", true), "mn",
       false}, // a worker would not need a new version, but gets none
  };
  for (const Case &Each : Cases) {
    const int64_t Before = C.m_State.routeVersion();
    C.apply(Each.m_Command);
    BOOST_TEST(Usable() == Each.m_Usable);
    BOOST_TEST((C.m_State.routeVersion() > Before) == Each.m_Changes);
  }
  BOOST_TEST(C.m_State.drainingTargets().size() == 1U);
}

// Guards against a resent withdrawal that undoes the restore that came after
// it.
BOOST_AUTO_TEST_CASE(ZoneRequestsAreIdempotent) {
  Cluster C;
  const CommandResult First = C.apply(zoneService("kochi", false, "req-1"));
  BOOST_TEST(C.m_State.withdrawnZones().size() == 1U);
  C.apply(zoneService("kochi", true, "req-2"));
  const CommandResult Resent = C.apply(zoneService("kochi", false, "req-1"));
  BOOST_TEST((Resent.status == CommandStatus::OK));
  BOOST_TEST(Resent.index == First.index);
  BOOST_TEST(Resent.message == First.message);
  BOOST_TEST(C.m_State.withdrawnZones().empty());
  BOOST_TEST((C.statusOf(zoneService("kochi", true, "req-1")) ==
              CommandStatus::INVALID));
  BOOST_TEST(
      (C.statusOf(zoneService("kochi", true, "")) == CommandStatus::INVALID));
  BOOST_TEST((C.statusOf(zoneService("atlantis", false, "req-3")) ==
              CommandStatus::NOT_FOUND));
}

// Guards against a withdrawn zone that returns to service because the
// configuration dropped it for a while.
BOOST_AUTO_TEST_CASE(WithdrawnZoneSurvivesConfigurationChanges) {
  Cluster C;
  const auto WithZone = [](int64_t Version) {
    std::string Text = documentText(Version);
    return Text.insert(Text.find("  - {name: kollam"),
                       "  - {name: alappuzha, region: kerala}\n");
  };
  C.apply(applyConfig(2, WithZone(2)));
  C.apply(zoneService("kollam", false, "r"));
  C.apply(zoneService("alappuzha", false, "r"));
  C.apply(applyConfig(3, documentText(3)));
  C.apply(applyConfig(4, WithZone(4)));
  BOOST_TEST(C.m_State.withdrawnZones().size() == 2U);
  C.apply(zoneService("alappuzha", true, "r2"));
  C.apply(applyConfig(5, documentText(5)));
  // In service and without targets, so the configuration was the last to name
  // it.
  BOOST_TEST((C.statusOf(zoneService("alappuzha", false, "r3")) ==
              CommandStatus::NOT_FOUND));
}

// Guards against a configuration that reverts, or two operators who both
// believe they won (H9).
BOOST_AUTO_TEST_CASE(ConfigurationRacesHaveOneWinner) {
  Cluster C;
  const std::string Base = documentText(5);
  const std::string Rival = documentText(5, "{claims: 7}");
  const CommandResult First = C.apply(applyConfig(5, Base, "asha"));
  BOOST_TEST((First.status == CommandStatus::OK));
  const CommandResult Resent =
      C.apply(applyConfig(5, "# sent again\n" + Base, "asha"));
  BOOST_TEST((Resent.status == CommandStatus::OK));
  BOOST_TEST(Resent.index == First.index);
  const CommandResult Lost = C.apply(applyConfig(5, Rival, "binu"));
  BOOST_TEST((Lost.status == CommandStatus::CONFLICT));
  BOOST_TEST(Lost.winner == "asha");
  BOOST_TEST(
      (C.statusOf(applyConfig(4, documentText(4))) == CommandStatus::REFUSED));
  BOOST_TEST((C.statusOf(applyConfig(6, documentText(6), "binu")) ==
              CommandStatus::OK));
  // A resend that arrives after a newer version still gets the first response
  // and changes nothing.
  BOOST_TEST(C.apply(applyConfig(5, Base, "asha")).index == First.index);
  BOOST_TEST(C.m_State.configuration().m_Version == 6);
  BOOST_TEST(C.m_State.configuration().m_OperatorId == "binu");
}

// Guards against a wrong or foreign document in force.
BOOST_AUTO_TEST_CASE(WrongDocumentsAreRefused) {
  Cluster C;
  const CommandResult Faulty =
      C.apply(applyConfig(2, "environment: production\nversion: two\n"));
  BOOST_TEST((Faulty.status == CommandStatus::INVALID));
  BOOST_TEST(Faulty.message.find(
                 "document:2: version: must be a whole number [wrong-type]") !=
             std::string::npos);
  BOOST_TEST(C.apply(applyConfig(3, documentText(2))).field == "version");
  anvil::wire::Command Digest = applyConfig(2, documentText(2));
  Digest.applyConfig.digest = "00";
  BOOST_TEST(C.apply(Digest).field == "digest");
  std::string Text = documentText(2);
  Text.replace(Text.find("production"), 10, "trial");
  BOOST_TEST(C.apply(applyConfig(2, Text)).field == "environment");
  anvil::wire::Command Promoted = applyConfig(2, Text);
  Promoted.applyConfig.promotedFrom = "trial";
  BOOST_TEST((C.statusOf(Promoted) == CommandStatus::OK));
  BOOST_TEST(C.m_State.configuration().m_Digest ==
             anvil::config::contentDigest(*C.m_State.document()));
}

// Guards against a scheduler that is not told what happened, or in the wrong
// order.
BOOST_AUTO_TEST_CASE(EventsFollowTheCommands) {
  Cluster C;
  std::vector<std::string> Seen;
  C.m_State.setEventHook([&](const StateEvent &Event, int64_t Index) {
    BOOST_TEST(Index == C.m_Index);
    if (const auto *Changed = std::get_if<JobPhaseChanged>(&Event)) {
      Seen.emplace_back(nameOf(Changed->m_Phase));
    } else if (const auto *Ended = std::get_if<JobEnded>(&Event)) {
      Seen.emplace_back(nameOf(Ended->m_Phase));
    } else if (std::holds_alternative<TargetLost>(Event)) {
      Seen.emplace_back("lost");
    } else if (std::holds_alternative<TaskReleased>(Event)) {
      Seen.emplace_back("freed");
    }
  });
  const int64_t Job = C.running({"a"}, submit(1));
  C.apply(lose("a", 1));
  C.apply(cancel(Job));
  C.m_NowUs += 71 * Second;
  C.apply(expireLeases(Job, {0}));
  const std::vector<std::string> Expected = {"reserved", "starting",  "running",
                                             "lost",     "releasing", "freed",
                                             "cancelled"};
  BOOST_TEST(Seen == Expected, boost::test_tools::per_element());
}

// Guards against a replayed entry, an empty or an ambiguous command that
// changes the state.
BOOST_AUTO_TEST_CASE(MalformedCommandsAreInvalid) {
  Cluster C;
  BOOST_TEST((C.statusOf(anvil::wire::Command()) == CommandStatus::INVALID));
  anvil::wire::Command Two = drain("a", true);
  Two.__set_cancelJob(anvil::wire::CancelJob());
  BOOST_TEST((C.statusOf(Two) == CommandStatus::INVALID));
  const std::string Before = C.m_State.snapshot();
  BOOST_TEST((C.m_State.apply(drain("a", true), C.m_Index).status ==
              CommandStatus::INVALID));
  BOOST_TEST((C.m_State.snapshot() == Before));
}

// Guards against lost targets, histories or ended jobs that grow without bound.
BOOST_AUTO_TEST_CASE(HistoryIsBounded) {
  Cluster C;
  for (int I = 0; I < 2'100; ++I) {
    const std::string Vm = "t" + std::to_string(I);
    C.apply(registerWorker(Vm, 1));
    C.apply(lose(Vm, 1));
  }
  BOOST_TEST(C.m_State.counters().m_LostTargets == 2'048);
  for (int I = 0; I < 10'010; ++I)
    C.apply(cancel(C.apply(submit(1)).jobId));
  BOOST_TEST(C.m_State.counters().m_EndedJobs == 10'000);
  const int64_t Job = C.apply(submit(1)).jobId;
  for (int I = 0; I < 20; ++I) {
    C.apply(place(Job, {"a"}));
    C.apply(report("a", Job, 0, C.job(Job).m_StartToken,
                   anvil::wire::TaskState::REFUSED));
  }
  BOOST_TEST(C.job(Job).m_History.size() == 24U);
  BOOST_TEST(C.job(Job).m_History.front().m_Reason == "submitted");
}

// Guards against queries that crash on wrong input or explain nothing.
BOOST_AUTO_TEST_CASE(QueriesAnswerInJson) {
  Cluster C;
  const int64_t Job = C.running({"a", "c"}, submit(2));
  C.apply(lose("c", 1));
  const std::string Id = std::to_string(Job);
  BOOST_TEST(explain(C, "job", Id)
                 .find("is releasing: VM c was lost: no heartbeat.") !=
             std::string::npos);
  BOOST_TEST(explain(C, "job", Id).find("Task 1 was lost with VM c") !=
             std::string::npos);
  BOOST_TEST(
      explain(C, "vm", "c").find("It takes no new work because it is lost.") !=
      std::string::npos);
  BOOST_TEST(
      explain(C, "zone", "kollam").find("0 of its 1 targets take new work.") !=
      std::string::npos);
  BOOST_TEST(explain(C, "workspace", "sieving").find("holds 8 accelerators") !=
             std::string::npos);
  BOOST_TEST(
      answerQuery(C.m_State, "config", "").json.find("\"operator\":\"asha\"") !=
      std::string::npos);
  BOOST_TEST(answerQuery(C.m_State, "status", "").json.find("\"lost\":1") !=
             std::string::npos);
  BOOST_TEST(
      answerQuery(C.m_State, "job", Id).json.find("\"phase\":\"releasing\"") !=
      std::string::npos);
  C.apply(submit(1));
  const std::string Page = answerQuery(C.m_State, "jobs", "limit=1").json;
  BOOST_TEST(Page.find("\"next\":" + Id) != std::string::npos);
  BOOST_TEST(answerQuery(C.m_State, "jobs", "after=" + Id)
                 .json.find("\"phase\":\"queued\"") != std::string::npos);
  struct Case {
    const char *m_Kind;
    const char *m_Argument;
    int32_t m_Expected;
  };
  const std::vector<Case> Cases = {
      {"job", "x", 400},          {"job", "999", 404},
      {"jobs", "limit=0", 400},   {"jobs", "colour=red", 400},
      {"explain/vm", "z", 404},   {"explain/job", "999", 404},
      {"explain/moon", "1", 400}, {"explain/zone", "z", 404},
      {"nothing", "", 400}};
  for (const Case &Each : Cases)
    BOOST_TEST(
        answerQuery(C.m_State, Each.m_Kind, Each.m_Argument).httpStatus ==
        Each.m_Expected);
  BOOST_TEST(serviceConfigs(*C.m_State.document())[0].classes[0].queueLimit ==
             9);
  BOOST_TEST((serviceConfigs(*C.m_State.document())[0].classes[0].urgency ==
              anvil::wire::Urgency::URGENT));
}

// Guards against a history that misses who applied or promoted a version, or
// that grows without bound.
BOOST_AUTO_TEST_CASE(ConfigHistoryListsTheNewestVersionsFirst) {
  Cluster C;
  Command Promoted = applyConfig(2, documentText(2), "bruce");
  Promoted.applyConfig.promotedFrom = "trial@abc";
  const CommandResult Applied = C.apply(Promoted);
  const std::string History = answerQuery(C.m_State, "config-history", "").json;
  BOOST_TEST(History.starts_with("[{\"version\":2,\"digest\":\""), History);
  BOOST_TEST((History.find("\"operator\":\"bruce\"") != std::string::npos),
             History);
  BOOST_TEST(
      (History.find("\"promoted_from\":\"trial@abc\"") != std::string::npos),
      History);
  BOOST_TEST((History.find("\"index\":" + std::to_string(Applied.index)) !=
              std::string::npos),
             History);
  for (int64_t Version = 3; Version <= 1030; ++Version)
    C.apply(applyConfig(Version, documentText(Version)));
  BOOST_TEST(C.m_State.configHistory(5000).size() == 1024U);
  BOOST_TEST(C.m_State.configHistory(7).size() == 7U);
  BOOST_TEST(C.m_State.configHistory(7).front().m_Version == 1030);
  for (const char *Wrong : {"0", "1025", "-1", "many"})
    BOOST_TEST(answerQuery(C.m_State, "config-history", Wrong).httpStatus ==
                   400,
               Wrong);
}

BOOST_AUTO_TEST_SUITE_END()
