#ifndef ANVIL_ENTRY_SERVICEREQUEST_H
#define ANVIL_ENTRY_SERVICEREQUEST_H

#include <string>
#include <variant>

#include "anvil/net/Http.h"
#include "anvil/route/RouterTypes.h"

namespace anvil::entry {

/// Checks `X-Request-Id`.
/// \returns the caller's id, or an empty text if there is none; a response if
/// it is not valid.
std::variant<std::string, net::HttpResponse>
readRequestId(const net::HttpRequest &Request);

/// Turns a request for `/services/{service}/{path}` into an event; m_Id and
/// m_TraceId are left to the caller. \returns a response that names the field
/// if the request is not valid.
std::variant<route::RequestArrived, net::HttpResponse>
readServiceRequest(net::HttpRequest Request);

/// Returns the response for an answered request.
net::HttpResponse renderAnswer(route::AnswerAction Answer);

/// Returns the response for a refused request.
net::HttpResponse renderRefusal(const route::RefuseAction &Refusal);

} // namespace anvil::entry

#endif // ANVIL_ENTRY_SERVICEREQUEST_H
