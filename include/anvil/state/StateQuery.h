#ifndef ANVIL_STATE_STATEQUERY_H
#define ANVIL_STATE_STATEQUERY_H

#include <string>
#include <string_view>
#include <vector>

#include "anvil/config/Document.h"
#include "anvil/state/ClusterState.h"
#include "anvil_types.h"

namespace anvil::state {

/// Answers one query as JSON text.
///
/// The kinds and their arguments:
/// - `job`: the job id.
/// - `jobs`: `key=value` pairs joined by `&`. The keys are `workspace`,
///   `phase`, `after` (a job id) and `limit` (1 to 1,000; 100 by default).
/// - `config`, `status`: no argument.
/// - `config-history`: the number of versions, 1 to 1,024; 100 if empty.
/// - `explain/job`: the job id.
/// - `explain/vm`, `explain/zone`, `explain/workspace`: the name.
///
/// An error has the body `{"error": {"code", "message", "field"}}` and HTTP
/// status 400 for an invalid query or 404 for an unknown object.
wire::QueryReply answerQuery(const ClusterState &State, std::string_view Kind,
                             std::string_view Argument);

/// Returns the services of a document in the form that entries receive.
std::vector<wire::ServiceConfig> serviceConfigs(const config::Document &Doc);

namespace internal {
/// Return sentences that describe one object to operators; empty if it is
/// unknown.
std::vector<std::string> explainJob(const ClusterState &State, JobId Id);
std::vector<std::string> explainVm(const ClusterState &State, const VmId &Vm);
std::vector<std::string> explainZone(const ClusterState &State,
                                     const std::string &Zone);
std::vector<std::string> explainWorkspace(const ClusterState &State,
                                          const std::string &Workspace);
} // namespace internal

} // namespace anvil::state

#endif // ANVIL_STATE_STATEQUERY_H
