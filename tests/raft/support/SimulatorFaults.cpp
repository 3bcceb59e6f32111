#include <algorithm>
#include <utility>

#include "raft/support/Simulator.h"

namespace anvil::raft::sim {

namespace {

constexpr int64_t PhaseMicros = 10'000'000;
/// The rest of each phase has no faults, so that the group can recover.
constexpr int64_t FaultMicros = 7'500'000;

} // namespace

void Simulator::chooseProfile() {
  const auto Draw = [this](auto... Choices) {
    const double Values[] = {static_cast<double>(Choices)...};
    return Values[m_Random.below(sizeof...(Choices))];
  };
  m_Profile.m_MaxMessageDelay =
      static_cast<int64_t>(Draw(10'000, 60'000, 250'000));
  m_Profile.m_MaxSyncDelay = static_cast<int64_t>(Draw(8'000, 60'000, 300'000));
  m_Profile.m_LateRate = Draw(0, 0.01, 0.1);
  m_Profile.m_NewLeaderCrashRate = Draw(0, 0.2, 0.6);
  m_Profile.m_VoteCrashRate = Draw(0, 0.1, 0.3);
  m_Profile.m_MaxRestartDelay =
      static_cast<int64_t>(Draw(20'000, 300'000, 1'500'000));
  m_Profile.m_OperatorInterval = static_cast<int64_t>(Draw(40'000, 400'000));
  m_Profile.m_TransferRate = Draw(0.01, 0.3);
}

SimReplica *Simulator::randomLeader() {
  std::vector<SimReplica *> Leaders;
  for (const auto &[Id, Replica] : m_Replicas)
    if (Replica->m_Raft && Replica->m_Raft->status().m_Role == RaftRole::Leader)
      Leaders.push_back(Replica.get());
  return Leaders.empty() ? nullptr : m_Random.pick(Leaders);
}

void Simulator::clientOperation(int Client) {
  if (m_Repairing)
    return;
  const std::vector<ReplicaId> Up = upReplicas();
  if (!Up.empty()) {
    SimReplica *Target = m_Random.chance(0.6) ? randomLeader() : nullptr;
    if (Target == nullptr)
      Target = &replica(m_Random.pick(Up));
    if (m_Random.chance(0.5))
      write(*Target);
    else
      read(*Target);
  }
  schedule(m_Random.between(2'000, 40'000),
           [this, Client] { clientOperation(Client); });
}

void Simulator::read(SimReplica &Replica) {
  const uint64_t Context = m_NextContext++;
  m_Checker.onInvoke(Context);
  step(Replica, ReadInput{Context});
}

/// Reads at every replica that considers itself the leader, because a deposed
/// leader must not answer.
void Simulator::readAtLeaders() {
  if (m_Repairing)
    return;
  for (const auto &[Id, Replica] : m_Replicas)
    if (Replica->m_Raft && Replica->m_Raft->status().m_Role == RaftRole::Leader)
      read(*Replica);
  schedule(m_Random.between(2'000, 20'000), [this] { readAtLeaders(); });
}

void Simulator::injectFaults() {
  if (m_Repairing)
    return;
  const std::vector<ReplicaId> Up = upReplicas();
  if (!Up.empty() && m_Random.chance(0.4))
    makeSnapshot(replica(m_Random.pick(Up)));
  if (m_Now % PhaseMicros > FaultMicros) {
    heal();
    m_DropRate = m_DuplicateRate = 0;
    for (const auto &[Id, Replica] : m_Replicas)
      restart(Id);
  } else {
    injectLinkFaults();
    crashOrRestart();
  }
  if (m_Random.chance(0.15) && mayLoseReplica())
    loseReplica();
  schedule(m_Random.between(50'000, 400'000), [this] { injectFaults(); });
}

void Simulator::injectLinkFaults() {
  if (m_Random.chance(0.2)) {
    m_DropRate = 0.001 * static_cast<double>(m_Random.below(200));
    m_DuplicateRate = 0.001 * static_cast<double>(m_Random.below(200));
  }
  if (m_Random.chance(0.3))
    heal();
  const std::vector<ReplicaId> Up = upReplicas();
  if (Up.empty())
    return;
  if (m_Random.chance(0.3))
    block(m_Random.pick(Up), m_Random.pick(Up));
  SimReplica *Leader = randomLeader();
  if (m_Random.chance(0.1))
    isolate(Leader != nullptr ? Leader->m_Id : m_Random.pick(Up));
  if (m_Random.chance(0.1))
    isolate(m_Random.pick(Up));
}

void Simulator::crashOrRestart() {
  for (const auto &[Id, Replica] : m_Replicas) {
    if (!Replica->m_Raft && !Replica->m_Lost && m_Random.chance(0.4)) {
      restart(Id);
    } else if (Replica->m_Raft && m_Random.chance(0.06)) {
      crash(Id);
    }
  }
}

void Simulator::crashSoon(SimReplica &Replica) {
  scheduleFor(Replica, m_Random.between(0, 2 * m_Profile.m_MaxSyncDelay),
              [this, &Replica] { crashAndRestart(Replica); });
}

void Simulator::crashAndRestart(SimReplica &Replica) {
  crash(Replica.m_Id);
  schedule(m_Random.between(1'000, m_Profile.m_MaxRestartDelay),
           [this, &Replica] { restart(Replica.m_Id); });
}

/// Returns whether a disk may be lost permanently: only while no voter is down,
/// so that a majority with its data remains.
bool Simulator::mayLoseReplica() {
  SimReplica *Leader = leader();
  if (Leader == nullptr)
    return false;
  const Membership Members = Leader->m_Raft->status().m_Members;
  if (Members.m_Voters.size() < 3)
    return false;
  return std::all_of(
      Members.m_Voters.begin(), Members.m_Voters.end(), [&](ReplicaId Voter) {
        const SimReplica &Replica = *m_Replicas.at(Voter);
        if (!Replica.m_Raft)
          return false;
        const RaftStatus Status = Replica.m_Raft->status();
        return Status.m_Members == Members && Status.m_MembersCommitted;
      });
}

void Simulator::loseReplica() {
  const ReplicaId LostId =
      m_Random.pick(leader()->m_Raft->status().m_Members.m_Voters);
  replica(LostId).m_Raft.reset();
  replica(LostId).m_Lost = true;
  ++m_Report.m_Losses;
}

/// Simulates an operator who replaces lost replicas and changes the number of
/// voters.
void Simulator::runOperator() {
  if (m_Repairing)
    return;
  schedule(m_Random.between(5'000, m_Profile.m_OperatorInterval),
           [this] { runOperator(); });
  stopRemovedReplicas();
  SimReplica *Leader = randomLeader();
  if (Leader == nullptr)
    return;
  const Membership Members = Leader->m_Raft->status().m_Members;
  if (removeDeadMember(*Leader, Members))
    return;
  if (m_Random.chance(m_Profile.m_TransferRate))
    return step(*Leader,
                TransferLeadershipInput{m_Random.pick(Members.m_Voters)});
  if (m_Random.chance(0.1))
    m_TargetVoters = 3 + m_Random.below(3);
  if (!Members.m_Learners.empty()) {
    changeMembership(*Leader, MembershipChangeKind::PromoteLearner,
                     Members.m_Learners.front());
  } else if (Members.m_Voters.size() < m_TargetVoters) {
    addLearner(*Leader);
  } else if (Members.m_Voters.size() > m_TargetVoters) {
    changeMembership(*Leader, MembershipChangeKind::RemoveReplica,
                     m_Random.pick(Members.m_Voters));
  } else if (m_Random.chance(0.1)) {
    step(*Leader, TransferLeadershipInput{m_Random.pick(Members.m_Voters)});
  }
}

bool Simulator::removeDeadMember(SimReplica &Leader,
                                 const Membership &Members) {
  for (const auto &[Id, Replica] : m_Replicas) {
    if (!Replica->m_Lost || !Members.contains(Id))
      continue;
    changeMembership(Leader, MembershipChangeKind::RemoveReplica, Id);
    return true;
  }
  return false;
}

void Simulator::changeMembership(SimReplica &Leader, MembershipChangeKind Kind,
                                 ReplicaId Id) {
  if (Kind == MembershipChangeKind::RemoveReplica)
    m_RemovalRequested.insert(Id);
  step(Leader, ChangeMembershipInput{0, Kind, Id});
}

void Simulator::addLearner(SimReplica &Leader) {
  const ReplicaId Id(m_NextReplica++);
  start(addReplica(Id, {}));
  changeMembership(Leader, MembershipChangeKind::AddLearner, Id);
  if (Leader.m_Raft->status().m_Members.contains(Id))
    return;
  // The change was refused, so the replica is not needed.
  replica(Id).m_Raft.reset();
  replica(Id).m_Lost = true;
}

/// Permanently stops replicas whose removal is committed.
void Simulator::stopRemovedReplicas() {
  for (const ReplicaId Id : m_RemovalRequested) {
    if (m_LastMembership.m_Members.contains(Id))
      continue;
    replica(Id).m_Raft.reset();
    replica(Id).m_Lost = true;
  }
}

void Simulator::endFaults() {
  m_Repairing = true;
  m_Profile = {};
  m_SettleIndex = 0;
  m_DropRate = m_DuplicateRate = 0;
  heal();
  for (const auto &[Id, Replica] : m_Replicas)
    restart(Id);
}

/// Returns whether all members with a disk have applied a write that started
/// after the repair.
bool Simulator::isSettled() {
  SimReplica *Leader = leader();
  if (Leader == nullptr)
    return false;
  if (m_SettleIndex == 0) {
    if (m_Random.chance(0.02))
      write(*Leader);
    return false;
  }
  const Membership Members = Leader->m_Raft->status().m_Members;
  return std::all_of(m_Replicas.begin(), m_Replicas.end(),
                     [&](const auto &Item) {
                       const SimReplica &Replica = *Item.second;
                       return Replica.m_Lost || !Members.contains(Item.first) ||
                              Replica.m_State.m_Index >= m_SettleIndex;
                     });
}

} // namespace anvil::raft::sim
