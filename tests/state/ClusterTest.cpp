#include "state/StateFixture.h"

#include "anvil/config/Config.h"
#include "anvil/state/StateQuery.h"

namespace {

using namespace anvil::state;
using namespace anvil::state::test;
using anvil::wire::Command;
using anvil::wire::CommandResult;
using anvil::wire::CommandStatus;

std::string explain(const Cluster &Fixture, const std::string &Kind,
                    const std::string &Name) {
  return answerQuery(Fixture.m_State, "explain/" + Kind, Name).json;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ClusterTest)

// Guards against a late registration or loss of an old incarnation that changes
// the current one.
BOOST_AUTO_TEST_CASE(OldIncarnationsChangeNothing) {
  Cluster Fixture;
  Fixture.apply(registerWorker("a", 5));
  BOOST_TEST(
      (Fixture.statusOf(registerWorker("a", 4)) == CommandStatus::REFUSED));
  BOOST_TEST((Fixture.statusOf(lose("a", 1)) == CommandStatus::REFUSED));
  BOOST_TEST((Fixture.statusOf(lose("nobody", 1)) == CommandStatus::NOT_FOUND));
  BOOST_TEST(Fixture.m_State.mayStartOn(anvil::VmId("a"), 5));
  BOOST_TEST(!Fixture.m_State.mayStartOn(anvil::VmId("a"), 4));
  BOOST_TEST((Fixture.statusOf(lose("a", 5)) == CommandStatus::OK));
  BOOST_TEST((Fixture.statusOf(lose("a", 5)) == CommandStatus::OK));
  BOOST_TEST(!Fixture.m_State.mayStartOn(anvil::VmId("a"), 5));
  BOOST_TEST((Fixture.statusOf(registerWorker("a", 5, "kochi", 4)) ==
              CommandStatus::INVALID));
  BOOST_TEST((Fixture.statusOf(registerWorker("a", 6, "kochi", 4)) ==
              CommandStatus::OK));
  BOOST_TEST(Fixture.m_State.mayStartOn(anvil::VmId("a"), 6));
}

// Guards against entries that keep routing to a target that takes no requests
// or miss its return, because the routes or their version do not change.
BOOST_AUTO_TEST_CASE(RoutesAndTheirVersionFollowEveryChange) {
  Cluster Fixture;
  const auto Usable = [&Fixture] {
    std::string Vms;
    for (const anvil::wire::RouteTarget &Each : Fixture.m_State.routes())
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
      {drain("a", true), "mn", false}, // Routes list minions only, so a worker
                                       // does not change their version.
  };
  for (const Case &Each : Cases) {
    const int64_t Before = Fixture.m_State.routeVersion();
    Fixture.apply(Each.m_Command);
    BOOST_TEST(Usable() == Each.m_Usable);
    BOOST_TEST((Fixture.m_State.routeVersion() > Before) == Each.m_Changes);
  }
  BOOST_TEST(Fixture.m_State.drainingTargets().size() == 1U);
}

// Guards against a resent withdrawal of a zone that is applied again after the
// zone was restored.
BOOST_AUTO_TEST_CASE(ZoneRequestsAreIdempotent) {
  Cluster Fixture;
  const CommandResult First =
      Fixture.apply(zoneService("kochi", false, "req-1"));
  BOOST_TEST(Fixture.m_State.withdrawnZones().size() == 1U);
  Fixture.apply(zoneService("kochi", true, "req-2"));
  const CommandResult Resent =
      Fixture.apply(zoneService("kochi", false, "req-1"));
  BOOST_TEST((Resent.status == CommandStatus::OK));
  BOOST_TEST(Resent.index == First.index);
  BOOST_TEST(Resent.message == First.message);
  BOOST_TEST(Fixture.m_State.withdrawnZones().empty());
  BOOST_TEST((Fixture.statusOf(zoneService("kochi", true, "req-1")) ==
              CommandStatus::INVALID));
  BOOST_TEST((Fixture.statusOf(zoneService("kochi", true, "")) ==
              CommandStatus::INVALID));
  BOOST_TEST((Fixture.statusOf(zoneService("atlantis", false, "req-3")) ==
              CommandStatus::NOT_FOUND));
}

// Guards against a withdrawn zone that returns to service because one version
// of the configuration does not list it and a later one does.
BOOST_AUTO_TEST_CASE(WithdrawnZoneSurvivesConfigurationChanges) {
  Cluster Fixture;
  const auto WithZone = [](int64_t Version) {
    std::string Text = documentText(Version);
    return Text.insert(Text.find("  - {name: kollam"),
                       "  - {name: alappuzha, region: kerala}\n");
  };
  Fixture.apply(applyConfig(2, WithZone(2)));
  Fixture.apply(zoneService("kollam", false, "r"));
  Fixture.apply(zoneService("alappuzha", false, "r"));
  Fixture.apply(applyConfig(3, documentText(3)));
  Fixture.apply(applyConfig(4, WithZone(4)));
  BOOST_TEST(Fixture.m_State.withdrawnZones().size() == 2U);
  Fixture.apply(zoneService("alappuzha", true, "r2"));
  Fixture.apply(applyConfig(5, documentText(5)));
  // The zone is in service and has no targets, so it is removed once the
  // configuration does not list it.
  BOOST_TEST((Fixture.statusOf(zoneService("alappuzha", false, "r3")) ==
              CommandStatus::NOT_FOUND));
}

// Guards against a configuration that reverts to an older version, and against
// two operators who both get OK for the same version (requirement H9).
BOOST_AUTO_TEST_CASE(ConfigurationRacesHaveOneWinner) {
  Cluster Fixture;
  const std::string Base = documentText(5);
  const std::string Rival = documentText(5, "{claims: 7}");
  const CommandResult First = Fixture.apply(applyConfig(5, Base, "asha"));
  BOOST_TEST((First.status == CommandStatus::OK));
  const CommandResult Resent =
      Fixture.apply(applyConfig(5, "# sent again\n" + Base, "asha"));
  BOOST_TEST((Resent.status == CommandStatus::OK));
  BOOST_TEST(Resent.index == First.index);
  const CommandResult Lost = Fixture.apply(applyConfig(5, Rival, "binu"));
  BOOST_TEST((Lost.status == CommandStatus::CONFLICT));
  BOOST_TEST(Lost.winner == "asha");
  BOOST_TEST((Fixture.statusOf(applyConfig(4, documentText(4))) ==
              CommandStatus::REFUSED));
  BOOST_TEST((Fixture.statusOf(applyConfig(6, documentText(6), "binu")) ==
              CommandStatus::OK));
  // A resend after a newer version was applied gets the first response again
  // and changes nothing.
  BOOST_TEST(Fixture.apply(applyConfig(5, Base, "asha")).index == First.index);
  BOOST_TEST(Fixture.m_State.configuration().m_Version == 6);
  BOOST_TEST(Fixture.m_State.configuration().m_OperatorId == "binu");
}

// Guards against a configuration that comes into force although its document is
// invalid, has another version or digest, or is for another environment.
BOOST_AUTO_TEST_CASE(WrongDocumentsAreRefused) {
  Cluster Fixture;
  const CommandResult Faulty =
      Fixture.apply(applyConfig(2, "environment: production\nversion: two\n"));
  BOOST_TEST((Faulty.status == CommandStatus::INVALID));
  BOOST_TEST(Faulty.message.find(
                 "document:2: version: must be a whole number [wrong-type]") !=
             std::string::npos);
  BOOST_TEST(Fixture.apply(applyConfig(3, documentText(2))).field == "version");
  anvil::wire::Command Digest = applyConfig(2, documentText(2));
  Digest.applyConfig.digest = "00";
  BOOST_TEST(Fixture.apply(Digest).field == "digest");
  std::string Text = documentText(2);
  Text.replace(Text.find("production"), 10, "trial");
  BOOST_TEST(Fixture.apply(applyConfig(2, Text)).field == "environment");
  anvil::wire::Command Promoted = applyConfig(2, Text);
  Promoted.applyConfig.promotedFrom = "trial";
  BOOST_TEST((Fixture.statusOf(Promoted) == CommandStatus::OK));
  BOOST_TEST(Fixture.m_State.configuration().m_Digest ==
             anvil::config::contentDigest(*Fixture.m_State.document()));
}

// Guards against a scheduler whose view diverges because events are missing or
// arrive in the wrong order.
BOOST_AUTO_TEST_CASE(EventsFollowTheCommands) {
  Cluster Fixture;
  std::vector<std::string> Seen;
  Fixture.m_State.setEventHook([&](const StateEvent &Event, int64_t Index) {
    BOOST_TEST(Index == Fixture.m_Index);
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
  const int64_t Job = Fixture.submitAndRun({"a"}, submit(1));
  Fixture.apply(lose("a", 1));
  Fixture.apply(cancel(Job));
  Fixture.m_NowUs += 71 * SecondUs;
  Fixture.apply(expireLeases(Job, {0}));
  const std::vector<std::string> Expected = {"reserved", "starting",  "running",
                                             "lost",     "releasing", "freed",
                                             "cancelled"};
  BOOST_TEST(Seen == Expected, boost::test_tools::per_element());
}

// Guards against a replayed log entry, an empty command or one with two bodies
// that changes the state.
BOOST_AUTO_TEST_CASE(MalformedCommandsAreInvalid) {
  Cluster Fixture;
  BOOST_TEST(
      (Fixture.statusOf(anvil::wire::Command()) == CommandStatus::INVALID));
  anvil::wire::Command Two = drain("a", true);
  Two.__set_cancelJob(anvil::wire::CancelJob());
  BOOST_TEST((Fixture.statusOf(Two) == CommandStatus::INVALID));
  const std::string Before = Fixture.m_State.snapshot();
  BOOST_TEST((Fixture.m_State.apply(drain("a", true), Fixture.m_Index).status ==
              CommandStatus::INVALID));
  BOOST_TEST((Fixture.m_State.snapshot() == Before));
}

// Guards against memory that grows without limit with lost targets, ended jobs
// and phase changes.
BOOST_AUTO_TEST_CASE(HistoryIsBounded) {
  Cluster Fixture;
  for (int I = 0; I < 2'100; ++I) {
    const std::string Vm = "t" + std::to_string(I);
    Fixture.apply(registerWorker(Vm, 1));
    Fixture.apply(lose(Vm, 1));
  }
  BOOST_TEST(Fixture.m_State.counters().m_LostTargets == 2'048);
  for (int I = 0; I < 10'010; ++I)
    Fixture.apply(cancel(Fixture.apply(submit(1)).jobId));
  BOOST_TEST(Fixture.m_State.counters().m_EndedJobs == 10'000);
  const int64_t Job = Fixture.apply(submit(1)).jobId;
  for (int I = 0; I < 20; ++I) {
    Fixture.apply(place(Job, {"a"}));
    Fixture.apply(report("a", Job, 0, Fixture.job(Job).m_StartToken,
                         anvil::wire::TaskState::REFUSED));
  }
  BOOST_TEST(Fixture.job(Job).m_History.size() == 24U);
  BOOST_TEST(Fixture.job(Job).m_History.front().m_Reason == "submitted");
}

// Guards against queries that crash on invalid input or give no explanation.
BOOST_AUTO_TEST_CASE(QueriesAnswerInJson) {
  Cluster Fixture;
  const int64_t Job = Fixture.submitAndRun({"a", "c"}, submit(2));
  Fixture.apply(lose("c", 1));
  const std::string Id = std::to_string(Job);
  BOOST_TEST(explain(Fixture, "job", Id)
                 .find("is releasing: VM c was lost: no heartbeat.") !=
             std::string::npos);
  BOOST_TEST(explain(Fixture, "job", Id).find("Task 1 was lost with VM c") !=
             std::string::npos);
  BOOST_TEST(explain(Fixture, "vm", "c")
                 .find("It takes no new work because it is lost.") !=
             std::string::npos);
  BOOST_TEST(explain(Fixture, "zone", "kollam")
                 .find("0 of its 1 targets take new work.") !=
             std::string::npos);
  BOOST_TEST(
      explain(Fixture, "workspace", "sieving").find("holds 8 accelerators") !=
      std::string::npos);
  BOOST_TEST(answerQuery(Fixture.m_State, "config", "")
                 .json.find("\"operator\":\"asha\"") != std::string::npos);
  BOOST_TEST(
      answerQuery(Fixture.m_State, "status", "").json.find("\"lost\":1") !=
      std::string::npos);
  BOOST_TEST(answerQuery(Fixture.m_State, "job", Id)
                 .json.find("\"phase\":\"releasing\"") != std::string::npos);
  Fixture.apply(submit(1));
  const std::string Page = answerQuery(Fixture.m_State, "jobs", "limit=1").json;
  BOOST_TEST(Page.find("\"next\":" + Id) != std::string::npos);
  BOOST_TEST(answerQuery(Fixture.m_State, "jobs", "after=" + Id)
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
        answerQuery(Fixture.m_State, Each.m_Kind, Each.m_Argument).httpStatus ==
        Each.m_Expected);
  BOOST_TEST(
      serviceConfigs(*Fixture.m_State.document())[0].classes[0].queueLimit ==
      9);
  BOOST_TEST(
      (serviceConfigs(*Fixture.m_State.document())[0].classes[0].urgency ==
       anvil::wire::Urgency::URGENT));
}

// Guards against a configuration history that omits who applied a version or
// where it was promoted from, or that grows without limit.
BOOST_AUTO_TEST_CASE(ConfigHistoryListsTheNewestVersionsFirst) {
  Cluster Fixture;
  Command Promoted = applyConfig(2, documentText(2), "bruce");
  Promoted.applyConfig.promotedFrom = "trial@abc";
  const CommandResult Applied = Fixture.apply(Promoted);
  const std::string History =
      answerQuery(Fixture.m_State, "config-history", "").json;
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
    Fixture.apply(applyConfig(Version, documentText(Version)));
  BOOST_TEST(Fixture.m_State.configHistory(5000).size() == 1024U);
  BOOST_TEST(Fixture.m_State.configHistory(7).size() == 7U);
  BOOST_TEST(Fixture.m_State.configHistory(7).front().m_Version == 1030);
  for (const char *Wrong : {"0", "1025", "-1", "many"})
    BOOST_TEST(
        answerQuery(Fixture.m_State, "config-history", Wrong).httpStatus == 400,
        Wrong);
}

BOOST_AUTO_TEST_SUITE_END()
