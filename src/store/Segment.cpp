#include "Segment.h"

#include <array>
#include <cstring>
#include <optional>

#include <xxhash.h>

#include "absl/strings/str_cat.h"

#include "anvil/base/Port.h"
#include "anvil/raft/RaftCodec.h"

namespace anvil::store::internal {

namespace {

constexpr std::string_view SegmentMagic = "ANVILLOG";
constexpr std::string_view SnapshotMagic = "ANVILSNP";
constexpr std::string_view BlockMagic = "AVBK";
// Block header: magic (4 bytes), payload size (4), number (8), checksum (8).
constexpr size_t BlockHeaderBytes = 24;
constexpr size_t SegmentHeaderBytes = 12;
constexpr size_t RecordHeaderBytes = 5;
constexpr size_t ChecksumBytes = 8;

void appendLittleEndian(std::string &Out, uint64_t Value, int Bytes) {
  for (int I = 0; I < Bytes; ++I)
    Out.push_back(static_cast<char>((Value >> (8 * I)) & 0xff));
}

uint64_t readLittleEndian(std::string_view Bytes, size_t Offset, int Count) {
  uint64_t Value = 0;
  for (int I = 0; I < Count; ++I)
    Value |=
        static_cast<uint64_t>(static_cast<unsigned char>(Bytes[Offset + I]))
        << (8 * I);
  return Value;
}

uint64_t blockChecksum(uint64_t Number, std::string_view Payload) {
  return XXH64(Payload.data(), Payload.size(), Number);
}

std::optional<std::vector<Record>> parseRecords(std::string_view Payload) {
  std::vector<Record> Records;
  while (!Payload.empty()) {
    if (Payload.size() < RecordHeaderBytes)
      return std::nullopt;
    const auto Kind = static_cast<RecordKind>(Payload[0]);
    const size_t Size = readLittleEndian(Payload, 1, 4);
    if (Payload.size() - RecordHeaderBytes < Size)
      return std::nullopt;
    Records.push_back({Kind, Payload.substr(RecordHeaderBytes, Size)});
    Payload.remove_prefix(RecordHeaderBytes + Size);
  }
  return Records;
}

// Returns the block at the offset and sets End to its end, or returns nothing
// if the block is incomplete or damaged.
std::optional<Block> parseBlock(std::string_view Content, size_t Offset,
                                size_t &End) {
  if (Content.size() - Offset < BlockHeaderBytes ||
      Content.substr(Offset, BlockMagic.size()) != BlockMagic)
    return std::nullopt;
  const size_t Size = readLittleEndian(Content, Offset + 4, 4);
  if (Content.size() - Offset - BlockHeaderBytes < Size)
    return std::nullopt;
  const std::string_view Payload =
      Content.substr(Offset + BlockHeaderBytes, Size);
  Block Result;
  Result.m_Number = readLittleEndian(Content, Offset + 8, 8);
  if (readLittleEndian(Content, Offset + 16, 8) !=
      blockChecksum(Result.m_Number, Payload))
    return std::nullopt;
  std::optional<std::vector<Record>> Records = parseRecords(Payload);
  if (!Records)
    return std::nullopt;
  Result.m_Records = *std::move(Records);
  End = Offset + BlockHeaderBytes + Size;
  return Result;
}

bool hasLaterBlock(std::string_view Content, size_t Start, uint64_t Number) {
  size_t End = 0;
  for (size_t Position = Content.find(BlockMagic, Start);
       Position != std::string_view::npos;
       Position = Content.find(BlockMagic, Position + 1)) {
    const std::optional<Block> Found = parseBlock(Content, Position, End);
    if (Found && Found->m_Number > Number)
      return true;
  }
  return false;
}

absl::Status corrupt(const std::string &Name, size_t Offset,
                     std::string_view Reason) {
  return storeError(
      StoreErrc::Corrupt,
      absl::StrCat(Name, " at offset ", Offset, ": ", toAbsl(Reason)));
}

} // namespace

absl::Status storeError(StoreErrc Code, std::string_view Text) {
  absl::StatusCode Kind = absl::StatusCode::kInternal;
  if (Code == StoreErrc::Full)
    Kind = absl::StatusCode::kResourceExhausted;
  else if (Code == StoreErrc::Corrupt || Code == StoreErrc::Format)
    Kind = absl::StatusCode::kDataLoss;
  else if (Code == StoreErrc::Locked || Code == StoreErrc::Failed)
    Kind = absl::StatusCode::kFailedPrecondition;
  return makeLayerError(Kind, Code, Text);
}

absl::Status toStoreError(const absl::Status &Status) {
  if (Status.ok())
    return Status;
  const StoreErrc Code =
      Status.code() == absl::StatusCode::kResourceExhausted ? StoreErrc::Full
      : Status.code() == absl::StatusCode::kFailedPrecondition
          ? StoreErrc::Locked
          : StoreErrc::Io;
  return storeError(Code, fromAbsl(Status.message()));
}

std::string segmentHeader() {
  std::string Bytes(SegmentMagic);
  appendLittleEndian(Bytes, FormatVersion, 4);
  return Bytes;
}

void appendRecord(std::string &Payload, RecordKind Kind,
                  std::string_view Bytes) {
  Payload.push_back(static_cast<char>(Kind));
  appendLittleEndian(Payload, Bytes.size(), 4);
  Payload.append(Bytes);
}

std::string encodeBlock(uint64_t Number, std::string_view Payload) {
  std::string Bytes(BlockMagic);
  appendLittleEndian(Bytes, Payload.size(), 4);
  appendLittleEndian(Bytes, Number, 8);
  appendLittleEndian(Bytes, blockChecksum(Number, Payload), 8);
  Bytes.append(Payload);
  return Bytes;
}

absl::StatusOr<SegmentContent> parseSegment(const std::string &Name,
                                            std::string_view Content,
                                            uint64_t NextNumber, bool Last) {
  SegmentContent Result;
  if (Content.size() < SegmentHeaderBytes) {
    if (Last)
      return Result;
    return corrupt(Name, 0, "segment header is truncated");
  }
  if (Content.substr(0, SegmentMagic.size()) != SegmentMagic)
    return corrupt(Name, 0, "not a log segment");
  const uint64_t Version = readLittleEndian(Content, SegmentMagic.size(), 4);
  if (Version != FormatVersion)
    return storeError(StoreErrc::Format,
                      absl::StrCat(Name, " has format version ", Version,
                                   ", expected ", FormatVersion));
  size_t Offset = SegmentHeaderBytes;
  Result.m_ValidBytes = Offset;
  while (Offset < Content.size()) {
    size_t End = 0;
    std::optional<Block> ParsedBlock = parseBlock(Content, Offset, End);
    if (!ParsedBlock) {
      if (!Last || hasLaterBlock(Content, Offset, NextNumber))
        return corrupt(Name, Offset, "synced block is damaged");
      return Result;
    }
    if (NextNumber != 0 && ParsedBlock->m_Number != NextNumber)
      return corrupt(Name, Offset,
                     absl::StrCat("block ", ParsedBlock->m_Number,
                                  ", expected ", NextNumber));
    NextNumber = ParsedBlock->m_Number + 1;
    Result.m_Blocks.push_back(*std::move(ParsedBlock));
    Offset = End;
    Result.m_ValidBytes = Offset;
  }
  return Result;
}

std::string encodeSnapshot(const raft::Snapshot &Snapshot) {
  std::string Body;
  const std::string Meta = raft::encodeSnapshotMeta(Snapshot.m_Meta);
  appendLittleEndian(Body, Meta.size(), 4);
  Body += Meta;
  if (Snapshot.m_Data)
    Body += *Snapshot.m_Data;
  std::string Bytes(SnapshotMagic);
  appendLittleEndian(Bytes, FormatVersion, 4);
  appendLittleEndian(Bytes, XXH64(Body.data(), Body.size(), 0), ChecksumBytes);
  return Bytes + Body;
}

absl::StatusOr<raft::Snapshot> decodeSnapshot(const std::string &Name,
                                              std::string_view Content) {
  constexpr size_t HeaderBytes = SegmentHeaderBytes + ChecksumBytes;
  if (Content.size() < HeaderBytes + 4 ||
      Content.substr(0, SnapshotMagic.size()) != SnapshotMagic)
    return corrupt(Name, 0, "not a snapshot");
  const uint64_t Version = readLittleEndian(Content, SnapshotMagic.size(), 4);
  if (Version != FormatVersion)
    return storeError(StoreErrc::Format,
                      absl::StrCat(Name, " has format version ", Version,
                                   ", expected ", FormatVersion));
  const std::string_view Body = Content.substr(HeaderBytes);
  if (readLittleEndian(Content, SegmentHeaderBytes, ChecksumBytes) !=
      XXH64(Body.data(), Body.size(), 0))
    return corrupt(Name, HeaderBytes, "checksum mismatch");
  const size_t MetaSize = readLittleEndian(Body, 0, 4);
  if (MetaSize > Body.size() - 4)
    return corrupt(Name, HeaderBytes, "size of the metadata is out of range");
  absl::StatusOr<raft::SnapshotMeta> Meta =
      raft::decodeSnapshotMeta(Body.substr(4, MetaSize));
  if (!Meta.ok())
    return corrupt(Name, HeaderBytes + 4, fromAbsl(Meta.status().message()));
  raft::Snapshot Result;
  Result.m_Meta = *std::move(Meta);
  Result.m_Data =
      std::make_shared<const std::string>(Body.substr(4 + MetaSize));
  return Result;
}

} // namespace anvil::store::internal
