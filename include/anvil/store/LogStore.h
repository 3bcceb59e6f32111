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
  Corrupt = 3, ///< Synced data is damaged or missing; the message names the
               ///< file and offset or the missing entries.
  Locked = 4,  ///< Another process uses the data folder.
  Format = 5,  ///< Unknown format version or record kind.
  Failed = 6   ///< An earlier write failed, so the state of the disk is
               ///< unknown until the store is opened again.
};

} // namespace store

template <> struct LayerErrorTraits<store::StoreErrc> {
  static constexpr std::string_view Layer = "store";
};

namespace store {

/// Settings of a LogStore.
struct StoreOptions {
  /// Size in bytes from which a segment is closed and a new one is started.
  uint64_t m_SegmentBytes = 16u << 20;
};

/// Changes that one step of the replicated log makes durable, carried out in
/// the order of the members.
struct StoreBatch {
  std::optional<raft::Snapshot>
      m_Install; ///< Snapshot that replaces the state machine.
  bool m_KeepSuffix =
      false; ///< With m_Install: keeps the entries after the snapshot.
  std::optional<raft::LogIndex>
      m_TruncateFrom; ///< Removes the entries from this index on.
  std::vector<raft::LogEntry> m_Append;
  std::optional<raft::HardState> m_Hard;
};

/// Counts and sizes since the store was opened.
struct StoreCounters {
  int64_t m_Syncs = 0;
  int64_t m_Entries = 0;
  int64_t m_Bytes = 0;
  int64_t m_TornBytesDropped = 0; ///< Bytes of an incomplete write that open()
                                  ///< dropped at the end of the log.
};

/// Stores the log, the election state and the latest snapshot of one replica in
/// a data folder.
///
/// Usage: open(), pass takeRecovered() to the replicated log, then commit()
/// the changes of each step. A commit() of several batches needs one sync, or
/// more if a batch installs a snapshot or a new segment is started. After a
/// failed write every later call fails with StoreErrc::Failed, because the
/// kernel may have dropped the data. Not thread safe; calls block.
///
/// open() drops an incomplete write at the end of the log, which a crash
/// leaves. It refuses damage before the last synced write with
/// StoreErrc::Corrupt. Damage inside the last write can't be distinguished from
/// an incomplete write.
class LogStore {
public:
  /// Locks the data folder and recovers its content. \p Files must outlive the
  /// store.
  static absl::StatusOr<std::unique_ptr<LogStore>> open(StoreOptions Options,
                                                        FileSystem &Files);
  ~LogStore();

  /// Returns the state that open() recovered. Can be called once.
  raft::RaftPersistentState takeRecovered();
  /// Returns true if open() found no entries, no election state and no
  /// snapshot.
  bool empty() const;

  /// Makes all batches durable, in order.
  absl::Status commit(std::span<const StoreBatch> Batches);
  /// Writes and syncs a snapshot that this replica made. The log is unchanged.
  absl::Status saveSnapshot(const raft::Snapshot &Snapshot);
  /// Deletes segments that contain only entries up to \p Index, and all
  /// snapshots but the latest.
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
