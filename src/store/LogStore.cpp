#include "anvil/store/LogStore.h"

#include <deque>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

#include "Segment.h"
#include "anvil/base/Port.h"
#include "anvil/raft/RaftCodec.h"

namespace anvil::store {

using internal::Block;
using internal::Record;
using internal::RecordKind;
using internal::SegmentContent;
using internal::storeError;
using internal::toStoreError;

namespace {

constexpr absl::string_view SegmentPrefix = "log-";
constexpr absl::string_view SnapshotPrefix = "snapshot-";
constexpr absl::string_view TemporarySuffix = ".tmp";
/// Compaction does not close a segment that is smaller than this, so that
/// frequent snapshots don't leave many files.
constexpr uint64_t MinClosedBytes = 1u << 20;

std::string numberedName(absl::string_view Prefix, uint64_t Number) {
  return absl::StrCat(Prefix, absl::Hex(Number, absl::kZeroPad16));
}

} // namespace

struct LogStore::Impl {
  struct SegmentInfo {
    std::string m_Name;
    raft::LogIndex m_LastIndex =
        0; ///< Highest index of an entry in the segment; 0 if none.
  };

  Impl(StoreOptions Options, FileSystem &Files)
      : m_Options(Options), m_Files(Files) {}

  absl::Status recover();
  absl::Status loadSnapshots(const std::vector<std::string> &Names);
  absl::Status loadSegment(const std::string &Name, bool Last);
  absl::Status replay(const std::string &Name, const Record &LogRecord,
                      SegmentInfo &Info);
  void appendRecovered(raft::LogEntry Entry);
  absl::Status reconcileSnapshotAndLog();
  absl::Status syncFile(const std::string &Name);
  absl::Status startSegment();
  absl::Status writeBlock(std::string_view Payload, raft::LogIndex LastIndex);
  absl::Status encodeBatch(const StoreBatch &Batch, std::string &Payload,
                           raft::LogIndex &LastIndex);
  absl::Status saveSnapshot(const raft::Snapshot &Snapshot);
  absl::Status recordFailure(const absl::Status &Status);

