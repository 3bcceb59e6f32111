#include <boost/test/unit_test.hpp>

#include "control/MemberChange.h"

namespace {

using namespace anvil;
using control::internal::answerWithoutLogEntry;
using control::internal::changeResult;
using wire::CommandStatus;
using wire::ReplicaChange;

wire::ChangeReplicas change(ReplicaChange::type Kind, int64_t Replica) {
  wire::ChangeReplicas Result;
  Result.kind = Kind;
  Result.replicaId = Replica;
  return Result;
}

/// Returns the status of a leader with voters 1 to 3 and learner 4.
raft::RaftStatus leaderStatus() {
  raft::RaftStatus Status;
  Status.m_Role = raft::RaftRole::Leader;
  Status.m_Members.m_Voters = {raft::ReplicaId(1), raft::ReplicaId(2),
                               raft::ReplicaId(3)};
  Status.m_Members.m_Learners = {raft::ReplicaId(4)};
  Status.m_MembersCommitted = true;
  return Status;
}

} // namespace

BOOST_AUTO_TEST_SUITE(MemberChangeTest)

// Guards against a repeated change that is reported as refused, and against a
// change that bypasses the checks of the replicated log.
BOOST_AUTO_TEST_CASE(OnlyChangesThatNeedNoEntryAreAnsweredAtOnce) {
  struct Case {
    ReplicaChange::type m_Kind;
    int64_t m_Replica;
    bool m_HasAddress;
    std::optional<CommandStatus::type> m_Answer;
  };
  const std::vector<Case> Cases = {
      {ReplicaChange::ADD_LEARNER, 4, true, CommandStatus::OK},
      {ReplicaChange::ADD_LEARNER, 5, true, std::nullopt},
      {ReplicaChange::ADD_LEARNER, 5, false, CommandStatus::REFUSED},
      {ReplicaChange::ADD_LEARNER, 3, true, std::nullopt},
      {ReplicaChange::PROMOTE, 3, true, CommandStatus::OK},
      {ReplicaChange::PROMOTE, 4, true, std::nullopt},
      {ReplicaChange::PROMOTE, 5, true, std::nullopt},
      {ReplicaChange::REMOVE, 5, false, CommandStatus::OK},
      {ReplicaChange::REMOVE, 3, false, std::nullopt},
      // An unknown value that the enumeration can represent.
      {static_cast<ReplicaChange::type>(0), 3, true, CommandStatus::INVALID},
  };
  for (const Case &Each : Cases) {
    BOOST_TEST_CONTEXT("kind " << Each.m_Kind << " replica " << Each.m_Replica
                               << " address " << Each.m_HasAddress) {
      const auto Answer =
          answerWithoutLogEntry(change(Each.m_Kind, Each.m_Replica),
                                leaderStatus(), Each.m_HasAddress);
      BOOST_TEST(Answer.has_value() == Each.m_Answer.has_value());
      if (Answer && Each.m_Answer)
        BOOST_TEST((Answer->status == *Each.m_Answer), Answer->message);
    }
  }
}

// Guards against the answer "already in force" that is based on an outdated
// member list.
BOOST_AUTO_TEST_CASE(UncommittedMembersAndFollowersAnswerNothing) {
  raft::RaftStatus Follower = leaderStatus();
  Follower.m_Role = raft::RaftRole::Follower;
  raft::RaftStatus Uncommitted = leaderStatus();
  Uncommitted.m_MembersCommitted = false;
  for (const raft::RaftStatus &Each : {Follower, Uncommitted})
    BOOST_TEST(!answerWithoutLogEntry(change(ReplicaChange::ADD_LEARNER, 4),
                                      Each, true)
                    .has_value());
}

// Guards against a refusal that the router retries until its deadline, and
// against a lost leadership that is reported as a refusal.
BOOST_AUTO_TEST_CASE(RefusalsBecomeResultsAndOtherErrorsStay) {
  const wire::ChangeReplicas Change = change(ReplicaChange::PROMOTE, 4);
  const auto Refused = changeResult(
      Change, makeLayerError(absl::StatusCode::kFailedPrecondition,
                             raft::RaftErrc::ChangeRefused, "it lags"));
  BOOST_REQUIRE(Refused.ok());
  BOOST_TEST((Refused->status == CommandStatus::REFUSED));
  const auto Lost =
      changeResult(Change, makeLayerError(absl::StatusCode::kFailedPrecondition,
                                          raft::RaftErrc::NotLeader, "no"));
  BOOST_TEST((layerErrorOf<raft::RaftErrc>(Lost.status()) ==
              raft::RaftErrc::NotLeader));
  const auto Done = changeResult(Change, wire::CommandResult());
  BOOST_REQUIRE(Done.ok());
  BOOST_TEST((Done->status == CommandStatus::OK));
}

BOOST_AUTO_TEST_SUITE_END()
