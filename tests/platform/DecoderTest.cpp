#include <boost/test/unit_test.hpp>

#include "JobDecoder.h"
#include "PlatformSettings.h"
#include "PolicyDecoder.h"
#include "WorkerCalls.h"
#include "WorkerReports.h"
#include "anvil/workload/Policy.h"

namespace anvil::platform {
namespace {

using runner::CallError;

constexpr std::string_view Report =
    R"({"born":1700000000000,"Service":"desk","Address":"10.0.0.9:80",)"
    R"("Zone":"north","Version":"v1","Slots":8,"State":"draining",)"
    R"("RemainingMs":2500,"ColdRemainingMs":0,"Machine":"m-1",)"
    R"("Capacity":{"Cpu":64000,"MemMb":262144,"Gpu":8},)"
    R"("Labels":["a","r1-3"],"ClockMs":5,"Sequence":4})";

constexpr std::string_view Policy =
    R"({"Version":7,"Routes":[{"Name":"r1","Host":"q.example",)"
    R"("PathPrefix":"/q/","Kind":"unsafe","TimeoutMs":3000,)"
    R"("TargetLatencyMs":250,"Priority":0,"Service":"desk","MaxAttempts":2,)"
    R"("SlackFactor":1.5,"Public":false}],"Services":[{"Name":"desk",)"
    R"("HealthPath":"/healthz","RejectsOverload":true}],)"
    R"("Tenants":[{"Name":"t1","ApiKeys":["k1","k2"],"Priority":1,)"
    R"("Guaranteed":{"Gpu":16}}]})";

std::string replaced(std::string_view Text, std::string_view From,
                     std::string_view To) {
  std::string Result(Text);
  Result.replace(Result.find(From), From.size(), To);
  return Result;
}

net::HttpExchangeResult answerOf(int Status, std::string_view Body) {
  net::HttpExchangeResult Result;
  Result.m_HttpStatus = Status;
  Result.m_Body = std::string(Body);
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(DecoderTest)

// Guards against a wrong unit or field: processors are in thousandths of a
// core, and the last label is the rack.
BOOST_AUTO_TEST_CASE(DecodesAReportOfAWorker) {
  const auto Decoded = decodeReport("w-1", Report);
  BOOST_REQUIRE_MESSAGE(Decoded.ok(), Decoded.status());
  BOOST_TEST(Decoded->m_Info.incarnation.id == "w-1");
  BOOST_TEST(Decoded->m_Info.incarnation.startedAtMs == 1'700'000'000'000);
  BOOST_TEST(Decoded->m_Info.capacity.milliCores == 64'000);
  BOOST_TEST(Decoded->m_Info.rack == "r1-3");
  BOOST_TEST(Decoded->m_Draining);
  BOOST_TEST((Decoded->m_Remaining == std::chrono::milliseconds(2500)));
}

// Guards against a report in another format that adds a worker.
BOOST_AUTO_TEST_CASE(RefusesReportsThatAreNotAWorkers) {
  const struct {
    const char *m_What;
    std::string m_Body;
  } Cases[] = {
      {"invalid bytes", "\xff\x01"},
      {"an array", "[]"},
      {"a missing start time",
       replaced(Report, R"("born":1700000000000,)", "")},
      {"a start time of another type",
       replaced(Report, "1700000000000", R"("soon")")},
      {"a start time that is not an integer",
       replaced(Report, "1700000000000", "1.5")},
      {"an unknown state", replaced(Report, "draining", "resting")},
      {"a missing service", replaced(Report, R"("Service":"desk",)", "")},
      {"no capacity",
       replaced(Report, R"("Capacity":{"Cpu":64000,"MemMb":262144,"Gpu":8},)",
                "")},
      {"labels of another type", replaced(Report, R"(["a","r1-3"])", R"("a")")},
      {"a deeply nested field",
       replaced(Report, "{",
                R"({"New":)" + std::string(500'000, '[') + "1" +
                    std::string(500'000, ']') + ",")},
      {"a start time above 64 bits",
       replaced(Report, "1700000000000", "1700000000000000000000")},
      {"an infinite start time", replaced(Report, "1700000000000", "1e999")},
      {"a capacity above 32 bits", replaced(Report, "64000", "64000000000")},
      {"a capacity below 0", replaced(Report, "262144", "-1")},
      {"a remaining time that no clock can hold",
       replaced(Report, "2500", "9000000000000000000")},
      {"a remaining time below 0", replaced(Report, "2500", "-2500")},
      {"a port out of range",
       replaced(Report, "10.0.0.9:80", "10.0.0.9:70000")},
      {"no port", replaced(Report, "10.0.0.9:80", "10.0.0.9")},
  };
  for (const auto &Case : Cases)
    BOOST_TEST(!decodeReport("w-1", Case.m_Body).ok(), Case.m_What);
}

// Guards against a row with a number that no run can have: it was converted to
// an arbitrary one, and could acknowledge ends that were never read. The other
// rows of the list hold.
BOOST_AUTO_TEST_CASE(LeavesOutRowsOfRunListsWithNumbersOutOfRange) {
  const runner::CallAnswer Answer =
      decodeAnswer(runner::CallId(),
                   answerOf(200, R"({"ClockMs":5,"born":7,"Running":[)"
                                 R"(["aa.0.0.0",1e300,"",4,0],)"
                                 R"(["aa.0.0.1",18446744073709551615,"",4],)"
                                 R"(["aa.0.0.2",1.5,"",4],)"
                                 R"(["aa.0.0.3",1,"",1e300],)"
                                 R"(["aa.0.0.4",1,"",4294967297],)"
                                 R"(["aa.0.0.5",2,"",41]],"Finished":[)"
                                 R"([1e300,"aa.0.0.6",1,"done",""],)"
                                 R"([3,"aa.0.0.7",-1,"done",""],)"
                                 R"([0,"aa.0.0.8",1,"done",""],)"
                                 R"([4,"aa.0.0.9",1,"done",""]]})"));
  // A run is there whatever its progress.
  BOOST_REQUIRE(Answer.m_Runs.size() == 3U);
  BOOST_TEST(Answer.m_Runs[0].m_Task.index == 3);
  BOOST_TEST(Answer.m_Runs[0].m_Percent == 0);
  BOOST_TEST(Answer.m_Runs[1].m_Task.index == 4);
  BOOST_TEST(Answer.m_Runs[1].m_Percent == 0);
  BOOST_TEST(Answer.m_Runs[2].m_Task.index == 5);
  BOOST_TEST(Answer.m_Runs[2].m_Percent == 41);
  BOOST_REQUIRE(Answer.m_Ends.size() == 1U);
  BOOST_TEST(Answer.m_Ends[0].m_Task.index == 9);
}

// Guards against reports that are refused because the platform adds a field.
BOOST_AUTO_TEST_CASE(IgnoresFieldsThatItDoesNotKnow) {
  BOOST_TEST(decodeReport("w-1", replaced(Report, "{", R"({"New":[1],)")).ok());
}

// Guards against a wrong field or unit in a policy, and against a change of the
// text that operators read back.
BOOST_AUTO_TEST_CASE(DecodesAPolicy) {
  const auto Decoded = decodePolicy(Policy);
  BOOST_REQUIRE_MESSAGE(Decoded.ok(), Decoded.status());
  BOOST_TEST(Decoded->version == 7);
  BOOST_REQUIRE(Decoded->queues.size() == 1);
  BOOST_TEST(Decoded->queues[0].latencyTargetMs == 250);
  BOOST_TEST(Decoded->queues[0].slackFactor == 1.5);
  BOOST_REQUIRE(Decoded->workspaces.size() == 1);
  BOOST_TEST(Decoded->workspaces[0].keys.size() == 2);
  BOOST_TEST(Decoded->workspaces[0].guaranteed.accelerators == 16);
  // The text is kept byte for byte.
  BOOST_TEST(Decoded->source == Policy);
}

// Guards against an invalid configuration that comes into force.
BOOST_AUTO_TEST_CASE(RefusesInvalidPolicies) {
  const std::string Tenant =
      R"({"Name":"t2","ApiKeys":["k1"],"Priority":1},{"Name":"t1")";
  const struct {
    const char *m_What;
    std::string m_Body;
  } Cases[] = {
      {"cut short", std::string(Policy.substr(0, Policy.size() / 2))},
      {"an unknown service",
       replaced(Policy, R"("Service":"desk")", R"("Service":"other")")},
      {"a timeout of 0", replaced(Policy, "3000", "0")},
      {"a key of two workspaces", replaced(Policy, R"({"Name":"t1")", Tenant)},
      {"no version", replaced(Policy, R"("Version":7,)", "")},
  };
  for (const auto &Case : Cases) {
    const auto Decoded = decodePolicy(Case.m_Body);
    BOOST_TEST((!Decoded.ok() || !workload::checkPolicy(*Decoded).ok()),
               Case.m_What);
  }
}

// Guards against fields of a job that are lost or decoded into another one.
BOOST_AUTO_TEST_CASE(DecodesAJob) {
  const auto Spec = decodeJob(
      R"({"Spec":"text","Steps":[{"Count":4,"Cpu":500,"MemMb":256,"Gpu":2,)"
      R"("EstimatedMs":900,"Gang":true,"RackLocal":true,"Requirements":"a"},)"
      R"({"Count":2,"Cpu":10,"DependsOn":[0],"AntiAffinity":1}]})");
  BOOST_REQUIRE_MESSAGE(Spec.ok(), Spec.status());
  BOOST_REQUIRE(Spec->steps.size() == 2);
  BOOST_TEST(Spec->steps[0].gang);
  BOOST_TEST(Spec->steps[0].rackLocal);
  BOOST_TEST(Spec->steps[0].requiredLabel == "a");
  BOOST_TEST(Spec->steps[0].perTask.accelerators == 2);
  BOOST_TEST(Spec->steps[1].maxTasksPerWorker == 1);
  BOOST_REQUIRE(Spec->steps[1].dependsOn.size() == 1);
}

// Guards against a path that is mistaken for a job or a queue.
BOOST_AUTO_TEST_CASE(TellsJobsFromQueues) {
  BOOST_TEST(jobIdOf("/q/5c0e7a21d94b36f8").value_or("") == "5c0e7a21d94b36f8");
  BOOST_TEST(!jobIdOf("/q/"));
  BOOST_TEST(!jobIdOf("/q/5c0e7a21d94b36f"));
  BOOST_TEST(!jobIdOf("/q/5c0e7a21d94b36fg"));
}

// Guards against a task name that changes when it is decoded and encoded again,
// and against names in another format.
BOOST_AUTO_TEST_CASE(TaskNamesRoundTrip) {
  const auto Ref = decodeTask("5c0e7a21d94b36f8.3.1.17");
  BOOST_REQUIRE(Ref);
  BOOST_TEST(Ref->occurrence == 3);
  BOOST_TEST(Ref->index == 17);
  BOOST_TEST(encodeTask(*Ref) == "5c0e7a21d94b36f8.3.1.17");
  for (const char *Bad : {"", "a", "a.1.2", "a.1.2.x", "a.1.2.3.4", ".1.2.3"})
    BOOST_TEST(!decodeTask(Bad), Bad);
}

// Guards against an order that counts as not executed without proof: only the
// refusals that the platform lists are one.
BOOST_AUTO_TEST_CASE(DecodesTheResultOfAnOrder) {
  const struct {
    int m_Status;
    const char *m_Body;
    CallError m_Error;
  } Cases[] = {
      {200, R"({"ClockMs":5})", CallError::None},
      {409, R"({"ClockMs":5,"Reason":"fence"})", CallError::Fenced},
      {409, R"({"ClockMs":5,"Reason":"old"})", CallError::Superseded},
      {409, R"({"ClockMs":5,"Reason":"late"})", CallError::TooLate},
      {409, R"({"ClockMs":5,"Reason":"room"})", CallError::NoRoom},
      {421, "", CallError::OtherIncarnation},
      {429, "", CallError::Unhealthy},
      {503, "", CallError::Unhealthy},
      {400, "", CallError::Rejected},
      {500, "", CallError::NoAnswer},
      {502, "", CallError::NoAnswer},
  };
  for (const auto &Case : Cases) {
    const auto Answer = decodeAnswer(1, answerOf(Case.m_Status, Case.m_Body));
    BOOST_TEST((Answer.m_Error == Case.m_Error),
               "status " << Case.m_Status << " " << Case.m_Body);
  }
  net::HttpExchangeResult Silent;
  Silent.m_Status = absl::DeadlineExceededError("no answer");
  BOOST_TEST((decodeAnswer(1, Silent).m_Error == CallError::NoAnswer));
  Silent.m_Refused = true;
  BOOST_TEST((decodeAnswer(1, Silent).m_Error == CallError::Unreachable));
}

// Guards against an invalid row that hides the valid rows of a list.
BOOST_AUTO_TEST_CASE(DecodesTheListsOfAHold) {
  const auto Answer = decodeAnswer(
      1, answerOf(200,
                  R"({"ClockMs":9,"born":3,"Running":[["a.0.0.1",2,"c",41,7],)"
                  R"(["bad",1,"",0],[1]],"Finished":[[58,"a.0.0.2",1,"done",)"
                  R"(""],[59,"a.0.0.3",1,"vanished",""]]})"));
  BOOST_REQUIRE(Answer.m_Runs.size() == 1);
  BOOST_TEST(Answer.m_Runs[0].m_Percent == 41);
  BOOST_TEST(Answer.m_Runs[0].m_Checkpoint == "c");
  BOOST_REQUIRE(Answer.m_Ends.size() == 1);
  BOOST_TEST(Answer.m_Ends[0].m_Number == 58);
  BOOST_TEST(Answer.m_StartedAtMs.value_or(0) == 3);
}

// Guards against orders without their limits, or with a limit in another field.
BOOST_AUTO_TEST_CASE(EncodesOrders) {
  runner::StartCall Start;
  Start.m_FencingToken = 7;
  Start.m_LeaseEndMs = 486'000;
  Start.m_Order.task = *decodeTask("5c0e7a21d94b36f8.0.1.17");
  Start.m_Order.run = 2;
  Start.m_Order.payload = "text";
  BOOST_TEST(encodeStart(Start) ==
             R"({"Task":"5c0e7a21d94b36f8.0.1.17","RunId":2,"Spec":"text",)"
             R"("DeadlineMs":486000,"FencingToken":7})");
  runner::HoldCall Hold;
  Hold.m_FencingToken = 7;
  Hold.m_AcknowledgedEnd = 57;
  Hold.m_Wait = std::chrono::milliseconds(1000);
  BOOST_TEST(encodeHold(Hold) ==
             R"({"FencingToken":7,"AckCursor":57,"WaitMs":1000})");
}

// Guards against invalid settings that are accepted, and against errors that do
// not name the field.
BOOST_AUTO_TEST_CASE(ChecksTheSettings) {
  const std::string Settings =
      R"({"NodeName":"n1","Zone":"north","Ip":"10.0.0.1",)"
      R"("InternalPortRange":[7000,7015],"Seeds":["10.0.0.2:8526"],)"
      R"("FaultTolerance":{"Machines":2},)"
      R"("Bounds":{"MaxHoldMs":6000,"StopTimeoutMs":900,"RestoreMs":100,)"
      R"("CatchUpS":4.5},"Later":{}})";
  const auto Read = parseSettings(Settings);
  BOOST_REQUIRE_MESSAGE(Read.ok(), Read.status());
  BOOST_TEST(Read->m_InternalAddress.str() == "10.0.0.1:7000");
  // The RPC listener of a seed has the internal port, not the listed one.
  BOOST_TEST(Read->m_Seeds.at(0).str() == "10.0.0.2:7000");
  BOOST_TEST((Read->m_CatchUpTime == std::chrono::milliseconds(4500)));
  BOOST_TEST((Read->m_StopTime == std::chrono::milliseconds(900)));
  BOOST_TEST((Read->m_RestoreTime == std::chrono::milliseconds(100)));
  BOOST_TEST(Read->m_ToleratedLosses == 2);

  const struct {
    std::string m_Body;
    const char *m_Names;
  } Cases[] = {
      {replaced(Settings, R"("Zone":"north",)", ""), "Zone"},
      {replaced(Settings, "6000", R"("long")"), "MaxHoldMs"},
      {replaced(Settings, "[7000,7015]", "[]"), "InternalPortRange"},
      {replaced(Settings, R"("Machines":2)", R"("Machines":-1)"),
       "FaultTolerance"},
      {"{", "JSON"},
  };
  for (const auto &Case : Cases) {
    const auto Bad = parseSettings(Case.m_Body);
    BOOST_TEST(!Bad.ok());
    BOOST_TEST(Bad.status().message().find(Case.m_Names) !=
                   absl::string_view::npos,
               Bad.status());
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::platform
