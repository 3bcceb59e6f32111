#ifndef ANVIL_TESTS_ROUTE_ROUTERHARNESS_H
#define ANVIL_TESTS_ROUTE_ROUTERHARNESS_H

#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "anvil/route/Router.h"

namespace anvil::route::testing {

using std::chrono::milliseconds;

/// How an attempt ends.
enum class AttemptStep {
  Completes,
  Busy,    ///< Not run; all slots and the queue are in use.
  Refuses, ///< Not run, without load.
  RepliesUnknown,
  NotSent,
  NoAnswer,
  Silent ///< No event arrives.
};

/// How control answers a call to open a claim.
enum class ClaimStep {
  Granted,
  Held,
  ClosedCompleted,
  ClosedUnknown,
  Conflict,
  Limit,
  Refused,
  NotSent,
  NoAnswer,
  Silent ///< No event arrives.
};

inline std::function<double()> seededRandom(uint64_t Seed) {
  auto Generator = std::make_shared<std::mt19937_64>(Seed);
  return [Generator] {
    return static_cast<double>((*Generator)() >> 11) * 0x1p-53;
  };
}

inline wire::ServiceClass makeClass(const std::string &Name,
                                    wire::Urgency::type Urgency,
                                    bool Idempotent, int QueueLimit) {
  wire::ServiceClass Class;
  Class.name = Name;
  Class.urgency = Urgency;
  Class.deadlineMs = 10000;
  Class.idempotent = Idempotent;
  Class.queueLimit = QueueLimit;
  return Class;
}

inline wire::RouteTarget makeTarget(const std::string &Vm,
                                    const std::string &Zone) {
  wire::RouteTarget Target;
  Target.vm = Vm;
  Target.availabilityZone = Zone;
  Target.serviceName = "sieve";
  Target.agentAddress = Vm;
  Target.incarnation = 1;
  Target.slots = 8;
  Target.usable = true;
  return Target;
}

/// Drives one Router. Its service "sieve" has the classes "quote" (idempotent,
/// urgent), "report" (idempotent, overnight) and "reorder" (not idempotent). Of
/// the targets "m0" to "m3", "m0" and "m1" are in zone "kochi".
class RouterHarness {
public:
  explicit RouterHarness(int QueueLimit = 100, int Targets = 4,
                         const std::string &Entry = "e1")
      : m_Router(options(Entry)) {
    refresh();
    wire::ServiceConfig Service;
    Service.name = "sieve";
    Service.classes = {
        makeClass("quote", wire::Urgency::URGENT, true, QueueLimit),
        makeClass("report", wire::Urgency::OVERNIGHT, true, QueueLimit),
        makeClass("reorder", wire::Urgency::WORKING_DAY, false, QueueLimit)};
    step(ConfigChanged{{Service}, {"w"}});
    RoutesChanged Routes;
    for (int Index = 0; Index < Targets; ++Index)
      Routes.m_Routes.push_back(makeTarget("m" + std::to_string(Index),
                                           Index < 2 ? "kochi" : "kollam"));
    step(Routes);
  }

  static RouterOptions options(const std::string &Entry) {
    RouterOptions Options;
    Options.m_Entry = Entry;
    Options.m_Zone = AvailabilityZoneId("kochi");
    Options.m_Random = seededRandom(7);
    return Options;
  }

  /// Passes an event to the router and records the actions by type.
  void step(RouterEvent Event) {
    for (RouterAction &Action : m_Router.step(std::move(Event), m_Now))
      std::visit(
          [this](auto &&Alternative) {
            record(std::forward<decltype(Alternative)>(Alternative));
          },
          std::move(Action));
  }

  void refresh() { step(FreshRead{m_Now}); }

  void advance(Duration Span) {
    m_Now += Span;
    if (m_ControlAlive)
      refresh();
    step(Tick{});
  }

  RequestId send(const std::string &ClassName, const std::string &Key = "") {
    RequestArrived Call;
    Call.m_Id = RequestId(++m_LastId);
    Call.m_Service = "sieve";
    Call.m_Workspace = "w";
    Call.m_Class = ClassName;
    Call.m_Key = Key;
    Call.m_Body = "body";
    step(Call);
    return RequestId(m_LastId);
  }

