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

/// A worker's gate that knows that nothing runs yet.
struct WorkerBench : GateBench {
  explicit WorkerBench(AgentOptions Options = {})
      : GateBench(std::move(Options), wire::TargetKind::WORKER) {
    step(WorkerInventory{});
    beat();
  }

  void report(TaskEventKind Kind, int64_t Token = 9) {
    step(TaskEvent{keyOf(Token), Kind, "simulated"});
  }

  void run() {
    beat({assignment(wire::TaskOrder::PREPARE)});
    beat({assignment(wire::TaskOrder::START)});
    report(TaskEventKind::Started);
  }

  /// Reports the state in the next heartbeat without answering it.
  int nextState() {
    nextHeartbeat();
    return taskState();
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(TaskTest)

// Guards against a start that comes before the preparation or is repeated with
// every reply (H2, H6).
BOOST_AUTO_TEST_CASE(PreparesThenStartsOnce) {
  WorkerBench B;
  B.beat({assignment(wire::TaskOrder::PREPARE)});
  BOOST_TEST(B.nextState() == wire::TaskState::PREPARED);
  BOOST_TEST(B.m_Starts.empty());
  for (int Replies = 0; Replies < 5; ++Replies)
    B.beat({assignment(wire::TaskOrder::START)});
  B.report(TaskEventKind::Started);
  for (int Replies = 0; Replies < 5; ++Replies)
    B.beat({assignment(wire::TaskOrder::START)});
  BOOST_TEST(B.m_Starts.size() == 1);
  BOOST_TEST(B.taskState() == wire::TaskState::RUNNING);
}

// Guards against a start token that runs again after control had dropped the
// task.
BOOST_AUTO_TEST_CASE(UsedStartTokenNeverStartsAgain) {
  WorkerBench B;
  B.run();
  B.report(TaskEventKind::Succeeded);
  B.beat();
  B.beat({assignment(wire::TaskOrder::PREPARE)});
  B.beat({assignment(wire::TaskOrder::START)});
  BOOST_TEST(B.m_Starts.size() == 1);
  BOOST_TEST(B.nextState() == wire::TaskState::FAILED);
}

// Guards against a restarted agent that runs a task which its earlier
// incarnation may have run.
BOOST_AUTO_TEST_CASE(StartWithoutOwnPreparationIsRefused) {
  WorkerBench B;
  B.beat({assignment(wire::TaskOrder::START)});
  BOOST_TEST(B.m_Starts.empty());
  BOOST_TEST(B.nextState() == wire::TaskState::REFUSED);
}

// Guards against tasks of an earlier incarnation that keep running, or whose
// resources are promised again.
BOOST_AUTO_TEST_CASE(TasksOfAnEarlierIncarnationAreStoppedFirst) {
  GateBench B({}, wire::TargetKind::WORKER);
  B.beat({assignment(wire::TaskOrder::PREPARE)});
  BOOST_TEST(B.taskState() == 0);
  B.step(WorkerInventory{{{keyOf(4), 3}}});
  BOOST_REQUIRE(B.m_Stops.size() == 1);
  BOOST_TEST(B.m_Stops[0].m_StartToken == 4);
  B.beat({assignment(wire::TaskOrder::PREPARE)});
  B.step(WorkerInventory{});
  B.beat({assignment(wire::TaskOrder::PREPARE)});
  B.nextHeartbeat();
  BOOST_TEST(B.taskState() == wire::TaskState::PREPARED);
}

// Guards against a start in a withdrawn zone, and against a gang member that
// gives up because of a short loss.
BOOST_AUTO_TEST_CASE(StartWaitsForAPermit) {
  WorkerBench B;
  B.beat({assignment(wire::TaskOrder::PREPARE)});
  wire::AgentHeartbeatReply NoPermit = GateBench::reply(B.nextHeartbeat(), 0);
  NoPermit.assignments = {assignment(wire::TaskOrder::START)};
  B.step(HeartbeatReplied{NoPermit});
  BOOST_TEST(B.m_Starts.empty());
  BOOST_TEST(B.nextState() == wire::TaskState::PREPARED);
  B.beat({assignment(wire::TaskOrder::START)});
  BOOST_TEST(B.m_Starts.size() == 1);
}

// Guards against resources that are promised twice, and against a partial gang
// on one worker.
BOOST_AUTO_TEST_CASE(MemberThatDoesNotFitIsRefused) {
  WorkerBench B;
  wire::Assignment Second = assignment(wire::TaskOrder::PREPARE);
  Second.taskIndex = 3;
  Second.resources.accelerators = 5;
  B.beat({assignment(wire::TaskOrder::PREPARE), Second});
  B.nextHeartbeat();
  const auto &Tasks = B.m_Heartbeats.back().tasks;
  BOOST_REQUIRE(Tasks.size() == 2);
  BOOST_TEST(Tasks[0].state == wire::TaskState::PREPARED);
  BOOST_TEST(Tasks[1].state == wire::TaskState::REFUSED);
  // The whole gang is released; what was held is free for the next one.
  Second.jobId = 6;
  B.beat({Second});
  BOOST_TEST(B.nextState() == wire::TaskState::PREPARED);
  BOOST_TEST(B.m_Starts.empty());
}

// Guards against a task that outlives its lease, or a lease counted from when
// the reply arrived.
BOOST_AUTO_TEST_CASE(LeaseCountsFromTheHeartbeatAndStopsTheTask) {
  WorkerBench B;
  B.beat({assignment(wire::TaskOrder::PREPARE)});
  wire::AgentHeartbeatReply Start = GateBench::reply(B.nextHeartbeat());
  Start.assignments = {assignment(wire::TaskOrder::START)};
  B.advance(milliseconds(400));
  B.step(HeartbeatReplied{Start});
  BOOST_REQUIRE(B.m_Starts.size() == 1);
  BOOST_TEST(B.m_Starts[0].m_Lease.count() == 9600000);
  B.report(TaskEventKind::Started);

  B.pass(milliseconds(9500));
  BOOST_TEST(B.m_Stops.empty());
  B.pass(milliseconds(100));
  BOOST_TEST(B.m_Stops.size() == 1);
  B.pass(milliseconds(2100));
  BOOST_TEST(B.m_Stops.size() == 3,
             "an unconfirmed stop is repeated every second");
  B.report(TaskEventKind::Stopped);
  BOOST_TEST(B.nextState() == wire::TaskState::STOPPED);
  BOOST_TEST(B.m_Heartbeats.back().tasks[0].detail == "lease ran out");
}

// Guards against late replies that extend a lease beyond their own heartbeat,
// and against renewing an expired one.
BOOST_AUTO_TEST_CASE(OldRepliesDoNotRenew) {
  WorkerBench B;
  B.run();
  wire::AgentHeartbeatReply Old = GateBench::reply(B.nextHeartbeat());
  Old.assignments = {assignment(wire::TaskOrder::START)};
  const TimePoint SentAt = B.m_Now;
  B.pass(seconds(5));
  B.step(HeartbeatReplied{Old});
  B.pass(SentAt + seconds(10) - B.m_Now);
  BOOST_TEST(B.m_Stops.size() == 1);
  B.beat({assignment(wire::TaskOrder::START)});
  BOOST_TEST(B.m_Starts.size() == 1);
  BOOST_TEST(B.taskState() == wire::TaskState::RUNNING);
}

// Guards against a worker whose own lease runs out while control renews it.
BOOST_AUTO_TEST_CASE(RenewalsReachTheWorker) {
  WorkerBench B;
  B.run();
  for (int Replies = 0; Replies < 30; ++Replies)
    B.beat({assignment(wire::TaskOrder::START)});
  BOOST_TEST(B.m_Stops.empty());
  BOOST_TEST(B.m_Renewals.size() >= 15);
  BOOST_TEST(B.m_Renewals.back().m_Lease.count() == 10000000);
}

// Guards against tasks that go on after control has released them.
BOOST_AUTO_TEST_CASE(TaskMissingFromTheWantedSetIsStopped) {
  WorkerBench B;
  B.run();
  B.beat();
  BOOST_TEST(B.m_Stops.size() == 1);
  BOOST_TEST(B.nextState() == wire::TaskState::RUNNING);
  B.report(TaskEventKind::Stopped);
  B.nextHeartbeat();
  BOOST_TEST(B.m_Heartbeats.back().tasks.empty());
}

// Guards against a lagging replica that has not seen a task yet and would stop
// it.
BOOST_AUTO_TEST_CASE(LaggingReplicaStopsNothing) {
  WorkerBench B;
  B.run();
  wire::AgentHeartbeatReply Older = GateBench::reply(B.nextHeartbeat());
  Older.renewedAtIndex = 0;
  B.step(HeartbeatReplied{Older});
  BOOST_TEST(B.m_Stops.empty());
}

struct OrderCase {
  const char *m_Name;
  wire::TaskOrder::type m_Order;
  std::vector<TaskEventKind>
      m_Events; ///< What the worker reports after the order.
  size_t m_Checkpoints;
  size_t m_Throttles;
  size_t m_Stops;
  int m_State;
};

// Guards against reclaim orders that are dropped, repeated or reported with the
// wrong end.
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
      WorkerBench B;
      B.run();
      B.beat({assignment(Case.m_Order)});
      for (Kind Event : Case.m_Events)
        B.report(Event);
      B.beat({assignment(Case.m_Order)});
      BOOST_TEST(B.nextState() == Case.m_State);
      BOOST_TEST(B.m_Checkpoints.size() == Case.m_Checkpoints);
      BOOST_TEST(B.m_Throttles.size() == Case.m_Throttles);
      BOOST_TEST(B.m_Stops.size() == Case.m_Stops);
    }
  }
}

