#include "anvil/net/WireCodec.h"

#include <memory>

#include <thrift/TBase.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "absl/strings/str_cat.h"

#include "anvil/net/Rpc.h"

namespace anvil::net {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

std::string encodeStruct(const apache::thrift::TBase &Value) {
  auto Buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> Protocol(Buffer);
  Value.write(&Protocol);
  return Buffer->getBufferAsString();
}

absl::Status decodeStruct(std::string_view Bytes,
                          apache::thrift::TBase &Value) {
  // TMemoryBuffer does not modify the bytes, but takes a mutable pointer.
  auto *Data = reinterpret_cast<uint8_t *>(const_cast<char *>(Bytes.data()));
  auto Buffer = std::make_shared<TMemoryBuffer>(
      Data, static_cast<uint32_t>(Bytes.size()));
  // The limits keep a corrupt length field from allocating more bytes than the
  // message has.
  const auto Limit = static_cast<int32_t>(Bytes.size());
  TCompactProtocolT<TMemoryBuffer> Protocol(Buffer, Limit, Limit);
  try {
    Value.read(&Protocol);
  } catch (const std::exception &Error) {
    return makeLayerError(
        absl::StatusCode::kInvalidArgument, RpcErrc::Malformed,
        absl::StrCat("message of ", Bytes.size(),
                     " bytes can't be decoded: ", Error.what()));
  }
  if (Buffer->available_read() != 0)
    return makeLayerError(absl::StatusCode::kInvalidArgument,
                          RpcErrc::Malformed,
                          absl::StrCat(Buffer->available_read(),
                                       " bytes after the end of the message"));
  return absl::OkStatus();
}

} // namespace anvil::net
