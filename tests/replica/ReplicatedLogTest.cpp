#include "anvil/replica/ReplicatedLog.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>

#include "anvil/daemon/Process.h"
#include "store/FakeFileSystem.h"
#include "support/Loopback.h"

namespace anvil::replica {
namespace {

constexpr uint64_t SnapshotEvery = 20;
constexpr uint64_t RetainedEntries = 5;
const raft::ReplicaId Founder(1);
const raft::ReplicaId Joiner(2);

/// Replicas of one group in one thread, whose messages are posted.
class Group;

/// One replica whose state is the list of applied commands, one a line.
struct Node {
  raft::ReplicaId m_Id;
  store::FileSystem *m_Files = nullptr;
  std::unique_ptr<ReplicatedLog> m_Log;
  std::string m_State;
  int m_Installed = 0;
  std::optional<absl::Status> m_Fatal;
};

class Group {
public:
  explicit Group(support::Loopback &Loop) : m_Loop(Loop) {}

  Node &start(raft::ReplicaId Id, store::FileSystem &Files, bool Founds) {
    Node &Started = m_Nodes[Id];
    Started.m_Id = Id;
    Started.m_Files = &Files;
    store::StoreOptions StoreOptions;
    auto Store = store::LogStore::open(StoreOptions, Files);
    BOOST_REQUIRE_MESSAGE(Store.ok(), Store.status());
    auto Log = ReplicatedLog::create(m_Loop.m_Io, options(Id, Founds),
                                     *std::move(Store));
    BOOST_REQUIRE_MESSAGE(Log.ok(), Log.status());
    Started.m_Log = *std::move(Log);
    if (const raft::SnapshotData Data = Started.m_Log->snapshot())
      Started.m_State = *Data;
    Started.m_Log->start(hooks(Started));
    return Started;
  }
  /// Ends a replica as a crash of its process does.
  void stop(raft::ReplicaId Id) { m_Nodes.erase(Id); }

  /// Replicates that many commands, one after the other.
  void propose(Node &Leader, int Count) {
    for (int I = 0; I < Count; ++I) {
      std::optional<absl::StatusOr<raft::LogIndex>> Result;
      Leader.m_Log->propose("x\n", [&](absl::StatusOr<raft::LogIndex> Index) {
        Result = std::move(Index);
      });
      BOOST_REQUIRE(m_Loop.runUntil([&] { return Result.has_value(); }));
      BOOST_REQUIRE_MESSAGE(Result->ok(), Result->status());
    }
  }

private:
  static ReplicatedLogOptions options(raft::ReplicaId Id, bool Founds) {
    ReplicatedLogOptions Options;
    Options.m_Raft.m_Self = Id;
    Options.m_Raft.m_Random = [](uint64_t) { return 0; };
    Options.m_Raft.m_RetainedEntries = RetainedEntries;
    if (Founds)
      Options.m_Bootstrap.emplace().m_Voters = {Id};
    Options.m_SnapshotEvery = SnapshotEvery;
    Options.m_Now = daemon::monotonicNow;
    return Options;
  }

  ReplicatedLogHooks hooks(Node &Started) {
    ReplicatedLogHooks Hooks;
    Hooks.m_Apply = [&Started](std::string_view Command, raft::LogIndex) {
      Started.m_State += Command;
      return absl::OkStatus();
    };
    Hooks.m_Snapshot = [&Started] { return Started.m_State; };
    Hooks.m_Restore = [&Started](std::string_view State) {
      Started.m_State = State;
      ++Started.m_Installed;
      return absl::OkStatus();
    };
    Hooks.m_Send = [this](raft::ReplicaId Receiver, std::string Message) {
      boost::asio::post(m_Loop.m_Io,
                        [this, Receiver, Message = std::move(Message)] {
                          const auto It = m_Nodes.find(Receiver);
                          if (It != m_Nodes.end())
                            It->second.m_Log->receive(Message);
                        });
    };
    Hooks.m_OnFatal = [&Started](const absl::Status &Status) {
      Started.m_Fatal = Status;
    };
    return Hooks;
  }

