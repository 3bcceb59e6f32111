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
  int64_t m_Replica = 0; ///< 0: this process holds none.
  /// This process holds an empty replica of a deployment that starts for the
  /// first time.
  bool m_MayFound = false;
  bool m_FirstStart = false;
  /// Time for all processes of a first start to announce themselves; they start
  /// within 0.3 s of each other.
  Duration m_Gather = std::chrono::milliseconds(600);
  /// Time between two rounds of search while no leader is known.
  Duration m_SearchInterval = std::chrono::milliseconds(200);
  /// The same while one is known, so that processes which the settings name
  /// know the group when others ask them.
  Duration m_CalmInterval = std::chrono::seconds(1);
};

/// What a process knows when it looks at the group.
struct FormationInput {
  bool m_InGroup = false;
  bool m_GroupKnown = false;
  bool m_LeaderKnown = false;
};

/// Decides how the first group comes to be and how replicas find it.
///
/// At the first start all processes are told the same seed addresses. The first
/// of them alone chooses the founder, itself if it holds a replica, so that
/// there is one. The founder starts as the only voter and all others join it.
/// At any later start nothing is founded. It reads no clock and does no I/O.
class GroupFormation {
public:
  struct Founder {
    int64_t m_Replica = 0;
    net::Endpoint m_Address;
  };
  /// What is to be done.
  struct Step {
    std::vector<net::Endpoint> m_Locate; ///< Processes to ask for the group.
    bool m_Found = false;
    bool m_Join = false;
    std::optional<Founder> m_AskToFound;
  };

  GroupFormation(FormationOptions Options, TimePoint Now)
      : m_Options(std::move(Options)), m_StartedAt(Now) {}

  /// Another process announced itself.
  void heard(const wire::LocateRequest &Request);
  /// The coordinator asks this process to found the group. Returns whether it
  /// will.
  bool asked(int64_t Replica);
  /// The process holds a replica from now on, or 0 for none.
  void setReplica(int64_t Replica, bool MayFound) {
    m_Options.m_Replica = Replica;
    m_Options.m_MayFound = MayFound;
  }
  void setSeeds(std::vector<net::Endpoint> Seeds) {
    m_Options.m_Seeds = std::move(Seeds);
  }
  Step step(const FormationInput &Input, TimePoint Now);

private:
  bool coordinates() const;
  void chooseFounder(Step &Next) const;

  FormationOptions m_Options;
  TimePoint m_StartedAt;
  TimePoint m_NextSearch;
  bool m_Asked = false;
  std::map<int64_t, net::Endpoint> m_Candidates; ///< By replica.
  std::optional<Founder> m_Chosen;
};

} // namespace anvil::node::internal

#endif // ANVIL_SRC_NODE_GROUPFORMATION_H
