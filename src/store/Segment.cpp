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
// magic, payload size (4), number (8), checksum (8)
constexpr size_t BlockHeaderBytes = 24;
constexpr size_t SegmentHeaderBytes = 12;
constexpr size_t RecordHeaderBytes = 5;
constexpr size_t ChecksumBytes = 8;

void putNumber(std::string &Out, uint64_t Value, int Bytes) {
  for (int I = 0; I < Bytes; ++I)
    Out.push_back(static_cast<char>((Value >> (8 * I)) & 0xff));
}

uint64_t getNumber(std::string_view Bytes, size_t Offset, int Count) {
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
    const size_t Size = getNumber(Payload, 1, 4);
    if (Payload.size() - RecordHeaderBytes < Size)
      return std::nullopt;
    Records.push_back({Kind, Payload.substr(RecordHeaderBytes, Size)});
    Payload.remove_prefix(RecordHeaderBytes + Size);
  }
  return Records;
}

// Returns the whole block at the offset, or nothing.
std::optional<Block> blockAt(std::string_view Content, size_t Offset,
                             size_t &End) {
  if (Content.size() - Offset < BlockHeaderBytes ||
      Content.substr(Offset, BlockMagic.size()) != BlockMagic)
    return std::nullopt;
  const size_t Size = getNumber(Content, Offset + 4, 4);
  if (Content.size() - Offset - BlockHeaderBytes < Size)
    return std::nullopt;
  const std::string_view Payload =
      Content.substr(Offset + BlockHeaderBytes, Size);
  Block Result;
  Result.m_Number = getNumber(Content, Offset + 8, 8);
  if (getNumber(Content, Offset + 16, 8) !=
      blockChecksum(Result.m_Number, Payload))
    return std::nullopt;
  std::optional<std::vector<Record>> Records = parseRecords(Payload);
  if (!Records)
    return std::nullopt;
  Result.m_Records = *std::move(Records);
  End = Offset + BlockHeaderBytes + Size;
  return Result;
}

bool hasLaterBlock(std::string_view Content, size_t From, uint64_t Number) {
  size_t End = 0;
  for (size_t At = Content.find(BlockMagic, From); At != std::string_view::npos;
       At = Content.find(BlockMagic, At + 1)) {
    const std::optional<Block> Found = blockAt(Content, At, End);
    if (Found && Found->m_Number > Number)
      return true;
  }
  return false;
}

absl::Status corrupt(const std::string &Name, size_t Offset,
                     std::string_view What) {
  return storeError(
      StoreErrc::Corrupt,
      absl::StrCat(Name, " at offset ", Offset, ": ", toAbsl(What)));
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

absl::Status fromFileSystem(const absl::Status &Status) {
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
  putNumber(Bytes, FormatVersion, 4);
  return Bytes;
}

void appendRecord(std::string &Payload, RecordKind Kind,
                  std::string_view Bytes) {
  Payload.push_back(static_cast<char>(Kind));
  putNumber(Payload, Bytes.size(), 4);
  Payload.append(Bytes);
}

std::string encodeBlock(uint64_t Number, std::string_view Payload) {
  std::string Bytes(BlockMagic);
  putNumber(Bytes, Payload.size(), 4);
  putNumber(Bytes, Number, 8);
  putNumber(Bytes, blockChecksum(Number, Payload), 8);
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
    return corrupt(Name, 0, "segment header is cut short");
  }
  if (Content.substr(0, SegmentMagic.size()) != SegmentMagic)
    return corrupt(Name, 0, "not a log segment");
  const uint64_t Version = getNumber(Content, SegmentMagic.size(), 4);
  if (Version != FormatVersion)
    return storeError(StoreErrc::Format,
                      absl::StrCat(Name, " has format version ", Version,
                                   ", expected ", FormatVersion));
  size_t Offset = SegmentHeaderBytes;
  Result.m_ValidBytes = Offset;
  while (Offset < Content.size()) {
    size_t End = 0;
    std::optional<Block> Next = blockAt(Content, Offset, End);
    if (!Next) {
      if (!Last || hasLaterBlock(Content, Offset, NextNumber))
        return corrupt(Name, Offset, "synced block is damaged");
      return Result;
    }
    if (NextNumber != 0 && Next->m_Number != NextNumber)
      return corrupt(
          Name, Offset,
          absl::StrCat("block ", Next->m_Number, ", expected ", NextNumber));
    NextNumber = Next->m_Number + 1;
    Result.m_Blocks.push_back(*std::move(Next));
    Offset = End;
    Result.m_ValidBytes = Offset;
  }
  return Result;
}

std::string encodeSnapshot(const raft::Snapshot &Snapshot) {
  std::string Body;
  const std::string Meta = raft::encodeSnapshotMeta(Snapshot.m_Meta);
  putNumber(Body, Meta.size(), 4);
  Body += Meta;
  if (Snapshot.m_Data)
    Body += *Snapshot.m_Data;
  std::string Bytes(SnapshotMagic);
  putNumber(Bytes, FormatVersion, 4);
  putNumber(Bytes, XXH64(Body.data(), Body.size(), 0), ChecksumBytes);
  return Bytes + Body;
}

absl::StatusOr<raft::Snapshot> decodeSnapshot(const std::string &Name,
                                              std::string_view Content) {
  constexpr size_t HeaderBytes = SegmentHeaderBytes + ChecksumBytes;
  if (Content.size() < HeaderBytes + 4 ||
      Content.substr(0, SnapshotMagic.size()) != SnapshotMagic)
    return corrupt(Name, 0, "not a snapshot");
  const uint64_t Version = getNumber(Content, SnapshotMagic.size(), 4);
  if (Version != FormatVersion)
    return storeError(StoreErrc::Format,
                      absl::StrCat(Name, " has format version ", Version,
                                   ", expected ", FormatVersion));
  const std::string_view Body = Content.substr(HeaderBytes);
  if (getNumber(Content, SegmentHeaderBytes, ChecksumBytes) !=
      XXH64(Body.data(), Body.size(), 0))
    return corrupt(Name, HeaderBytes, "checksum mismatch");
  const size_t MetaSize = getNumber(Body, 0, 4);
  if (MetaSize > Body.size() - 4)
    return corrupt(Name, HeaderBytes, "size of the meta data is out of range");
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