  StoreOptions m_Options;
  FileSystem &m_Files;
  std::unique_ptr<DirectoryLock> m_Lock;
  raft::RaftPersistentState m_State;
  bool m_Empty = true;
  std::deque<SegmentInfo> m_Segments;
  std::unique_ptr<AppendFile> m_ActiveSegment;
  uint64_t m_ActiveBytes = 0;
  uint64_t m_NextBlockNumber = 1;
  raft::HardState m_Hard;
  bool m_Failed = false;
  StoreCounters m_Counters;
};

// After a failed write or sync the state of the disk is unknown, so the store
// refuses all further calls.
absl::Status LogStore::Impl::recordFailure(const absl::Status &Status) {
  if (!Status.ok())
    m_Failed = true;
  return toStoreError(Status);
}

absl::Status LogStore::Impl::recover() {
  absl::StatusOr<std::unique_ptr<DirectoryLock>> Lock = m_Files.lock();
  if (!Lock.ok())
    return toStoreError(Lock.status());
  m_Lock = *std::move(Lock);
  absl::StatusOr<std::vector<std::string>> Names = m_Files.list();
  if (!Names.ok())
    return toStoreError(Names.status());
  if (absl::Status Status = loadSnapshots(*Names); !Status.ok())
    return Status;
  std::vector<std::string> Segments;
  for (const std::string &Name : *Names)
    if (absl::StartsWith(Name, SegmentPrefix))
      Segments.push_back(Name);
  for (size_t I = 0; I < Segments.size(); ++I)
    if (absl::Status Status =
            loadSegment(Segments[I], I + 1 == Segments.size());
        !Status.ok())
      return Status;
  if (absl::Status Status = reconcileSnapshotAndLog(); !Status.ok())
    return Status;
  m_State.m_Hard = m_Hard;
  m_Empty = m_State.m_Entries.empty() &&
            m_State.m_Snapshot.m_Meta.m_Index == 0 &&
            m_Hard == raft::HardState{};
  return startSegment();
}

absl::Status
LogStore::Impl::loadSnapshots(const std::vector<std::string> &Names) {
  std::string Newest;
  for (const std::string &Name : Names) {
    if (absl::EndsWith(Name, TemporarySuffix)) {
      if (absl::Status Status = m_Files.remove(Name); !Status.ok())
        return toStoreError(Status);
    } else if (absl::StartsWith(Name, SnapshotPrefix)) {
      Newest = Name;
    }
  }
  if (Newest.empty())
    return absl::OkStatus();
  absl::StatusOr<std::string> Content = m_Files.read(Newest);
  if (!Content.ok())
    return toStoreError(Content.status());
  // A snapshot file is renamed to its final name only after it was synced, so
  // damage is never an incomplete write.
  absl::StatusOr<raft::Snapshot> Snapshot =
      internal::decodeSnapshot(Newest, *Content);
  if (!Snapshot.ok())
    return Snapshot.status();
  m_State.m_Snapshot = *std::move(Snapshot);
  return absl::OkStatus();
}

absl::Status LogStore::Impl::loadSegment(const std::string &Name, bool Last) {
  absl::StatusOr<std::string> Content = m_Files.read(Name);
  if (!Content.ok())
    return toStoreError(Content.status());
  const uint64_t Expected = m_Segments.empty() ? 0 : m_NextBlockNumber;
  absl::StatusOr<SegmentContent> Segment =
      internal::parseSegment(Name, *Content, Expected, Last);
  if (!Segment.ok())
    return Segment.status();
  SegmentInfo Info{Name, 0};
  for (const Block &LogBlock : Segment->m_Blocks) {
    m_NextBlockNumber = LogBlock.m_Number + 1;
    for (const Record &LogRecord : LogBlock.m_Records)
      if (absl::Status Status = replay(Name, LogRecord, Info); !Status.ok())
        return Status;
  }
  if (Segment->m_ValidBytes < Content->size()) {
    m_Counters.m_TornBytesDropped +=
        static_cast<int64_t>(Content->size() - Segment->m_ValidBytes);
    if (absl::Status Status = m_Files.truncate(Name, Segment->m_ValidBytes);
        !Status.ok())
      return toStoreError(Status);
  }
  if (Segment->m_ValidBytes == 0)
    return toStoreError(m_Files.remove(Name));
  m_Segments.push_back(std::move(Info));
  return Last ? syncFile(Name) : absl::OkStatus();
}

// A process that ends between a write and its sync leaves bytes that only the
// kernel's cache holds. Recovered entries must be synced, because the replica
// counts them as durable.
absl::Status LogStore::Impl::syncFile(const std::string &Name) {
  absl::StatusOr<std::unique_ptr<AppendFile>> File = m_Files.openAppend(Name);
  if (!File.ok())
    return toStoreError(File.status());
  return toStoreError((*File)->sync());
}

absl::Status LogStore::Impl::replay(const std::string &Name,
                                    const Record &LogRecord,
                                    SegmentInfo &Info) {
  if (LogRecord.m_Kind == RecordKind::Entry ||
      LogRecord.m_Kind == RecordKind::Truncate) {
    absl::StatusOr<raft::LogEntry> Entry =
        raft::decodeEntry(LogRecord.m_Payload);
    if (!Entry.ok())
      return storeError(StoreErrc::Corrupt,
                        absl::StrCat(Name, ": ", Entry.status().message()));
    Info.m_LastIndex = std::max(Info.m_LastIndex, Entry->m_Index);
    if (LogRecord.m_Kind == RecordKind::Entry) {
      appendRecovered(*std::move(Entry));
      return absl::OkStatus();
    }
    while (!m_State.m_Entries.empty() &&
           m_State.m_Entries.back().m_Index >= Entry->m_Index)
      m_State.m_Entries.pop_back();
    return absl::OkStatus();
  }
  if (LogRecord.m_Kind == RecordKind::HardState) {
    absl::StatusOr<raft::HardState> Hard =
        raft::decodeHardState(LogRecord.m_Payload);
    if (!Hard.ok())
      return storeError(StoreErrc::Corrupt,
                        absl::StrCat(Name, ": ", Hard.status().message()));
    m_Hard = *Hard;
    return absl::OkStatus();
  }
  if (LogRecord.m_Kind == RecordKind::Reset) {
    m_State.m_Entries.clear();
    return absl::OkStatus();
  }
  return storeError(StoreErrc::Format,
                    absl::StrCat(Name, ": unknown record kind ",
                                 static_cast<int>(LogRecord.m_Kind)));
}

void LogStore::Impl::appendRecovered(raft::LogEntry Entry) {
  std::vector<raft::LogEntry> &Entries = m_State.m_Entries;
  while (!Entries.empty() && Entries.back().m_Index >= Entry.m_Index)
    Entries.pop_back();
  Entries.push_back(std::move(Entry));
}

// A crash between saving an installed snapshot and recording it in the log
// leaves entries that conflict with the snapshot. They were never acknowledged
// to the leader together with the snapshot and are dropped.
absl::Status LogStore::Impl::reconcileSnapshotAndLog() {
  std::vector<raft::LogEntry> &Entries = m_State.m_Entries;
  const raft::SnapshotMeta &Meta = m_State.m_Snapshot.m_Meta;
  if (!Entries.empty() && Meta.m_Index != 0) {
    const raft::LogIndex First = Entries.front().m_Index;
    const raft::LogIndex Last = Entries.back().m_Index;
    const bool Overlaps = First <= Meta.m_Index && Meta.m_Index <= Last;
    const bool Conflicts =
        Overlaps && Entries[Meta.m_Index - First].m_Term != Meta.m_Term;
    if (Last < Meta.m_Index || Conflicts)
      Entries.clear();
  }
  if (!Entries.empty() && Entries.front().m_Index > Meta.m_Index + 1)
    return storeError(StoreErrc::Corrupt,
                      absl::StrCat("entries ", Meta.m_Index + 1, " to ",
                                   Entries.front().m_Index - 1,
                                   " are missing"));
  for (size_t I = 1; I < Entries.size(); ++I)
    if (Entries[I].m_Index != Entries[I - 1].m_Index + 1)
      return storeError(
          StoreErrc::Corrupt,
          absl::StrCat("entry ", Entries[I - 1].m_Index + 1, " is missing"));
  return absl::OkStatus();
}

// Each segment starts with the election state, so that older segments are not
// needed for it and can be deleted.
absl::Status LogStore::Impl::startSegment() {
  const std::string Name = numberedName(SegmentPrefix, m_NextBlockNumber);
  // A segment without a block of its own would get the same name again.
  if (!m_Segments.empty() && m_Segments.back().m_Name == Name) {
    if (absl::Status Status = m_Files.remove(Name); !Status.ok())
      return recordFailure(Status);
    m_Segments.pop_back();
  }
  absl::StatusOr<std::unique_ptr<AppendFile>> File = m_Files.openAppend(Name);
  if (!File.ok())
    return recordFailure(File.status());
  m_ActiveSegment = *std::move(File);
  m_ActiveBytes = 0;
  m_Segments.push_back({Name, 0});
  if (absl::Status Status = m_ActiveSegment->append(internal::segmentHeader());
      !Status.ok())
    return recordFailure(Status);
  std::string Payload;
  internal::appendRecord(Payload, RecordKind::HardState,
                         raft::encodeHardState(m_Hard));
  if (absl::Status Status = writeBlock(Payload, 0); !Status.ok())
    return Status;
  return recordFailure(m_Files.syncDirectory());
}

absl::Status LogStore::Impl::writeBlock(std::string_view Payload,
                                        raft::LogIndex LastIndex) {
  const std::string Bytes = internal::encodeBlock(m_NextBlockNumber++, Payload);
  if (absl::Status Status = m_ActiveSegment->append(Bytes); !Status.ok())
    return recordFailure(Status);
  if (absl::Status Status = m_ActiveSegment->sync(); !Status.ok())
    return recordFailure(Status);
  ++m_Counters.m_Syncs;
  m_Counters.m_Bytes += static_cast<int64_t>(Bytes.size());
  m_ActiveBytes += Bytes.size();
  m_Segments.back().m_LastIndex =
      std::max(m_Segments.back().m_LastIndex, LastIndex);
  return absl::OkStatus();
}

absl::Status LogStore::Impl::encodeBatch(const StoreBatch &Batch,
                                         std::string &Payload,
                                         raft::LogIndex &LastIndex) {
  if (Batch.m_Install) {
    // The election state is written first, because a replica can't start from a
    // snapshot whose term is above its recorded term.
    if (Batch.m_Hard)
      internal::appendRecord(Payload, RecordKind::HardState,
                             raft::encodeHardState(*Batch.m_Hard));
    if (!Payload.empty())
      if (absl::Status Status =
              writeBlock(std::exchange(Payload, {}), LastIndex);
          !Status.ok())
        return Status;
    if (absl::Status Status = saveSnapshot(*Batch.m_Install); !Status.ok())
      return Status;
    if (!Batch.m_KeepSuffix)
      internal::appendRecord(Payload, RecordKind::Reset, {});
  }
  if (Batch.m_TruncateFrom) {
    raft::LogEntry TruncateMarker;
    TruncateMarker.m_Index = *Batch.m_TruncateFrom;
    internal::appendRecord(Payload, RecordKind::Truncate,
                           raft::encodeEntry(TruncateMarker));
  }
  for (const raft::LogEntry &Entry : Batch.m_Append) {
    internal::appendRecord(Payload, RecordKind::Entry,
                           raft::encodeEntry(Entry));
    LastIndex = std::max(LastIndex, Entry.m_Index);
    ++m_Counters.m_Entries;
  }
  if (Batch.m_Hard) {
    m_Hard = *Batch.m_Hard;
    internal::appendRecord(Payload, RecordKind::HardState,
                           raft::encodeHardState(m_Hard));
  }
  return absl::OkStatus();
}

absl::Status LogStore::Impl::saveSnapshot(const raft::Snapshot &Snapshot) {
  const std::string Name =
      numberedName(SnapshotPrefix, Snapshot.m_Meta.m_Index);
  const std::string Temporary = absl::StrCat(Name, TemporarySuffix);
  // openAppend() would append to a file that an earlier attempt left.
  if (absl::Status Status = m_Files.remove(Temporary);
      !Status.ok() && !absl::IsNotFound(Status))
    return recordFailure(Status);
  {
    absl::StatusOr<std::unique_ptr<AppendFile>> File =
        m_Files.openAppend(Temporary);
    if (!File.ok())
      return recordFailure(File.status());
    if (absl::Status Status =
            (*File)->append(internal::encodeSnapshot(Snapshot));
        !Status.ok())
      return recordFailure(Status);
    if (absl::Status Status = (*File)->sync(); !Status.ok())
      return recordFailure(Status);
  }
  if (absl::Status Status = m_Files.rename(Temporary, Name); !Status.ok())
    return recordFailure(Status);
  return recordFailure(m_Files.syncDirectory());
}

absl::StatusOr<std::unique_ptr<LogStore>> LogStore::open(StoreOptions Options,
                                                         FileSystem &Files) {
  auto State = std::make_unique<Impl>(Options, Files);
  if (absl::Status Status = State->recover(); !Status.ok())
    return Status;
  return std::unique_ptr<LogStore>(new LogStore(std::move(State)));
}

LogStore::LogStore(std::unique_ptr<Impl> State) : m_Impl(std::move(State)) {}
LogStore::~LogStore() = default;

raft::RaftPersistentState LogStore::takeRecovered() {
  return std::move(m_Impl->m_State);
}
bool LogStore::empty() const { return m_Impl->m_Empty; }
const StoreCounters &LogStore::counters() const { return m_Impl->m_Counters; }

absl::Status LogStore::commit(std::span<const StoreBatch> Batches) {
  if (m_Impl->m_Failed)
    return storeError(StoreErrc::Failed, "an earlier write failed");
  std::string Payload;
  raft::LogIndex LastIndex = 0;
  for (const StoreBatch &Batch : Batches)
    if (absl::Status Status = m_Impl->encodeBatch(Batch, Payload, LastIndex);
        !Status.ok())
      return Status;
  if (Payload.empty())
    return absl::OkStatus();
  if (absl::Status Status = m_Impl->writeBlock(Payload, LastIndex);
      !Status.ok())
    return Status;
  if (m_Impl->m_ActiveBytes < m_Impl->m_Options.m_SegmentBytes)
    return absl::OkStatus();
  return m_Impl->startSegment();
}

absl::Status LogStore::saveSnapshot(const raft::Snapshot &Snapshot) {
  if (m_Impl->m_Failed)
    return storeError(StoreErrc::Failed, "an earlier write failed");
  return m_Impl->saveSnapshot(Snapshot);
}

absl::Status LogStore::compactTo(raft::LogIndex Index) {
  if (m_Impl->m_Failed)
    return storeError(StoreErrc::Failed, "an earlier write failed");
  if (m_Impl->m_ActiveBytes >= MinClosedBytes)
    if (absl::Status Status = m_Impl->startSegment(); !Status.ok())
      return Status;
  std::deque<Impl::SegmentInfo> &Segments = m_Impl->m_Segments;
  while (Segments.size() > 1 && Segments.front().m_LastIndex <= Index) {
    if (absl::Status Status = m_Impl->m_Files.remove(Segments.front().m_Name);
        !Status.ok())
      return m_Impl->recordFailure(Status);
    // Each deletion is synced before the next, because a deletion that becomes
    // durable before that of an older segment leaves a gap in the block
    // numbers.
    if (absl::Status Status = m_Impl->m_Files.syncDirectory(); !Status.ok())
      return m_Impl->recordFailure(Status);
    Segments.pop_front();
  }
  absl::StatusOr<std::vector<std::string>> Names = m_Impl->m_Files.list();
  if (!Names.ok())
    return m_Impl->recordFailure(Names.status());
  std::vector<std::string> Snapshots;
  for (const std::string &Name : *Names)
    if (absl::StartsWith(Name, SnapshotPrefix) &&
        !absl::EndsWith(Name, TemporarySuffix))
      Snapshots.push_back(Name);
  for (size_t I = 0; I + 1 < Snapshots.size(); ++I)
    if (absl::Status Status = m_Impl->m_Files.remove(Snapshots[I]);
        !Status.ok())
      return m_Impl->recordFailure(Status);
  return absl::OkStatus();
}

} // namespace anvil::store
