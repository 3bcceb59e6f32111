#include "agent/GateBench.h"

using namespace anvil;
using namespace anvil::agent;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

wire::Assignment assignment(wire::TaskOrder::type Order, int64_t Token = 9) {
  wire::Assignment Item;
  Item.jobId = 5;
  Item.taskIndex = 2;
  Item.startToken = Token;
  Item.order = Order;
  Item.resources.accelerators = 4;
  Item.resources.cores = 8;
  Item.leaseMs = 10000;
  return Item;
}

TaskKey keyOf(int64_t Token = 9) { return {5, 2, Token}; }

/// Drives the gate of a worker whose first inventory listed no tasks.
struct WorkerBench : GateBench {
  explicit WorkerBench(AgentOptions Options = {})
      : GateBench(std::move(Options), wire::TargetKind::WORKER) {
    step(WorkerInventory{});
    exchangeHeartbeat();
  }

  void report(TaskEventKind Kind, int64_t Token = 9) {
    step(TaskEvent{keyOf(Token), Kind, "simulated"});
  }

  void run() {
    exchangeHeartbeat({assignment(wire::TaskOrder::PREPARE)});
    exchangeHeartbeat({assignment(wire::TaskOrder::START)});
    report(TaskEventKind::Started);
  }

  /// Returns the state in the next heartbeat, which is not answered.
  int nextState() {
    nextHeartbeat();
    return taskState();
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(TaskTest)

// Guards against a start before the preparation, and against a start that is
// repeated with every reply.
BOOST_AUTO_TEST_CASE(PreparesThenStartsOnce) {
  WorkerBench Bench;
  Bench.exchangeHeartbeat({assignment(wire::TaskOrder::PREPARE)});
  BOOST_TEST(Bench.nextState() == wire::TaskState::PREPARED);
  BOOST_TEST(Bench.m_Starts.empty());
  for (int Replies = 0; Replies < 5; ++Replies)
    Bench.exchangeHeartbeat({assignment(wire::TaskOrder::START)});
  Bench.report(TaskEventKind::Started);
  for (int Replies = 0; Replies < 5; ++Replies)
    Bench.exchangeHeartbeat({assignment(wire::TaskOrder::START)});
  BOOST_TEST(Bench.m_Starts.size() == 1);
  BOOST_TEST(Bench.taskState() == wire::TaskState::RUNNING);
}

// Guards against using a start token again after the agent has removed the task
// because control no longer assigns it.
BOOST_AUTO_TEST_CASE(UsedStartTokenNeverStartsAgain) {
  WorkerBench Bench;
  Bench.run();
  Bench.report(TaskEventKind::Succeeded);
  Bench.exchangeHeartbeat();
  Bench.exchangeHeartbeat({assignment(wire::TaskOrder::PREPARE)});
  Bench.exchangeHeartbeat({assignment(wire::TaskOrder::START)});
  BOOST_TEST(Bench.m_Starts.size() == 1);
  BOOST_TEST(Bench.nextState() == wire::TaskState::FAILED);
}

// Guards against a restarted agent that starts a task which its earlier
// incarnation may have started.
BOOST_AUTO_TEST_CASE(StartWithoutOwnPreparationIsRefused) {
  WorkerBench Bench;
  Bench.exchangeHeartbeat({assignment(wire::TaskOrder::START)});
  BOOST_TEST(Bench.m_Starts.empty());
  BOOST_TEST(Bench.nextState() == wire::TaskState::REFUSED);
}

// Guards against tasks of an earlier incarnation that keep running, or whose
// resources are reserved for other tasks.
BOOST_AUTO_TEST_CASE(TasksOfAnEarlierIncarnationAreStoppedFirst) {
  GateBench Bench({}, wire::TargetKind::WORKER);
  Bench.exchangeHeartbeat({assignment(wire::TaskOrder::PREPARE)});
  BOOST_TEST(Bench.taskState() == 0);
  Bench.step(WorkerInventory{{{keyOf(4), 3}}});
  BOOST_REQUIRE(Bench.m_Stops.size() == 1);
  BOOST_TEST(Bench.m_Stops[0].m_StartToken == 4);
  Bench.exchangeHeartbeat({assignment(wire::TaskOrder::PREPARE)});
  Bench.step(WorkerInventory{});
  Bench.exchangeHeartbeat({assignment(wire::TaskOrder::PREPARE)});
  Bench.nextHeartbeat();
  BOOST_TEST(Bench.taskState() == wire::TaskState::PREPARED);
}

// Guards against a start in a withdrawn zone, and against a gang member that
// fails because the permit is lost for a short time.
BOOST_AUTO_TEST_CASE(StartWaitsForAPermit) {
  WorkerBench Bench;
  Bench.exchangeHeartbeat({assignment(wire::TaskOrder::PREPARE)});
  wire::AgentHeartbeatReply NoPermit =
      GateBench::reply(Bench.nextHeartbeat(), 0);
  NoPermit.assignments = {assignment(wire::TaskOrder::START)};
  Bench.step(HeartbeatReplied{NoPermit});
  BOOST_TEST(Bench.m_Starts.empty());
  BOOST_TEST(Bench.nextState() == wire::TaskState::PREPARED);
  Bench.exchangeHeartbeat({assignment(wire::TaskOrder::START)});
  BOOST_TEST(Bench.m_Starts.size() == 1);
}

// Guards against resources that are reserved twice, and against a partial start
// of a gang on one worker.
BOOST_AUTO_TEST_CASE(MemberThatDoesNotFitIsRefused) {
  WorkerBench Bench;
  wire::Assignment Second = assignment(wire::TaskOrder::PREPARE);
  Second.taskIndex = 3;
  Second.resources.accelerators = 5;
  Bench.exchangeHeartbeat({assignment(wire::TaskOrder::PREPARE), Second});
  Bench.nextHeartbeat();
  const auto &Tasks = Bench.m_Heartbeats.back().tasks;
  BOOST_REQUIRE(Tasks.size() == 2);
  BOOST_TEST(Tasks[0].state == wire::TaskState::PREPARED);
  BOOST_TEST(Tasks[1].state == wire::TaskState::REFUSED);
  // Once the whole gang is released, its resources are free for the next one.
  Second.jobId = 6;
  Bench.exchangeHeartbeat({Second});
  BOOST_TEST(Bench.nextState() == wire::TaskState::PREPARED);
  BOOST_TEST(Bench.m_Starts.empty());
}

// Guards against a task that outlives its lease, and against counting the lease
// from the arrival of the reply.
BOOST_AUTO_TEST_CASE(LeaseCountsFromTheHeartbeatAndStopsTheTask) {
  WorkerBench Bench;
  Bench.exchangeHeartbeat({assignment(wire::TaskOrder::PREPARE)});
  wire::AgentHeartbeatReply Start = GateBench::reply(Bench.nextHeartbeat());
  Start.assignments = {assignment(wire::TaskOrder::START)};
  Bench.advance(milliseconds(400));
  Bench.step(HeartbeatReplied{Start});
  BOOST_REQUIRE(Bench.m_Starts.size() == 1);
  BOOST_TEST(Bench.m_Starts[0].m_Lease.count() == 9600000);
  Bench.report(TaskEventKind::Started);

  Bench.pass(milliseconds(9500));
  BOOST_TEST(Bench.m_Stops.empty());
  Bench.pass(milliseconds(100));
  BOOST_TEST(Bench.m_Stops.size() == 1);
  Bench.pass(milliseconds(2100));
  BOOST_TEST(Bench.m_Stops.size() == 3,
             "an unconfirmed stop is repeated every second");
  Bench.report(TaskEventKind::Stopped);
  BOOST_TEST(Bench.nextState() == wire::TaskState::STOPPED);
  BOOST_TEST(Bench.m_Heartbeats.back().tasks[0].detail == "lease ran out");
}

// Guards against a late reply that extends a lease beyond what its heartbeat
// allows, and against renewing an expired lease.
BOOST_AUTO_TEST_CASE(OldRepliesDoNotRenew) {
  WorkerBench Bench;
  Bench.run();
  wire::AgentHeartbeatReply Old = GateBench::reply(Bench.nextHeartbeat());
  Old.assignments = {assignment(wire::TaskOrder::START)};
  const TimePoint SentAt = Bench.m_Now;
  Bench.pass(seconds(5));
  Bench.step(HeartbeatReplied{Old});
  Bench.pass(SentAt + seconds(10) - Bench.m_Now);
  BOOST_TEST(Bench.m_Stops.size() == 1);
  Bench.exchangeHeartbeat({assignment(wire::TaskOrder::START)});
  BOOST_TEST(Bench.m_Starts.size() == 1);
  BOOST_TEST(Bench.taskState() == wire::TaskState::RUNNING);
}

// Guards against a lease that expires on the worker although control renews it.
BOOST_AUTO_TEST_CASE(RenewalsReachTheWorker) {
  WorkerBench Bench;
  Bench.run();
  for (int Replies = 0; Replies < 30; ++Replies)
    Bench.exchangeHeartbeat({assignment(wire::TaskOrder::START)});
  BOOST_TEST(Bench.m_Stops.empty());
  BOOST_TEST(Bench.m_Renewals.size() >= 15);
  BOOST_TEST(Bench.m_Renewals.back().m_Lease.count() == 10000000);
}

// Guards against tasks that keep running after control has released them.
BOOST_AUTO_TEST_CASE(TaskMissingFromTheWantedSetIsStopped) {
  WorkerBench Bench;
  Bench.run();
  Bench.exchangeHeartbeat();
  BOOST_TEST(Bench.m_Stops.size() == 1);
  BOOST_TEST(Bench.nextState() == wire::TaskState::RUNNING);
  Bench.report(TaskEventKind::Stopped);
  Bench.nextHeartbeat();
  BOOST_TEST(Bench.m_Heartbeats.back().tasks.empty());
}

// Guards against stopping a task because a lagging replica does not know it
// yet.
BOOST_AUTO_TEST_CASE(LaggingReplicaStopsNothing) {
  WorkerBench Bench;
  Bench.run();
  wire::AgentHeartbeatReply Older = GateBench::reply(Bench.nextHeartbeat());
  Older.renewedAtIndex = 0;
  Bench.step(HeartbeatReplied{Older});
  BOOST_TEST(Bench.m_Stops.empty());
}

struct OrderCase {
  const char *m_Name;
  wire::TaskOrder::type m_Order;
  /// Reports of the worker after the order.
  std::vector<TaskEventKind> m_Events;
  size_t m_Checkpoints;
  size_t m_Throttles;
  size_t m_Stops;
  int m_State;
};

// Guards against orders that are ignored or repeated, and against reporting the
// wrong end of the task.
BOOST_AUTO_TEST_CASE(ReclaimOrders) {
  using Kind = TaskEventKind;
  const OrderCase Cases[] = {
      {"stop",
       wire::TaskOrder::STOP,
       {Kind::Stopped},
       0,
       0,
       1,
       wire::TaskState::STOPPED},
      {"stop of a task that just succeeded",
       wire::TaskOrder::STOP,
       {Kind::Succeeded},
       0,
       0,
       1,
       wire::TaskState::SUCCEEDED},
      {"checkpoint",
       wire::TaskOrder::CHECKPOINT_AND_STOP,
       {Kind::Checkpointed, Kind::Stopped},
       1,
       0,
       1,
       wire::TaskState::CHECKPOINTED},
      {"checkpoint in progress",
       wire::TaskOrder::CHECKPOINT_AND_STOP,
       {},
       1,
       0,
       0,
       wire::TaskState::RUNNING},
      {"failed checkpoint is tried again",
       wire::TaskOrder::CHECKPOINT_AND_STOP,
       {Kind::CheckpointFailed},
       2,
       0,
       0,
       wire::TaskState::RUNNING},
      {"throttle",
       wire::TaskOrder::THROTTLE,
       {},
       0,
       1,
       0,
       wire::TaskState::RUNNING},
      {"task fails",
       wire::TaskOrder::START,
       {Kind::Failed},
       0,
       0,
       0,
       wire::TaskState::FAILED},
  };
  for (const OrderCase &Case : Cases) {
    BOOST_TEST_CONTEXT(Case.m_Name) {
      WorkerBench Bench;
      Bench.run();
      Bench.exchangeHeartbeat({assignment(Case.m_Order)});
      for (Kind Event : Case.m_Events)
        Bench.report(Event);
      Bench.exchangeHeartbeat({assignment(Case.m_Order)});
      BOOST_TEST(Bench.nextState() == Case.m_State);
      BOOST_TEST(Bench.m_Checkpoints.size() == Case.m_Checkpoints);
      BOOST_TEST(Bench.m_Throttles.size() == Case.m_Throttles);
      BOOST_TEST(Bench.m_Stops.size() == Case.m_Stops);
    }
  }
}

// Guards against a failed start that keeps its resources, and against reporting
// a start as failed although the task may run.
BOOST_AUTO_TEST_CASE(FailedStarts) {
  WorkerBench Certain;
  Certain.exchangeHeartbeat({assignment(wire::TaskOrder::PREPARE)});
  Certain.exchangeHeartbeat({assignment(wire::TaskOrder::START)});
  Certain.report(TaskEventKind::StartFailed);
  BOOST_TEST(Certain.nextState() == wire::TaskState::FAILED);
  BOOST_TEST(Certain.m_Stops.empty());

  WorkerBench Doubtful;
  Doubtful.exchangeHeartbeat({assignment(wire::TaskOrder::PREPARE)});
  Doubtful.exchangeHeartbeat({assignment(wire::TaskOrder::START)});
  Doubtful.report(TaskEventKind::StartUnknown);
  BOOST_TEST(Doubtful.m_Stops.size() == 1);
  BOOST_TEST(Doubtful.nextState() == wire::TaskState::RUNNING);
  Doubtful.report(TaskEventKind::Stopped);
  BOOST_TEST(Doubtful.nextState() == wire::TaskState::FAILED);
}

// Guards against tasks that are lost by a restart of the worker but count as
// running until their lease expires.
BOOST_AUTO_TEST_CASE(TaskMissingFromTwoInventoriesHasFailed) {
  WorkerBench Bench;
  Bench.run();
  Bench.step(WorkerInventory{{{keyOf(), 6}}});
  Bench.exchangeHeartbeat({assignment(wire::TaskOrder::START)});
  BOOST_TEST(Bench.m_Heartbeats.back().tasks[0].usedCores == 6);
  Bench.step(WorkerInventory{});
  BOOST_TEST(Bench.nextState() == wire::TaskState::RUNNING);
  Bench.step(WorkerInventory{});
  BOOST_TEST(Bench.nextState() == wire::TaskState::FAILED);
}

// Guards against placing gangs on a worker that is about to leave.
BOOST_AUTO_TEST_CASE(LeavingWorkerRefusesAndWaitsForItsTasks) {
  WorkerBench Bench;
  Bench.run();
  Bench.step(DrainBegin{});
  wire::Assignment Other = assignment(wire::TaskOrder::PREPARE);
  Other.jobId = 6;
  Bench.exchangeHeartbeat({assignment(wire::TaskOrder::START), Other});
  Bench.nextHeartbeat();
  BOOST_TEST(Bench.m_Heartbeats.back().tasks.back().state ==
             wire::TaskState::REFUSED);
  BOOST_TEST(Bench.m_Leaves.empty());
  Bench.report(TaskEventKind::Succeeded);
  Bench.exchangeHeartbeat();
  BOOST_TEST(Bench.m_Leaves.size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
