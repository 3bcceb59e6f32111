#include "anvil/route/Router.h"

#include <cmath>
#include <iomanip>
#include <queue>
#include <sstream>

#include <boost/test/unit_test.hpp>

#include "RouterHarness.h"

namespace {

using namespace anvil;
using namespace anvil::route;
using namespace anvil::route::testing;
using std::chrono::seconds;

constexpr int Entries = 3;
constexpr int Agents = 10;
constexpr int Slots = 8;
constexpr int AgentQueueLimit = 8;
constexpr int EntryQueueLimit = 200;
constexpr size_t TotalQueueLimit = size_t{Entries} * EntryQueueLimit;
constexpr Duration MeanService = milliseconds(20);
constexpr Duration Warmup = seconds(1);

/// One request as it arrives, the same for the entries and for the ideal queue.
struct Arrival {
  TimePoint m_At;
  Duration m_Service{0};
};

std::vector<Arrival> makeArrivals(double Load, Duration Length, uint64_t Seed) {
  const std::function<double()> Random = seededRandom(Seed);
  const auto Exponential = [&Random](double MeanUs) {
    return Duration(1 + std::llround(-MeanUs * std::log1p(-Random())));
  };
  const double MeanGapUs =
      static_cast<double>(MeanService.count()) / (Agents * Slots * Load);
  std::vector<Arrival> Arrivals;
  TimePoint At = timePointFromMicros(1000000);
  for (const TimePoint End = At + Length; At < End;
       At += Exponential(MeanGapUs))
    Arrivals.push_back(
        {At, Exponential(static_cast<double>(MeanService.count()))});
  return Arrivals;
}

/// What a run used and how long its requests waited for a slot.
struct Outcome {
  double m_BusyUs =
      0; ///< Slot time used between the warm-up and the last arrival.
  double m_WaitUs = 0;
  int64_t m_Started = 0;
  int64_t m_Refused = 0;
  int64_t m_Unknown = 0;
  int64_t m_AgentRefusals = 0;
  int64_t m_Retries = 0;
  int64_t m_DoubleAnswers = 0;
  size_t m_MaxInProgress = 0; ///< Of one entry.
  size_t m_MaxBytes = 0;

  double meanWaitMs() const {
    return m_WaitUs / 1000 /
           static_cast<double>(std::max<int64_t>(1, m_Started));
  }
};

/// Counts slot time within the measured part of a run.
class Meter {
public:
  explicit Meter(const std::vector<Arrival> &Arrivals)
      : m_From(Arrivals.front().m_At + Warmup), m_To(Arrivals.back().m_At) {}

  void noteStart(Outcome &Into, const Arrival &Request, TimePoint Start) const {
    const TimePoint From = std::max(Start, m_From);
    const TimePoint To = std::min(Start + Request.m_Service, m_To);
    if (From < To)
      Into.m_BusyUs += static_cast<double>((To - From).count());
    Into.m_WaitUs += static_cast<double>((Start - Request.m_At).count());
    ++Into.m_Started;
  }
  double capacityUs() const {
    return static_cast<double>((m_To - m_From).count()) * Agents * Slots;
  }

private:
  TimePoint m_From;
  TimePoint m_To;
};

/// All slots behind one queue in order of arrival, without delays, bounded like
/// the queues of the entries together.
Outcome runIdeal(const std::vector<Arrival> &Arrivals) {
  const Meter Measure(Arrivals);
  Outcome Result;
  std::priority_queue<TimePoint, std::vector<TimePoint>, std::greater<>> Free;
  for (int Slot = 0; Slot < Agents * Slots; ++Slot)
    Free.push(TimePoint{});
  std::deque<TimePoint> Starts;
  for (const Arrival &Each : Arrivals) {
    while (!Starts.empty() && Starts.front() <= Each.m_At)
      Starts.pop_front();
    if (Starts.size() >= TotalQueueLimit) {
      ++Result.m_Refused;
      continue;
    }
    const TimePoint Start = std::max(Free.top(), Each.m_At);
    Free.pop();
    Free.push(Start + Each.m_Service);
    Starts.push_back(Start);
    Measure.noteStart(Result, Each, Start);
  }
  return Result;
}

/// Three routers before ten agents that count their slots, with the delay of a
/// network between them.
class Simulation {
public:
  Simulation(const std::vector<Arrival> &Arrivals, uint64_t Seed)
      : m_Arrivals(Arrivals), m_Measure(Arrivals) {
    for (int Entry = 0; Entry < Entries; ++Entry) {
      RouterOptions Options;
      Options.m_Entry = "e" + std::to_string(Entry);
      Options.m_Zone = AvailabilityZoneId("z" + std::to_string(Entry));
      Options.m_Random = seededRandom(Seed + static_cast<uint64_t>(Entry));
      m_Routers.emplace_back(Options);
    }
  }

