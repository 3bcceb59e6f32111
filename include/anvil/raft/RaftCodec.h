#ifndef ANVIL_RAFT_RAFTCODEC_H
#define ANVIL_RAFT_RAFTCODEC_H

#include <string>
#include <string_view>

#include "absl/status/statusor.h"

#include "anvil/raft/RaftMessages.h"
#include "anvil/raft/RaftTypes.h"

namespace anvil::raft {

/// First byte of every encoded value. Values of other versions are refused.
inline constexpr uint8_t CodecVersion = 1;

// Integers are LEB128 varints in their shortest form, byte strings have a
// length prefix, and flags are one byte, 0 or 1. The decoders refuse truncated
// input, trailing bytes and values out of range with RaftErrc::BadEncoding; the
// message names the field and the offset.

/// Returns the bytes of \p Message for the transport.
std::string encodeMessage(const RaftMessage &Message);

/// Returns the message that encodeMessage() encoded as \p Bytes.
absl::StatusOr<RaftMessage> decodeMessage(std::string_view Bytes);

/// Returns the bytes of \p Entry for the log on disk.
std::string encodeEntry(const LogEntry &Entry);

/// Returns the entry that encodeEntry() encoded as \p Bytes.
absl::StatusOr<LogEntry> decodeEntry(std::string_view Bytes);

/// Returns the bytes of \p Hard for the log on disk.
std::string encodeHardState(const HardState &Hard);

/// Returns the state that encodeHardState() encoded as \p Bytes.
absl::StatusOr<HardState> decodeHardState(std::string_view Bytes);

/// Returns the bytes of \p Meta for the header of a snapshot on disk.
std::string encodeSnapshotMeta(const SnapshotMeta &Meta);

/// Returns the value that encodeSnapshotMeta() encoded as \p Bytes.
absl::StatusOr<SnapshotMeta> decodeSnapshotMeta(std::string_view Bytes);

} // namespace anvil::raft

#endif // ANVIL_RAFT_RAFTCODEC_H
