#ifndef ANVIL_RAFT_RAFTERROR_H
#define ANVIL_RAFT_RAFTERROR_H

#include "anvil/base/LayerError.h"

namespace anvil::raft {

/// Error codes of the consensus layer.
enum class RaftErrc {
  /// Options out of range.
  BadOptions = 1,
  /// The persistent state is inconsistent, e.g. the log has a gap.
  BadPersistentState = 2,
  /// The bytes are not a valid encoded value.
  BadEncoding = 3,
  /// This replica is not the leader. Nothing was appended.
  NotLeader = 4,
  /// A limit on pending work is reached. Nothing was appended.
  Busy = 5,
  /// The membership change or snapshot is not allowed in the current state.
  /// Nothing was appended.
  ChangeRefused = 6,
  /// Another entry was committed at the index of the proposal, which therefore
  /// never takes effect.
  Superseded = 7,
  /// A snapshot replaced the index of the proposal, so whether it took effect
  /// is unknown here.
  OutcomeUnknown = 8,
  /// The read was not confirmed in time or the leader changed.
  ReadNotConfirmed = 9,
};

} // namespace anvil::raft

template <> struct anvil::LayerErrorTraits<anvil::raft::RaftErrc> {
  static constexpr std::string_view Layer = "raft";
};

#endif // ANVIL_RAFT_RAFTERROR_H
