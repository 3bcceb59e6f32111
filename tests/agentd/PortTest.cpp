#include <algorithm>
#include <memory>
#include <optional>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "anvil/agentd/Ports.h"
#include "fakes/FakeMinion.h"
#include "fakes/FakeWorker.h"
#include "support/Loopback.h"

using namespace anvil;
using agent::TaskEventKind;
using std::chrono::milliseconds;
using std::chrono::seconds;
using support::Loopback;

namespace {

const agent::TaskKey Key{5, 2, 9};

struct MinionFault {
  const char *m_Name;
  double fakes::FakeMinionOptions::*m_Rate; ///< Rate set to 1, or null.
  bool m_Whole;
  int m_Status;
};

struct WorkerBench : Loopback {
  explicit WorkerBench(fakes::FakeWorkerOptions Options = {},
                       Duration CommandTimeout = seconds(10)) {
    Options.m_UsageLag = Duration(0);
    m_Worker = std::move(*fakes::FakeWorker::create(m_Io, Options));
    agentd::WorkerPortOptions Port;
    Port.m_Worker = m_Worker->endpoint();
    Port.m_PollPeriod = milliseconds(10);
    Port.m_CommandTimeout = CommandTimeout;
    agent::WorkerPort::Hooks Hooks;
    Hooks.m_OnTask = [this](const agent::TaskEvent &Event) {
      m_Events.push_back(Event.m_Kind);
    };
    Hooks.m_OnInventory = [this](const agent::WorkerInventory &Inventory) {
      m_Inventory = Inventory;
    };
    m_Port = agentd::makeHttpWorkerPort(m_Io, Port, Hooks);
  }

  void start(Duration Lease) {
    agent::StartTask Command;
    Command.m_Key = Key;
    Command.m_Lease = Lease;
    Command.m_Resources.cores = 8;
    m_Port->start(Command);
  }

  bool waitFor(TaskEventKind Kind) {
    return runUntil([&] {
      return std::find(m_Events.begin(), m_Events.end(), Kind) !=
             m_Events.end();
    });
  }

  std::vector<TaskEventKind> m_Events;
  std::optional<agent::WorkerInventory> m_Inventory;
  std::unique_ptr<fakes::FakeWorker> m_Worker;
  std::unique_ptr<agent::WorkerPort> m_Port;
};

} // namespace

BOOST_AUTO_TEST_SUITE(PortTest)

// Guards against accepting an incomplete response, repeating a request, and
// reporting that no byte was sent although the minion received the request.
BOOST_AUTO_TEST_CASE(MinionFaults) {
  using Options = fakes::FakeMinionOptions;
  const MinionFault Cases[] = {
      {"none", nullptr, true, 200},
      {"error status", &Options::m_FailRate, true, 500},
      {"truncated", &Options::m_TruncateRate, false, 0},
      {"closed after running", &Options::m_CloseRate, false, 0},
      {"hanging", &Options::m_HangRate, false, 0}};
  for (const MinionFault &Case : Cases) {
    BOOST_TEST_CONTEXT(Case.m_Name) {
      Loopback Bench;
      Options Behaviour;
      Behaviour.m_Random = [] { return 0.0; };
      Behaviour.m_ServiceMean = milliseconds(1);
      if (Case.m_Rate)
        Behaviour.*Case.m_Rate = 1;
      auto Minion =
          std::move(*fakes::FakeMinion::create(Bench.m_Io, Behaviour));
      const Duration Deadline =
          Behaviour.m_HangRate > 0 ? Duration(milliseconds(100)) : seconds(10);
      auto Port = agentd::makeHttpMinionPort(
          Bench.m_Io, {Minion->endpoint(), 64, 1u << 20, Deadline});
      wire::ExecuteRequest Request;
      Request.requestId = "r1";
      Request.workspace = "retail";
      Request.serviceName = "orders";
      Request.claimId = "retail/orders/k1";
      Request.httpMethod = "POST";
      Request.path = "/reorder?book=12";
      std::optional<agent::MinionResult> Result;
      Port->send(
          agent::ExchangeId(1), Request,
          [&](const agent::MinionResult &Received) { Result = Received; });
      BOOST_REQUIRE(Bench.runUntil([&] { return Result.has_value(); }));
      BOOST_TEST(Result->m_Whole == Case.m_Whole);
      BOOST_TEST(Result->m_HttpStatus == Case.m_Status);
      BOOST_TEST(Result->m_AnyByteSent);
      BOOST_TEST(Minion->counts().m_Requests.at("r1") == 1);
      BOOST_TEST(Minion->counts().m_Keys.at("k1") == 1);
    }
  }
}

// Guards against reporting a start as failed although the worker may have
// started the task.
BOOST_AUTO_TEST_CASE(WorkerStartResults) {
  WorkerBench Accepting;
  Accepting.start(seconds(10));
  BOOST_TEST(Accepting.waitFor(TaskEventKind::Started));

  WorkerBench Refusing({.m_FailStarts = true});
  Refusing.start(seconds(10));
  BOOST_TEST(Refusing.waitFor(TaskEventKind::StartFailed));

  WorkerBench Slow({.m_StartTime = seconds(5)}, milliseconds(200));
  Slow.start(seconds(10));
  BOOST_TEST(Slow.waitFor(TaskEventKind::StartUnknown));
}

