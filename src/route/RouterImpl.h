#ifndef ANVIL_ROUTE_ROUTERIMPL_H
#define ANVIL_ROUTE_ROUTERIMPL_H

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "RetryBudget.h"
#include "TargetTable.h"
#include "anvil/route/Router.h"

namespace anvil::route {

namespace internal {

/// Where a request is between its arrival and its answer.
enum class Phase {
  Queued,    ///< Waits for a target with room.
  Claiming,  ///< A target is reserved; control has been asked for the claim.
  ClaimWait, ///< Another holder has the claim, or an attempt ended without an
             ///< answer; asked again at m_PollAt.
  Running    ///< An agent has the request.
};

/// One request in progress.
struct Request {
  RequestArrived m_Call;
  wire::ServiceClass m_Class;
  TimePoint m_ArrivedAt;
  TimePoint m_Deadline;
  Phase m_Phase = Phase::Queued;
  TimePoint m_WakeAt;   ///< Key in the table of wake times.
  TimePoint m_QueueKey; ///< Arrival time, later for less urgent classes; lower
                        ///< is dispatched first.
  TargetPtr m_Target;   ///< Reserved or running there.
  std::set<std::string> m_Tried;
  int m_Attempts = 0;
  bool m_MayHaveRun = false; ///< An earlier attempt, or the holder of the
                             ///< claim, may have run the request.
  std::string m_ClaimId;     ///< Empty for idempotent classes.
  std::string m_Digest;
  int m_ClaimCalls = 0;
  int64_t m_ClaimToken = 0;
  Duration m_PollDelay{0};
  TimePoint m_PollAt;
  wire::OpenClaim m_LastClaim;
  bool m_RepeatClaim =
      false; ///< m_LastClaim may have been granted without an answer.
  bool m_AnswerLost = false;  ///< A claimed attempt ended without an answer.
  bool m_TokenShared = false; ///< m_ClaimToken was granted to another attempt,
                              ///< which may have sent it.
};

/// One dispatched attempt. It outlives its request if the answer is late.
struct Attempt {
  RequestId m_Id;
  TargetPtr m_Target;
};

/// One call to open a claim. It outlives its request if the answer is late.
struct ClaimCall {
  RequestId m_Id;
  wire::OpenClaim m_Claim;
  std::string m_TraceId;
  bool m_MayBeOpen =
      false; ///< An earlier call with the same claim may have been granted.
  TimePoint m_GiveUpAt; ///< For a call without a request: when to stop asking.
};

/// Configuration of one service and its waiting requests.
struct Service {
  wire::ServiceConfig m_Config;
  bool m_Configured = false;
  std::map<std::pair<TimePoint, int64_t>, RequestId> m_Queue;
  std::map<std::string, size_t> m_QueuedByClass;
};

} // namespace internal

struct Router::Impl {
  explicit Impl(RouterOptions Options)
      : m_Options(std::move(Options)), m_Targets(m_Options),
        m_Budget(m_Options.m_RetryShare, m_Options.m_RetryConstant,
                 m_Options.m_RetryWindow),
        m_PollRate(m_Options.m_ClaimPollsPerSecond) {}

  using Request = internal::Request;

  /// Why a claimed request is known not to have run.
  enum class NotRunProof { NeverSent, AgentReply };

  // Router.cpp: events, admission and the queue.
  void on(const RoutesChanged &Event);
  void on(ConfigChanged Event);
  void on(FreshRead Event);
  void on(RequestArrived Event);
  void on(Tick Event);
  void on(ShutdownStarted Event);
  std::optional<RefusalReason> admit(const RequestArrived &Call,
                                     wire::ServiceClass &Class) const;
  std::optional<RefusalReason> checkRoom(const RequestArrived &Call,
                                         const wire::ServiceClass &Class) const;
  Request &insert(RequestArrived Call, wire::ServiceClass Class);
  bool fresh() const;
  void wake(Request &Each);
  void refuseQueuedWithoutControl();
  void enqueue(Request &Each);
  void dequeue(Request &Each);
  void pump(const std::string &ServiceName);
  void pumpAll();
  void setPhase(Request &Each, internal::Phase Next, TimePoint WakeAt);

  // RouterAttempts.cpp: attempts, retries and the end of a request.
  void on(AttemptEnded Event);
  void start(Request &Each, const internal::TargetPtr &Chosen);
  void dispatch(Request &Each);
  void onReply(Request &Each, internal::Target &From, wire::ExecuteReply Reply);
  void onNotRun(Request &Each, internal::Target &From,
                const wire::ExecuteReply &Reply);
  void onSendFailure(Request &Each, internal::Target &To, SendFailure Failure);
  bool mayRetry(const Request &Each);
  void retryOr(Request &Each, RefusalReason Reason, std::string_view Detail,
               Duration RetryAfter);
  void retryUnknown(Request &Each, std::string_view Reason);
  void giveUp(Request &Each, RefusalReason Reason, std::string_view Detail,
              std::optional<Duration> RetryAfter);
  void answerUnknown(Request &Each, std::string_view Reason);
  void answer(Request &Each, AnswerAction Answer);
  void refuse(RequestId Id, RefusalReason Reason, std::string_view Detail,
              std::optional<Duration> RetryAfter);
  Duration spreadRetryAfter(Duration Base) const;
  void releaseTarget(Request &Each);
  void erase(Request &Each);

  // RouterClaims.cpp: claims.
  void on(ClaimAnswered Event);
  void openClaim(Request &Each);
  void onClaim(Request &Each, wire::CommandResult Result);
  void onClaimRefused(Request &Each, std::string_view Message);
  void onGranted(Request &Each, const wire::CommandResult &Result);
  void onClosed(Request &Each, wire::ClaimOutcome Stored);
  void onClaimLost(Request &Each, SendFailure Failure);
  void onLateClaim(internal::ClaimCall Call, const ClaimAnswered &Event);
  void keepOrphan(internal::ClaimCall Call);
  void askHolder(Request &Each, const wire::CommandResult &Result);
  void waitForClaim(Request &Each);
  void pollClaim(Request &Each);
  void closeClaimNotRun(const wire::OpenClaim &Claim, int64_t Token,
                        std::string_view TraceId, NotRunProof Proof);

  RouterOptions m_Options;
  RouterCounters m_Counters;
  internal::TargetTable m_Targets;
  internal::RetryBudget m_Budget;
  internal::RateLimit m_PollRate;
  std::map<std::string, internal::Service> m_Services;
  std::set<std::string> m_Workspaces;
  std::unordered_map<int64_t, Request> m_Requests;
  std::unordered_map<int64_t, internal::Attempt> m_Attempts;
  std::unordered_map<int64_t, internal::ClaimCall> m_ClaimCalls;
  std::set<std::pair<TimePoint, int64_t>> m_Wakes;
  /// Claim calls that were lost after their request had gone, with the time to
  /// ask again.
  std::set<std::pair<TimePoint, int64_t>> m_Orphans;
  std::vector<RouterAction> m_Actions;
  TimePoint m_Now{};
  std::optional<TimePoint> m_FreshAt;
  bool m_Configured = false;
  bool m_Closing = false;
  int64_t m_NextAttempt = 1;
  int64_t m_NextClaimCall = 1;
  double m_RecentWaitUs = 0; ///< Moving average of the time in the queue.
};

} // namespace anvil::route

#endif // ANVIL_ROUTE_ROUTERIMPL_H
