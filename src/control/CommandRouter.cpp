#include "CommandRouter.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "absl/strings/str_cat.h"

#include "anvil/base/Port.h"
#include "anvil/net/WireCodec.h"

namespace anvil::control::internal {

namespace {

/// Delay before a command is tried again; an election takes 500 to 1,000 ms.
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
  // The peer answers kUnavailable only for commands that it did not append.
  return *Rpc == net::RpcErrc::Remote && absl::IsUnavailable(Status);
}

struct CommandRouter::Attempt {
  wire::Command m_Command;
  TimePoint m_Deadline;
  CommandDone m_Done;
};

void CommandRouter::submit(wire::Command Command, Duration Timeout,
                           CommandDone Done) {
  attempt(std::make_shared<Attempt>(
      Attempt{std::move(Command), m_Now() + Timeout, std::move(Done)}));
}

void CommandRouter::attempt(const std::shared_ptr<Attempt> &Try) {
  if (!m_Replica.leads()) {
    net::RpcClient *Leader = m_Replica.peer(m_Replica.status().m_Leader);
    if (Leader)
      forward(Try, *Leader);
    else
      retryLater(Try, absl::UnavailableError("no leader is known"));
    return;
  }
  std::weak_ptr<CommandRouter> Weak = weak_from_this();
  m_Replica.propose(
      Try->m_Command, [Weak, Try](absl::StatusOr<wire::CommandResult> Result) {
        auto Self = Weak.lock();
        if (Result.ok() || !Self)
          Try->m_Done(std::move(Result));
        else if (certainlyNotAppended(Result.status()))
          Self->retryLater(Try, Result.status());
        else
          Try->m_Done(absl::AbortedError(
              absl::StrCat("the command may or may not take effect: ",
                           Result.status().message())));
      });
}

void CommandRouter::retryLater(const std::shared_ptr<Attempt> &Try,
                               const absl::Status &Why) {
  if (m_Now() + RetryDelay >= Try->m_Deadline) {
    Try->m_Done(absl::UnavailableError(
        absl::StrCat("the command was not accepted in time: ", Why.message())));
    return;
  }
  auto Timer = std::make_shared<boost::asio::steady_timer>(m_Io, RetryDelay);
  std::weak_ptr<CommandRouter> Weak = weak_from_this();
  Timer->async_wait([Weak, Try, Timer](boost::system::error_code Error) {
    auto Self = Weak.lock();
    if (Error || !Self)
      Try->m_Done(absl::UnavailableError("this replica is shutting down"));
    else
      Self->attempt(Try);
  });
}

void CommandRouter::forward(const std::shared_ptr<Attempt> &Try,
                            net::RpcClient &Leader) {
  std::weak_ptr<CommandRouter> Weak = weak_from_this();
  Leader.call(wire::Method::FORWARD_COMMAND, net::encodeStruct(Try->m_Command),
              Try->m_Deadline - m_Now(), Try->m_Command.traceId,
              [Weak, Try](absl::StatusOr<std::string> Reply) {
                auto Self = Weak.lock();
                if (Reply.ok())
                  Try->m_Done(net::decodeAs<wire::CommandResult>(*Reply));
                else if (Self && certainlyNotAppended(Reply.status()))
                  Self->retryLater(Try, Reply.status());
                else
                  Try->m_Done(absl::AbortedError(
                      absl::StrCat("the command may or may not take effect: ",
                                   Reply.status().message())));
              });
}

} // namespace anvil::control::internal
