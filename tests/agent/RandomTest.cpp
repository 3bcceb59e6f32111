#include <algorithm>
#include <random>
#include <set>

#include "agent/GateBench.h"

using namespace anvil;
using namespace anvil::agent;
using std::chrono::milliseconds;

namespace {

constexpr uint64_t Seeds = 60;
constexpr int EventsPerSeed = 1500;
constexpr size_t Slots = 3;
/// Two of five tasks fit on the worker of GateBench.
constexpr int32_t AcceleratorsPerTask = 3;

/// Random numbers that are the same on every platform. Distributions of the
/// standard library are not.
class RandomSource {
public:
  explicit RandomSource(uint64_t Seed) : m_Generator(Seed) {}
  size_t below(size_t Bound) {
    return static_cast<size_t>(m_Generator() % Bound);
  }
  bool oneIn(size_t Bound) { return below(Bound) == 0; }

private:
  std::mt19937_64 m_Generator;
};

/// Independent model of the permit: the newest accepted reply determines its
/// end, counted from when the heartbeat was sent.
class PermitModel {
public:
  void sent(int64_t Sequence, TimePoint Now) { m_SentAt[Sequence] = Now; }
  void replied(const wire::AgentHeartbeatReply &Reply) {
    if (!Reply.accepted || Reply.sequence < m_Newest ||
        !m_SentAt.contains(Reply.sequence))
      return;
    m_Newest = Reply.sequence;
    m_End = m_SentAt[Reply.sequence] + milliseconds(Reply.permitMs);
  }
  bool held(TimePoint Now) const { return Now < m_End; }

private:
  std::map<int64_t, TimePoint> m_SentAt;
  int64_t m_Newest = 0;
  TimePoint m_End;
};

/// Observed state of one exchange.
struct ExchangeTrace {
  std::string m_Name; ///< The token, or the request id if there is none.
  bool m_Open = true;
  bool m_BytesSeen = true;
};

/// Applies random events of a minion and checks the invariants after each
/// event.
class RequestFuzzer {
public:
  explicit RequestFuzzer(uint64_t Seed) : m_Random(Seed), m_Bench(options()) {}

  void run() {
    for (int Event = 0; Event < EventsPerSeed; ++Event) {
      applyRandomEvent();
      check();
    }
    checkAllAnswered();
  }

private:
  static AgentOptions options() {
    AgentOptions Options;
    Options.m_Slots = Slots;
    Options.m_QueueLimit = 3;
    Options.m_MaxUnackedClaims = 12;
    Options.m_MaxTokens = 40;
    Options.m_HungSlotLimit = std::chrono::seconds(2);
    return Options;
  }

  void applyRandomEvent() {
    switch (m_Random.below(8)) {
    case 0:
    case 1:
      return arrive();
    case 2:
      return endExchange();
    case 3:
      return reply();
    case 4:
      return m_Bench.step(MinionProbed{!m_Random.oneIn(4)});
    case 5:
      return loseReplica();
    default:
      m_Bench.advance(milliseconds(m_Random.below(120)));
      return m_Bench.step(Tick{});
    }
  }

  // A call ends once, so a failed heartbeat gets no reply later.
  void loseReplica() {
    if (m_Bench.m_Heartbeats.empty() || !m_Random.oneIn(10))
      return;
    const int64_t Sequence = m_Bench.m_Heartbeats.back().sequence;
    if (m_Answered.insert(Sequence).second)
      m_Bench.step(HeartbeatFailed{Sequence, "simulated"});
  }

  void arrive() {
    const int64_t Token =
        m_Random.oneIn(3)
            ? 0
            : m_NextToken + 1 - static_cast<int64_t>(m_Random.below(12));
    m_NextToken += m_Random.oneIn(2) ? 1 : 0;
    wire::ExecuteRequest Request = GateBench::request(
        "r" + std::to_string(++m_Requests), std::max<int64_t>(Token, 0),
        static_cast<int64_t>(1 + m_Random.below(1500)));
    if (m_Random.oneIn(20))
      Request.incarnation = GateBench::Incarnation - 1;
    const int64_t Call = m_Bench.arrive(Request);
    m_Unanswered[Call] = Request;
  }

  void endExchange() {
    std::vector<size_t> Open;
    for (size_t Index = 0; Index < m_Traces.size(); ++Index)
      if (m_Traces[Index].m_Open)
        Open.push_back(Index);
    if (Open.empty())
      return;
    const size_t Index = Open[m_Random.below(Open.size())];
    m_Traces[Index].m_Open = false;
    if (!m_Random.oneIn(3))
      return m_Bench.answer(Index);
    m_Traces[Index].m_BytesSeen = m_Random.oneIn(2);
    m_Bench.fail(Index, m_Traces[Index].m_BytesSeen,
                 !m_Traces[Index].m_BytesSeen && m_Random.oneIn(2));
  }

