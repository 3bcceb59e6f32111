#ifndef ANVIL_SRC_CONTROL_TIMELINEGATHER_H
#define ANVIL_SRC_CONTROL_TIMELINEGATHER_H

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "anvil/control/ReplicaHost.h"
#include "anvil/timeline/Timeline.h"

namespace anvil::control::internal {

/// Maximum number of agents that one query contacts. A query for one VM or job
/// contacts only the agents on the VMs concerned.
constexpr size_t MaxAgentsQueried = 256;
/// A process that does not answer within this time is reported as missing.
constexpr Duration GatherTimeout = std::chrono::seconds(1);

/// Collects the events of this replica, the other voters and the agents.
///
/// \p Argument is a time line filter. \p Done receives the merged events;
/// processes that did not answer appear as events of kind "timeline.missing".
void gatherTimeline(boost::asio::io_context &Io, ReplicaHost &Replica,
                    const net::RpcOptions &Options,
                    timeline::Recorder &LocalRecorder,
                    const std::string &Argument,
                    std::function<void(std::vector<timeline::Event>)> Done);

} // namespace anvil::control::internal

#endif // ANVIL_SRC_CONTROL_TIMELINEGATHER_H
