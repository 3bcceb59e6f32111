#include "CommandRouter.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "absl/strings/str_cat.h"

#include "anvil/base/Port.h"
#include "anvil/net/WireCodec.h"

namespace anvil::control::internal {

namespace {

/// Delay before a command is retried; short against an election, which takes
/// 500 to 1,000 ms.
constexpr Duration RetryDelay = std::chrono::milliseconds(50);

} // namespace

bool certainlyNotAppended(const absl::Status &Status) {
  const std::optional<raft::RaftErrc> Raft =
      layerErrorOf<raft::RaftErrc>(Status);
  if (Raft)
    return *Raft == raft::RaftErrc::NotLeader ||
           *Raft == raft::RaftErrc::Busy || *Raft == raft::RaftErrc::Superseded;
  const std::optional<net::RpcErrc> Rpc = layerErrorOf<net::RpcErrc>(Status);
  if (!Rpc)
    return false;
  if (*Rpc == net::RpcErrc::NotSent || *Rpc == net::RpcErrc::Overloaded)
    return true;
  // The peer returns kUnavailable only for commands that it did not append.
  return *Rpc == net::RpcErrc::Remote && absl::IsUnavailable(Status);
}

struct CommandRouter::PendingCommand {
  wire::Command m_Command;
  TimePoint m_Deadline;
  CommandDone m_Done;
};

void CommandRouter::submit(wire::Command Command, Duration Timeout,
                           CommandDone Done) {
  attempt(std::make_shared<PendingCommand>(
      PendingCommand{std::move(Command), m_Now() + Timeout, std::move(Done)}));
}

void CommandRouter::attempt(const std::shared_ptr<PendingCommand> &Pending) {
  if (!m_Replica.leads()) {
    net::RpcClient *Leader = m_Replica.peer(m_Replica.status().m_Leader);
    if (Leader)
      forward(Pending, *Leader);
    else
      retryLater(Pending, absl::UnavailableError("no leader is known"));
    return;
  }
  std::weak_ptr<CommandRouter> Weak = weak_from_this();
  m_Replica.propose(
      Pending->m_Command,
      [Weak, Pending](absl::StatusOr<wire::CommandResult> Result) {
        auto Self = Weak.lock();
        if (Result.ok() || !Self)
          Pending->m_Done(std::move(Result));
        else if (certainlyNotAppended(Result.status()))
          Self->retryLater(Pending, Result.status());
        else
          Pending->m_Done(absl::AbortedError(
              absl::StrCat("the command may or may not take effect: ",
                           Result.status().message())));
      });
}

void CommandRouter::retryLater(const std::shared_ptr<PendingCommand> &Pending,
                               const absl::Status &LastError) {
  if (m_Now() + RetryDelay >= Pending->m_Deadline) {
    Pending->m_Done(absl::UnavailableError(absl::StrCat(
        "the command was not accepted in time: ", LastError.message())));
    return;
  }
  auto Timer = std::make_shared<boost::asio::steady_timer>(m_Io, RetryDelay);
  std::weak_ptr<CommandRouter> Weak = weak_from_this();
  Timer->async_wait([Weak, Pending, Timer](boost::system::error_code Error) {
    auto Self = Weak.lock();
    if (Error || !Self)
      Pending->m_Done(absl::UnavailableError("this replica is shutting down"));
    else
      Self->attempt(Pending);
  });
}

void CommandRouter::forward(const std::shared_ptr<PendingCommand> &Pending,
                            net::RpcClient &Leader) {
  std::weak_ptr<CommandRouter> Weak = weak_from_this();
  Leader.call(wire::Method::FORWARD_COMMAND,
              net::encodeStruct(Pending->m_Command),
              Pending->m_Deadline - m_Now(), Pending->m_Command.traceId,
              [Weak, Pending](absl::StatusOr<std::string> Reply) {
                auto Self = Weak.lock();
                if (Reply.ok())
                  Pending->m_Done(net::decodeAs<wire::CommandResult>(*Reply));
                else if (Self && certainlyNotAppended(Reply.status()))
                  Self->retryLater(Pending, Reply.status());
                else
                  Pending->m_Done(absl::AbortedError(
                      absl::StrCat("the command may or may not take effect: ",
                                   Reply.status().message())));
              });
}

} // namespace anvil::control::internal
