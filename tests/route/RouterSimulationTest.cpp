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

/// One arriving request. The entries and the ideal queue get the same arrivals.
struct Arrival {
  TimePoint m_Time;
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
  TimePoint Time = timePointFromMicros(1000000);
  for (const TimePoint End = Time + Length; Time < End;
       Time += Exponential(MeanGapUs))
    Arrivals.push_back(
        {Time, Exponential(static_cast<double>(MeanService.count()))});
  return Arrivals;
}

/// Results of one simulated run.
struct Outcome {
  /// Slot time used between the warm-up and the last arrival.
  double m_BusyUs = 0;
  double m_WaitUs = 0; ///< Total time that requests waited for a slot.
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

/// Measures slot time between the warm-up and the last arrival.
class Meter {
public:
  explicit Meter(const std::vector<Arrival> &Arrivals)
      : m_Begin(Arrivals.front().m_Time + Warmup),
        m_End(Arrivals.back().m_Time) {}

  void recordStart(Outcome &Result, const Arrival &Request,
                   TimePoint Start) const {
    const TimePoint Begin = std::max(Start, m_Begin);
    const TimePoint End = std::min(Start + Request.m_Service, m_End);
    if (Begin < End)
      Result.m_BusyUs += static_cast<double>((End - Begin).count());
    Result.m_WaitUs += static_cast<double>((Start - Request.m_Time).count());
    ++Result.m_Started;
  }
  double capacityUs() const {
    return static_cast<double>((m_End - m_Begin).count()) * Agents * Slots;
  }

private:
  TimePoint m_Begin;
  TimePoint m_End;
};

/// Simulates one central queue in order of arrival for all slots, without
/// network delays. Its limit is the sum of the limits of the entries.
Outcome runIdeal(const std::vector<Arrival> &Arrivals) {
  const Meter Measure(Arrivals);
  Outcome Result;
  std::priority_queue<TimePoint, std::vector<TimePoint>, std::greater<>> Free;
  for (int Slot = 0; Slot < Agents * Slots; ++Slot)
    Free.push(TimePoint{});
  std::deque<TimePoint> Starts;
  for (const Arrival &Arrival : Arrivals) {
    while (!Starts.empty() && Starts.front() <= Arrival.m_Time)
      Starts.pop_front();
    if (Starts.size() >= TotalQueueLimit) {
      ++Result.m_Refused;
      continue;
    }
    const TimePoint Start = std::max(Free.top(), Arrival.m_Time);
    Free.pop();
    Free.push(Start + Arrival.m_Service);
    Starts.push_back(Start);
    Measure.recordStart(Result, Arrival, Start);
  }
  return Result;
}

/// Simulates three routers and ten agents with a limited number of slots and
/// network delays between them.
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
    m_Now = m_Arrivals.front().m_Time;
    for (size_t Entry = 0; Entry < Entries; ++Entry)
      start(Entry);
    for (size_t Index = 0; Index < m_Arrivals.size(); ++Index)
      schedule(m_Arrivals[Index].m_Time, [this, Index] { arrive(Index); });
    m_LastArrival = m_Arrivals.back().m_Time;
    while (!m_Events.empty()) {
      const Event Next = m_Events.top();
      m_Events.pop();
      m_Now = Next.m_Time;
      Next.m_Callback();
    }
    for (const Router &Router : m_Routers)
      m_Result.m_Retries += Router.counters().m_Retries;
    return m_Result;
  }

  size_t answered() const { return m_Answered.size(); }

