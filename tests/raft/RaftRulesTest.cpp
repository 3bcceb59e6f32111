#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "raft/support/Harness.h"

namespace anvil::raft::sim {

namespace {

using std::chrono::milliseconds;

LogEntry command(LogIndex Index, TermNumber Term) {
  return {Index, Term, EntryKind::Command, "x", {}};
}

/// Returns a log of three voters with entries of the terms 1 (membership), 2
/// and 3, and a hard state of term 3.
RaftPersistentState threeEntries() {
  RaftPersistentState State = bootstrapState(Harness::voters(3));
  State.m_Entries.push_back(command(2, 2));
  State.m_Entries.push_back(command(3, 3));
  State.m_Hard.m_Term = 3;
  return State;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RaftRulesTest)

// Guards against a vote for a candidate that lacks committed entries, and
// against two votes in a term.
BOOST_AUTO_TEST_CASE(VotesFollowTheLogAndTheTerm) {
  struct Case {
    std::string m_Name;
    TermNumber m_Term;
    LogIndex m_LastIndex;
    TermNumber m_LastTerm;
    ReplicaId m_VotedFor;
    bool m_Granted;
  };
  const std::vector<Case> Cases = {
      {"same log", 4, 3, 3, NoReplica, true},
      {"longer log", 4, 9, 3, NoReplica, true},
      {"shorter log", 4, 2, 3, NoReplica, false},
      {"longer log of an older term", 4, 9, 2, NoReplica, false},
      {"shorter log of a newer term", 4, 1, 4, NoReplica, true},
      {"older term", 2, 9, 3, NoReplica, false},
      {"own term, no vote yet", 3, 3, 3, NoReplica, true},
      {"own term, same candidate again", 3, 3, 3, ReplicaId(2), true},
      {"own term, voted for another", 3, 3, 3, ReplicaId(3), false},
  };
  for (const Case &Item : Cases) {
    RaftPersistentState State = threeEntries();
    State.m_Hard.m_VotedFor = Item.m_VotedFor;
    Harness Replica(3, {}, State);
    RaftOutput Output =
        Replica.receive(2, Item.m_Term,
                        VoteRequest{Item.m_Term, Item.m_LastIndex,
                                    Item.m_LastTerm, false, false});
    BOOST_TEST(
        (Output.m_Hard.has_value() ==
         (Item.m_Term > 3 || (Item.m_Granted && Item.m_VotedFor == NoReplica))),
        Item.m_Name);
    if (Output.m_Hard)
      BOOST_TEST(Harness::sent<VoteResponse>(Output).empty(),
                 Item.m_Name << ": answered before the vote was durable");
    if (Output.m_Sequence > 0)
      Output = Replica.sync();
    const std::vector<VoteResponse> Answers =
        Harness::sent<VoteResponse>(Output);
    BOOST_TEST_REQUIRE(Answers.size() == 1U, Item.m_Name);
    BOOST_TEST(Answers[0].m_Granted == Item.m_Granted, Item.m_Name);
  }
}

// Guards against a replica that lost contact and then forces an election on a
// group with a working leader.
BOOST_AUTO_TEST_CASE(VoteRequestsAreIgnoredWhileALeaderIsHeard) {
  for (const bool PreVote : {true, false}) {
    Harness Replica(3, {}, threeEntries());
    Replica.receive(3, 3, HeartbeatRequest{});
    Replica.tickAfter(milliseconds(400));
    BOOST_TEST(Replica.receive(2, 9, VoteRequest{10, 9, 9, PreVote, false})
                   .m_Messages.empty());
    BOOST_TEST(Replica.status().m_Term == 3U);
    Replica.tickAfter(milliseconds(150));
    Replica.receive(2, 9, VoteRequest{10, 9, 9, PreVote, false});
    BOOST_TEST(Replica.status().m_Term == (PreVote ? 3U : 9U));
  }
}

// Guards against an acknowledgement of entries that a crash can still lose.
BOOST_AUTO_TEST_CASE(EntriesAreAcknowledgedOnceDurable) {
  Harness Replica(3, {}, threeEntries());
  const RaftOutput First =
      Replica.receive(2, 3, AppendRequest{3, 3, 0, {command(4, 3)}});
  BOOST_TEST(First.m_Append.size() == 1U);
  BOOST_TEST(Harness::sent<AppendResponse>(First).empty());
  // A repeated request finds the entry in memory, where it is not durable yet.
  BOOST_TEST(Harness::sent<AppendResponse>(
                 Replica.receive(2, 3, AppendRequest{3, 3, 0, {command(4, 3)}}))
                 .empty());
  const std::vector<AppendResponse> Answers =
      Harness::sent<AppendResponse>(Replica.sync());
  BOOST_TEST_REQUIRE(Answers.size() == 2U);
  BOOST_TEST(Answers[0].m_Match == 4U);
}

// Guards against counting entries as durable that were replaced before their
// write was synced.
BOOST_AUTO_TEST_CASE(ReplacedEntriesAreNotDurableWithTheOldWrite) {
  Harness Replica(3, {}, threeEntries());
  const uint64_t OldWrite =
      Replica
          .receive(2, 3, AppendRequest{3, 3, 0, {command(4, 3), command(5, 3)}})
          .m_Sequence;
  Replica.receive(3, 4, AppendRequest{3, 3, 0, {command(4, 4), command(5, 4)}});
  BOOST_TEST(Replica.step(PersistedInput{OldWrite}).m_Messages.empty());
  BOOST_TEST(Replica.status().m_Durable == 3U);
  Replica.sync();
  BOOST_TEST(Replica.status().m_Durable == 5U);
}

// Guards against a log that differs from the leader's after an append.
BOOST_AUTO_TEST_CASE(AppendsKeepTheLogEqualToTheLeaders) {
  struct Case {
    std::string m_Name;
    AppendRequest m_Request;
    bool m_Success;
    LogIndex m_LastIndex;
    std::optional<LogIndex> m_TruncateFrom;
  };
  const std::vector<Case> Cases = {
      {"next entry", {3, 3, 0, {command(4, 4)}}, true, 4, std::nullopt},
      {"known entries",
       {1, 1, 0, {command(2, 2), command(3, 3)}},
       true,
       3,
       std::nullopt},
      {"old request does not shorten the log",
       {1, 1, 0, {command(2, 2)}},
       true,
       3,
       std::nullopt},
      {"conflict", {1, 1, 0, {command(2, 2), command(3, 4)}}, true, 3, 3},
      {"conflict at the start", {1, 1, 0, {command(2, 4)}}, true, 2, 2},
      {"gap", {4, 4, 0, {command(5, 4)}}, false, 3, std::nullopt},
      {"other term at the previous index",
       {3, 4, 0, {command(4, 4)}},
       false,
       3,
       std::nullopt},
  };
  for (const Case &Item : Cases) {
    Harness Replica(3, {}, threeEntries());
    RaftOutput Output = Replica.receive(2, 4, Item.m_Request);
    BOOST_TEST((Output.m_TruncateFrom == Item.m_TruncateFrom), Item.m_Name);
    BOOST_TEST(Replica.status().m_LastIndex == Item.m_LastIndex, Item.m_Name);
    if (Item.m_Success)
      Output = Replica.sync();
    const std::vector<AppendResponse> Answers =
        Harness::sent<AppendResponse>(Output);
    BOOST_TEST_REQUIRE(Answers.size() == 1U, Item.m_Name);
    BOOST_TEST(Answers[0].m_Success == Item.m_Success, Item.m_Name);
  }
}

// Guards against committing an entry that is durable on too few disks,
// including the leader's own.
BOOST_AUTO_TEST_CASE(CommitNeedsDurableEntriesOnAQuorum) {
  Harness Replica(5);
  Replica.lead();
  Replica.ack(2, 2);
  BOOST_TEST(Replica.status().m_Commit == 0U);
  Replica.ack(3, 2);
  BOOST_TEST(Replica.status().m_Commit == 2U);
  Replica.propose(7);
  Replica.ack(2, 3);
  Replica.ack(3, 3);
  BOOST_TEST(Replica.status().m_Commit == 2U,
             "the entry is not durable on the leader");
  const RaftOutput Output = Replica.sync();
  BOOST_TEST(Replica.status().m_Commit == 3U);
  BOOST_TEST_REQUIRE(Output.m_Proposals.size() == 1U);
  BOOST_TEST(Output.m_Proposals[0].m_Context == 7U);
  BOOST_TEST(Output.m_Proposals[0].m_Index == 3U);
}

// Guards against committing an entry of an older term by counting replicas,
// which a later leader could still replace.
BOOST_AUTO_TEST_CASE(OldTermsCommitOnlyThroughAnEntryOfTheOwnTerm) {
  Harness Replica(3, {}, threeEntries());
  Replica.lead();
  Replica.ack(2, 3);
  BOOST_TEST(Replica.status().m_Commit == 0U);
  Replica.ack(2, 4);
  BOOST_TEST(Replica.status().m_Commit == 4U);
}

// Guards against a proposal that is reported as failed and takes effect, or is
// reported as committed and does not.
BOOST_AUTO_TEST_CASE(ProposalsEndWithTheirTrueOutcome) {
  const auto Configure = [](RaftOptions &Options) {
    Options.m_MaxUncommittedEntries = 2;
  };
  Harness Replica(3, Configure);
  const auto CodeOf = [](const RaftOutput &Output) {
    return layerErrorOf<RaftErrc>(Output.m_Proposals.at(0).m_Status);
  };
  BOOST_TEST((CodeOf(Replica.propose(1)) == RaftErrc::NotLeader));
  Replica.leadAndCommit();
  Replica.propose(2);
  Replica.propose(3);
  BOOST_TEST((CodeOf(Replica.propose(4)) == RaftErrc::Busy));
  // A later leader keeps the first entry and replaces the second.
  Replica.receive(3, 3,
                  AppendRequest{3, 2, 0, {{4, 3, EntryKind::Noop, "", {}}}});
  BOOST_TEST(Replica.sync().m_Proposals.empty());
  const RaftOutput Output = Replica.receive(3, 3, HeartbeatRequest{4, 1});
  BOOST_TEST_REQUIRE(Output.m_Proposals.size() == 2U);
  BOOST_TEST(Output.m_Proposals[0].m_Status.ok());
  BOOST_TEST((layerErrorOf<RaftErrc>(Output.m_Proposals[1].m_Status) ==
              RaftErrc::Superseded));
}

// Guards against a stale read, which is answered before a heartbeat round that
// started after the read confirms the leader.
BOOST_AUTO_TEST_CASE(ReadsWaitForARoundThatStartedAfterThem) {
  Harness Replica(3);
  Replica.lead();
  BOOST_TEST(Replica.step(ReadInput{5}).m_Reads.empty());
  BOOST_TEST(Replica.receive(2, 2, HeartbeatResponse{1}).m_Reads.empty(),
             "no entry of the term is committed");
  const RaftOutput Committed = Replica.ack(2, 2);
  const std::vector<HeartbeatRequest> Round =
      Harness::sent<HeartbeatRequest>(Committed, 2);
  BOOST_TEST_REQUIRE(!Round.empty());
  BOOST_TEST(Replica.receive(2, 2, HeartbeatResponse{1}).m_Reads.empty(),
             "round 1 started before the read");
  BOOST_TEST(Replica.step(ReadInput{6}).m_Messages.empty(),
             "reads wait for the round under way");
  BOOST_TEST(Replica.receive(2, 2, HeartbeatResponse{2}).m_Reads.empty(),
             "the index is not applied");
  const RaftOutput Applied = Replica.step(AppliedInput{2});
  BOOST_TEST_REQUIRE(Applied.m_Reads.size() == 1U);
  BOOST_TEST(Applied.m_Reads[0].m_Context == 5U);
  const RaftOutput Second = Replica.receive(3, 2, HeartbeatResponse{3});
  BOOST_TEST_REQUIRE(Second.m_Reads.size() == 1U);
  BOOST_TEST(Second.m_Reads[0].m_Context == 6U);
}

// Guards against a forwarded read that is answered before the leader confirms
// it or that never ends.
BOOST_AUTO_TEST_CASE(FollowersForwardReadsAndEndThemInTime) {
  Harness Replica(3);
  BOOST_TEST((layerErrorOf<RaftErrc>(
                  Replica.step(ReadInput{1}).m_Reads.at(0).m_Status) ==
              RaftErrc::NotLeader));
  Replica.receive(2, 2, HeartbeatRequest{});
  const std::vector<ReadIndexRequest> Sent =
      Harness::sent<ReadIndexRequest>(Replica.step(ReadInput{2}), 2);
  BOOST_TEST_REQUIRE(Sent.size() == 1U);
  BOOST_TEST(
      Replica.receive(2, 2, ReadIndexResponse{Sent[0].m_ReadId + 1, true, 0})
          .m_Reads.empty());
  const RaftOutput Done =
      Replica.receive(2, 2, ReadIndexResponse{Sent[0].m_ReadId, true, 0});
  BOOST_TEST_REQUIRE(Done.m_Reads.size() == 1U);
  BOOST_TEST(Done.m_Reads[0].m_Status.ok());
  Replica.step(ReadInput{3});
  for (int I = 0; I < 9; ++I) {
    BOOST_TEST(Replica.tickAfter(milliseconds(100)).m_Reads.empty());
    Replica.receive(2, 2, HeartbeatRequest{});
  }
  const RaftOutput Late = Replica.tickAfter(milliseconds(100));
  BOOST_TEST((layerErrorOf<RaftErrc>(Late.m_Reads.at(0).m_Status) ==
              RaftErrc::ReadNotConfirmed));
}

// Guards against a leader that sends an unbounded number of entries to a slow
// follower.
BOOST_AUTO_TEST_CASE(EntriesInFlightAreBounded) {
  const auto Configure = [](RaftOptions &Options) {
    Options.m_MaxBatchEntries = 4;
    Options.m_MaxInflightEntries = 10;
  };
  Harness Replica(3, Configure);
  Replica.leadAndCommit();
  ProposeInput Many;
  for (uint64_t Context = 1; Context <= 50; ++Context)
    Many.m_Proposals.push_back({Context, "x"});
  RaftOutput Output = Replica.step(Many);
  LogIndex Acked = 2;
  while (Acked < 52) {
    LogIndex Sent = Acked;
    for (const AppendRequest &Request :
         Harness::sent<AppendRequest>(Output, 2)) {
      BOOST_TEST(Request.m_Entries.size() <= 4U);
      Sent = std::max(Sent, Request.m_PrevIndex + Request.m_Entries.size());
    }
    BOOST_TEST_REQUIRE(Sent > Acked);
    BOOST_TEST(Sent <= Acked + 10);
    Acked = Sent;
    Output = Replica.ack(2, Acked);
  }
}

// Guards against large entries that exhaust the memory of the transport.
BOOST_AUTO_TEST_CASE(BytesInFlightAreBounded) {
  Harness Replica(
      3, [](RaftOptions &Options) { Options.m_MaxInflightBytes = 1'000; });
  Replica.leadAndCommit();
  size_t Sent = 0;
  for (uint64_t Context = 1; Context <= 20; ++Context)
    Sent += Harness::sent<AppendRequest>(
                Replica.propose(Context, std::string(300, 'x')), 2)
                .size();
  BOOST_TEST(Sent == 4U);
  BOOST_TEST(Harness::sent<AppendRequest>(Replica.ack(2, 4), 2).size() == 1U);
}

// Guards against a leadership transfer that loses entries or blocks proposals
// permanently.
BOOST_AUTO_TEST_CASE(LeadershipMovesOnceTheTargetHoldsTheLog) {
  Harness Replica(3);
  Replica.leadAndCommit();
  Replica.propose(1);
  BOOST_TEST(Harness::sent<TimeoutNow>(
                 Replica.step(TransferLeadershipInput{ReplicaId(2)}))
                 .empty());
  BOOST_TEST(
      (layerErrorOf<RaftErrc>(Replica.propose(2).m_Proposals.at(0).m_Status) ==
       RaftErrc::Busy));
  BOOST_TEST(Harness::sent<TimeoutNow>(Replica.ack(2, 3), 2).size() == 1U);
  for (int I = 0; I < 10; ++I) {
    Replica.tickAfter(milliseconds(100));
    Replica.receive(3, 2, HeartbeatResponse{});
  }
  BOOST_TEST(Replica.propose(3).m_Proposals.empty(),
             "the transfer ended after one election timeout");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::raft::sim
