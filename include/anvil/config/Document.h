#ifndef ANVIL_CONFIG_DOCUMENT_H
#define ANVIL_CONFIG_DOCUMENT_H

#include <cstdint>
#include <string>
#include <vector>

namespace anvil::config {

/// Amounts of resources, with memory in GiB as in the document.
struct Amount {
  int64_t m_Accelerators = 0;
  int64_t m_Cores = 0;
  int64_t m_MemoryGib = 0;

  bool operator==(const Amount &) const = default;
};

/// Group of equal workers in an availability zone.
struct WorkerGroup {
  int64_t m_Count = 0;
  Amount m_Each;
  /// Number of workers in each rack.
  int64_t m_PerRack = 1;

  bool operator==(const WorkerGroup &) const = default;
};

/// One availability zone.
struct Zone {
  std::string m_Name;
  std::string m_Region;
  std::vector<WorkerGroup> m_Workers;

  bool operator==(const Zone &) const = default;
};

/// How close to each other the resources of a guaranteed shape must be.
enum class Adjacency { Any, Rack, Vm };

/// Shape of which a workspace can reclaim m_Count instances at any time.
struct Guarantee {
  std::string m_Name;
  Amount m_Shape;
  Adjacency m_Adjacency = Adjacency::Any;
  int64_t m_Count = 1;

  bool operator==(const Guarantee &) const = default;
};

/// One workspace (tenant) with its quota and guaranteed shapes.
struct Workspace {
  std::string m_Name;
  Amount m_Quota;
  std::vector<Guarantee> m_Guarantees;

  bool operator==(const Workspace &) const = default;
};

/// Urgency of jobs or requests, most urgent first.
enum class Urgency { Urgent, WorkingDay, Batch, Overnight };

/// Class of requests of a service.
struct RequestClass {
  std::string m_Name;
  Urgency m_Urgency = Urgency::Batch;
  int64_t m_DeadlineMs = 0;
  bool m_Idempotent = false;
  int64_t m_QueueLimit = 0;

  bool operator==(const RequestClass &) const = default;
};

/// One service, run by minions.
struct Service {
  std::string m_Name;
  int64_t m_Slots = 0;
  int64_t m_Connections = 0;
  std::vector<RequestClass> m_Classes;

  bool operator==(const Service &) const = default;
};

/// Limits of the replicated state.
struct Limits {
  /// Jobs that have not ended.
  int64_t m_LiveJobs = 100'000;
  /// Tasks of one job.
  int64_t m_GangSize = 256;
  /// Bytes of one job's payload, in KiB.
  int64_t m_PayloadKib = 64;
  /// Longest task lease.
  int64_t m_LeaseMs = 7'200'000;
  /// Claims, open and closed.
  int64_t m_Claims = 100'000;
  /// Bytes of all claims and their stored responses, in MiB; holds 100,000
  /// claims with responses of about 300 bytes.
  int64_t m_ClaimMib = 96;
  /// Age from which closed claims may be removed.
  int64_t m_ClaimRetentionS = 86'400;

  bool operator==(const Limits &) const = default;
};

/// Configuration of one environment.
struct Document {
  std::string m_Environment;
  int64_t m_Version = 0;
  std::vector<Zone> m_Zones;
  std::vector<Workspace> m_Workspaces;
  std::vector<Service> m_Services;
  Limits m_Limits;

  bool operator==(const Document &) const = default;
};

/// Returns the workspace or service with the name, or null.
const Workspace *findWorkspace(const Document &Doc, const std::string &Name);
const Service *findService(const Document &Doc, const std::string &Name);

} // namespace anvil::config

#endif // ANVIL_CONFIG_DOCUMENT_H
