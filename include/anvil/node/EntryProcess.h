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

/// Settings of an EntryProcess.
struct EntryProcessOptions {
  /// Name of the VM.
  std::string m_Name;
  std::string m_AvailabilityZone;
  /// Local address at which RPCs of other entry VMs and of agents arrive.
  net::Endpoint m_Listen;
  /// Address that others use to reach m_Listen; it differs behind a network
  /// address translation.
  net::Endpoint m_Address;
  /// RPC addresses of other entry VMs.
  std::vector<net::Endpoint> m_Seeds;
  /// Folder for a replica of the state; empty on a VM without a disk.
  std::string m_DataFolder;
  /// The deployment starts for the first time, so a replica has to found the
  /// group.
  bool m_FirstStart = false;
  /// How long runs may continue after the last confirmed sync of their agent;
  /// above 0.
  Duration m_LeaseSpan{0};
  /// Factor by which a task takes longer if it is away from its data, or if the
  /// tasks of its step are spread over racks.
  double m_RemotePenalty = 1;
  /// Longest time that a worker takes to stop a run.
  Duration m_StopTime = std::chrono::milliseconds(400);
  /// Time that a run loses when it continues from a checkpoint.
  Duration m_RestoreTime = std::chrono::milliseconds(600);
  /// Whether the leader refuses jobs that clearly can't end while they have a
  /// value.
  bool m_RefuseLateJobs = true;
  /// A policy that no leader confirmed for this long is not used; calls that
  /// depend on it are refused.
  Duration m_MaxPolicyAge = std::chrono::seconds(2);
  /// A voter that was silent for this long is replaced by a learner.
  Duration m_ReplaceVoterAfter = std::chrono::seconds(2);
  /// Number of replicas that may lose their disks at the same time without loss
  /// of state.
  int32_t m_ToleratedLosses = 0;
  /// Time for the replicas of a new group to join it; see
  /// MembershipPlannerOptions::m_SettleTime.
  Duration m_SettleTime{0};
  net::RpcOptions m_Rpc;
  /// Monotonic clock; required, as are the three that follow.
  std::function<TimePoint()> m_Now;
  /// Returns the microseconds since the Unix epoch.
  std::function<int64_t()> m_WallClockMicros;
  /// Returns a number in [0, 1).
  std::function<double()> m_Random;
  /// Receives counters and durations; outlives the EntryProcess.
  metrics::Registry *m_Metrics = nullptr;
};

/// Result of a call of a consumer or an operator.
struct CallResult {
  wire::WorkloadStatus::type m_Status = wire::WorkloadStatus::NOT_READY;
  std::string m_Message; ///< Reason for a status other than OK.
  /// Time after which a refused submission may succeed; 0 if not known.
  Duration m_RetryAfter{0};
  /// Phase of the job; only for a call that asks for a job's status.
  wire::JobPhase::type m_Phase = wire::JobPhase::QUEUED;
  /// Text of the policy as it was uploaded; only for a call that reads it.
  std::string m_PolicySource;
  /// Revision of the zones; only for a call that asks for it.
  int64_t m_ZoneRevision = 0;
  /// Whether all machines of the maintenance wave were taken down; only for a
  /// call that asks for its state.
  bool m_WaveCompleted = false;

  /// Returns true if this call or an earlier equal one took effect.
  bool succeeded() const {
    return m_Status == wire::WorkloadStatus::OK ||
           m_Status == wire::WorkloadStatus::UNCHANGED;
  }
};

/// The process on an entry VM: forwards calls to the leader of the replicated
/// workload state, and holds a replica of that state if the VM has a disk.
///
/// Usage: create(), run the io_context and pass calls on. All functions run on
/// the thread of the io_context.
class EntryProcess {
public:
  using CallDone = std::function<void(CallResult)>;

  /// Opens the data folder and starts to listen. While the storage fails, the
  /// process serves without a replica and retries to open it.
  ///
  /// Errors: NodeErrc::InvalidOption, and those of the listener.
  static absl::StatusOr<std::unique_ptr<EntryProcess>>
  create(boost::asio::io_context &Io, EntryProcessOptions Options,
         log::EventLog &Log);
  ~EntryProcess();

  /// Sends \p Call to the leader and retries until \p Timeout has passed. A
  /// submission is refused at once while no leader can be reached and none was
  /// for EntryProcessOptions::m_MaxPolicyAge, and is dropped before its next
  /// attempt once \p CallerWaits, if it is set, returns false. \p Done runs
  /// exactly once. The status NOT_READY means that the call has no effect;
  /// UNKNOWN means that it may have taken effect or may still do so.
  void call(const wire::WorkloadCall &Call, Duration Timeout, CallDone Done,
            std::function<bool()> CallerWaits = nullptr);

  /// Withdraws an availability zone or takes it back, with the answers of
  /// call(). The order takes effect only if \p CallerWaits returned true after
  /// the leader was asked for the state that the order changes, and only if no
  /// other order took effect since then. So an order that waited in a frozen
  /// process or on the network can't undo a newer one.
  void setZone(const wire::SetZone &Change, std::function<bool()> CallerWaits,
               Duration Timeout, CallDone Done);

  /// Answer to pendingJobs().
  struct PendingJobs {
    wire::WorkloadStatus::type m_Status = wire::WorkloadStatus::NOT_READY;
    int64_t m_Count = 0; ///< Valid if m_Status is OK.
  };
  /// Returns the number of jobs of a queue that have no started task yet.
  ///
  /// Reads the copy of policy and counts that this process holds, which lags
  /// the leader by a few hundred milliseconds; NOT_READY if it is older than
  /// EntryProcessOptions::m_MaxPolicyAge.
  PendingJobs pendingJobs(const wire::QueueAddress &Address) const;

  /// Returns whether a load balancer should send callers here: a fresh policy
  /// is known and no shutdown has begun.
  bool ready() const;
  /// Returns the version of the policy in use; 0 before the first.
  int64_t policyVersion() const;
  /// Returns whether the replica of this process leads the group.
  bool leads() const;
  /// Writes the version and age of the policy and, if this process holds a
  /// replica, its role in the group and the number of jobs and workers.
  void writeMetrics(metrics::PrometheusText &Output) const;

  /// Replaces EntryProcessOptions::m_Seeds.
  void setSeeds(std::vector<net::Endpoint> Seeds);
  /// Transfers leadership to another voter if this process leads; ready()
  /// returns false from now on.
  void beginShutdown();

private:
  struct Impl;
  explicit EntryProcess(std::shared_ptr<Impl> State);
  std::shared_ptr<Impl> m_Impl;
};

} // namespace anvil::node

#endif // ANVIL_NODE_ENTRYPROCESS_H
