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

/// State of a request between its arrival and its answer.
enum class Phase {
  Queued,    ///< Waits for a target with free capacity.
  Claiming,  ///< A target is reserved; waits for control to answer the claim.
  ClaimWait, ///< Another attempt holds the claim, or an attempt ended without a
             ///< reply; the claim is requested again at m_PollAt.
  Running    ///< Sent to an agent.
};

/// One request in progress.
struct Request {
  RequestArrived m_Call;
  wire::ServiceClass m_Class;
  TimePoint m_ArrivedAt;
  TimePoint m_Deadline;
  Phase m_Phase = Phase::Queued;
  TimePoint m_WakeAt;   ///< Key in Impl::m_WakeTimes.
  TimePoint m_QueueKey; ///< Arrival time plus a delay for less urgent classes;
                        ///< the lowest is dispatched first.
  TargetPtr m_Target;   ///< Reserved target; null if there is none.
  std::set<std::string> m_TriedVms; ///< VMs of earlier attempts.
  int m_Attempts = 0;
  bool m_MayHaveRun = false; ///< An earlier attempt or the holder of the claim
                             ///< may have run the request.
  std::string m_ClaimId;     ///< Empty for idempotent classes.
  std::string m_Digest;
  int m_ClaimCalls = 0;
  int64_t m_ClaimToken = 0;
  Duration m_PollDelay{0};
  TimePoint m_PollAt;
  wire::OpenClaim m_LastClaim;
  /// m_LastClaim may have been granted although no answer arrived.
  bool m_RepeatClaim = false;
  bool m_AnswerLost = false;  ///< A claimed attempt ended without a reply.
  bool m_TokenShared = false; ///< m_ClaimToken was granted to another attempt,
                              ///< which may have sent it.
};

/// One dispatched attempt. It outlives its request if the reply is late.
struct Attempt {
  RequestId m_Id;
  TargetPtr m_Target;
};

/// One call to open a claim. It outlives its request if the answer is late.
struct ClaimCall {
  RequestId m_Id;
  wire::OpenClaim m_Claim;
  std::string m_TraceId;
  /// An earlier call with the same claim may have been granted.
  bool m_MayBeOpen = false;
  /// When retries end for a call whose request has ended.
  TimePoint m_GiveUpAt;
};

/// Configuration and queued requests of one service.
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
  Request &addRequest(RequestArrived Call, wire::ServiceClass Class);
  bool hasFreshRead() const;
  void onWakeTime(Request &Request);
  void refuseQueuedWithoutControl();
  void enqueue(Request &Request);
  void dequeue(Request &Request);
  void dispatchQueued(const std::string &ServiceName);
  void dispatchAllQueued();
  void setPhase(Request &Request, internal::Phase Next, TimePoint WakeAt);

  // RouterAttempts.cpp: attempts, retries and the end of a request.
  void on(AttemptEnded Event);
  void start(Request &Request, const internal::TargetPtr &Chosen);
  void dispatch(Request &Request);
  void onReply(Request &Request, internal::Target &Target,
               wire::ExecuteReply Reply);
  void onNotRun(Request &Request, internal::Target &Target,
                const wire::ExecuteReply &Reply);
  void onSendFailure(Request &Request, internal::Target &Target,
                     SendFailure Failure);
  bool mayRetry(const Request &Request);
  void retryOrGiveUp(Request &Request, RefusalReason Reason,
                     std::string_view Detail, Duration RetryAfter);
  void retryOrAnswerUnknown(Request &Request, std::string_view Reason);
  void giveUp(Request &Request, RefusalReason Reason, std::string_view Detail,
              std::optional<Duration> RetryAfter);
  void answerUnknown(Request &Request, std::string_view Reason);
  void answer(Request &Request, AnswerAction Answer);
  void refuse(RequestId Id, RefusalReason Reason, std::string_view Detail,
              std::optional<Duration> RetryAfter);
  Duration spreadRetryAfter(Duration Base) const;
  void releaseTarget(Request &Request);
  void erase(Request &Request);

  // RouterClaims.cpp: claims.
  void on(ClaimAnswered Event);
  void openClaim(Request &Request);
  void onClaim(Request &Request, wire::CommandResult Result);
  void onClaimRefused(Request &Request, std::string_view Message);
  void onGranted(Request &Request, const wire::CommandResult &Result);
  void onClosed(Request &Request, wire::ClaimOutcome Stored);
  void onClaimLost(Request &Request, SendFailure Failure);
  void onLateClaim(internal::ClaimCall Call, const ClaimAnswered &Event);
  void keepOrphanedClaim(internal::ClaimCall Call);
  void dispatchToHolder(Request &Request, const wire::CommandResult &Result);
  void waitForClaim(Request &Request);
  void pollClaim(Request &Request);
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
  std::set<std::pair<TimePoint, int64_t>> m_WakeTimes;
  /// Claim calls that failed after their request had ended, by the time of the
  /// next retry.
  std::set<std::pair<TimePoint, int64_t>> m_OrphanedClaims;
  std::vector<RouterAction> m_Actions;
  TimePoint m_Now{};
  std::optional<TimePoint> m_FreshReadAt;
  bool m_Configured = false;
  bool m_ShuttingDown = false;
  int64_t m_NextAttempt = 1;
  int64_t m_NextClaimCall = 1;
  double m_RecentQueueTimeUs = 0; ///< Moving average of the queue time.
};

} // namespace anvil::route

#endif // ANVIL_ROUTE_ROUTERIMPL_H
