#include "anvil/store/LogStore.h"

#include <random>

#include <boost/test/unit_test.hpp>

#include "FakeFileSystem.h"

namespace anvil::store {
namespace {

using raft::LogEntry;
using raft::LogIndex;

LogEntry entry(LogIndex Index, raft::TermNumber Term) {
  LogEntry Entry;
  Entry.m_Index = Index;
  Entry.m_Term = Term;
  Entry.m_Data =
      "command " + std::to_string(Index) + " of term " + std::to_string(Term);
  return Entry;
}

StoreBatch appendBatch(LogIndex First, LogIndex Last, raft::TermNumber Term) {
  StoreBatch Batch;
  for (LogIndex I = First; I <= Last; ++I)
    Batch.m_Append.push_back(entry(I, Term));
  Batch.m_Hard = raft::HardState{Term, raft::ReplicaId(1)};
  return Batch;
}

raft::Snapshot snapshotAt(LogIndex Index, raft::TermNumber Term) {
  raft::Snapshot Snapshot;
  Snapshot.m_Meta.m_Index = Index;
  Snapshot.m_Meta.m_Term = Term;
  Snapshot.m_Meta.m_Members.m_Voters = {raft::ReplicaId(1)};
  Snapshot.m_Data =
      std::make_shared<const std::string>("state at " + std::to_string(Index));
  return Snapshot;
}

absl::Status commitOne(LogStore &Store, const StoreBatch &Batch) {
  return Store.commit(std::span(&Batch, 1));
}

std::unique_ptr<LogStore> openStore(FileSystem &Files,
                                    uint64_t SegmentBytes = 16u << 20) {
  absl::StatusOr<std::unique_ptr<LogStore>> Store =
      LogStore::open({SegmentBytes}, Files);
  BOOST_REQUIRE_MESSAGE(Store.ok(), Store.status().ToString());
  return *std::move(Store);
}

LogIndex lastIndex(const raft::RaftPersistentState &State) {
  return State.m_Entries.empty() ? State.m_Snapshot.m_Meta.m_Index
                                 : State.m_Entries.back().m_Index;
}

std::string segmentWithEntries(const FakeFileSystem &Files) {
  for (const auto &[Name, Data] : Files.m_Files)
    if (Name.starts_with("log-") && Data->m_Content.size() > 200)
      return Name;
  return {};
}

BOOST_AUTO_TEST_SUITE(LogStoreTest)

// Guards against losing entries, election state or a truncation in a restart.
BOOST_AUTO_TEST_CASE(ReadsBackWhatWasCommitted) {
  FakeFileSystem Files;
  {
    auto Store = openStore(Files);
    BOOST_TEST(Store->empty());
    BOOST_REQUIRE(commitOne(*Store, appendBatch(1, 10, 1)).ok());
    StoreBatch Rewrite = appendBatch(6, 7, 2);
    Rewrite.m_TruncateFrom = 6;
    BOOST_REQUIRE(commitOne(*Store, Rewrite).ok());
  }
  auto Store = openStore(Files);
  const raft::RaftPersistentState State = Store->takeRecovered();
  BOOST_REQUIRE(State.m_Entries.size() == 7u);
  BOOST_TEST((State.m_Entries[4] == entry(5, 1)));
  BOOST_TEST((State.m_Entries[6] == entry(7, 2)));
  BOOST_TEST(State.m_Hard.m_Term == 2u);
}

// Guards against two processes that write to the same data folder.
BOOST_AUTO_TEST_CASE(RefusesAFolderThatIsInUse) {
  FakeFileSystem Files;
  auto Store = openStore(Files);
  const auto Second = LogStore::open({}, Files);
  BOOST_TEST((layerErrorOf<StoreErrc>(Second.status()) == StoreErrc::Locked));
}

// Guards against losing an acknowledged entry, or a store that can't be opened,
// after a crash at any write, whatever part of the unsynced bytes survives.
BOOST_AUTO_TEST_CASE(KeepsEveryAcknowledgedEntryAfterACrashAtAnyCall) {
  std::mt19937 Random(7);
  int Crashes = 0;
  for (int FailAt = 1; FailAt < 90; ++FailAt) {
    FakeFileSystem Files;
    LogIndex Acknowledged = 0;
    {
      auto Store = openStore(Files, 400);
      Files.m_ChangeCount = 0;
      Files.m_FailingChange = FailAt;
      Files.m_Failure = absl::InternalError("input/output error");
      for (LogIndex I = 1; I <= 12; ++I) {
        if (!commitOne(*Store, appendBatch(I, I, 1)).ok())
          break;
        Acknowledged = I;
        if (I % 5 == 0 && (!Store->saveSnapshot(snapshotAt(I, 1)).ok() ||
                           !Store->compactTo(I).ok()))
          break;
      }
    }
    Files.crash([&](size_t Unsynced) {
      return Unsynced ? Random() % (Unsynced + 1) : 0;
    });
    ++Crashes;
    auto Store = openStore(Files, 400);
    BOOST_TEST(lastIndex(Store->takeRecovered()) >= Acknowledged,
               "lost entries when call " << FailAt << " failed");
  }
  BOOST_TEST(Crashes == 89);
}

// Guards against losing entries that a restart recovered and acknowledged
// although they were never synced: the process ends between a write and its
// sync, and the power fails after the restart. Later entries would then follow
// a gap.
BOOST_AUTO_TEST_CASE(KeepsWhatARestartReadOverAPowerLoss) {
  constexpr int Calls = 40;
  for (int FailAt = 0; FailAt < Calls; ++FailAt) {
    FakeFileSystem Files;
    {
      auto Store = openStore(Files);
      Files.m_FailingChange = Files.m_ChangeCount + FailAt;
      for (LogIndex I = 1; I <= 8; ++I)
        if (!commitOne(*Store, appendBatch(I, I, 1)).ok())
          break;
    }
    Files.m_FailingChange = -1;
    LogIndex RecoveredIndex = 0;
    {
      auto Restarted = openStore(Files);
      RecoveredIndex = lastIndex(Restarted->takeRecovered());
    }
    Files.crash([](size_t) { return 0; });
    absl::StatusOr<std::unique_ptr<LogStore>> AfterPowerLoss =
        LogStore::open({16u << 20}, Files);
    BOOST_REQUIRE_MESSAGE(AfterPowerLoss.ok(), "failed call "
                                                   << FailAt << ": "
                                                   << AfterPowerLoss.status());
    BOOST_TEST(lastIndex((*AfterPowerLoss)->takeRecovered()) >= RecoveredIndex,
               "failed call " << FailAt);
  }
}

// Guards against acknowledging a write after a failed sync, when the kernel may
// have dropped earlier data.
BOOST_AUTO_TEST_CASE(RefusesEverythingAfterAFailedWrite) {
  struct Case {
    absl::Status m_Failure;
    StoreErrc m_Expected;
  };
  for (const Case &Item :
       {Case{absl::ResourceExhaustedError("no space"), StoreErrc::Full},
        Case{absl::InternalError("input/output error"), StoreErrc::Io}}) {
    for (int FailAt : {1, 2}) { // 1 is the append, 2 the sync.
      FakeFileSystem Files;
      auto Store = openStore(Files);
      Files.m_Failure = Item.m_Failure;
      Files.m_FailingChange = Files.m_ChangeCount + FailAt;
      BOOST_TEST((layerErrorOf<StoreErrc>(commitOne(
                      *Store, appendBatch(1, 1, 1))) == Item.m_Expected));
      BOOST_TEST((layerErrorOf<StoreErrc>(commitOne(
                      *Store, appendBatch(2, 2, 1))) == StoreErrc::Failed));
    }
  }
}

// Guards against dropping damaged entries that were synced as if they were an
// incomplete write.
BOOST_AUTO_TEST_CASE(RefusesDamageBeforeTheLastBlock) {
  FakeFileSystem Files;
  {
    auto Store = openStore(Files);
    for (LogIndex I = 1; I <= 5; ++I)
      BOOST_REQUIRE(commitOne(*Store, appendBatch(I, I, 1)).ok());
  }
  const std::string Name = segmentWithEntries(Files);
  Files.m_Files.at(Name)
      ->m_Content[Files.m_Files.at(Name)->m_Content.size() / 2] ^= 1;
  const auto Store = LogStore::open({}, Files);
  BOOST_TEST((layerErrorOf<StoreErrc>(Store.status()) == StoreErrc::Corrupt));
  BOOST_TEST(std::string(Store.status().message()).find(Name) !=
                 std::string::npos,
             Store.status().ToString());
}

// Guards against misreading files of a newer format version.
BOOST_AUTO_TEST_CASE(RefusesAnUnknownFormatVersion) {
  FakeFileSystem Files;
  { auto Store = openStore(Files); }
  Files.m_Files.begin()->second->m_Content[8] = 9;
  const auto Store = LogStore::open({}, Files);
  BOOST_TEST((layerErrorOf<StoreErrc>(Store.status()) == StoreErrc::Format));
}

// Guards against mixing an installed snapshot with entries of the replaced log
// after a restart.
BOOST_AUTO_TEST_CASE(InstalledSnapshotReplacesTheLog) {
  FakeFileSystem Files;
  {
    auto Store = openStore(Files);
    BOOST_REQUIRE(commitOne(*Store, appendBatch(1, 30, 1)).ok());
    StoreBatch Install;
    Install.m_Install = snapshotAt(20, 3);
    BOOST_REQUIRE(commitOne(*Store, Install).ok());
    BOOST_REQUIRE(commitOne(*Store, appendBatch(21, 22, 3)).ok());
  }
  auto Store = openStore(Files);
  const raft::RaftPersistentState State = Store->takeRecovered();
  BOOST_TEST(State.m_Snapshot.m_Meta.m_Index == 20u);
  BOOST_REQUIRE(State.m_Entries.size() == 2u);
  BOOST_TEST((State.m_Entries[0] == entry(21, 3)));
}

// Guards against a snapshot on disk whose term is above the recorded term, from
// which the replica can't start. A crash while it is installed can leave it.
BOOST_AUTO_TEST_CASE(InstalledSnapshotNeverPrecedesItsTerm) {
  for (int FailAt = 1; FailAt < 12; ++FailAt) {
    FakeFileSystem Files;
    {
      auto Store = openStore(Files);
      BOOST_REQUIRE(commitOne(*Store, appendBatch(1, 5, 1)).ok());
      StoreBatch Install;
      Install.m_Install = snapshotAt(20, 3);
      Install.m_Hard = raft::HardState{3, raft::ReplicaId(2)};
      Files.m_FailingChange = Files.m_ChangeCount + FailAt;
      commitOne(*Store, Install).IgnoreError();
    }
    Files.crash([](size_t) { return 0; });
    const raft::RaftPersistentState State = openStore(Files)->takeRecovered();
    BOOST_TEST(State.m_Hard.m_Term >= State.m_Snapshot.m_Meta.m_Term,
               "call " << FailAt << " failed");
  }
}

// Guards against a restart that reads the whole log instead of a snapshot and
// the entries after it.
BOOST_AUTO_TEST_CASE(CompactionBoundsWhatARestartReads) {
  FakeFileSystem Files;
  {
    auto Store = openStore(Files, 1u << 16);
    for (LogIndex I = 1; I <= 20000; I += 100)
      BOOST_REQUIRE(commitOne(*Store, appendBatch(I, I + 99, 1)).ok());
    BOOST_REQUIRE(Store->saveSnapshot(snapshotAt(19900, 1)).ok());
    BOOST_REQUIRE(Store->compactTo(19900).ok());
  }
  auto Store = openStore(Files);
  const raft::RaftPersistentState State = Store->takeRecovered();
  BOOST_TEST(State.m_Snapshot.m_Meta.m_Index == 19900u);
  BOOST_TEST(State.m_Entries.size() <= 2000u, State.m_Entries.size()
                                                  << " entries read");
  BOOST_TEST(lastIndex(State) == 20000u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace anvil::store
