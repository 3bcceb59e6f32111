#ifndef ANVIL_DAEMON_VERSION_H
#define ANVIL_DAEMON_VERSION_H

#include <string_view>

namespace anvil::daemon {

/// Version of the release, the same for all processes.
inline constexpr std::string_view Version = "0.1.0";

} // namespace anvil::daemon

#endif // ANVIL_DAEMON_VERSION_H
