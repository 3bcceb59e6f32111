#ifndef ANVIL_CONTROL_CONTROLSETTINGS_H
#define ANVIL_CONTROL_CONTROLSETTINGS_H

#include <map>
#include <string_view>

#include "absl/status/statusor.h"

#include "anvil/control/ControlServer.h"
#include "anvil/daemon/Settings.h"

namespace anvil::control {

/// Declares the settings of a control process; they are stored into \p Options,
/// which must outlive the result.
daemon::Settings controlSettings(ControlOptions &Options);

/// Parses "ID=IP:PORT,ID=IP:PORT,..."; ids are positive and unique.
absl::StatusOr<std::map<raft::ReplicaId, net::Endpoint>>
parseReplicas(std::string_view Text);

/// Sets clocks and random sources of this process.
void fillProcessHooks(ControlOptions &Options);

} // namespace anvil::control

#endif // ANVIL_CONTROL_CONTROLSETTINGS_H
