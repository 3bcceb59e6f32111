#ifndef ANVIL_ENTRY_CONTROLCLIENT_H
#define ANVIL_ENTRY_CONTROLCLIENT_H

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "anvil/net/Rpc.h"

namespace anvil::entry {

/// An RPC client of the control replicas that fails over to the next replica.
///
/// A failed call is retried at the next replica until its deadline, so calls
/// must be idempotent. All commands of an entry carry an id by which control
/// detects a duplicate.
class ControlClient {
public:
  ControlClient(boost::asio::io_context &Io,
                const std::vector<net::Endpoint> &Replicas,
                const net::RpcOptions &Options, std::function<TimePoint()> Now);
  /// Open calls fail before the destructor returns or shortly after.
  ~ControlClient();

  /// Retries until a replica answers or \p Timeout has passed. The error is
  /// NotSent only if no attempt may have reached a replica.
  void call(wire::Method::type Method, std::string Body, Duration Timeout,
            std::string_view TraceId, net::RpcDone Done);
  /// Calls the current replica once. A failure selects the next replica
  /// for later calls.
  void callOnce(wire::Method::type Method, std::string Body, Duration Timeout,
                net::RpcDone Done);
  /// Selects the next replica for later calls.
  void useNextReplica();
  /// Returns the address of the replica that the next call is sent to.
  std::string currentReplica() const;

private:
  struct Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace anvil::entry

#endif // ANVIL_ENTRY_CONTROLCLIENT_H
