#ifndef ANVIL_SRC_AGENT_REQUESTSLOTS_H
#define ANVIL_SRC_AGENT_REQUESTSLOTS_H

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "agent/ClaimLedger.h"
#include "agent/MinionHealth.h"
#include "agent/RequestQueue.h"
#include "anvil/agent/AgentTypes.h"

namespace anvil::agent::internal {

/// Whether starts are allowed now. They are if m_Refusal is empty.
struct StartRule {
  std::string_view m_Refusal;
  Duration m_RetryAfter{0};
};

/// Sends requests to the minion, at most one per slot, and determines the
/// outcome of each request.
class RequestSlots {
public:
  explicit RequestSlots(const AgentOptions &Options);

  void arrive(ExecuteArrived Arrived, const StartRule &Rule, TimePoint Now,
              ActionList &Out);
  void answered(MinionAnswered Answer, TimePoint Now, ActionList &Out);
  void failed(const MinionFailed &Failure, TimePoint Now, ActionList &Out);
  void probed(const MinionProbed &Probe, TimePoint Now, ActionList &Out);
  /// Ends requests whose deadline has passed and probes the minion.
  void tick(TimePoint Now, ActionList &Out);
  /// Starts queued requests in free slots, or refuses all queued requests if
  /// starts are not allowed.
  void startQueued(const StartRule &Rule, TimePoint Now, ActionList &Out);
  /// Ends all requests at once and adds a description of each abandoned
  /// exchange to \p Cut.
  void cutOff(TimePoint Now, ActionList &Out, std::vector<std::string> &Cut);

  wire::Load load() const;
  bool healthy() const { return m_Health.healthy(); }
  bool idle() const { return m_Running.empty() && m_Queue.size() == 0; }
  ClaimLedger &claims() { return m_Claims; }
  const ClaimLedger &claims() const { return m_Claims; }

private:
  struct Waiter {
    CallId m_Call;
    TimePoint m_Deadline;
  };
  bool answerRepeatedClaim(const ExecuteArrived &Arrived, TimePoint Now,
                           ActionList &Out);
  void refuse(CallId Call, const wire::ExecuteRequest &Request,
              std::string_view Reason, Duration RetryAfter, ActionList &Out);
  void reply(CallId Call, wire::ExecuteReply Reply, ActionList &Out) const;
  void finish(const PendingRequest &Request, wire::ExecuteReply Reply,
              TimePoint Now, ActionList &Out);
  void start(PendingRequest Request, TimePoint Now, ActionList &Out);
  void expireCallers(TimePoint Now, ActionList &Out);
  void expireWaiters(TimePoint Now, ActionList &Out);
  void abandonHung(TimePoint Now, ActionList &Out);
  void flushQueue(std::string_view Reason, Duration RetryAfter, TimePoint Now,
                  ActionList &Out);

  const AgentOptions &m_Options;
  RequestQueue m_Queue;
  ClaimLedger m_Claims;
  MinionHealth m_Health;
  std::map<ExchangeId, PendingRequest> m_Running;
  std::map<ClaimKey, std::vector<Waiter>> m_Waiters;
  int64_t m_NextExchange = 0;
};

} // namespace anvil::agent::internal

#endif // ANVIL_SRC_AGENT_REQUESTSLOTS_H
