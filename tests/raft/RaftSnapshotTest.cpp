#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "raft/support/Harness.h"
#include "raft/support/SimDisk.h"

namespace anvil::raft::sim {

namespace {

using std::chrono::milliseconds;

const std::string Content = "0123456789";

SnapshotChunk chunk(uint64_t Offset, uint64_t Size) {
  return {{50, 2, Harness::voters(3)},
          Offset,
          Content.size(),
          Content.substr(Offset, Size)};
}

LogEntry command(LogIndex Index, TermNumber Term) {
  return {Index, Term, EntryKind::Command, "x", {}};
}

/// A group of one voter with a simulated disk that syncs immediately. Committed
/// entries are applied immediately.
struct SingleReplica {
  explicit SingleReplica(RaftPersistentState State, uint64_t Retained)
      : m_Disk(State),
        m_Replica(
            1,
            [=](RaftOptions &Options) { Options.m_RetainedEntries = Retained; },
            State) {
    run(TickInput{});
    carryOut(m_Replica.tickAfter(std::chrono::seconds(1)));
  }

  void run(const RaftInput &Input) { carryOut(m_Replica.step(Input)); }

  void carryOut(const RaftOutput &Output) {
    m_Disk.write(Output);
    m_Delivered += Output.m_Committed.size();
    if (Output.m_CompactTo)
      m_Disk.compactTo(*Output.m_CompactTo);
    if (!Output.m_Committed.empty())
      run(AppliedInput{Output.m_Committed.back().m_Index});
    if (Output.m_Sequence == 0)
      return;
    m_Disk.sync(Output.m_Sequence);
    run(PersistedInput{Output.m_Sequence});
  }

  void proposeMany(uint64_t Count) {
    ProposeInput Input;
    for (uint64_t I = 0; I < Count; ++I)
      Input.m_Proposals.push_back({I, "command"});
    run(Input);
  }

  void makeSnapshot() {
    const LogIndex Index = m_Replica.status().m_Applied;
    const Snapshot Made{*m_Replica.raft().snapshotMeta(Index),
                        std::make_shared<const std::string>(Content)};
    m_Disk.saveSnapshot(Made);
    run(SnapshotMadeInput{Made});
  }