private:
  struct Event {
    TimePoint m_Time;
    int64_t m_Order;
    std::function<void()> m_Callback;
    bool operator<(const Event &Other) const {
      return std::tie(m_Time, m_Order) > std::tie(Other.m_Time, Other.m_Order);
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

  void schedule(TimePoint Time, std::function<void()> Callback) {
    m_Events.push({Time, m_NextOrder++, std::move(Callback)});
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
      schedule(m_Now + milliseconds(10), [this, Entry] { tick(Entry); });
  }

  void arrive(size_t Index) {
    RequestArrived Call;
    Call.m_Id = RequestId(static_cast<int64_t>(Index));
    Call.m_Service = "sieve";
    Call.m_Workspace = "w";
    Call.m_Body = std::string(100, 'x');
    step(Index % Entries, Call);
  }

  void step(size_t Entry, RouterEvent Event) {
    for (RouterAction &Action :
         m_Routers[Entry].step(std::move(Event), m_Now)) {
      if (auto *Dispatch = std::get_if<DispatchAction>(&Action)) {
        const int Target = std::stoi(Dispatch->m_AgentAddress);
        schedule(m_Now + delay(Entry, Target),
                 [this, Entry, Target, Sent = std::move(*Dispatch)] {
                   receive(Target, {Entry, Sent});
                 });
      } else if (const auto *Answer = std::get_if<AnswerAction>(&Action)) {
        m_Result.m_Unknown +=
            Answer->m_Outcome == wire::Outcome::UNKNOWN ? 1 : 0;
        recordAnswer(Answer->m_Id);
      } else if (const auto *Refusal = std::get_if<RefuseAction>(&Action)) {
        ++m_Result.m_Refused;
        recordAnswer(Refusal->m_Id);
      }
    }
    m_Result.m_MaxInProgress = std::max(
        m_Result.m_MaxInProgress, m_Routers[Entry].counters().m_InProgress);
    m_Result.m_MaxBytes =
        std::max(m_Result.m_MaxBytes, m_Routers[Entry].counters().m_Bytes);
  }

  void recordAnswer(RequestId Id) {
    m_Result.m_DoubleAnswers += m_Answered.insert(Id.value()).second ? 0 : 1;
  }

  void receive(int Target, const Waiting &Request) {
    Agent &Receiver = m_Agents[Target];
    if (Receiver.m_Busy < Slots)
      return serve(Target, Request);
    if (Receiver.m_Queue.size() < AgentQueueLimit)
      return Receiver.m_Queue.push_back(Request);
    ++m_Result.m_AgentRefusals;
    reply(Target, Request, wire::Outcome::NOT_RUN);
  }

  void serve(int Target, const Waiting &Request) {
    const Arrival &Served =
        m_Arrivals[static_cast<size_t>(Request.m_Action.m_Id.value())];
    ++m_Agents[Target].m_Busy;
    m_Measure.recordStart(m_Result, Served, m_Now);
    schedule(m_Now + Served.m_Service, [this, Target, Request] {
      Agent &Server = m_Agents[Target];
      --Server.m_Busy;
      if (!Server.m_Queue.empty()) {
        const Waiting Next = std::move(Server.m_Queue.front());
        Server.m_Queue.pop_front();
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
    schedule(m_Now + delay(Request.m_Entry, Target),
             [this, Entry = Request.m_Entry, Id = Request.m_Action.m_Attempt,
              Reply] {
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
// queue requests at a busy agent while another one has free slots. Entries know
// the load of other entries only from agents' reports.
BOOST_AUTO_TEST_CASE(ComesCloseToOneCentralQueue) {
  for (const uint64_t Seed : {1, 2, 3}) {
    for (const double Load : {0.8, 1.5}) {
      const std::vector<Arrival> Arrivals =
          makeArrivals(Load, seconds(10), Seed);
      const double Capacity = Meter(Arrivals).capacityUs();
      const Outcome Ideal = runIdeal(Arrivals);
      Simulation Real(Arrivals, Seed);
      const Outcome Routed = Real.run();
      printRow("ideal ", Load, Ideal, Capacity);
      printRow("routed", Load, Routed, Capacity);

      BOOST_TEST(Real.answered() == Arrivals.size());
      BOOST_TEST(Routed.m_DoubleAnswers == 0);
      BOOST_TEST(Routed.m_Unknown == 0);
      if (Load > 1)
        BOOST_TEST(Routed.m_BusyUs >= 0.95 * Ideal.m_BusyUs);
      else
        BOOST_TEST(Routed.meanWaitMs() <= 3 * Ideal.meanWaitMs() + 2);
    }
  }
}

// Guards against memory use and retries that grow with the overload, and
// against slots that stay idle while agents refuse requests.
BOOST_AUTO_TEST_CASE(StaysBoundedAtTenTimesTheCapacity) {
  const std::vector<Arrival> Arrivals = makeArrivals(10, seconds(3), 4);
  const Outcome Ideal = runIdeal(Arrivals);
  Simulation Real(Arrivals, 4);
  const Outcome Routed = Real.run();
  printRow("ideal ", 10, Ideal, Meter(Arrivals).capacityUs());
  printRow("routed", 10, Routed, Meter(Arrivals).capacityUs());

  BOOST_TEST(Real.answered() == Arrivals.size());
  BOOST_TEST(Routed.m_DoubleAnswers == 0);
  // The queue, and for each agent at most the slots and the queue allowance of
  // 2 in flight.
  BOOST_TEST(Routed.m_MaxInProgress <= EntryQueueLimit + Agents * (Slots + 2));
  BOOST_TEST(Routed.m_MaxBytes <= 100 * Routed.m_MaxInProgress);
  BOOST_TEST(Routed.m_Retries <=
             static_cast<int64_t>(Arrivals.size() / 10) + int64_t{3} * Entries);
  BOOST_TEST(Routed.m_BusyUs >= 0.95 * Ideal.m_BusyUs);
}

BOOST_AUTO_TEST_SUITE_END()
