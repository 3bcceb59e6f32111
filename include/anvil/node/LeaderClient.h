#ifndef ANVIL_NODE_LEADERCLIENT_H
#define ANVIL_NODE_LEADERCLIENT_H

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

#include "anvil/base/Time.h"
#include "anvil/net/Endpoint.h"
#include "anvil/net/Rpc.h"
#include "workload_types.h"

namespace boost::asio {
class io_context;
}

namespace anvil::node {

/// Settings of a LeaderClient.
struct LeaderClientOptions {
  /// Addresses to ask while no replica is known.
  std::vector<net::Endpoint> m_Seeds;
  net::RpcOptions m_Rpc;
  std::function<TimePoint()> m_Now;
  /// A single attempt is given up after this time, in case its connection went
  /// silent.
  Duration m_AttemptTimeout = std::chrono::milliseconds(1000);
  /// Pause before the next attempt while no process names a leader.
  Duration m_SearchPause = std::chrono::milliseconds(50);
};

/// How a call to the leader ended.
struct LeaderCallResult {
  /// OK if the leader answered. Otherwise the last error.
  absl::Status m_Status;
  std::string m_Body;
  /// Some attempt may have been carried out without an answer.
  bool m_MaybeExecuted = false;
};

/// Finds the process that leads the replicated state, and calls it.
///
/// Usage: create() one for each process; updateView() from every view of the
/// group that arrives; call() repeats a call until the leader answers it or the
/// time is over, so it must be harmless to repeat. callOnce() tries only the
/// present guess. All run on the thread of the io_context.
class LeaderClient : public std::enable_shared_from_this<LeaderClient> {
public:
  /// What a reply tells of the leader.
  struct ReplyHeader {
    bool m_Leads = false;
    wire::GroupView m_Group;
  };
  /// Decodes the head of a reply body.
  using HeaderReader =
      std::function<absl::StatusOr<ReplyHeader>(std::string_view)>;
  using Done = std::function<void(LeaderCallResult)>;

  static std::shared_ptr<LeaderClient> create(boost::asio::io_context &Io,
                                              LeaderClientOptions Options);
  ~LeaderClient();
  LeaderClient(const LeaderClient &) = delete;
  LeaderClient &operator=(const LeaderClient &) = delete;

  /// Calls the leader until it answers or \p Timeout has passed.
  void call(wire::Method::type Method, std::string Body, Duration Timeout,
            std::string_view TraceId, HeaderReader Reader, Done OnDone);
  /// Calls the process that most likely leads, once. The answer may come from a
  /// process that does not lead; then the guess is corrected.
  void callOnce(wire::Method::type Method, std::string Body, Duration Timeout,
                HeaderReader Reader, Done OnDone);

  /// Takes in a view of the group; older ones change nothing.
  void updateView(const wire::GroupView &View);
  /// Replaces the addresses of the settings.
  void setSeeds(std::vector<net::Endpoint> Seeds);
  /// Returns the newest known view.
  const wire::GroupView &view() const;
  /// Returns true if a leader is known and was not found wanting since.
  bool knowsLeader() const;
  /// Returns the link to an address, opened on demand.
  net::RpcClient &rpcClientFor(const net::Endpoint &Peer);
  /// Returns the addresses of the settings.
  const std::vector<net::Endpoint> &seeds() const;

private:
  struct Impl;
  explicit LeaderClient(std::unique_ptr<Impl> State);
  std::unique_ptr<Impl> m_Impl;
};

} // namespace anvil::node

#endif // ANVIL_NODE_LEADERCLIENT_H