// Guards against a failed start that keeps resources, and against calling a
// start failed that may have happened.
BOOST_AUTO_TEST_CASE(FailedStarts) {
  WorkerBench Certain;
  Certain.beat({assignment(wire::TaskOrder::PREPARE)});
  Certain.beat({assignment(wire::TaskOrder::START)});
  Certain.report(TaskEventKind::StartFailed);
  BOOST_TEST(Certain.nextState() == wire::TaskState::FAILED);
  BOOST_TEST(Certain.m_Stops.empty());

  WorkerBench Doubtful;
  Doubtful.beat({assignment(wire::TaskOrder::PREPARE)});
  Doubtful.beat({assignment(wire::TaskOrder::START)});
  Doubtful.report(TaskEventKind::StartUnknown);
  BOOST_TEST(Doubtful.m_Stops.size() == 1);
  BOOST_TEST(Doubtful.nextState() == wire::TaskState::RUNNING);
  Doubtful.report(TaskEventKind::Stopped);
  BOOST_TEST(Doubtful.nextState() == wire::TaskState::FAILED);
}

// Guards against a restarted worker whose lost tasks count as running until
// their lease ends.
BOOST_AUTO_TEST_CASE(TaskMissingFromTwoInventoriesHasFailed) {
  WorkerBench B;
  B.run();
  B.step(WorkerInventory{{{keyOf(), 6}}});
  B.beat({assignment(wire::TaskOrder::START)});
  BOOST_TEST(B.m_Heartbeats.back().tasks[0].usedCores == 6);
  B.step(WorkerInventory{});
  BOOST_TEST(B.nextState() == wire::TaskState::RUNNING);
  B.step(WorkerInventory{});
  BOOST_TEST(B.nextState() == wire::TaskState::FAILED);
}

// Guards against gangs that are placed on a worker which is about to go.
BOOST_AUTO_TEST_CASE(LeavingWorkerRefusesAndWaitsForItsTasks) {
  WorkerBench B;
  B.run();
  B.step(DrainBegin{});
  wire::Assignment Other = assignment(wire::TaskOrder::PREPARE);
  Other.jobId = 6;
  B.beat({assignment(wire::TaskOrder::START), Other});
  B.nextHeartbeat();
  BOOST_TEST(B.m_Heartbeats.back().tasks.back().state ==
             wire::TaskState::REFUSED);
  BOOST_TEST(B.m_Leaves.empty());
  B.report(TaskEventKind::Succeeded);
  B.beat();
  BOOST_TEST(B.m_Leaves.size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
