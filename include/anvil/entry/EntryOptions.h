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
  /// Unique in the environment.
  std::string m_Name;
  /// Zone of this VM. Its targets are preferred at equal load.
  std::string m_AvailabilityZone;
  /// Address of the HTTP listener. Port 0 selects a free port.
  net::Endpoint m_Listen;
  /// Addresses of the control replicas; at least one.
  std::vector<net::Endpoint> m_Controls;
  int64_t m_MaxConnections = 1024;
  /// Bound on requests in progress. It must not exceed m_MaxConnections, since
  /// each request in progress holds a connection.
  int64_t m_MaxRequests = 512;
  /// Bound on buffered request bodies.
  int64_t m_MaxBufferedMib = 64;
  /// Period of the sync with control.
  Duration m_SyncPeriod = std::chrono::milliseconds(250);
  /// Time a caller has to send a request.
  Duration m_ReceiveLimit = std::chrono::seconds(10);
  /// Time after which an idle connection is closed.
  Duration m_IdleLimit = std::chrono::seconds(60);
  /// Time between reporting not ready and closing the listener.
  Duration m_DrainNotice = std::chrono::seconds(1);
  /// Time after which a shutdown cuts off the requests in progress; 0 waits for
  /// all of them.
  Duration m_DrainLimit{0};
};

/// Declares the settings of an entry. \p Reader fills \p Options, which must
/// outlive it.
void declareSettings(daemon::Settings &Reader, EntryOptions &Options);

} // namespace anvil::entry

#endif // ANVIL_ENTRY_ENTRYOPTIONS_H
