#ifndef ANVIL_SRC_CONTROL_QUERIES_H
#define ANVIL_SRC_CONTROL_QUERIES_H

#include <functional>
#include <string>

#include "SchedulerDriver.h"
#include "anvil/raft/Raft.h"
#include "anvil/state/ClusterState.h"
#include "anvil_types.h"

namespace anvil::control::internal {

/// The data that queries are answered from.
struct QueryContext {
  const state::ClusterState &m_State;
  raft::RaftStatus m_Raft;
  const SchedulerDriver &m_Scheduler;
  std::string m_Name;
  std::string m_AvailabilityZone;
  size_t m_Sessions = 0;
  TimePoint m_Now;
  /// Returns whether this replica has a connection to another one.
  std::function<bool(raft::ReplicaId)> m_Connected;
};

/// Returns true if only the leader can answer the query in full.
bool needsLeader(const wire::QueryRequest &Request);

/// Answers a query with JSON text. Unknown kinds and names return the HTTP
/// status 400 or 404 and a JSON error.
wire::QueryReply answerQuery(const wire::QueryRequest &Request,
                             const QueryContext &Context);

/// Returns the routing table and the configuration, each only if its version
/// differs from the one that the entry has.
wire::EntrySyncReply entrySyncReply(const wire::EntrySyncRequest &Request,
                                    const state::ClusterState &State);

} // namespace anvil::control::internal

#endif // ANVIL_SRC_CONTROL_QUERIES_H
