#ifndef ANVIL_CONTROL_CONTROLSERVER_H
#define ANVIL_CONTROL_CONTROLSERVER_H

#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"

#include "anvil/control/ReplicaHost.h"

namespace anvil::control {

/// Settings of one control process.
struct ControlOptions {
  net::Endpoint m_Listen;
  std::string m_Name;
  std::string m_AvailabilityZone;
  std::string m_DataFolder;
  uint64_t m_SegmentBytes = 16u << 20;
  ReplicaHostOptions m_Replica;
};

/// Serves agents, entries and other replicas on one endpoint.
///
/// Usage: create(), then run the io_context. shutDown() hands leadership over
/// and calls back when it may exit.
class ControlServer {
public:
  /// Opens the data folder, recovers the state and listens. \p OnFatal runs if
  /// the storage fails later.
  static absl::StatusOr<std::unique_ptr<ControlServer>>
  create(boost::asio::io_context &Io, ControlOptions Options,
         std::function<void(const absl::Status &)> OnFatal);
  ~ControlServer();

  /// Gives up leadership, waits until another replica leads or a second has
  /// passed, then runs \p Done.
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
