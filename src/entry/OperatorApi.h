#ifndef ANVIL_ENTRY_OPERATORAPI_H
#define ANVIL_ENTRY_OPERATORAPI_H

#include <string_view>
#include <variant>

#include "absl/status/status.h"

#include "TimelineQuery.h"
#include "anvil/net/Http.h"
#include "anvil_types.h"

namespace anvil::entry {

/// A change that control is asked to commit.
struct CommandCall {
  wire::Command m_Command;
  int m_OkStatus = 200;
};

/// What to do with a request of an operator; a response is sent as it is.
using OperatorCall = std::variant<CommandCall, wire::QueryRequest,
                                  TimelineQuery, net::HttpResponse>;

/// Turns a request for a path under `/v1/` into a command or a query.
///
/// \p TraceId identifies the request; it also stands in for an idempotency key
/// that the caller did not send. \returns a 4xx response that names the field
/// if the request is not valid.
OperatorCall readOperatorRequest(const net::HttpRequest &Request,
                                 std::string_view TraceId, int64_t NowMicros);

/// Returns the response for the result of a command.
net::HttpResponse renderCommandResult(const wire::CommandResult &Result,
                                      int OkStatus);

/// Returns the response for the result of a query.
net::HttpResponse renderQueryReply(const wire::QueryReply &Reply);

/// Returns the response for a call to control that failed. \p Changes is true
/// for commands.
net::HttpResponse renderControlFailure(const absl::Status &Status,
                                       bool Changes);

} // namespace anvil::entry

#endif // ANVIL_ENTRY_OPERATORAPI_H
