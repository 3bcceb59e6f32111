#include "SyncWorker.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

namespace anvil::replica::internal {

SyncWorker::SyncWorker(boost::asio::io_context &Io,
                       std::unique_ptr<store::LogStore> Store,
                       Completions Callbacks)
    : m_Io(Io), m_Store(std::move(Store)), m_Completions(std::move(Callbacks)),
      m_Thread([this] { run(); }) {}

SyncWorker::~SyncWorker() {
  {
    const std::lock_guard Lock(m_Mutex);
    m_IsStopping = true;
  }
  m_QueueChanged.notify_one();
  m_Thread.join();
}

void SyncWorker::persist(uint64_t Sequence, store::StoreBatch Batch) {
  push(PersistJob{Sequence, std::move(Batch)});
}
void SyncWorker::saveSnapshot(raft::Snapshot Snapshot) {
  push(std::move(Snapshot));
}
void SyncWorker::compactTo(raft::LogIndex Index) { push(CompactJob{Index}); }

void SyncWorker::push(Job NewJob) {
  {
    const std::lock_guard Lock(m_Mutex);
    m_Queue.push_back(std::move(NewJob));
  }
  m_QueueChanged.notify_one();
}

void SyncWorker::run() {
  while (true) {
    std::vector<Job> Jobs;
    {
      std::unique_lock Lock(m_Mutex);
      m_QueueChanged.wait(Lock,
                          [this] { return m_IsStopping || !m_Queue.empty(); });
      if (m_Queue.empty())
        return;
      Jobs.swap(m_Queue);
    }
    const absl::Status Status = runJobs(Jobs);
    if (!Status.ok()) {
      boost::asio::post(m_Io, [Callback = m_Completions.m_OnFailure, Status] {
        Callback(Status);
      });
      return;
    }
  }
}

absl::Status SyncWorker::runJobs(std::vector<Job> &Jobs) {
  std::vector<store::StoreBatch> Batches;
  uint64_t Sequence = 0;
  for (Job &NextJob : Jobs) {
    if (auto *Persist = std::get_if<PersistJob>(&NextJob)) {
      Sequence = Persist->m_Sequence;
      Batches.push_back(std::move(Persist->m_Batch));
      continue;
    }
    if (absl::Status Status = commit(Batches, Sequence); !Status.ok())
      return Status;
    if (const auto *Compact = std::get_if<CompactJob>(&NextJob)) {
      if (absl::Status Status = m_Store->compactTo(Compact->m_Index);
          !Status.ok())
        return Status;
      continue;
    }
    const auto &Snapshot = std::get<raft::Snapshot>(NextJob);
    if (absl::Status Status = m_Store->saveSnapshot(Snapshot); !Status.ok())
      return Status;
    boost::asio::post(m_Io, [Callback = m_Completions.m_OnSnapshotSaved,
                             Snapshot] { Callback(Snapshot); });
  }
  return commit(Batches, Sequence);
}

absl::Status SyncWorker::commit(std::vector<store::StoreBatch> &Batches,
                                uint64_t Sequence) {
  if (Batches.empty())
    return absl::OkStatus();
  if (absl::Status Status = m_Store->commit(Batches); !Status.ok())
    return Status;
  Batches.clear();
  boost::asio::post(m_Io, [Callback = m_Completions.m_OnPersisted, Sequence] {
    Callback(Sequence);
  });
  return absl::OkStatus();
}

} // namespace anvil::replica::internal