  void reply() {
    if (m_Bench.m_Heartbeats.empty())
      return;
    const size_t Back =
        std::min<size_t>(m_Random.below(4), m_Bench.m_Heartbeats.size() - 1);
    const wire::AgentHeartbeat Heartbeat =
        m_Bench.m_Heartbeats[m_Bench.m_Heartbeats.size() - 1 - Back];
    if (!m_Answered.insert(Heartbeat.sequence).second)
      return;
    wire::AgentHeartbeatReply Reply =
        GateBench::reply(Heartbeat.sequence, m_Random.oneIn(6) ? 0 : 1500);
    Reply.accepted = !m_Random.oneIn(6);
    for (const wire::ClaimOutcome &Outcome : Heartbeat.outcomes)
      if (m_Random.oneIn(2))
        Reply.acknowledgedClaims.push_back(Outcome.claimId);
    m_Model.replied(Reply);
    m_Bench.step(HeartbeatReplied{Reply});
  }

  void check() {
    while (m_HeartbeatsSeen < m_Bench.m_Heartbeats.size())
      m_Model.sent(m_Bench.m_Heartbeats[m_HeartbeatsSeen++].sequence,
                   m_Bench.m_Now);
    while (m_Traces.size() < m_Bench.m_Sent.size())
      recordStart(m_Bench.m_Sent[m_Traces.size()]);
    checkSlots();
    std::erase_if(m_Unanswered, [this](const auto &Item) {
      return checkReply(Item.first, Item.second);
    });
  }

  void recordStart(const SendToMinion &Start) {
    BOOST_REQUIRE_MESSAGE(
        m_Model.held(m_Bench.m_Now),
        "start without a permit: " << Start.m_Request.requestId);
    const int64_t Token = Start.m_Request.claimToken;
    if (Token != 0)
      BOOST_REQUIRE_MESSAGE(m_TokensRun.insert(Token).second,
                            "token ran twice: " << Token);
    const std::string Name = runName(Start.m_Request);
    BOOST_REQUIRE_MESSAGE(!m_ReportedNotRun.contains(Name),
                          "started after it was reported as not run: " << Name);
    m_Traces.push_back({Name});
  }

  void checkSlots() {
    const auto Open =
        std::count_if(m_Traces.begin(), m_Traces.end(),
                      [](const auto &Trace) { return Trace.m_Open; });
    // The port closes abandoned exchanges, which the traces still count as
    // open.
    BOOST_REQUIRE(m_Bench.m_Gate->load().busySlots <=
                  static_cast<int32_t>(Slots));
    BOOST_REQUIRE(Open - m_Bench.m_Abandoned <= static_cast<int64_t>(Slots));
  }

  static std::string runName(const wire::ExecuteRequest &Request) {
    return Request.claimToken != 0
               ? "token " + std::to_string(Request.claimToken)
               : Request.requestId;
  }

  // Returns true if the call has been answered.
  bool checkReply(int64_t Call, const wire::ExecuteRequest &Request) {
    const auto Reply = m_Bench.m_Replies.find(Call);
    if (Reply == m_Bench.m_Replies.end())
      return false;
    if (Reply->second.outcome != wire::Outcome::NOT_RUN ||
        Request.incarnation != GateBench::Incarnation)
      return true;
    m_ReportedNotRun.insert(runName(Request));
    for (const ExchangeTrace &Trace : m_Traces)
      BOOST_REQUIRE_MESSAGE(Trace.m_Name != runName(Request) ||
                                !Trace.m_BytesSeen,
                            "not run, but the minion saw " << Trace.m_Name);
    return true;
  }

  // Every caller must have an answer after all deadlines have passed.
  void checkAllAnswered() {
    m_Bench.pass(std::chrono::seconds(5));
    check();
    for (const auto &[Call, Request] : m_Unanswered)
      BOOST_ERROR("no answer for " << Request.requestId);
  }

  RandomSource m_Random;
  GateBench m_Bench;
  PermitModel m_Model;
  std::vector<ExchangeTrace> m_Traces;
  std::map<int64_t, wire::ExecuteRequest> m_Unanswered;
  std::set<std::string> m_ReportedNotRun;
  std::set<int64_t> m_TokensRun;
  std::set<int64_t> m_Answered;
  size_t m_HeartbeatsSeen = 0;
  int64_t m_NextToken = 0;
  int64_t m_Requests = 0;
};

/// Applies random events of a worker and checks the invariants after each
/// event.
class TaskFuzzer {
public:
  explicit TaskFuzzer(uint64_t Seed)
      : m_Random(Seed), m_Bench({}, wire::TargetKind::WORKER) {
    m_Bench.step(WorkerInventory{});
  }

