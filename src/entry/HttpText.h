#ifndef ANVIL_ENTRY_HTTPTEXT_H
#define ANVIL_ENTRY_HTTPTEXT_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "anvil/base/Time.h"
#include "anvil/net/Http.h"
#include "anvil_types.h"

namespace anvil::entry {

inline constexpr std::string_view OutcomeField = "Anvil-Outcome";
inline constexpr std::string_view RequestIdField = "X-Request-Id";

/// Returns "completed", "not-run" or "unknown".
std::string_view outcomeName(wire::Outcome::type Outcome);

/// Adds the outcome of a request to its response.
void setOutcome(net::HttpResponse &Response, wire::Outcome::type Outcome);

/// Adds Retry-After in whole seconds, rounded up.
void setRetryAfter(net::HttpResponse &Response, Duration After);

/// Splits a path at its slashes: "/a/b" is {"a", "b"}, "/a/"
/// is {"a", ""}.
std::vector<std::string_view> splitPath(std::string_view Path);

/// Returns true for 1 to 64 letters, digits, '-', '_' or '.'.
bool isName(std::string_view Text);

/// Returns true for 1 to \p MaxLength visible ASCII characters.
bool isVisibleAscii(std::string_view Text, size_t MaxLength);

/// Returns the value of \p Name in a query such as "a=1&b=2", or
/// std::nullopt if there is none. Values are not percent-decoded.
std::optional<std::string> queryValue(std::string_view Query,
                                      std::string_view Name);

/// Stores the value of a header that may appear once in \p Value, or an empty
/// text if it is absent.
/// \returns false if the header appears more than once.
bool readSingleField(const net::HttpRequest &Request, std::string_view Name,
                     std::string &Value);

} // namespace anvil::entry

#endif // ANVIL_ENTRY_HTTPTEXT_H
