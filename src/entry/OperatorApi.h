#ifndef ANVIL_ENTRY_OPERATORAPI_H
#define ANVIL_ENTRY_OPERATORAPI_H

#include <string_view>
#include <variant>

#include "absl/status/status.h"

#include "TimelineQuery.h"
#include "anvil/net/Http.h"
#include "anvil_types.h"

namespace anvil::entry {

/// A command that control is asked to commit.
struct CommandCall {
  wire::Command m_Command;
  /// HTTP status of the response if control accepts the command.
  int m_OkStatus = 200;
};

/// The result of reading an operator request: a call to control, or a response
/// that is sent without one.
using OperatorCall = std::variant<CommandCall, wire::QueryRequest,
                                  TimelineQuery, net::HttpResponse>;

/// Converts a request for a path under `/v1/` into a command or a query.
///
/// \p TraceId identifies the request. It also replaces an idempotency key that
/// the caller did not send.
/// \returns a 4xx response if the request is not valid; for an invalid field it
/// names the field.
OperatorCall readOperatorRequest(const net::HttpRequest &Request,
                                 std::string_view TraceId, int64_t NowMicros);

/// Returns the response for the result of a command.
net::HttpResponse renderCommandResult(const wire::CommandResult &Result,
                                      int OkStatus);

/// Returns the response for the result of a query.
net::HttpResponse renderQueryReply(const wire::QueryReply &Reply);

/// Returns the response for a call to control that failed. A failed query
/// always counts as not run; a failed command only if it was not sent.
net::HttpResponse renderControlFailure(const absl::Status &Status,
                                       bool IsCommand);

} // namespace anvil::entry

#endif // ANVIL_ENTRY_OPERATORAPI_H
