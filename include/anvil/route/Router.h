#ifndef ANVIL_ROUTE_ROUTER_H
#define ANVIL_ROUTE_ROUTER_H

#include <memory>
#include <vector>

#include "anvil/route/RouterTypes.h"

namespace anvil::route {

/// Decides for each request which agent runs it, when, how often it is tried,
/// and what the caller is told.
///
/// Usage: feed step() with events and carry out the returned actions in their
/// order. Each request that arrives gets exactly one AnswerAction or
/// RefuseAction. A RefuseAction is a promise that the request did not run (H5).
/// There is no I/O, clock or random source inside; the same events with the
/// same random numbers give the same actions.
class Router {
public:
  explicit Router(RouterOptions Options);
  ~Router();
  Router(Router &&) noexcept;
  Router &operator=(Router &&) noexcept;

  /// Returns what is to be done because of \p Event at \p Now. \p Now must not
  /// go back.
  std::vector<RouterAction> step(RouterEvent Event, TimePoint Now);

  const RouterCounters &counters() const;
  /// Returns true if requests are routed: control is fresh, a configuration is
  /// known and no shutdown has begun.
  bool ready(TimePoint Now) const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

/// Returns the digest that ties an idempotency key to one request.
std::string requestDigest(const RequestArrived &Request);

} // namespace anvil::route

#endif // ANVIL_ROUTE_ROUTER_H
