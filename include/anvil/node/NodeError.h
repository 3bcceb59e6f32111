#ifndef ANVIL_NODE_NODEERROR_H
#define ANVIL_NODE_NODEERROR_H

#include <string_view>

#include "anvil/base/LayerError.h"

namespace anvil::node {

/// Error codes of this layer.
enum class NodeErrc { InvalidOption = 1 };

} // namespace anvil::node

template <> struct anvil::LayerErrorTraits<anvil::node::NodeErrc> {
  static constexpr std::string_view Layer = "node";
};

#endif // ANVIL_NODE_NODEERROR_H
