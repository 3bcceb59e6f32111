#ifndef ANVIL_SRC_NODE_GROUPFORMATION_H
#define ANVIL_SRC_NODE_GROUPFORMATION_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "anvil/base/Time.h"
#include "anvil/net/Endpoint.h"
#include "workload_types.h"

namespace anvil::node::internal {

/// Settings of a GroupFormation.
struct FormationOptions {
  std::string m_Address;
  std::vector<net::Endpoint> m_Seeds;
  int64_t m_Replica = 0; ///< Id of the own replica, or 0 for none.
  /// This process holds an empty replica, and the deployment starts for the
  /// first time.
  bool m_CanFoundGroup = false;
  bool m_FirstStart = false;
  /// Time for all processes of a first start to announce themselves. They start
  /// within 0.3 s of each other.
  Duration m_GatherTime = std::chrono::milliseconds(600);
  /// Time between two searches for the group while no leader is known.
  Duration m_SearchInterval = std::chrono::milliseconds(200);
  /// Time between two searches while a leader is known. They keep the view of
  /// the seeds up to date, since other processes ask the seeds for the group.
  Duration m_RefreshInterval = std::chrono::seconds(1);
};

/// What the process knows about the group.
struct FormationInput {
  bool m_InGroup = false;
  bool m_GroupKnown = false;
  bool m_LeaderKnown = false;
};

/// Decides which process founds the Raft group at the first start of a
/// deployment, and when a replica joins the group.
///
/// At the first start all processes have the same list of seeds. Only the first
/// seed chooses the founder, which is itself if it holds a replica, so that
/// there is a single group. The founder starts as the only voter and all others
/// join it. No later start founds a group. It reads no clock and does no I/O.
///
/// Usage: step() at short intervals; recordCandidate() and
/// onFoundGroupRequest() for the requests of other processes.
class GroupFormation {
public:
  struct Founder {
    int64_t m_Replica = 0;
    net::Endpoint m_Address;
  };
  /// What the process has to do now.
  struct Actions {
    std::vector<net::Endpoint> m_PeersToAsk; ///< To ask for the group.
    bool m_FoundGroup = false;
    bool m_JoinGroup = false;
    /// Process to send the request to found the group.
    std::optional<Founder> m_AskToFoundGroup;
  };

  GroupFormation(FormationOptions Options, TimePoint Now)
      : m_Options(std::move(Options)), m_StartedAt(Now) {}

  /// Handles the request of another process, which may be able to found the
  /// group.
  void recordCandidate(const wire::LocateRequest &Request);
  /// Handles the request of the first seed to found the group with \p Replica.
  /// Returns whether this process will do so.
  bool onFoundGroupRequest(int64_t Replica);
  /// Sets the id of the own replica, or 0 for none.
  void setReplica(int64_t Replica, bool CanFoundGroup) {
    m_Options.m_Replica = Replica;
    m_Options.m_CanFoundGroup = CanFoundGroup;
  }
  void setSeeds(std::vector<net::Endpoint> Seeds) {
    m_Options.m_Seeds = std::move(Seeds);
  }
  /// Returns the actions that are due at \p Now.
  Actions step(const FormationInput &Input, TimePoint Now);

private:
  bool isCoordinator() const;
  void chooseFounder(Actions &Next) const;

  FormationOptions m_Options;
  TimePoint m_StartedAt;
  TimePoint m_NextSearch;
  bool m_FoundingRequested = false;
  std::map<int64_t, net::Endpoint> m_Candidates; ///< By replica.
  std::optional<Founder> m_ChosenFounder;
};

} // namespace anvil::node::internal

#endif // ANVIL_SRC_NODE_GROUPFORMATION_H
