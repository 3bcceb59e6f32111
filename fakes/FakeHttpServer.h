#ifndef ANVIL_FAKES_FAKEHTTPSERVER_H
#define ANVIL_FAKES_FAKEHTTPSERVER_H

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

#include "anvil/base/Time.h"
#include "anvil/net/Endpoint.h"
#include "anvil/net/Http.h"

namespace boost::asio {
class io_context;
}

namespace anvil::fakes {

/// Connection of one request, with ways to end it that a real server would not
/// offer.
class FakeConnection {
public:
  virtual ~FakeConnection() = default;
  /// Sends a whole response and reads the next request.
  virtual void respond(int Status, std::string Body) = 0;
  /// Announces the whole body, sends half of it and closes.
  virtual void truncate(int Status, std::string Body) = 0;
  /// Sends \p Bytes as they are, then closes or reads the next request.
  virtual void sendRaw(std::string Bytes, bool Close) = 0;
  /// Closes without a response.
  virtual void close() = 0;
  /// Calls \p Hook once if the peer closes before the response. The hook must
  /// not own this connection.
  virtual void onPeerClosed(std::function<void()> Hook) = 0;
};

using FakeConnectionPtr = std::shared_ptr<FakeConnection>;
using FakeHandler =
    std::function<void(const net::HttpRequest &, const FakeConnectionPtr &)>;

/// Serves plain HTTP/1.1 on a loopback port for the stand-ins of the platform.
class FakeHttpServer {
public:
  /// Binds and listens; port 0 takes a free port.
  static absl::StatusOr<std::unique_ptr<FakeHttpServer>>
  create(boost::asio::io_context &Io, const net::Endpoint &Listen,
         FakeHandler Handler);
  /// Closes the listener and all connections.
  ~FakeHttpServer();
  net::Endpoint endpoint() const;
  /// Returns the connections accepted so far.
  int64_t acceptedConnections() const;
  /// Closes all open connections and keeps listening.
  void closeConnections();

private:
  struct Impl;
  explicit FakeHttpServer(std::shared_ptr<Impl> State);
  std::shared_ptr<Impl> m_Impl;
};

/// Runs \p Hook after \p Delay on the thread of \p Io.
void runAfter(boost::asio::io_context &Io, Duration Delay,
              std::function<void()> Hook);

} // namespace anvil::fakes

#endif // ANVIL_FAKES_FAKEHTTPSERVER_H
