#ifndef ANVIL_STORE_LOGSTORE_H
#define ANVIL_STORE_LOGSTORE_H

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "anvil/base/LayerError.h"
#include "anvil/raft/RaftTypes.h"
#include "anvil/store/FileSystem.h"

namespace anvil {

namespace store {

/// Error codes of the storage layer.
enum class StoreErrc {
  Io = 1,      ///< Reading or writing failed.
  Full = 2,    ///< The disk is full.
  Corrupt = 3, ///< Bytes that were synced have changed; the message names file
               ///< and offset.
  Locked = 4,  ///< Another process uses the data folder.
  Format = 5,  ///< Written by an unknown format version.
  Failed = 6   ///< An earlier write failed, so what is on disk is not known;
               ///< restart to go on.
};

} // namespace store

template <> struct LayerErrorTraits<store::StoreErrc> {
  static constexpr std::string_view Layer = "store";
};

namespace store {

/// Settings of a LogStore.
struct StoreOptions {
  /// A segment that has grown past this size is closed and a new one is
  /// started.
  uint64_t m_SegmentBytes = 16u << 20;
};

/// What one step of the replicated log makes durable, carried out in the order
/// of the members.
struct StoreBatch {
  std::optional<raft::Snapshot>
      m_Install; ///< Snapshot that replaces the state machine.
  bool m_KeepSuffix =
      false; ///< With m_Install: entries after the snapshot stay.
  std::optional<raft::LogIndex> m_TruncateFrom;
  std::vector<raft::LogEntry> m_Append;
  std::optional<raft::HardState> m_Hard;
};

/// Counts and sizes since the store was opened.
struct StoreCounters {
  int64_t m_Syncs = 0;
  int64_t m_Entries = 0;
  int64_t m_Bytes = 0;
  int64_t m_TornBytesDropped =
      0; ///< Bytes of an unfinished write found at the end of the log.
};

/// Keeps the log, the election state and the newest snapshot of one replica in
/// a data folder.
///
/// Usage: open(), pass takeRecovered() to the replicated log, then commit()
/// what each step asks for. One commit() of several batches costs one sync.
/// After any failed write every later call fails with StoreErrc::Failed,
/// because the kernel may have dropped the data. Not thread safe; calls block.
///
/// A write that a crash cut short is dropped at open(). Damage before the last
/// synced write is refused with StoreErrc::Corrupt. Damage inside the last
/// write can't be told from a cut-short write.
class LogStore {
public:
  /// Locks the folder and reads it back.
  static absl::StatusOr<std::unique_ptr<LogStore>> open(StoreOptions Options,
                                                        FileSystem &Files);
  ~LogStore();

  /// Returns what open() read, once.
  raft::RaftPersistentState takeRecovered();
  /// Returns true if the folder held neither entries, election state nor a
  /// snapshot.
  bool empty() const;

  /// Makes all batches durable, in order.
  absl::Status commit(std::span<const StoreBatch> Batches);
  /// Writes and syncs a snapshot that this replica made; the log stays as it
  /// is.
  absl::Status saveSnapshot(const raft::Snapshot &Snapshot);
  /// Deletes segments that hold only entries up to \p Index, and snapshots
  /// older than the newest.
  absl::Status compactTo(raft::LogIndex Index);

  const StoreCounters &counters() const;

private:
  struct Impl;
  explicit LogStore(std::unique_ptr<Impl> State);
  std::unique_ptr<Impl> m_Impl;
};

} // namespace store
} // namespace anvil

#endif // ANVIL_STORE_LOGSTORE_H