  void finish(const DispatchAction &Dispatch, AttemptStep Step) {
    wire::ExecuteReply Reply;
    switch (Step) {
    case AttemptStep::Silent:
      return;
    case AttemptStep::NotSent:
      return step(AttemptEnded{Dispatch.m_Attempt, SendFailure::NotSent});
    case AttemptStep::NoAnswer:
      return step(AttemptEnded{Dispatch.m_Attempt, SendFailure::NoAnswer});
    case AttemptStep::Completes:
      Reply.outcome = wire::Outcome::COMPLETED;
      Reply.httpStatus = 200;
      Reply.body = "done by " + Dispatch.m_AgentAddress;
      break;
    case AttemptStep::RepliesUnknown:
      Reply.outcome = wire::Outcome::UNKNOWN;
      break;
    case AttemptStep::Busy:
      Reply.load.busySlots = 8;
      Reply.load.queued = Reply.load.queueLimit = 8;
      [[fallthrough]];
    case AttemptStep::Refuses:
      Reply.outcome = wire::Outcome::NOT_RUN;
      Reply.retryAfterMs = 10;
      break;
    }
    step(AttemptEnded{Dispatch.m_Attempt, Reply});
  }

  void finish(const OpenClaimAction &Open, ClaimStep Step) {
    if (Step == ClaimStep::Silent)
      return;
    if (Step == ClaimStep::NotSent || Step == ClaimStep::NoAnswer)
      return step(ClaimAnswered{Open.m_Call, Step == ClaimStep::NotSent
                                                 ? SendFailure::NotSent
                                                 : SendFailure::NoAnswer});
    wire::CommandResult Result;
    Result.status = Step == ClaimStep::Conflict  ? wire::CommandStatus::INVALID
                    : Step == ClaimStep::Limit   ? wire::CommandStatus::LIMIT
                    : Step == ClaimStep::Refused ? wire::CommandStatus::REFUSED
                                                 : wire::CommandStatus::OK;
    Result.field = Step == ClaimStep::Conflict ? "requestDigest" : "";
    Result.claimState = Step == ClaimStep::Granted ? wire::ClaimState::GRANTED
                        : Step == ClaimStep::Held  ? wire::ClaimState::HELD
                                                   : wire::ClaimState::CLOSED;
    Result.claimToken = Step == ClaimStep::Granted ? ++m_LastToken : 0;
    Result.claimOutcome.outcome = Step == ClaimStep::ClosedCompleted
                                      ? wire::Outcome::COMPLETED
                                      : wire::Outcome::UNKNOWN;
    Result.claimOutcome.httpStatus = 200;
    step(ClaimAnswered{Open.m_Call, Result});
  }

  /// Returns "completed", "unknown" or "refused:CODE", or "" if the request has
  /// no answer yet.
  std::string resultOf(RequestId Id) const {
    const auto Found = m_Results.find(Id.value());
    return Found == m_Results.end() ? "" : Found->second;
  }

  Router m_Router;
  TimePoint m_Now = timePointFromMicros(1000000);
  bool m_ControlAlive = true;
  std::deque<DispatchAction> m_Dispatches;
  std::deque<OpenClaimAction> m_Opens;
  std::vector<CloseClaimAction> m_Closes;
  std::map<int64_t, std::string> m_Results;
  std::vector<RefuseAction> m_Refusals;
  int m_DoubleAnswers = 0;
  int64_t m_LastId = 0;
  int64_t m_LastToken = 0;

private:
  void record(OpenClaimAction Action) { m_Opens.push_back(std::move(Action)); }
  void record(CloseClaimAction Action) {
    m_Closes.push_back(std::move(Action));
  }
  void record(DispatchAction Action) {
    m_Dispatches.push_back(std::move(Action));
  }
  void record(const AnswerAction &Action) {
    m_DoubleAnswers += m_Results.contains(Action.m_Id.value()) ? 1 : 0;
    m_Results[Action.m_Id.value()] =
        Action.m_Outcome == wire::Outcome::COMPLETED ? "completed" : "unknown";
  }
  void record(const RefuseAction &Action) {
    m_DoubleAnswers += m_Results.contains(Action.m_Id.value()) ? 1 : 0;
    m_Results[Action.m_Id.value()] =
        "refused:" + std::string(refusalText(Action.m_Reason).m_Code);
    m_Refusals.push_back(Action);
  }
};

} // namespace anvil::route::testing

#endif // ANVIL_TESTS_ROUTE_ROUTERHARNESS_H