  Outcome run() {
    m_Now = m_Arrivals.front().m_At;
    for (size_t Entry = 0; Entry < Entries; ++Entry)
      start(Entry);
    for (size_t Index = 0; Index < m_Arrivals.size(); ++Index)
      at(m_Arrivals[Index].m_At, [this, Index] { arrive(Index); });
    m_LastArrival = m_Arrivals.back().m_At;
    while (!m_Events.empty()) {
      const Event Next = m_Events.top();
      m_Events.pop();
      m_Now = Next.m_At;
      Next.m_What();
    }
    for (const Router &Each : m_Routers)
      m_Result.m_Retries += Each.counters().m_Retries;
    return m_Result;
  }

  size_t answered() const { return m_Answered.size(); }

private:
  struct Event {
    TimePoint m_At;
    int64_t m_Order;
    std::function<void()> m_What;
    bool operator<(const Event &Other) const {
      return std::tie(m_At, m_Order) > std::tie(Other.m_At, Other.m_Order);
    }
  };
  struct Waiting {
    size_t m_Entry;
    DispatchAction m_Action;
  };
  struct Agent {
    int m_Busy = 0;
    std::deque<Waiting> m_Queue;
  };

  void at(TimePoint When, std::function<void()> What) {
    m_Events.push({When, m_NextOrder++, std::move(What)});
  }

  static Duration delay(size_t Entry, int Agent) {
    return Agent % Entries == static_cast<int>(Entry) ? Duration(250)
                                                      : Duration(1000);
  }

  void start(size_t Entry) {
    wire::ServiceConfig Service;
    Service.name = "sieve";
    Service.classes = {
        makeClass("quote", wire::Urgency::URGENT, true, EntryQueueLimit)};
    RoutesChanged Routes;
    for (int Index = 0; Index < Agents; ++Index)
      Routes.m_Routes.push_back(makeTarget(
          std::to_string(Index), "z" + std::to_string(Index % Entries)));
    step(Entry, ConfigChanged{{Service}, {"w"}});
    step(Entry, Routes);
    tick(Entry);
  }

  void tick(size_t Entry) {
    step(Entry, FreshRead{m_Now});
    step(Entry, Tick{});
    if (m_Now < m_LastArrival + seconds(15))
      at(m_Now + milliseconds(10), [this, Entry] { tick(Entry); });
  }

  void arrive(size_t Index) {
    RequestArrived Call;
    Call.m_Id = RequestId(static_cast<int64_t>(Index));
    Call.m_Service = "sieve";
    Call.m_Workspace = "w";
    Call.m_Body = std::string(100, 'x');
    step(Index % Entries, Call);
  }

  void step(size_t Entry, RouterEvent What) {
    for (RouterAction &Action : m_Routers[Entry].step(std::move(What), m_Now)) {
      if (auto *Dispatch = std::get_if<DispatchAction>(&Action)) {
        const int Target = std::stoi(Dispatch->m_AgentAddress);
        at(m_Now + delay(Entry, Target),
           [this, Entry, Target, Sent = std::move(*Dispatch)] {
             receive(Target, {Entry, Sent});
           });
      } else if (const auto *Answer = std::get_if<AnswerAction>(&Action)) {
        m_Result.m_Unknown +=
            Answer->m_Outcome == wire::Outcome::UNKNOWN ? 1 : 0;
        noteAnswer(Answer->m_Id);
      } else if (const auto *Refusal = std::get_if<RefuseAction>(&Action)) {
        ++m_Result.m_Refused;
        noteAnswer(Refusal->m_Id);
      }
    }
    m_Result.m_MaxInProgress = std::max(
        m_Result.m_MaxInProgress, m_Routers[Entry].counters().m_InProgress);
    m_Result.m_MaxBytes =
        std::max(m_Result.m_MaxBytes, m_Routers[Entry].counters().m_Bytes);
  }

  void noteAnswer(RequestId Id) {
    m_Result.m_DoubleAnswers += m_Answered.insert(Id.value()).second ? 0 : 1;
  }

  void receive(int Target, const Waiting &Request) {
    Agent &Its = m_Agents[Target];
    if (Its.m_Busy < Slots)
      return serve(Target, Request);
    if (Its.m_Queue.size() < AgentQueueLimit)
      return Its.m_Queue.push_back(Request);
    ++m_Result.m_AgentRefusals;
    reply(Target, Request, wire::Outcome::NOT_RUN);
  }