// Guards against a task that outlives its lease because the agent stops
// renewing it, and against a renewal that the worker does not apply.
BOOST_AUTO_TEST_CASE(WorkerStopsTasksWhoseLeaseRanOut) {
  WorkerBench Bench;
  Bench.start(milliseconds(100));
  BOOST_TEST(Bench.waitFor(TaskEventKind::Stopped));
  BOOST_TEST(Bench.m_Worker->counts().m_LeaseStops == 1);

  WorkerBench Renewed({.m_RunTime = milliseconds(1800)});
  Renewed.start(milliseconds(1500));
  Renewed.m_Port->renew({Key, seconds(10)});
  BOOST_TEST(Renewed.waitFor(TaskEventKind::Succeeded));
}

// Guards against commands that are sent with the wrong key, or whose effect is
// not reported.
BOOST_AUTO_TEST_CASE(WorkerCommands) {
  WorkerBench Bench;
  Bench.start(seconds(10));
  BOOST_REQUIRE(Bench.waitFor(TaskEventKind::Started));
  const auto Uses = [&Bench](int32_t Cores) {
    return Bench.m_Inventory && Bench.m_Inventory->m_Running.size() == 1 &&
           Bench.m_Inventory->m_Running[0].m_Key == Key &&
           Bench.m_Inventory->m_Running[0].m_UsedCores == Cores;
  };
  BOOST_TEST(Bench.runUntil([&] { return Uses(8); }));
  Bench.m_Port->throttle(Key);
  BOOST_TEST(Bench.runUntil([&] { return Uses(4); }));
  Bench.m_Port->checkpoint(Key);
  BOOST_TEST(Bench.waitFor(TaskEventKind::Checkpointed));
  Bench.m_Port->stop(Key);
  BOOST_TEST(Bench.waitFor(TaskEventKind::Stopped));
  Bench.m_Events.clear();
  Bench.m_Port->stop(Key);
  BOOST_TEST(Bench.waitFor(TaskEventKind::Stopped),
             "a stop of a task that is gone is confirmed");
  Bench.m_Port->checkpoint(Key);
  BOOST_TEST(Bench.waitFor(TaskEventKind::CheckpointFailed));
}

// Guards against starts that fail, or stops that arrive before their start,
// because many commands are issued at once.
BOOST_AUTO_TEST_CASE(WorkerCommandsWaitForEachOther) {
  WorkerBench Bench({.m_StartTime = milliseconds(50)});
  constexpr int32_t Tasks = 40;
  for (int32_t Task = 0; Task < Tasks; ++Task) {
    agent::StartTask Command;
    Command.m_Key = {5, Task, 9};
    Command.m_Lease = seconds(30);
    Bench.m_Port->start(Command);
    Bench.m_Port->stop(Command.m_Key);
  }
  const auto Count = [&Bench](TaskEventKind Kind) {
    return std::count(Bench.m_Events.begin(), Bench.m_Events.end(), Kind);
  };
  BOOST_TEST(
      Bench.runUntil([&] { return Count(TaskEventKind::Stopped) == Tasks; }));
  BOOST_TEST(Count(TaskEventKind::Started) == Tasks);
  BOOST_TEST(Bench.m_Worker->counts().m_Running == 0);
}

// Guards against reporting a task as stopped while the worker ignores the stop.
// The task ends only when its lease expires.
BOOST_AUTO_TEST_CASE(WorkerThatIgnoresStopEndsWithTheLease) {
  WorkerBench Bench({.m_IgnoreStop = true});
  Bench.start(milliseconds(300));
  BOOST_REQUIRE(Bench.waitFor(TaskEventKind::Started));
  Bench.m_Port->stop(Key);
  BOOST_TEST(Bench.waitFor(TaskEventKind::Stopped));
  BOOST_TEST(Bench.m_Worker->counts().m_LeaseStops == 1);
}

// Guards against missing the events of a restarted worker, which numbers its
// events from 1 again.
BOOST_AUTO_TEST_CASE(EventsAreReadAgainAfterAWorkerRestart) {
  WorkerBench Bench({.m_RunTime = milliseconds(10)});
  Bench.start(seconds(10));
  BOOST_REQUIRE(Bench.waitFor(TaskEventKind::Succeeded));
  Bench.m_Events.clear();
  fakes::FakeWorkerOptions Restarted;
  Restarted.m_Listen = Bench.m_Worker->endpoint();
  Restarted.m_RunTime = milliseconds(10);
  Restarted.m_Instance = 2;
  Bench.m_Worker.reset();
  Bench.m_Worker = std::move(*fakes::FakeWorker::create(Bench.m_Io, Restarted));
  Bench.start(seconds(10));
  BOOST_TEST(Bench.waitFor(TaskEventKind::Succeeded));
}

BOOST_AUTO_TEST_SUITE_END()
