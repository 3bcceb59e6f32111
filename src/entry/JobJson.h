#ifndef ANVIL_ENTRY_JOBJSON_H
#define ANVIL_ENTRY_JOBJSON_H

#include <string_view>

#include "StrictJson.h"
#include "anvil_types.h"

namespace anvil::entry {

/// Reads the JSON of `POST /v1/jobs`.
/// \returns false and fills \p Problem with the first invalid field.
bool parseJob(std::string_view Text, wire::JobSpec &Spec, JsonProblem &Problem);

} // namespace anvil::entry

#endif // ANVIL_ENTRY_JOBJSON_H
