#include "agent/RequestQueue.h"

#include <utility>

namespace anvil::agent::internal {

namespace {

/// Returns the delay of requests of \p Urgency relative to urgent ones. It
/// follows typical deadlines: seconds for quotes, minutes for reports.
Duration urgencyDelay(wire::Urgency::type Urgency) {
  switch (Urgency) {
  case wire::Urgency::URGENT:
    return std::chrono::seconds(0);
  case wire::Urgency::WORKING_DAY:
    return std::chrono::seconds(2);
  case wire::Urgency::BATCH:
    return std::chrono::seconds(15);
  case wire::Urgency::OVERNIGHT:
    return std::chrono::seconds(60);
  }
  return std::chrono::seconds(60);
}

} // namespace

bool RequestQueue::push(PendingRequest &Request) {
  const std::string &Class = Request.m_Request.className;
  const auto Found = m_ClassCounts.find(Class);
  if (Found == m_ClassCounts.end() &&
      m_ClassCounts.size() >= m_Options.m_MaxClasses)
    return false;
  if (Found != m_ClassCounts.end() && Found->second >= m_Options.m_QueueLimit)
    return false;
  if (m_Bytes + Request.m_Request.body.size() > m_Options.m_MaxQueuedBytes)
    return false;
  ++m_ClassCounts[Class];
  m_Bytes += Request.m_Request.body.size();
  const Order Key{Request.m_ArrivedAt + urgencyDelay(Request.m_Request.urgency),
                  ++m_NextSerial};
  m_Order.emplace(Key, std::move(Request));
  return true;
}

PendingRequest
RequestQueue::remove(std::map<Order, PendingRequest>::iterator Position) {
  PendingRequest Request = std::move(Position->second);
  m_Order.erase(Position);
  m_Bytes -= Request.m_Request.body.size();
  const auto Count = m_ClassCounts.find(Request.m_Request.className);
  if (--Count->second == 0)
    m_ClassCounts.erase(Count);
  return Request;
}

std::optional<PendingRequest> RequestQueue::pop() {
  if (m_Order.empty())
    return std::nullopt;
  return remove(m_Order.begin());
}

std::vector<PendingRequest> RequestQueue::takeExpired(TimePoint Now) {
  std::vector<PendingRequest> Expired;
  for (auto Next = m_Order.begin(); Next != m_Order.end();) {
    const auto Current = Next++;
    if (Current->second.m_Deadline <= Now)
      Expired.push_back(remove(Current));
  }
  return Expired;
}

std::vector<PendingRequest> RequestQueue::takeAll() {
  std::vector<PendingRequest> All;
  while (!m_Order.empty())
    All.push_back(remove(m_Order.begin()));
  return All;
}

} // namespace anvil::agent::internal
