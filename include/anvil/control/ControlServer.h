#ifndef ANVIL_CONTROL_CONTROLSERVER_H
#define ANVIL_CONTROL_CONTROLSERVER_H

#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"

#include "anvil/control/ReplicaHost.h"

namespace anvil::control {

/// Settings of one control process. controlSettings() fills them from flags and
/// the environment.
struct ControlOptions {
  net::Endpoint m_Listen;
  std::string m_Name; ///< Names this process in logs and time lines.
  std::string m_AvailabilityZone;
  std::string m_DataFolder;            ///< Holds the log and the snapshots.
  uint64_t m_SegmentBytes = 16u << 20; ///< Size of one log segment.
  ReplicaHostOptions m_Replica;
};

/// Serves agents, entries and other replicas on one endpoint.
///
/// Usage: call create(), then run the io_context. Before the process exits,
/// call shutDown() and wait for its callback.
class ControlServer {
public:
  /// Opens the data folder, recovers the state and listens. Returns an error if
  /// one of these steps fails. \p OnFatal runs if the storage fails later.
  static absl::StatusOr<std::unique_ptr<ControlServer>>
  create(boost::asio::io_context &Io, ControlOptions Options,
         std::function<void(const absl::Status &)> OnFatal);
  ~ControlServer();

  /// Transfers leadership if this replica leads, then runs \p Done once it no
  /// longer leads or after one second. Heartbeats and entry synchronizations
  /// are refused from this call on.
  void shutDown(std::function<void()> Done);
  /// Returns the bound endpoint.
  net::Endpoint endpoint() const;
  const ReplicaHost &replica() const;

private:
  struct Impl;
  explicit ControlServer(std::shared_ptr<Impl> State);
  std::shared_ptr<Impl> m_Impl;
};

} // namespace anvil::control

#endif // ANVIL_CONTROL_CONTROLSERVER_H
