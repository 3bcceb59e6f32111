#ifndef ANVIL_SRC_REPLICA_SYNCWORKER_H
#define ANVIL_SRC_REPLICA_SYNCWORKER_H

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <variant>
#include <vector>

#include "anvil/store/LogStore.h"

namespace boost::asio {
class io_context;
}

namespace anvil::replica::internal {

/// Runs the blocking writes of a LogStore on a thread of its own.
///
/// Batches that are queued while a sync runs share the next sync (group
/// commit). Completions run on the io_context, in order. After a failure
/// m_OnFailure runs once and no other completion follows.
class SyncWorker {
public:
  struct Completions {
    std::function<void(uint64_t Sequence)>
        m_OnPersisted; ///< All batches up to the sequence are durable.
    std::function<void(raft::Snapshot)> m_OnSnapshotSaved;
    std::function<void(absl::Status)> m_OnFailure;
  };

  SyncWorker(boost::asio::io_context &Io,
             std::unique_ptr<store::LogStore> Store, Completions Callbacks);
  /// Finishes the queued jobs, then stops the thread.
  ~SyncWorker();
  SyncWorker(const SyncWorker &) = delete;
  SyncWorker &operator=(const SyncWorker &) = delete;

  /// Queues a batch; \p Sequence is passed to m_OnPersisted.
  void persist(uint64_t Sequence, store::StoreBatch Batch);
  /// Queues a snapshot that this replica made.
  void saveSnapshot(raft::Snapshot Snapshot);
  /// Queues the deletion of log segments up to \p Index.
  void compactTo(raft::LogIndex Index);

private:
  struct PersistJob {
    uint64_t m_Sequence = 0;
    store::StoreBatch m_Batch;
  };
  struct CompactJob {
    raft::LogIndex m_Index = 0;
  };
  using Job = std::variant<PersistJob, raft::Snapshot, CompactJob>;

  void push(Job NewJob);
  void run();
  absl::Status runJobs(std::vector<Job> &Jobs);
  absl::Status commit(std::vector<store::StoreBatch> &Batches,
                      uint64_t Sequence);

  boost::asio::io_context &m_Io;
  std::unique_ptr<store::LogStore> m_Store;
  Completions m_Completions;
  std::mutex m_Mutex;
  std::condition_variable m_QueueChanged;
  std::vector<Job> m_Queue;
  bool m_IsStopping = false;
  std::thread m_Thread;
};

} // namespace anvil::replica::internal

#endif // ANVIL_SRC_REPLICA_SYNCWORKER_H
