#include "JobJson.h"

namespace anvil::entry {

namespace {

constexpr int64_t MaxTasks = 4096;
constexpr int64_t MaxAccelerators = 1024;
constexpr int64_t MaxCores = 4096;
constexpr int64_t MaxMemoryGib = int64_t{1} << 20;
constexpr int64_t MaxTimeMs = int64_t{366} * 24 * 3600 * 1000;
// A lease lasts at most 2 hours.
constexpr int64_t MinLeaseMs = 1000;
constexpr int64_t MaxLeaseMs = int64_t{2} * 3600 * 1000;
constexpr size_t MaxNameBytes = 128;
constexpr size_t MaxPayloadBytes = 64u << 10;

void readPerTask(const boost::json::object &Object, wire::Resources &Resources,
                 JsonProblem &Problem) {
  ObjectReader Reader(Object, "per_task.", Problem);
  int64_t Accelerators = 0;
  int64_t Cores = 0;
  int64_t MemoryGib = 0;
  Reader.readInteger("accelerators", Accelerators, 0, MaxAccelerators);
  Reader.readInteger("cores", Cores, 0, MaxCores);
  Reader.readInteger("memory_gib", MemoryGib, 0, MaxMemoryGib);
  Reader.finish();
  if (!Reader.failed() && Accelerators == 0 && Cores == 0)
    Problem = {"per_task", "must ask for an accelerator or a core"};
  Resources.accelerators = static_cast<int32_t>(Accelerators);
  Resources.cores = static_cast<int32_t>(Cores);
  Resources.memoryMib = MemoryGib * 1024;
}

void readPlacement(ObjectReader &Reader, wire::JobSpec &Spec) {
  size_t Adjacency = 0;
  size_t Urgency = static_cast<size_t>(wire::Urgency::BATCH) - 1;
  Reader.readEnum("adjacency", {"any", "rack", "vm"}, Adjacency);
  Reader.readBool("adjacency_required", Spec.adjacencyRequired);
  Reader.readEnum("urgency", {"urgent", "working-day", "batch", "overnight"},
                  Urgency);
  Spec.adjacency = static_cast<wire::Adjacency::type>(Adjacency + 1);
  Spec.urgency = static_cast<wire::Urgency::type>(Urgency + 1);
}

} // namespace

bool parseJob(std::string_view Text, wire::JobSpec &Spec,
              JsonProblem &Problem) {
  boost::json::object Document;
  if (!parseStrictObject(Text, Document, Problem))
    return false;
  ObjectReader Reader(Document, "", Problem);
  for (const std::string_view Name : {"workspace", "name", "tasks", "per_task"})
    Reader.require(Name);
  int64_t Tasks = 1;
  Reader.readString("workspace", Spec.workspace, 1, MaxNameBytes);
  Reader.readString("name", Spec.name, 1, MaxNameBytes);
  Reader.readInteger("tasks", Tasks, 1, MaxTasks);
  Spec.tasks = static_cast<int32_t>(Tasks);
  readPlacement(Reader, Spec);
  Reader.readInteger("deadline_ms", Spec.deadlineMs, 0, MaxTimeMs);
  Reader.readBool("idempotent", Spec.idempotent);
  Reader.readBool("checkpointable", Spec.checkpointable);
  Reader.readInteger("estimate_ms", Spec.estimateMs, 0, MaxTimeMs);
  Reader.readInteger("lease_ms", Spec.leaseMs, MinLeaseMs, MaxLeaseMs);
  Reader.readString("payload", Spec.payload, 0, MaxPayloadBytes);
  if (const boost::json::object *PerTask = Reader.readObject("per_task"))
    readPerTask(*PerTask, Spec.perTask, Problem);
  Reader.finish();
  return !Reader.failed();
}

} // namespace anvil::entry
