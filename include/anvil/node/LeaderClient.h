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
  /// Addresses to try while the address of no replica is known.
  std::vector<net::Endpoint> m_Seeds;
  net::RpcOptions m_Rpc;
  std::function<TimePoint()> m_Now;
  /// Timeout of a single attempt, for a connection on which no answer arrives.
  Duration m_AttemptTimeout = std::chrono::milliseconds(1000);
  /// Delay before the next attempt while no process names a leader.
  Duration m_SearchPause = std::chrono::milliseconds(50);
};

/// Result of a call to the leader.
struct LeaderCallResult {
  /// OK if a process answered; otherwise the error of the last attempt.
  absl::Status m_Status;
  std::string m_Body; ///< Encoded reply; empty without an answer.
  /// An attempt that got no answer may have been executed.
  bool m_MaybeExecuted = false;
};

/// When a call that retries ends without an answer.
struct CallLimits {
  Duration m_Timeout{0};
  /// Ends the call before its next attempt if it returns true and no earlier
  /// attempt may have been executed; may be empty.
  std::function<bool()> m_GivesUp;
};

/// Finds the process that leads the replicated state, and sends calls to it.
///
/// Usage: create() one for each process and pass every view of the group that
/// arrives to updateView(). call() retries until the leader answers or a limit
/// is reached, so the call must be idempotent; callOnce() makes a single
/// attempt at the process that most likely leads. All functions run on the
/// thread of the io_context.
class LeaderClient : public std::enable_shared_from_this<LeaderClient> {
public:
  /// Part of a reply that tells which process leads.
  struct ReplyHeader {
    bool m_Leads = false; ///< The process that answered leads.
    wire::GroupView m_Group;
  };
  /// Decodes the header of a reply from its body.
  using HeaderReader =
      std::function<absl::StatusOr<ReplyHeader>(std::string_view)>;
  using Done = std::function<void(LeaderCallResult)>;

  static std::shared_ptr<LeaderClient> create(boost::asio::io_context &Io,
                                              LeaderClientOptions Options);
  ~LeaderClient();
  LeaderClient(const LeaderClient &) = delete;
  LeaderClient &operator=(const LeaderClient &) = delete;

  /// Retries until the leader answers or a limit is reached. \p OnDone runs
  /// once, unless the client is destroyed before.
  void call(wire::Method::type Method, std::string Body, CallLimits Limits,
            std::string_view TraceId, HeaderReader Reader, Done OnDone);
  /// Makes a single attempt at the process that most likely leads. The answer
  /// may come from a process that does not lead, which then names the leader
  /// for the next call.
  void callOnce(wire::Method::type Method, std::string Body, Duration Timeout,
                HeaderReader Reader, Done OnDone);

  /// Merges a view of the group; a view of an older term, or one without
  /// replicas, is ignored.
  void updateView(const wire::GroupView &View);
  /// Replaces LeaderClientOptions::m_Seeds.
  void setSeeds(std::vector<net::Endpoint> Seeds);
  /// Returns the newest known view of the group.
  const wire::GroupView &view() const;
  /// Returns true if a leader is known that since then has neither failed to
  /// answer nor answered that it does not lead.
  bool knowsLeader() const;
  /// Returns the RPC client for \p Peer, created on demand. The reference is
  /// valid until the next updateView().
  net::RpcClient &rpcClientFor(const net::Endpoint &Peer);
  /// Returns LeaderClientOptions::m_Seeds.
  const std::vector<net::Endpoint> &seeds() const;

private:
  struct Impl;
  explicit LeaderClient(std::unique_ptr<Impl> State);
  std::unique_ptr<Impl> m_Impl;
};

} // namespace anvil::node

#endif // ANVIL_NODE_LEADERCLIENT_H
