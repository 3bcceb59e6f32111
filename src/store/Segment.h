#ifndef ANVIL_SRC_STORE_SEGMENT_H
#define ANVIL_SRC_STORE_SEGMENT_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

#include "anvil/raft/RaftTypes.h"
#include "anvil/store/LogStore.h"

namespace anvil::store::internal {

/// Format version of segments and snapshots.
constexpr uint32_t FormatVersion = 1;

/// Kinds of records inside a block.
enum class RecordKind : uint8_t {
  Entry = 1,     ///< A log entry; replaces the entries from its index on.
  HardState = 2, ///< Election state.
  Truncate = 3,  ///< Removes the entries from an index on.
  Reset = 4      ///< Removes all entries, which a snapshot replaces.
};

/// One decoded record.
struct Record {
  RecordKind m_Kind = RecordKind::Entry;
  std::string_view m_Payload; ///< Points into the content of the segment.
};

/// Unit of one write: recovery uses either all its records or none.
struct Block {
  uint64_t m_Number = 0; ///< Consecutive over all segments of the store.
  std::vector<Record> m_Records;
};

/// Content of one segment file.
struct SegmentContent {
  std::vector<Block> m_Blocks;
  uint64_t m_ValidBytes = 0; ///< Offset of the end of the last complete block.
};

/// Returns the header of a segment.
std::string segmentHeader();

/// Appends one record to the payload of a block.
void appendRecord(std::string &Payload, RecordKind Kind,
                  std::string_view Bytes);

/// Returns the bytes of a block.
std::string encodeBlock(uint64_t Number, std::string_view Payload);

/// Parses a segment whose first block has the number \p NextNumber, or any
/// number if that is 0.
///
/// Bytes after the last complete block are an incomplete write if the segment
/// is the \p Last one and no block with a later number follows them, because a
/// block is written only after the previous one was synced. Otherwise they are
/// damage (StoreErrc::Corrupt with file and offset).
absl::StatusOr<SegmentContent> parseSegment(const std::string &Name,
                                            std::string_view Content,
                                            uint64_t NextNumber, bool Last);

/// Returns the content of a snapshot file.
std::string encodeSnapshot(const raft::Snapshot &Snapshot);

/// Returns the snapshot in the content of a file, or StoreErrc::Corrupt or
/// StoreErrc::Format.
absl::StatusOr<raft::Snapshot> decodeSnapshot(const std::string &Name,
                                              std::string_view Content);

/// Returns an error with \p Code and the status code that belongs to it.
absl::Status storeError(StoreErrc Code, std::string_view Text);

/// Converts an error of the file system to one with a StoreErrc; OK stays OK.
absl::Status toStoreError(const absl::Status &Status);

} // namespace anvil::store::internal

#endif // ANVIL_SRC_STORE_SEGMENT_H
