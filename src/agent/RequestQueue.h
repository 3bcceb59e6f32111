#ifndef ANVIL_SRC_AGENT_REQUESTQUEUE_H
#define ANVIL_SRC_AGENT_REQUESTQUEUE_H

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "anvil/agent/AgentTypes.h"

namespace anvil::agent::internal {

/// One accepted request until its outcome is known.
struct PendingRequest {
  CallId m_Call; ///< Caller that brought it; 0 once that caller was answered.
  wire::ExecuteRequest m_Request;
  TimePoint m_ArrivedAt;
  TimePoint m_Deadline;
  std::optional<TimePoint> m_StartedAt;
};

/// Requests that wait for a slot, bounded for each class.
///
/// Each urgency adds a fixed delay to the arrival time and the earliest sum is
/// next. A less urgent request therefore overtakes urgent ones that arrive
/// later than its own delay, so it can't starve.
class RequestQueue {
public:
  explicit RequestQueue(const AgentOptions &Options) : m_Options(Options) {}

  /// Takes over \p Request, or returns false and leaves it unchanged if a bound
  /// is reached.
  bool push(PendingRequest &Request);
  /// Takes the next request, or nothing.
  std::optional<PendingRequest> pop();
  /// Takes all requests whose deadline is at or before \p Now.
  std::vector<PendingRequest> takeExpired(TimePoint Now);
  /// Takes all requests in their order.
  std::vector<PendingRequest> takeAll();
  size_t size() const { return m_Order.size(); }

private:
  struct Order {
    TimePoint m_Rank;
    int64_t m_Serial = 0;
    auto operator<=>(const Order &) const = default;
  };
  PendingRequest remove(std::map<Order, PendingRequest>::iterator Where);

  const AgentOptions &m_Options;
  std::map<Order, PendingRequest> m_Order;
  std::map<std::string, size_t> m_ClassCounts;
  size_t m_Bytes = 0;
  int64_t m_NextSerial = 0;
};

} // namespace anvil::agent::internal

#endif // ANVIL_SRC_AGENT_REQUESTQUEUE_H
