#include "anvil/base/LayerError.h"

#include "absl/strings/cord.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include "anvil/base/Port.h"

namespace anvil::internal {

namespace {
std::string payloadUrl(std::string_view Layer) {
  return absl::StrCat("anvil.layer/", toAbsl(Layer));
}
} // namespace

void setLayerCode(absl::Status &Status, std::string_view Layer, int Code) {
  Status.SetPayload(payloadUrl(Layer), absl::Cord(absl::StrCat(Code)));
}

std::optional<int> layerCode(const absl::Status &Status,
                             std::string_view Layer) {
  absl::optional<absl::Cord> Payload = Status.GetPayload(payloadUrl(Layer));
  if (!Payload)
    return std::nullopt;
  int Code = 0;
  if (!absl::SimpleAtoi(std::string(*Payload), &Code))
    return std::nullopt;
  return Code;
}

} // namespace anvil::internal
