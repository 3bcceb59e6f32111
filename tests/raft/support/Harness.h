#ifndef ANVIL_TESTS_RAFT_SUPPORT_HARNESS_H
#define ANVIL_TESTS_RAFT_SUPPORT_HARNESS_H

#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "anvil/raft/Raft.h"

namespace anvil::raft::sim {

/// Drives one replica step by step: the test provides the messages of the other
/// replicas, the completion of disk writes and the time.
class Harness {
public:
  explicit Harness(int Voters = 3,
                   const std::function<void(RaftOptions &)> &Configure = {},
                   std::optional<RaftPersistentState> State = std::nullopt)
      : m_Raft(create(Voters, Configure, std::move(State))) {}

  static Membership voters(int Count) {
    Membership Members;
    for (int64_t Id = 1; Id <= Count; ++Id)
      Members.m_Voters.emplace_back(Id);
    return Members;
  }

  RaftOutput step(const RaftInput &Input) {
    RaftOutput Output = m_Raft.step(Input, m_Now);
    if (Output.m_Sequence > 0)
      m_LastSequence = Output.m_Sequence;
    return Output;
  }
  RaftOutput receive(int64_t Sender, TermNumber Term, RaftMessage::Body Body) {
    return step(
        ReceiveInput{{ReplicaId(Sender), ReplicaId(1), Term, std::move(Body)}});
  }
  /// Reports all writes so far as durable.
  RaftOutput sync() { return step(PersistedInput{m_LastSequence}); }
  RaftOutput tickAfter(Duration Elapsed) {
    m_Now += Elapsed;
    return step(TickInput{});
  }
  RaftOutput propose(uint64_t Context, std::string Data = "x") {
    return step(ProposeInput{{{Context, std::move(Data)}}});
  }
  RaftOutput ack(int64_t Sender, LogIndex Match) {
    return receive(Sender, status().m_Term,
                   AppendResponse{.m_Success = true, .m_Match = Match});
  }

  /// Wins an election with the votes of the replicas 2 and 3. The entry of the
  /// new term is durable on this replica but not committed.
  void lead() {
    step(TickInput{});
    tickAfter(std::chrono::seconds(1));
    for (const int64_t Voter : {2, 3})
      receive(Voter, 0, VoteResponse{status().m_Term + 1, true, true});
    sync();
    for (const int64_t Voter : {2, 3})
      receive(Voter, status().m_Term,
              VoteResponse{status().m_Term, false, true});
    sync();
  }
  /// Like lead(); in addition the replicas 2 and 3 acknowledge the whole log,
  /// which is then committed and applied.
  void leadAndCommit() {
    lead();
    ack(2, status().m_LastIndex);
    ack(3, status().m_LastIndex);
    step(AppliedInput{status().m_LastIndex});
  }

  RaftStatus status() const { return m_Raft.status(); }
  Raft &raft() { return m_Raft; }
  TimePoint now() const { return m_Now; }

  /// Returns the messages of type T to \p Receiver, or to all replicas if it is
  /// 0.
  template <typename T>
  static std::vector<T> sent(const RaftOutput &Output, int64_t Receiver = 0) {
    std::vector<T> Result;
    for (const RaftMessage &Message : Output.m_Messages)
      if (const T *Body = std::get_if<T>(&Message.m_Body);
          Body != nullptr &&
          (Receiver == 0 || Message.m_To.value() == Receiver))
        Result.push_back(*Body);
    return Result;
  }

private:
  static Raft create(int Voters,
                     const std::function<void(RaftOptions &)> &Configure,
                     std::optional<RaftPersistentState> State) {
    RaftOptions Options;
    Options.m_Self = ReplicaId(1);
    Options.m_Random = [](uint64_t Bound) { return Bound / 2; };
    if (Configure)
      Configure(Options);
    return *Raft::create(std::move(Options),
                         State ? *std::move(State)
                               : bootstrapState(voters(Voters)));
  }

  Raft m_Raft;
  TimePoint m_Now = timePointFromMicros(1'000'000);
  uint64_t m_LastSequence = 0;
};

} // namespace anvil::raft::sim

#endif // ANVIL_TESTS_RAFT_SUPPORT_HARNESS_H