  SimDisk m_Disk;
  Harness m_Replica;
  uint64_t m_Delivered = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(RaftSnapshotTest)

// Guards against a follower that restarts a transfer needlessly, mixes chunks
// of two snapshots, or acknowledges a snapshot before it is durable.
BOOST_AUTO_TEST_CASE(FollowerResumesATransferAndAcknowledgesOnceDurable) {
  struct Case {
    std::string m_Name;
    int64_t m_From;
    TermNumber m_Term;
    uint64_t m_Offset;
    uint64_t m_Next;
  };
  const std::vector<Case> Cases = {
      {"first chunk", 2, 2, 0, 4},
      {"duplicate", 2, 2, 0, 4},
      {"chunk after a lost one", 2, 2, 8, 4},
      {"same leader, new term", 2, 3, 4, 8},
      {"other leader starts again", 3, 4, 8, 0},
      {"other leader", 3, 4, 0, 4},
      {"other leader continues", 3, 4, 4, 8},
  };
  Harness Follower(3);
  for (const Case &Item : Cases) {
    const RaftOutput Output =
        Follower.receive(Item.m_From, Item.m_Term, chunk(Item.m_Offset, 4));
    const std::vector<SnapshotChunkResponse> Answers =
        Harness::sent<SnapshotChunkResponse>(Output);
    BOOST_TEST_REQUIRE(Answers.size() == 1U, Item.m_Name);
    BOOST_TEST(Answers[0].m_NextOffset == Item.m_Next, Item.m_Name);
  }
  const RaftOutput Last = Follower.receive(3, 4, chunk(8, 4));
  BOOST_TEST_REQUIRE(Last.m_Install.has_value());
  BOOST_TEST(*Last.m_Install->m_Snapshot.m_Data == Content);
  BOOST_TEST(!Last.m_Install->m_KeepSuffix);
  BOOST_TEST(Harness::sent<AppendResponse>(Last).empty());
  Follower.step(AppliedInput{50});
  BOOST_TEST(!Follower.raft().snapshotMeta(50).ok(),
             "the installed snapshot is not durable");
  const std::vector<AppendResponse> Answers =
      Harness::sent<AppendResponse>(Follower.sync());
  BOOST_TEST(Follower.raft().snapshotMeta(50).ok());
  BOOST_TEST_REQUIRE(Answers.size() == 1U);
  BOOST_TEST(Answers[0].m_Match == 50U);
  BOOST_TEST(Follower.status().m_LastIndex == 50U);
}

// Guards against a leader that can't bring a follower up to date whose next
// entry is compacted, also when chunks are lost.
BOOST_AUTO_TEST_CASE(LeaderSendsChunksFromTheOffsetThatTheFollowerWants) {
  RaftPersistentState State;
  State.m_Hard.m_Term = 2;
  State.m_Snapshot = {{50, 2, Harness::voters(3)},
                      std::make_shared<const std::string>(Content)};
  Harness Leader(
      3, [](RaftOptions &Options) { Options.m_SnapshotChunkBytes = 4; }, State);
  Leader.lead();
  RaftOutput Output = Leader.receive(3, 3,
                                     AppendResponse{.m_Success = false,
                                                    .m_RejectedPrev = 50,
                                                    .m_HintIndex = 1,
                                                    .m_HintTerm = 1});
  const std::vector<uint64_t> NextOffsets = {4, 8, 0, 4, 8};
  for (const uint64_t NextOffset : NextOffsets) {
    BOOST_TEST_REQUIRE(Harness::sent<SnapshotChunk>(Output, 3).size() == 1U);
    Output = Leader.receive(3, 3, SnapshotChunkResponse{50, NextOffset});
    BOOST_TEST_REQUIRE(Harness::sent<SnapshotChunk>(Output, 3).size() == 1U);
    BOOST_TEST(Harness::sent<SnapshotChunk>(Output, 3)[0].m_Offset ==
               NextOffset);
  }
  Leader.tickAfter(milliseconds(300));
  Output = Leader.receive(3, 3, HeartbeatResponse{1});
  BOOST_TEST(Harness::sent<SnapshotChunk>(Output, 3).size() == 1U,
             "a lost chunk is sent again");
  Output = Leader.ack(3, 50);
  BOOST_TEST_REQUIRE(Harness::sent<AppendRequest>(Output, 3).size() == 1U);
  BOOST_TEST(Harness::sent<AppendRequest>(Output, 3)[0].m_PrevIndex == 50U);
}

// Guards against misreading the state on disk after a crash between two writes.
BOOST_AUTO_TEST_CASE(RestartAcceptsOnlyConsistentStates) {
  struct Case {
    std::string m_Name;
    SnapshotMeta m_Meta;
    std::vector<LogEntry> m_Entries;
    TermNumber m_Term;
    std::string m_Error;
    LogIndex m_LastIndex;
  };
  const Membership Members = Harness::voters(3);
  const std::vector<Case> Cases = {
      {"empty", {}, {}, 0, "", 0},
      {"entries after the snapshot",
       {5, 2, Members},
       {command(6, 2), command(7, 2)},
       2,
       "",
       7},
      {"covered entries",
       {5, 2, Members},
       {command(4, 1), command(5, 2), command(6, 2)},
       2,
       "",
       6},
      {"log ends before the snapshot",
       {5, 2, Members},
       {command(2, 1), command(3, 1)},
       2,
       "",
       5},
      {"log disagrees with the snapshot",
       {5, 2, Members},
       {command(5, 1), command(6, 1)},
       2,
       "",
       5},
      {"gap after the snapshot",
       {5, 2, Members},
       {command(7, 2)},
       2,
       "raft: log starts at index 7 but the snapshot ends at 5",
       0},
      {"gap in the log",
       {},
       {command(1, 1), command(3, 1)},
       2,
       "raft: log continues with index 3 after 1",
       0},
      {"term decreases",
       {},
       {command(1, 2), command(2, 1)},
       2,
       "raft: term decreases at index 2",
       0},
      {"term beyond the hard state",
       {},
       {command(1, 3)},
       2,
       "raft: log has term 3 but the hard state has term 2",
       0},
  };
  for (const Case &Item : Cases) {
    RaftOptions Options;
    Options.m_Self = ReplicaId(1);
    Options.m_Random = [](uint64_t) { return 0; };
    const Snapshot Base{Item.m_Meta, std::make_shared<const std::string>()};
    const absl::StatusOr<Raft> Replica =
        Raft::create(Options, {{Item.m_Term, NoReplica}, Base, Item.m_Entries});
    BOOST_TEST(Replica.status().message() == Item.m_Error, Item.m_Name);
    if (Replica.ok())
      BOOST_TEST(Replica->status().m_LastIndex == Item.m_LastIndex,
                 Item.m_Name);
  }
}

// Guards against a restart that loses entries, or that replays entries that the
// last snapshot includes.
BOOST_AUTO_TEST_CASE(RestartAfterManyEntriesLoadsWhatTheSnapshotLeaves) {
  constexpr uint64_t Batches = 100;
  constexpr uint64_t BatchSize = 3'000;
  constexpr uint64_t Retained = 4'096;
  for (const bool WithSnapshots : {false, true}) {
    SingleReplica First(bootstrapState(Harness::voters(1)), Retained);
    for (uint64_t Batch = 1; Batch <= Batches; ++Batch) {
      First.proposeMany(BatchSize);
      if (WithSnapshots && Batch % 30 == 0)
        First.makeSnapshot();
    }
    const LogIndex Last = First.m_Replica.status().m_LastIndex;
    BOOST_TEST(Last == Batches * BatchSize + 2,
               "membership, leader's entry and all commands");
    const RaftPersistentState OnDisk = First.m_Disk.durable();
    const LogIndex SnapshotIndex = OnDisk.m_Snapshot.m_Meta.m_Index;
    const uint64_t Expected = WithSnapshots ? 10 * BatchSize + Retained : Last;
    BOOST_TEST(OnDisk.m_Entries.size() == Expected);

    SingleReplica Second(OnDisk, Retained);
    BOOST_TEST_MESSAGE("restart snapshots="
                       << WithSnapshots
                       << " entries_on_disk=" << OnDisk.m_Entries.size()
                       << " entries_applied=" << Second.m_Delivered);
    BOOST_TEST(Second.m_Delivered == Last - SnapshotIndex + 1,
               "the rest of the log and the new leader's entry");
    BOOST_TEST(Second.m_Replica.status().m_Applied == Last + 1);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::raft::sim
