#ifndef ANVIL_ENTRY_CONFIGUPLOAD_H
#define ANVIL_ENTRY_CONFIGUPLOAD_H

#include <string_view>

#include "StrictJson.h"
#include "anvil_types.h"

namespace anvil::entry {

/// Reads version and environment of a configuration document and stores them with the document and its digest.
///
/// The whole document is validated by control, whose answer names the field and the rule.
/// \returns false and fills \p Problem if the document is not YAML or lacks one of the two.
bool readConfigUpload(std::string_view Document, wire::ApplyConfig &Into, JsonProblem &Problem);

} // namespace anvil::entry

#endif // ANVIL_ENTRY_CONFIGUPLOAD_H
