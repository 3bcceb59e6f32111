#ifndef ANVIL_NODE_ENTRYPROCESS_H
#define ANVIL_NODE_ENTRYPROCESS_H

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "anvil/base/Time.h"
#include "anvil/log/EventLog.h"
#include "anvil/metrics/Registry.h"
#include "anvil/net/Rpc.h"
#include "anvil/node/NodeError.h"
#include "workload_types.h"

namespace boost::asio {
class io_context;
}

namespace anvil::node {

/// Settings of the process on an entry VM.
struct EntryProcessOptions {
  std::string m_Name;
  std::string m_AvailabilityZone;
  /// Listener for the system's own processes.
  net::Endpoint m_Listen;
  /// Address at which they reach it, also through a translation of addresses.
  net::Endpoint m_Address;
  /// The same listener of other entry VMs.
  std::vector<net::Endpoint> m_Seeds;
  /// Folder for a replica of the state; empty on a VM without a disk.
  std::string m_DataFolder;
  /// The deployment starts for the first time, so a group is to be founded.
  bool m_FirstStart = false;
  /// How long an agent may let runs go on after its last confirmed sync.
  Duration m_LeaseSpan{0};
  /// How much longer a task takes away from its data or spread over racks.
  double m_RemotePenalty = 1;
  /// A policy that was not confirmed for this long is not used any more.
  Duration m_MaxPolicyAge = std::chrono::seconds(2);
  /// A voter that was silent for this long gives its place to a new replica.
  Duration m_ReplaceVoterAfter = std::chrono::seconds(2);
  /// Replicas that may lose their disks at a time without loss of state.
  int32_t m_ToleratedLosses = 0;
  /// Time for the replicas of a new group to join it.
  Duration m_SettleTime{0};
  net::RpcOptions m_Rpc;
  std::function<TimePoint()> m_Now;
  std::function<int64_t()> m_WallClockMicros;
  std::function<double()> m_Random; ///< Returns a number in [0, 1).
  /// Receives counters and times; outlives the process object.
  metrics::Registry *m_Metrics = nullptr;
};

/// Result of a call of a consumer or an operator.
struct CallResult {
  wire::WorkloadStatus::type m_Status = wire::WorkloadStatus::NOT_READY;
  std::string m_Message;
  wire::JobPhase::type m_Phase = wire::JobPhase::QUEUED;
  std::string m_PolicySource; ///< Of the policy.
  bool m_WaveCompleted = false;

  /// Returns true if the call took effect, now or when it came before.
  bool succeeded() const {
    return m_Status == wire::WorkloadStatus::OK ||
           m_Status == wire::WorkloadStatus::UNCHANGED;
  }
};

/// The process on an entry VM: takes calls for the replicated workload state,
/// and holds a replica of it if the VM has a disk.
///
/// Usage: create(), then run the io_context and pass calls on. Every call is
/// answered once, within its timeout; NOT_READY means that nothing was done,
/// UNKNOWN that it may take effect. All run on the thread of the io_context.
class EntryProcess {
public:
  using CallDone = std::function<void(CallResult)>;

  /// Opens the data folder and listens. While the storage fails, the process
  /// serves without a replica and tries to open it again.
  ///
  /// Errors: NodeErrc::InvalidOption, and those of the listener.
  static absl::StatusOr<std::unique_ptr<EntryProcess>>
  create(boost::asio::io_context &Io, EntryProcessOptions Options,
         log::EventLog &Log);
  ~EntryProcess();

  /// Passes a call to the leader.
  void call(const wire::WorkloadCall &Call, Duration Timeout, CallDone Done);

  /// Number of jobs of a queue that wait for their first task.
  struct PendingJobs {
    wire::WorkloadStatus::type m_Status = wire::WorkloadStatus::NOT_READY;
    int64_t m_Count = 0;
  };
  /// Answers from the policy and the counts that this process holds, which are
  /// a few hundred milliseconds old; NOT_READY if they are older than allowed.
  PendingJobs pendingJobs(const wire::QueueAddress &Address) const;

  /// Returns whether callers should be sent here.
  bool ready() const;
  /// Returns the version of the policy that is used here; 0 before the first.
  int64_t policyVersion() const;
  /// Returns whether this process leads the group.
  bool leads() const;
  /// Writes what this process holds at the moment: its part in the group, the
  /// version and age of its policy, and the jobs and workers that it knows.
  void writeMetrics(metrics::PrometheusText &To) const;

  /// Replaces the addresses of other entry VMs.
  void setSeeds(std::vector<net::Endpoint> Seeds);
  /// Hands leadership over and reports not ready from now on.
  void beginShutdown();

private:
  struct Impl;
  explicit EntryProcess(std::shared_ptr<Impl> State);
  std::shared_ptr<Impl> m_Impl;
};

} // namespace anvil::node

#endif // ANVIL_NODE_ENTRYPROCESS_H
