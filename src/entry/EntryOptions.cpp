#include "anvil/entry/EntryOptions.h"

namespace anvil::entry {

void declareSettings(daemon::Settings &Reader, EntryOptions &Options) {
  using std::chrono::hours;
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  Reader.addName("name", "", "Name of this entry, unique in the environment.",
                 Options.m_Name);
  Reader.addName(
      "availability-zone", "",
      "Availability zone of this VM; its targets are preferred at equal load.",
      Options.m_AvailabilityZone);
  Reader.addEndpoint("listen", "127.0.0.1:8080",
                     "Address of the HTTP listener.", Options.m_Listen);
  Reader.addEndpoints("control", "",
                      "Addresses of the control replicas, separated by commas.",
                      Options.m_Controls);
  Reader.addInteger("max-connections", 1024, 1, 65536,
                    "Bound on open HTTP connections.",
                    Options.m_MaxConnections);
  Reader.addInteger("max-requests", 512, 1, 65536,
                    "Bound on requests in progress.", Options.m_MaxRequests);
  Reader.addInteger("max-buffered-mib", 64, 1, 16384,
                    "Bound on buffered request bodies in MiB.",
                    Options.m_MaxBufferedMib);
  Reader.addDuration("sync-period", "250ms", milliseconds(50), seconds(1),
                     "Period of the sync with control.", Options.m_SyncPeriod);
  Reader.addDuration("receive-limit", "10s", milliseconds(100), seconds(60),
                     "Time a caller has to send a request.",
                     Options.m_ReceiveLimit);
  Reader.addDuration("idle-limit", "60s", seconds(1), hours(1),
                     "Time after which an idle connection is closed.",
                     Options.m_IdleLimit);
  Reader.addDuration("drain-notice", "1s", Duration(0), hours(1),
                     "Time between reporting not ready and closing the "
                     "listener at a shutdown.",
                     Options.m_DrainNotice);
  Reader.addDuration("drain-limit", "0s", Duration(0), hours(24),
                     "Time after which a shutdown cuts off requests in "
                     "progress; 0s waits for all of them.",
                     Options.m_DrainLimit);
  Reader.addCheck([&Options]() -> absl::Status {
    if (Options.m_MaxRequests > Options.m_MaxConnections)
      return absl::InvalidArgumentError(
          "--max-requests: must not exceed --max-connections, since each "
          "request in "
          "progress holds a connection");
    return absl::OkStatus();
  });
}

} // namespace anvil::entry