  void run() {
    for (int Event = 0; Event < EventsPerSeed; ++Event) {
      applyRandomEvent();
      check();
    }
  }

private:
  void applyRandomEvent() {
    switch (m_Random.below(4)) {
    case 0:
      return reply();
    case 1:
      return taskEvent();
    default:
      m_Bench.advance(milliseconds(m_Random.below(300)));
      return m_Bench.step(Tick{});
    }
  }

  std::vector<wire::Assignment> wanted() {
    std::vector<wire::Assignment> Items;
    for (int32_t Task = 0; Task < 5; ++Task) {
      if (m_Random.oneIn(4))
        continue;
      wire::Assignment Item;
      Item.jobId = 1;
      Item.taskIndex = Task;
      Item.startToken = m_Token;
      Item.order =
          m_Random.oneIn(8)
              ? static_cast<wire::TaskOrder::type>(3 + m_Random.below(3))
              : static_cast<wire::TaskOrder::type>(1 + m_Random.below(2));
      Item.resources.accelerators = AcceleratorsPerTask;
      Item.leaseMs = 3000;
      Items.push_back(Item);
    }
    m_Token += m_Random.oneIn(10) ? 1 : 0;
    return Items;
  }

  void reply() {
    if (m_Bench.m_Heartbeats.empty() ||
        !m_Answered.insert(m_Bench.m_Heartbeats.back().sequence).second)
      return;
    wire::AgentHeartbeatReply Reply = GateBench::reply(
        m_Bench.m_Heartbeats.back().sequence, m_Random.oneIn(5) ? 0 : 1500);
    Reply.assignments = wanted();
    m_Model.replied(Reply);
    m_Bench.step(HeartbeatReplied{Reply});
  }

  void taskEvent() {
    if (m_Running.empty())
      return;
    auto Position = m_Running.begin();
    std::advance(Position, static_cast<long>(m_Random.below(m_Running.size())));
    const TaskKey Key = *Position;
    const auto Kind = static_cast<TaskEventKind>(m_Random.below(8));
    const bool Ends = Kind == TaskEventKind::StartFailed ||
                      Kind == TaskEventKind::Succeeded ||
                      Kind == TaskEventKind::Failed ||
                      Kind == TaskEventKind::Stopped;
    if (Ends)
      m_Running.erase(Position);
    m_Bench.step(TaskEvent{Key, Kind, "simulated"});
  }

  void check() {
    while (m_HeartbeatsSeen < m_Bench.m_Heartbeats.size())
      m_Model.sent(m_Bench.m_Heartbeats[m_HeartbeatsSeen++].sequence,
                   m_Bench.m_Now);
    for (; m_StartsSeen < m_Bench.m_Starts.size(); ++m_StartsSeen) {
      const TaskKey Key = m_Bench.m_Starts[m_StartsSeen].m_Key;
      BOOST_REQUIRE_MESSAGE(m_Model.held(m_Bench.m_Now),
                            "task started without a permit");
      BOOST_REQUIRE_MESSAGE(m_EverStarted.insert(Key).second,
                            "start token used twice: " << Key.m_StartToken);
      m_Running.insert(Key);
    }
    BOOST_REQUIRE_MESSAGE(m_Running.size() * AcceleratorsPerTask <= 8,
                          "tasks hold more accelerators than the worker has");
  }

  RandomSource m_Random;
  GateBench m_Bench;
  PermitModel m_Model;
  std::set<TaskKey> m_Running;
  std::set<TaskKey> m_EverStarted;
  std::set<int64_t> m_Answered;
  size_t m_HeartbeatsSeen = 0;
  size_t m_StartsSeen = 0;
  int64_t m_Token = 1;
};

} // namespace

BOOST_AUTO_TEST_SUITE(RandomTest)

// Guards against an order of events in which a request starts without a permit,
// the slots are exceeded, a token runs twice, or a request that the minion has
// received is reported as not run.
BOOST_AUTO_TEST_CASE(RequestRulesHoldAfterEachEvent) {
  for (uint64_t Seed = 1; Seed <= Seeds; ++Seed)
    BOOST_TEST_CONTEXT("seed " << Seed) { RequestFuzzer(Seed).run(); }
}

// Guards against an order of events in which a start token is used twice, or a
// task starts without a permit or beyond the worker's resources.
BOOST_AUTO_TEST_CASE(TaskRulesHoldAfterEachEvent) {
  for (uint64_t Seed = 1; Seed <= Seeds; ++Seed)
    BOOST_TEST_CONTEXT("seed " << Seed) { TaskFuzzer(Seed).run(); }
}

BOOST_AUTO_TEST_SUITE_END()
