#ifndef ANVIL_STATE_STATEQUERY_H
#define ANVIL_STATE_STATEQUERY_H

#include <string>
#include <string_view>
#include <vector>

#include "anvil/config/Document.h"
#include "anvil/state/ClusterState.h"
#include "anvil_types.h"

namespace anvil::state {

/// Answers one read as JSON text.
///
/// | kind | argument |
/// |---|---|
/// | `job` | job number |
/// | `jobs` | `key=value` pairs joined by `&`: `workspace`, `phase`, `after`
/// (job number), `limit` (1 to 1,000) | | `config`, `status` | empty | |
/// `config-history` | versions to list, 1 to 1,024; 100 if empty | |
/// `explain/job`, `explain/vm`, `explain/zone`, `explain/workspace` | number or
/// name |
///
/// Errors are `{"error": {"code", "message", "field"}}` with HTTP status 400 or
/// 404.
wire::QueryReply answerQuery(const ClusterState &State, std::string_view Kind,
                             std::string_view Argument);

/// Returns the services of a document as entries receive them.
std::vector<wire::ServiceConfig> serviceConfigs(const config::Document &Doc);

namespace internal {
/// Return sentences about one thing for operators; empty if it is unknown.
std::vector<std::string> explainJob(const ClusterState &State, JobId Id);
std::vector<std::string> explainVm(const ClusterState &State, const VmId &Vm);
std::vector<std::string> explainZone(const ClusterState &State,
                                     const std::string &Zone);
std::vector<std::string> explainWorkspace(const ClusterState &State,
                                          const std::string &Workspace);
} // namespace internal

} // namespace anvil::state

#endif // ANVIL_STATE_STATEQUERY_H
