#ifndef ANVIL_SRC_CONTROL_COMMANDROUTER_H
#define ANVIL_SRC_CONTROL_COMMANDROUTER_H

#include <memory>

#include "anvil/control/ReplicaHost.h"

namespace boost::asio {
class io_context;
}

namespace anvil::control::internal {

/// Sends commands to the current leader, locally or by RPC, and returns their
/// results.
///
/// A command is sent again only if the previous attempt was certainly not
/// appended to the log. Otherwise the result is kAborted: "the command may or
/// may not take effect".
class CommandRouter : public std::enable_shared_from_this<CommandRouter> {
public:
  CommandRouter(boost::asio::io_context &Io, ReplicaHost &Replica,
                std::function<TimePoint()> Now)
      : m_Io(Io), m_Replica(Replica), m_Now(std::move(Now)) {}

  /// Submits a command and retries it within \p Timeout; \p Done runs exactly
  /// once.
  void submit(wire::Command Command, Duration Timeout, CommandDone Done);

private:
  struct PendingCommand;

  void attempt(const std::shared_ptr<PendingCommand> &Pending);
  void retryLater(const std::shared_ptr<PendingCommand> &Pending,
                  const absl::Status &LastError);
  void forward(const std::shared_ptr<PendingCommand> &Pending,
               net::RpcClient &Leader);

  boost::asio::io_context &m_Io;
  ReplicaHost &m_Replica;
  std::function<TimePoint()> m_Now;
};

/// Returns true if it is certain that no replica has appended the failed
/// proposal to its log.
bool certainlyNotAppended(const absl::Status &Status);

} // namespace anvil::control::internal

#endif // ANVIL_SRC_CONTROL_COMMANDROUTER_H
