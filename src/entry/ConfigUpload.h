#ifndef ANVIL_ENTRY_CONFIGUPLOAD_H
#define ANVIL_ENTRY_CONFIGUPLOAD_H

#include <string_view>

#include "StrictJson.h"
#include "anvil_types.h"

namespace anvil::entry {

/// Validates a configuration document and stores it with its version,
/// environment and digest in \p Command.
/// \returns false and fills \p Problem with the field of the first error and
/// the text of all errors.
bool readConfigUpload(std::string_view Document, wire::ApplyConfig &Command,
                      JsonProblem &Problem);

} // namespace anvil::entry

#endif // ANVIL_ENTRY_CONFIGUPLOAD_H
