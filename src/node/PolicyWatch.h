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
  std::string m_Entry; ///< Names this life of the process.
  /// How long a confirmed policy may be used.
  Duration m_FreshFor{0};
  Duration m_Timeout = std::chrono::milliseconds(1000);
  /// Pause after a failed request.
  Duration m_RetryPause = std::chrono::milliseconds(50);
  std::function<TimePoint()> m_Now;
};

/// Keeps the policy and the counts of waiting jobs that the leader confirmed.
///
/// The leader holds each request back until something changes or a short time
/// has passed. The policy never goes back to an older version.
class PolicyWatch {
public:
  PolicyWatch(boost::asio::io_context &Io, PolicyWatchOptions Options,
              std::shared_ptr<LeaderClient> Link, log::EventLog &Log);
  ~PolicyWatch();

  void start();
  /// Returns whether a confirmed leader knew no newer policy lately.
  bool fresh() const;
  /// Returns when the newest confirmed request was sent; zero before the first.
  TimePoint confirmedAt() const;
  const wire::PolicyDocument &policy() const;
  int64_t pendingOf(const std::string &Queue) const;

private:
  struct Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace anvil::node::internal

#endif // ANVIL_SRC_NODE_POLICYWATCH_H
