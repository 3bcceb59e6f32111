#ifndef ANVIL_CONTROL_CONTROLSETTINGS_H
#define ANVIL_CONTROL_CONTROLSETTINGS_H

#include <map>
#include <string_view>

#include "absl/status/statusor.h"

#include "anvil/control/ControlServer.h"
#include "anvil/daemon/Settings.h"

namespace anvil::control {

/// Declares the settings of a control process. Parsed values are stored in
/// \p Options, which must outlive the result.
daemon::Settings controlSettings(ControlOptions &Options);

/// Parses "ID=IP:PORT,ID=IP:PORT,...". Returns kInvalidArgument unless there is
/// at least one replica and the IDs are unique and from 1 to 1,000,000.
absl::StatusOr<std::map<raft::ReplicaId, net::Endpoint>>
parseReplicas(std::string_view Text);

/// Sets the clock and random hooks of \p Options to those of the process. Tests
/// set their own.
void fillProcessHooks(ControlOptions &Options);

} // namespace anvil::control

#endif // ANVIL_CONTROL_CONTROLSETTINGS_H
