#ifndef ANVIL_BASE_PORT_H
#define ANVIL_BASE_PORT_H

#include <string_view>

#include "absl/strings/string_view.h"

namespace anvil {

/// Converts for Abseil, whose string_view in Debian's build is a type of its
/// own.
inline absl::string_view toAbsl(std::string_view Text) {
  return {Text.data(), Text.size()};
}

/// Converts a view that Abseil returned.
inline std::string_view fromAbsl(absl::string_view Text) {
  return {Text.data(), Text.size()};
}

} // namespace anvil

#endif // ANVIL_BASE_PORT_H
