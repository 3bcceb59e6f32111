#ifndef ANVIL_ENTRY_CONTROLCLIENT_H
#define ANVIL_ENTRY_CONTROLCLIENT_H

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "anvil/net/Rpc.h"

namespace anvil::entry {

/// Calls control over its replicas and changes to the next replica when one
/// fails.
///
/// Calls that fail are repeated at the next replica until their time is over,
/// so only calls that may run twice belong here; all commands of an entry carry
/// an id by which a repetition is recognised.
class ControlClient {
public:
  ControlClient(boost::asio::io_context &Io,
                const std::vector<net::Endpoint> &Replicas,
                const net::RpcOptions &Options, std::function<TimePoint()> Now);
  /// Open calls end with an error before the destructor returns or shortly
  /// after.
  ~ControlClient();

  /// Calls until a replica answers or \p Timeout is over. An error is NotSent
  /// only if no try may have reached a replica.
  void call(wire::Method::type Method, std::string Body, Duration Timeout,
            std::string_view TraceId, net::RpcDone Done);
  /// Calls the current replica once; a failure changes to the next one.
  void callOnce(wire::Method::type Method, std::string Body, Duration Timeout,
                net::RpcDone Done);
  /// Changes to the next replica.
  void useNext();
  /// Returns the replica that is called first.
  std::string current() const;

private:
  struct Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace anvil::entry

#endif // ANVIL_ENTRY_CONTROLCLIENT_H
