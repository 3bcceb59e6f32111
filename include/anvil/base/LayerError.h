#ifndef ANVIL_BASE_LAYERERROR_H
#define ANVIL_BASE_LAYERERROR_H

#include <optional>
#include <string>
#include <string_view>

#include "absl/status/status.h"

#include "anvil/base/Port.h"

namespace anvil {

/// Names the error codes of one layer. Each layer specialises this for its code
/// enum:
///
///     template <> struct LayerErrorTraits<StoreErrc> {
///       static constexpr std::string_view Layer = "store";
///     };
template <typename Code> struct LayerErrorTraits;

namespace internal {
void setLayerCode(absl::Status &Status, std::string_view Layer, int Code);
std::optional<int> layerCode(const absl::Status &Status,
                             std::string_view Layer);
} // namespace internal

/// Returns a status that carries \p LayerCode of its layer besides the general
/// \p Kind.
///
/// The message is prefixed with the name of the layer.
template <typename Code>
absl::Status makeLayerError(absl::StatusCode Kind, Code LayerCode,
                            std::string_view Message) {
  constexpr std::string_view Layer = LayerErrorTraits<Code>::Layer;
  absl::Status Status(Kind,
                      toAbsl(std::string(Layer) + ": " + std::string(Message)));
  internal::setLayerCode(Status, Layer, static_cast<int>(LayerCode));
  return Status;
}

/// Returns the code that the layer of \p Code attached, or nothing if the
/// status comes from another layer.
template <typename Code>
std::optional<Code> layerErrorOf(const absl::Status &Status) {
  std::optional<int> Raw =
      internal::layerCode(Status, LayerErrorTraits<Code>::Layer);
  if (!Raw)
    return std::nullopt;
  return static_cast<Code>(*Raw);
}

} // namespace anvil

#endif // ANVIL_BASE_LAYERERROR_H
