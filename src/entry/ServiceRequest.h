#ifndef ANVIL_ENTRY_SERVICEREQUEST_H
#define ANVIL_ENTRY_SERVICEREQUEST_H

#include <string>
#include <variant>

#include "anvil/net/Http.h"
#include "anvil/route/RouterTypes.h"

namespace anvil::entry {

/// Reads and validates `X-Request-Id`.
/// \returns the caller's id, an empty text if there is none, or a 400 response
/// if it is not valid.
std::variant<std::string, net::HttpResponse>
readRequestId(const net::HttpRequest &Request);

/// Converts a request for `/services/{service}/{path}` into an event, in which
/// the caller sets m_Id and m_TraceId.
/// \returns a 400 response that names the field if the request is not valid.
std::variant<route::RequestArrived, net::HttpResponse>
readServiceRequest(net::HttpRequest Request);

/// Returns the response for a request that completed or whose outcome is
/// unknown.
net::HttpResponse renderAnswer(route::AnswerAction Answer);

/// Returns the response for a request that was refused and has not run.
net::HttpResponse renderRefusal(const route::RefuseAction &Refusal);

} // namespace anvil::entry

#endif // ANVIL_ENTRY_SERVICEREQUEST_H
