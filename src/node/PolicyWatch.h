#ifndef ANVIL_SRC_NODE_POLICYWATCH_H
#define ANVIL_SRC_NODE_POLICYWATCH_H

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "anvil/log/EventLog.h"
#include "anvil/node/LeaderClient.h"
#include "workload_types.h"

namespace anvil::node::internal {

/// Settings of a PolicyWatch.
struct PolicyWatchOptions {
  std::string m_Entry; ///< Unique for each incarnation of the process.
  /// How long a policy may be used after a leader confirmed it.
  Duration m_MaxAge{0};
  Duration m_Timeout = std::chrono::milliseconds(1000);
  /// Delay after a failed request.
  Duration m_RetryDelay = std::chrono::milliseconds(50);
  std::function<TimePoint()> m_Now;
};

/// Copies the policy and the counts of waiting jobs from the leader by long
/// polling.
///
/// The leader delays each answer until something changes or a short time has
/// passed. The policy never returns to an older version.
class PolicyWatch {
public:
  PolicyWatch(boost::asio::io_context &Io, PolicyWatchOptions Options,
              std::shared_ptr<LeaderClient> Client, log::EventLog &Log);
  ~PolicyWatch();

  void start();
  /// Returns whether a leader confirmed the policy within m_MaxAge.
  bool fresh() const;
  /// Returns when the newest request that a leader confirmed was sent; zero
  /// before the first.
  TimePoint confirmedAt() const;
  /// Returns the newest policy; its version is 0 before the first.
  const wire::PolicyDocument &policy() const;
  /// Returns the number of waiting jobs of a queue; 0 for an unknown queue.
  int64_t pendingOf(const std::string &Queue) const;

private:
  struct Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace anvil::node::internal

#endif // ANVIL_SRC_NODE_POLICYWATCH_H
