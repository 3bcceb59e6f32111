#include "anvil/raft/Raft.h"

#include <utility>

#include "absl/strings/str_cat.h"

#include "raft/RaftCore.h"

namespace anvil::raft {

namespace {

absl::Status badOption(std::string_view Text) {
  return makeLayerError(absl::StatusCode::kInvalidArgument,
                        RaftErrc::BadOptions, Text);
}

absl::Status checkState(const RaftPersistentState &State) {
  const SnapshotMeta &Meta = State.m_Snapshot.m_Meta;
  const auto BadState = [](std::string_view Text) {
    return makeLayerError(absl::StatusCode::kDataLoss,
                          RaftErrc::BadPersistentState, Text);
  };
  if (Meta.m_Index > 0 && !State.m_Snapshot.m_Data)
    return BadState("snapshot without data");
  const TermNumber LastTerm =
      State.m_Entries.empty() ? 0 : State.m_Entries.back().m_Term;
  if (LastTerm > State.m_Hard.m_Term)
    return BadState(absl::StrCat("log has term ", LastTerm,
                                 " but the hard state has term ",
                                 State.m_Hard.m_Term));
  if (Meta.m_Term > State.m_Hard.m_Term)
    return BadState(absl::StrCat("snapshot has term ", Meta.m_Term,
                                 " but the hard state has term ",
                                 State.m_Hard.m_Term));
  return absl::OkStatus();
}

} // namespace

absl::Status RaftOptions::check() const {
  if (m_Self.value() <= 0)
    return badOption("m_Self must be positive");
  if (!m_Random)
    return badOption("m_Random is required");
  if (m_ElectionTimeoutMin <= Duration::zero() ||
      m_ElectionTimeoutMax <= m_ElectionTimeoutMin)
    return badOption("m_ElectionTimeoutMax must exceed m_ElectionTimeoutMin, "
                     "which must be positive");
  if (m_PreVoteTimeoutMin <= Duration::zero() ||
      m_PreVoteTimeoutMax <= m_PreVoteTimeoutMin)
    return badOption(
        "m_PreVoteTimeoutMax must exceed m_PreVoteTimeoutMin, which "
        "must be positive");
  if (m_HeartbeatInterval <= Duration::zero() ||
      2 * m_HeartbeatInterval >= m_ElectionTimeoutMin)
    return badOption("m_HeartbeatInterval must be positive and below half of "
                     "m_ElectionTimeoutMin");
  if (m_ReadTimeout <= Duration::zero())
    return badOption("m_ReadTimeout must be positive");
  if (m_MaxBatchEntries == 0 || m_MaxBatchBytes == 0 ||
      m_MaxInflightEntries == 0 || m_MaxInflightBytes == 0 ||
      m_SnapshotChunkBytes == 0)
    return badOption("batch, in-flight and chunk limits must be positive");
  if (m_MaxUncommittedEntries == 0 || m_MaxPendingReads == 0)
    return badOption("limits on pending work must be positive");
  return absl::OkStatus();
}

absl::StatusOr<Raft> Raft::create(RaftOptions Options,
                                  RaftPersistentState State) {
  if (absl::Status Error = Options.check(); !Error.ok())
    return Error;
  if (absl::Status Error = checkState(State); !Error.ok())
    return Error;
  const bool HadEntries = !State.m_Entries.empty();
  absl::StatusOr<internal::RaftLog> Log = internal::RaftLog::create(
      State.m_Snapshot.m_Meta, std::move(State.m_Entries));
  if (!Log.ok())
    return Log.status();
  const bool DropsStaleEntries =
      HadEntries && Log->lastIndex() == Log->baseIndex();
  return Raft(std::make_unique<internal::RaftCore>(
      std::move(Options), State.m_Hard, std::move(State.m_Snapshot),
      *std::move(Log), DropsStaleEntries));
}

Raft::Raft(std::unique_ptr<internal::RaftCore> Core)
    : m_Core(std::move(Core)) {}
Raft::Raft(Raft &&Other) noexcept = default;
Raft &Raft::operator=(Raft &&Other) noexcept = default;
Raft::~Raft() = default;

RaftOutput Raft::step(const RaftInput &Input, TimePoint Now) {
  return m_Core->step(Input, Now);
}

TimePoint Raft::nextDeadline() const { return m_Core->nextDeadline(); }

RaftStatus Raft::status() const { return m_Core->status(); }

std::optional<TermNumber> Raft::termAt(LogIndex Index) const {
  return m_Core->log().termAt(Index);
}

absl::StatusOr<SnapshotMeta> Raft::snapshotMeta(LogIndex Index) const {
  return m_Core->snapshotMeta(Index);
}

} // namespace anvil::raft
