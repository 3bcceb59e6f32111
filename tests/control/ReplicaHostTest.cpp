#include "anvil/control/ReplicaHost.h"

#include <boost/test/unit_test.hpp>

#include "anvil/daemon/Process.h"
#include "store/FakeFileSystem.h"
#include "support/Loopback.h"

namespace anvil::control {
namespace {

constexpr int64_t Self = 1;
constexpr int64_t Learner = 2;

ReplicaHostOptions optionsOfSingleReplica() {
  ReplicaHostOptions Options;
  Options.m_Raft.m_Self = raft::ReplicaId(Self);
  Options.m_Raft.m_Random = [](uint64_t) { return 0; };
  Options.m_Bootstrap.emplace().m_Voters = {raft::ReplicaId(Self)};
  // Nothing listens on this port; a learner can be added while unreachable.
  Options.m_Peers[raft::ReplicaId(Learner)] = {"127.0.0.1", 9};
  Options.m_Rpc.m_Random = [] { return 0.5; };
  Options.m_Now = daemon::monotonicNow;
  Options.m_WallClockMicros = [] { return int64_t{1}; };
  return Options;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ReplicaHostTest)

// Guards against a process that aborts when a membership change succeeds,
// because the OK status is converted to an error.
BOOST_AUTO_TEST_CASE(AnswersASuccessfulMembershipChange) {
  support::Loopback Loop;
  store::FakeFileSystem Files;
  auto Store = store::LogStore::open({}, Files);
  BOOST_REQUIRE(Store.ok());
  auto Host = ReplicaHost::create(Loop.m_Io, optionsOfSingleReplica(),
                                  *std::move(Store));
  BOOST_REQUIRE(Host.ok());
  (*Host)->start({});
  BOOST_REQUIRE(Loop.runUntil([&] { return (*Host)->leads(); }));
  // A leader refuses changes until it has committed an entry of its term.
  BOOST_REQUIRE(
      Loop.runUntil([&] { return (*Host)->status().m_MembersCommitted; }));
  bool Read = false;
  (*Host)->read([&](const absl::Status &Status) { Read = Status.ok(); });
  BOOST_REQUIRE(Loop.runUntil([&] { return Read; }));

  wire::ChangeReplicas Add;
  Add.replicaId = Learner;
  Add.kind = wire::ReplicaChange::ADD_LEARNER;
  wire::Command Command;
  Command.__set_changeReplicas(Add);
  std::optional<absl::StatusOr<wire::CommandResult>> Result;
  (*Host)->propose(Command, [&](absl::StatusOr<wire::CommandResult> Answer) {
    Result = std::move(Answer);
  });
  BOOST_REQUIRE(Loop.runUntil([&] { return Result.has_value(); }));
  BOOST_REQUIRE_MESSAGE(Result->ok(), Result->status());
  BOOST_TEST((*Result)->status == wire::CommandStatus::OK);
  BOOST_TEST((*Result)->index > 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::control
