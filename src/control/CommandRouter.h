#ifndef ANVIL_SRC_CONTROL_COMMANDROUTER_H
#define ANVIL_SRC_CONTROL_COMMANDROUTER_H

#include <memory>

#include "anvil/control/ReplicaHost.h"

namespace boost::asio {
class io_context;
}

namespace anvil::control::internal {

/// Brings a command to the leader, wherever it is, and its result back.
///
/// A command is sent again only if it is certain that the earlier try was not
/// appended. If that is not certain the result is kAborted: "the command may or
/// may not take effect".
class CommandRouter : public std::enable_shared_from_this<CommandRouter> {
public:
  CommandRouter(boost::asio::io_context &Io, ReplicaHost &Replica,
                std::function<TimePoint()> Now)
      : m_Io(Io), m_Replica(Replica), m_Now(std::move(Now)) {}

  /// Runs a command within \p Timeout; \p Done runs exactly once.
  void submit(wire::Command Command, Duration Timeout, CommandDone Done);

private:
  struct Attempt;

  void attempt(const std::shared_ptr<Attempt> &Try);
  void retryLater(const std::shared_ptr<Attempt> &Try, const absl::Status &Why);
  void forward(const std::shared_ptr<Attempt> &Try, net::RpcClient &Leader);

  boost::asio::io_context &m_Io;
  ReplicaHost &m_Replica;
  std::function<TimePoint()> m_Now;
};

/// Returns true if the failed proposal is known not to have been appended
/// anywhere.
bool certainlyNotAppended(const absl::Status &Status);

} // namespace anvil::control::internal

#endif // ANVIL_SRC_CONTROL_COMMANDROUTER_H