  support::Loopback &m_Loop;
  std::map<raft::ReplicaId, Node> m_Nodes;
};

/// Returns how many files of the folder begin with \p Prefix.
size_t countFiles(const store::FakeFileSystem &Files, std::string_view Prefix) {
  size_t Count = 0;
  for (const auto &[Name, Data] : Files.m_Files)
    Count += Name.starts_with(Prefix) ? 1 : 0;
  return Count;
}

std::string lines(int Count) {
  std::string Result;
  for (int I = 0; I < Count; ++I)
    Result += "x\n";
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ReplicatedLogTest)

// Guards against a log that grows without bound: a running replica asked for
// the metadata of a snapshot before the consensus module knew that the entries
// were applied, was refused each time, and never took one.
BOOST_AUTO_TEST_CASE(ARunningReplicaTakesSnapshotsAndCompactsItsLog) {
  support::Loopback Loop;
  store::FakeFileSystem Files;
  Group Replicas(Loop);
  Node &Leader = Replicas.start(Founder, Files, true);
  BOOST_REQUIRE(Loop.runUntil([&] { return Leader.m_Log->leads(); }));
  Replicas.propose(Leader, 100);
  BOOST_TEST(Loop.runUntil(
      [&] { return Leader.m_Log->status().m_FirstIndex > SnapshotEvery; }));
  BOOST_TEST(countFiles(Files, "snapshot-") >= 1U);
  BOOST_TEST(countFiles(Files, "snapshot-") <= 2U);
}

// Guards against a snapshot that does not hold exactly the entries up to its
// index: the replica would apply an entry twice or not at all after a restart.
BOOST_AUTO_TEST_CASE(ARestartFromASnapshotRestoresTheSameState) {
  support::Loopback Loop;
  store::FakeFileSystem Files;
  for (int Round = 1; Round <= 4; ++Round) {
    Group Replicas(Loop);
    Node &Leader = Replicas.start(Founder, Files, Round == 1);
    BOOST_REQUIRE(Loop.runUntil([&] { return Leader.m_Log->leads(); }));
    Replicas.propose(Leader, 33);
    BOOST_TEST(Leader.m_State == lines(33 * Round));
  }
  BOOST_TEST(countFiles(Files, "snapshot-") >= 1U);
}

// Guards against a replica with an empty disk that can't join once the leader
// has compacted its log.
BOOST_AUTO_TEST_CASE(ANewReplicaReceivesTheSnapshotOfACompactedLog) {
  support::Loopback Loop;
  store::FakeFileSystem Files;
  store::FakeFileSystem JoinerFiles;
  Group Replicas(Loop);
  Node &Leader = Replicas.start(Founder, Files, true);
  BOOST_REQUIRE(Loop.runUntil([&] { return Leader.m_Log->leads(); }));
  Replicas.propose(Leader, 100);
  BOOST_REQUIRE(Loop.runUntil(
      [&] { return Leader.m_Log->status().m_FirstIndex > SnapshotEvery; }));

  Node &New = Replicas.start(Joiner, JoinerFiles, false);
  Leader.m_Log->changeMembership(raft::MembershipChangeKind::AddLearner, Joiner,
                                 [](const absl::StatusOr<raft::LogIndex> &) {});
  BOOST_TEST(Loop.runUntil([&] { return New.m_State == lines(100); }));
  BOOST_TEST(New.m_Installed == 1);
  BOOST_TEST(Loop.runUntil([&] {
    return Leader.m_Log->status().m_PromotableLearners ==
           std::vector<raft::ReplicaId>{Joiner};
  }));
}

// Guards against a crash during a snapshot that loses what was acknowledged:
// each change of the disk fails once, and the replica starts again from what is
// durable.
BOOST_AUTO_TEST_CASE(ACrashAtAnyStepOfASnapshotLosesNothing) {
  int Steps = 0;
  {
    support::Loopback Loop;
    store::FakeFileSystem Files;
    Group Replicas(Loop);
    Node &Leader = Replicas.start(Founder, Files, true);
    BOOST_REQUIRE(Loop.runUntil([&] { return Leader.m_Log->leads(); }));
    Replicas.propose(Leader, 45);
    Replicas.stop(Founder);
    Steps = Files.m_ChangeCount;
  }
  for (int Failing = Steps / 2; Failing < Steps; ++Failing) {
    support::Loopback Loop;
    store::FakeFileSystem Files;
    int Acknowledged = 0;
    {
      Group Replicas(Loop);
      Node &Leader = Replicas.start(Founder, Files, true);
      BOOST_REQUIRE(Loop.runUntil([&] { return Leader.m_Log->leads(); }));
      Files.m_FailingChange = Failing;
      for (int I = 0; I < 45 && !Leader.m_Fatal; ++I) {
        std::optional<bool> Done;
        Leader.m_Log->propose("x\n",
                              [&](const absl::StatusOr<raft::LogIndex> &Index) {
                                Done = Index.ok();
                              });
        BOOST_REQUIRE(Loop.runUntil([&] { return Done.has_value(); }));
        Acknowledged += *Done ? 1 : 0;
      }
      Replicas.stop(Founder);
    }
    Files.m_FailingChange = -1;
    Files.crash([](size_t) { return 0U; });
    Group Replicas(Loop);
    Node &Again = Replicas.start(Founder, Files, false);
    BOOST_REQUIRE(Loop.runUntil([&] { return Again.m_Log->leads(); }));
    Replicas.propose(Again, 1);
    const auto Kept = static_cast<int>(Again.m_State.size() / 2) - 1;
    BOOST_TEST(Kept >= Acknowledged, "failing change " << Failing);
  }
}

// Guards against a caller that waits for ever, because the replica stopped
// while its call was pending or before it.
BOOST_AUTO_TEST_CASE(AFailureAnswersAllPendingCalls) {
  support::Loopback Loop;
  store::FakeFileSystem Files;
  Group Replicas(Loop);
  Node &Leader = Replicas.start(Founder, Files, true);
  BOOST_REQUIRE(Loop.runUntil([&] { return Leader.m_Log->leads(); }));
  std::vector<absl::Status> Answers;
  const auto Record = [&](const absl::StatusOr<raft::LogIndex> &Index) {
    Answers.push_back(Index.status());
  };
  Leader.m_Log->propose("x\n", Record);
  Leader.m_Log->fail(absl::InternalError("test"));
  BOOST_REQUIRE(Answers.size() == 1U);
  BOOST_TEST((layerErrorOf<raft::RaftErrc>(Answers[0]) ==
              raft::RaftErrc::OutcomeUnknown));
  Leader.m_Log->changeMembership(raft::MembershipChangeKind::AddLearner, Joiner,
                                 Record);
  BOOST_REQUIRE(Answers.size() == 2U);
  BOOST_TEST(
      (layerErrorOf<raft::RaftErrc>(Answers[1]) == raft::RaftErrc::NotLeader));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::replica
