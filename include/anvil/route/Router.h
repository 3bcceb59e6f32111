#ifndef ANVIL_ROUTE_ROUTER_H
#define ANVIL_ROUTE_ROUTER_H

#include <memory>
#include <vector>

#include "anvil/route/RouterTypes.h"

namespace anvil::route {

/// Routes requests to agents: chooses the target and the time, retries failed
/// attempts and determines the response to the caller.
///
/// Usage: pass each event with the current time to step() and carry out the
/// returned actions in order. Each request that arrives gets exactly one
/// AnswerAction or RefuseAction. A RefuseAction guarantees that the request did
/// not run. The router does no I/O and has no clock or random source; the same
/// events with the same random numbers give the same actions.
class Router {
public:
  explicit Router(RouterOptions Options);
  ~Router();
  Router(Router &&) noexcept;
  Router &operator=(Router &&) noexcept;

  /// Applies \p Event and returns the actions that follow from it. \p Now must
  /// not decrease from call to call.
  std::vector<RouterAction> step(RouterEvent Event, TimePoint Now);

  const RouterCounters &counters() const;
  /// Returns true if requests are routed: the last fresh read is recent enough,
  /// a configuration is known and no shutdown has started.
  bool ready(TimePoint Now) const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

/// Returns a digest of method, path, content type and body. Control stores it
/// with a claim to detect an idempotency key that is used for another request.
std::string requestDigest(const RequestArrived &Request);

} // namespace anvil::route

#endif // ANVIL_ROUTE_ROUTER_H