  void serve(int Target, const Waiting &Request) {
    const Arrival &Its =
        m_Arrivals[static_cast<size_t>(Request.m_Action.m_Id.value())];
    ++m_Agents[Target].m_Busy;
    m_Measure.noteStart(m_Result, Its, m_Now);
    at(m_Now + Its.m_Service, [this, Target, Request] {
      Agent &Ends = m_Agents[Target];
      --Ends.m_Busy;
      if (!Ends.m_Queue.empty()) {
        const Waiting Next = std::move(Ends.m_Queue.front());
        Ends.m_Queue.pop_front();
        serve(Target, Next);
      }
      reply(Target, Request, wire::Outcome::COMPLETED);
    });
  }

  void reply(int Target, const Waiting &Request, wire::Outcome::type Outcome) {
    wire::ExecuteReply Reply;
    Reply.outcome = Outcome;
    Reply.httpStatus = 200;
    Reply.load.busySlots = m_Agents[Target].m_Busy;
    Reply.load.queued = static_cast<int32_t>(m_Agents[Target].m_Queue.size());
    Reply.load.queueLimit = AgentQueueLimit;
    Reply.retryAfterMs = 5;
    at(m_Now + delay(Request.m_Entry, Target),
       [this, Entry = Request.m_Entry, Id = Request.m_Action.m_Attempt, Reply] {
         step(Entry, AttemptEnded{Id, Reply});
       });
  }

  const std::vector<Arrival> &m_Arrivals;
  Meter m_Measure;
  std::vector<Router> m_Routers;
  Agent m_Agents[Agents];
  std::priority_queue<Event> m_Events;
  int64_t m_NextOrder = 0;
  TimePoint m_Now{};
  TimePoint m_LastArrival{};
  std::set<int64_t> m_Answered;
  Outcome m_Result;
};

void printRow(const char *Name, double Load, const Outcome &Run,
              double CapacityUs) {
  std::ostringstream Row;
  Row << std::fixed << std::setprecision(3) << Name << " load=" << Load
      << " slot_use=" << Run.m_BusyUs / CapacityUs
      << " mean_wait_ms=" << Run.meanWaitMs() << " started=" << Run.m_Started
      << " refused=" << Run.m_Refused
      << " agent_refusals=" << Run.m_AgentRefusals
      << " retries=" << Run.m_Retries
      << " max_in_progress=" << Run.m_MaxInProgress;
  BOOST_TEST_MESSAGE(Row.str());
}

} // namespace

BOOST_AUTO_TEST_SUITE(RouterSimulationTest)

// Guards against entries that leave slots idle while requests wait, or that
// queue requests behind a busy agent while another one has room.
BOOST_AUTO_TEST_CASE(ComesCloseToOneCentralQueue) {
  for (const uint64_t Seed : {1, 2, 3}) {
    for (const double Load : {0.8, 1.5}) {
      const std::vector<Arrival> Arrivals =
          makeArrivals(Load, seconds(10), Seed);
      const double Capacity = Meter(Arrivals).capacityUs();
      const Outcome Ideal = runIdeal(Arrivals);
      Simulation Real(Arrivals, Seed);
      const Outcome Ours = Real.run();
      printRow("ideal ", Load, Ideal, Capacity);
      printRow("routed", Load, Ours, Capacity);

      BOOST_TEST(Real.answered() == Arrivals.size());
      BOOST_TEST(Ours.m_DoubleAnswers == 0);
      BOOST_TEST(Ours.m_Unknown == 0);
      if (Load > 1)
        BOOST_TEST(Ours.m_BusyUs >= 0.95 * Ideal.m_BusyUs);
      else
        BOOST_TEST(Ours.meanWaitMs() <= 3 * Ideal.meanWaitMs() + 2);
    }
  }
}

// Guards against memory and retries that grow with the load, and against slots
// that starve under refusals.
BOOST_AUTO_TEST_CASE(StaysBoundedAtTenTimesTheCapacity) {
  const std::vector<Arrival> Arrivals = makeArrivals(10, seconds(3), 4);
  const Outcome Ideal = runIdeal(Arrivals);
  Simulation Real(Arrivals, 4);
  const Outcome Ours = Real.run();
  printRow("ideal ", 10, Ideal, Meter(Arrivals).capacityUs());
  printRow("routed", 10, Ours, Meter(Arrivals).capacityUs());

  BOOST_TEST(Real.answered() == Arrivals.size());
  BOOST_TEST(Ours.m_DoubleAnswers == 0);
  // One queue, and at most the slots and the allowance of 2 for each agent in
  // flight.
  BOOST_TEST(Ours.m_MaxInProgress <= EntryQueueLimit + Agents * (Slots + 2));
  BOOST_TEST(Ours.m_MaxBytes <= 100 * Ours.m_MaxInProgress);
  BOOST_TEST(Ours.m_Retries <=
             static_cast<int64_t>(Arrivals.size() / 10) + int64_t{3} * Entries);
  BOOST_TEST(Ours.m_BusyUs >= 0.95 * Ideal.m_BusyUs);
}

BOOST_AUTO_TEST_SUITE_END()
