#ifndef ANVIL_NET_WIRECODEC_H
#define ANVIL_NET_WIRECODEC_H

#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace apache::thrift {
class TBase;
}

namespace anvil::net {

/// Encodes a Thrift struct with the compact protocol.
std::string encodeStruct(const apache::thrift::TBase &Value);

/// Decodes a Thrift struct from the compact protocol.
/// \returns kInvalidArgument (RpcErrc::Malformed) if the bytes are not exactly
/// one complete struct.
absl::Status decodeStruct(std::string_view Bytes, apache::thrift::TBase &Value);

/// Decodes a Thrift struct of type \p T. Fails like decodeStruct().
template <typename T> absl::StatusOr<T> decodeAs(std::string_view Bytes) {
  T Value;
  absl::Status Status = decodeStruct(Bytes, Value);
  if (!Status.ok())
    return Status;
  return Value;
}

} // namespace anvil::net

#endif // ANVIL_NET_WIRECODEC_H
