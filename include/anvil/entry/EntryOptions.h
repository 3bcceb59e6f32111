#ifndef ANVIL_ENTRY_ENTRYOPTIONS_H
#define ANVIL_ENTRY_ENTRYOPTIONS_H

#include <cstdint>
#include <string>
#include <vector>

#include "anvil/base/Time.h"
#include "anvil/daemon/Settings.h"
#include "anvil/net/Endpoint.h"

namespace anvil::entry {

/// Settings of an entry process.
struct EntryOptions {
  std::string m_Name;
  std::string m_AvailabilityZone;
  net::Endpoint m_Listen;
  std::vector<net::Endpoint> m_Controls;
  int64_t m_MaxConnections = 1024;
  int64_t m_MaxRequests = 512;
  int64_t m_MaxBufferedMib = 64;
  Duration m_SyncPeriod = std::chrono::milliseconds(250);
  Duration m_ReceiveLimit = std::chrono::seconds(10);
  Duration m_IdleLimit = std::chrono::seconds(60);
  Duration m_DrainNotice = std::chrono::seconds(
      1); ///< Between reporting not ready and closing the listener.
  Duration m_DrainLimit{0}; ///< 0 waits for every request in progress.
};

/// Declares the settings of an entry; \p Options must outlive the reader.
void declareSettings(daemon::Settings &Reader, EntryOptions &Options);

} // namespace anvil::entry

#endif // ANVIL_ENTRY_ENTRYOPTIONS_H
