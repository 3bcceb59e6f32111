#ifndef ANVIL_SRC_AGENT_REQUESTQUEUE_H
#define ANVIL_SRC_AGENT_REQUESTQUEUE_H

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "anvil/agent/AgentTypes.h"

namespace anvil::agent::internal {

/// One accepted request whose outcome is not known yet.
struct PendingRequest {
  CallId m_Call; ///< Call that brought the request; 0 once it was answered.
  wire::ExecuteRequest m_Request;
  TimePoint m_ArrivedAt;
  TimePoint m_Deadline;
  std::optional<TimePoint> m_StartedAt;
};

/// Queue of requests that wait for a slot, with a limit for each class.
///
/// Each urgency adds a fixed delay to the arrival time, and the request with
/// the earliest sum is next. A less urgent request therefore precedes urgent
/// ones that arrive after its delay, so it can't starve.
class RequestQueue {
public:
  explicit RequestQueue(const AgentOptions &Options) : m_Options(Options) {}

  /// Adds \p Request and returns true, or returns false and leaves it unchanged
  /// if a limit is reached.
  bool push(PendingRequest &Request);
  /// Removes and returns the next request, if there is one.
  std::optional<PendingRequest> pop();
  /// Removes and returns all requests whose deadline is at or before \p Now.
  std::vector<PendingRequest> takeExpired(TimePoint Now);
  /// Removes and returns all requests in order.
  std::vector<PendingRequest> takeAll();
  size_t size() const { return m_Order.size(); }

private:
  struct Order {
    TimePoint m_Rank;
    int64_t m_Serial = 0;
    auto operator<=>(const Order &) const = default;
  };
  PendingRequest remove(std::map<Order, PendingRequest>::iterator Position);

  const AgentOptions &m_Options;
  std::map<Order, PendingRequest> m_Order;
  std::map<std::string, size_t> m_ClassCounts;
  size_t m_Bytes = 0;
  int64_t m_NextSerial = 0;
};

} // namespace anvil::agent::internal

#endif // ANVIL_SRC_AGENT_REQUESTQUEUE_H
