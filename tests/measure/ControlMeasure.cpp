// Prints what the log of a control replica costs on a real folder: commits a
// second by the number of batches that share a sync, and the time to open the
// store and restore the state by length of the log, with and without a
// snapshot. Usage: control_measure FOLDER [ENTRIES ...], by default 1000 10000
// 30000 100000 300000 entries. FOLDER is replaced.

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "anvil/net/WireCodec.h"
#include "anvil/state/ClusterState.h"
#include "anvil/store/LogStore.h"

namespace {

using namespace anvil;
using Clock = std::chrono::steady_clock;

constexpr int64_t Targets = 8'300;
constexpr std::chrono::seconds CommitTime(2);
constexpr size_t FillBatch = 1'000;
/// Entries after the snapshot: the default distance between two snapshots of a
/// replica.
constexpr raft::LogIndex AfterSnapshot = 20'000;

double millisSince(Clock::time_point Start) {
  return std::chrono::duration<double, std::milli>(Clock::now() - Start)
      .count();
}

template <typename T> T must(absl::StatusOr<T> Value) {
  if (!Value.ok()) {
    std::fprintf(stderr, "%s\n", Value.status().ToString().c_str());
    std::exit(1);
  }
  return *std::move(Value);
}

void must(const absl::Status &Status) {
  if (Status.ok())
    return;
  std::fprintf(stderr, "%s\n", Status.ToString().c_str());
  std::exit(1);
}

/// Returns command \p Index of a log in which 8,300 workers register and then
/// keep coming back as new incarnations.
wire::Command commandAt(raft::LogIndex Index) {
  wire::Command Command;
  Command.proposedAtUs = static_cast<int64_t>(Index) * 1'000;
  Command.__isset.registerTarget = true;
  wire::TargetInfo &Info = Command.registerTarget.target;
  const auto Number = static_cast<int64_t>(Index) % Targets;
  Info.vm = "worker-" + std::to_string(Number);
  Info.availabilityZone = "zone-" + std::to_string(Number % 6);
  Info.rack = "rack-" + std::to_string(Number / 40);
  Info.agentAddress = "10.0.0.1:7000";
  Info.kind = wire::TargetKind::WORKER;
  Info.incarnation = 1 + static_cast<int64_t>(Index) / Targets;
  Info.capacity.cores = 64;
  Info.capacity.accelerators = 2;
  Info.capacity.memoryMib = 512 << 10;
  return Command;
}

raft::LogEntry entryAt(raft::LogIndex Index) {
  raft::LogEntry Entry;
  Entry.m_Index = Index;
  Entry.m_Term = 1;
  Entry.m_Data = net::encodeStruct(commandAt(Index));
  return Entry;
}

std::unique_ptr<store::FileSystem> freshFolder(const std::string &Folder) {
  std::filesystem::remove_all(Folder);
  return must(store::openDataFolder(Folder));
}

/// Commits batches of one entry for a fixed time, \p Group of them with each
/// sync.
void measureCommits(const std::string &Folder, size_t Group) {
  const std::unique_ptr<store::FileSystem> Files = freshFolder(Folder);
  const std::unique_ptr<store::LogStore> Store =
      must(store::LogStore::open({}, *Files));
  raft::LogIndex Next = 1;
  const Clock::time_point Start = Clock::now();
  while (Clock::now() - Start < CommitTime) {
    std::vector<store::StoreBatch> Batches(Group);
    for (store::StoreBatch &Batch : Batches)
      Batch.m_Append.push_back(entryAt(Next++));
    must(Store->commit(Batches));
  }
  const double Seconds = millisSince(Start) / 1e3;
  const store::StoreCounters &Counters = Store->counters();
  std::printf("%8zu %12.0f %10.0f %12.1f %14.1f\n", Group,
              static_cast<double>(Counters.m_Entries) / Seconds,
              static_cast<double>(Counters.m_Syncs) / Seconds,
              1e3 * Seconds /
                  static_cast<double>(std::max<int64_t>(1, Counters.m_Syncs)),
              static_cast<double>(Counters.m_Bytes) /
                  static_cast<double>(Counters.m_Entries));
}

void fill(store::LogStore &Store, raft::LogIndex First, raft::LogIndex Last) {
  while (First <= Last) {
    store::StoreBatch Batch;
    Batch.m_Hard = raft::HardState{1, raft::ReplicaId(1)};
    for (; First <= Last && Batch.m_Append.size() < FillBatch; ++First)
      Batch.m_Append.push_back(entryAt(First));
    must(Store.commit(std::span(&Batch, 1)));
  }
}

void applyTo(state::ClusterState &State, const raft::LogEntry &Entry) {
  wire::Command Command;
  must(net::decodeStruct(Entry.m_Data, Command));
  State.apply(Command, static_cast<int64_t>(Entry.m_Index));
}

/// Writes a log; with \p WithSnapshot the entries before the last 20,000 are
/// replaced by a snapshot.
void writeLog(store::FileSystem &Files, raft::LogIndex Entries,
              bool WithSnapshot) {
  const std::unique_ptr<store::LogStore> Store =
      must(store::LogStore::open({}, Files));
  fill(*Store, 1, Entries);
  if (!WithSnapshot)
    return;
  raft::Snapshot Snapshot;
  Snapshot.m_Meta.m_Index =
      Entries > AfterSnapshot ? Entries - AfterSnapshot : Entries / 2;
  Snapshot.m_Meta.m_Term = 1;
  Snapshot.m_Meta.m_Members.m_Voters = {raft::ReplicaId(1)};
  state::ClusterState State = must(state::ClusterState::create());
  for (raft::LogIndex Index = 1; Index <= Snapshot.m_Meta.m_Index; ++Index)
    applyTo(State, entryAt(Index));
  Snapshot.m_Data = std::make_shared<const std::string>(State.snapshot());
  must(Store->saveSnapshot(Snapshot));
  must(Store->compactTo(Snapshot.m_Meta.m_Index));
}

void measureRestart(const std::string &Folder, raft::LogIndex Entries,
                    bool WithSnapshot) {
  const std::unique_ptr<store::FileSystem> Files = freshFolder(Folder);
  writeLog(*Files, Entries, WithSnapshot);
  const Clock::time_point Start = Clock::now();
  const std::unique_ptr<store::LogStore> Store =
      must(store::LogStore::open({}, *Files));
  raft::RaftPersistentState Recovered = Store->takeRecovered();
  const double OpenMillis = millisSince(Start);
  const raft::LogIndex Covered = Recovered.m_Snapshot.m_Meta.m_Index;
  state::ClusterState State =
      must(Covered ? state::ClusterState::restore(*Recovered.m_Snapshot.m_Data)
                   : state::ClusterState::create());
  size_t Applied = 0;
  for (const raft::LogEntry &Entry : Recovered.m_Entries) {
    if (Entry.m_Index <= Covered)
      continue;
    applyTo(State, Entry);
    ++Applied;
  }
  std::printf("%8lu %9s %9zu %9zu %9.1f %9.1f\n",
              static_cast<unsigned long>(Entries), WithSnapshot ? "yes" : "no",
              Recovered.m_Entries.size(), Applied, OpenMillis,
              millisSince(Start));
}

wire::TargetInfo targetAt(int64_t Number) {
  return commandAt(static_cast<raft::LogIndex>(Number)).registerTarget.target;
}

/// Prints the size of a heartbeat and its reply for a worker with \p Tasks
/// running tasks.
void measureHeartbeat(int32_t Tasks) {
  wire::AgentHeartbeat Heartbeat;
  wire::AgentHeartbeatReply Reply;
  Heartbeat.target = targetAt(1);
  Heartbeat.sequence = Reply.sequence = 1'000'000;
  Reply.renewedAtIndex = 1'000'000'000;
  for (int32_t Task = 0; Task < Tasks; ++Task) {
    wire::TaskStatus &Status = Heartbeat.tasks.emplace_back();
    Status.jobId = 1'000'000 + Task;
    Status.taskIndex = Task;
    Status.startToken = 100'000'000;
    Status.state = wire::TaskState::RUNNING;
    wire::Assignment &Wanted = Reply.assignments.emplace_back();
    Wanted.jobId = Status.jobId;
    Wanted.taskIndex = Task;
    Wanted.startToken = Status.startToken;
    Wanted.order = wire::TaskOrder::START;
    Wanted.resources.cores = 2;
    Wanted.resources.memoryMib = 1'024;
    Wanted.leaseMs = 60'000;
    Wanted.workspace = "team-100";
  }
  std::printf("%-34s %8d %10zu\n", "heartbeat, by running tasks", Tasks,
              net::encodeStruct(Heartbeat).size());
  std::printf("%-34s %8d %10zu\n", "heartbeat reply, by running tasks", Tasks,
              net::encodeStruct(Reply).size());
}

/// Prints the size of messages that list \p Vms targets.
void measureLists(int64_t Vms) {
  wire::SessionReport Report;
  wire::EntrySyncReply Sync;
  Report.replica = "control-1";
  Sync.routesChanged = true;
  for (int64_t Number = 0; Number < Vms; ++Number) {
    const wire::TargetInfo Info = targetAt(Number);
    Report.vms.push_back(Info.vm);
    Report.loads.emplace_back();
    wire::RouteTarget &Route = Sync.routes.emplace_back();
    Route.vm = Info.vm;
    Route.availabilityZone = Info.availabilityZone;
    Route.serviceName = "desk";
    Route.agentAddress = Info.agentAddress;
    Route.incarnation = 1'700'000'000'000'000;
    Route.slots = 8;
    Route.usable = true;
  }
  std::printf("%-34s %8ld %10zu\n", "session report, by agents",
              static_cast<long>(Vms), net::encodeStruct(Report).size());
  std::printf("%-34s %8ld %10zu\n", "entry sync with routes, by targets",
              static_cast<long>(Vms), net::encodeStruct(Sync).size());
}

void measureMessages() {
  std::printf("bodies of messages, without the frame\n%-34s %8s %10s\n",
              "message", "count", "bytes");
  for (const int32_t Tasks : {0, 18, 64})
    measureHeartbeat(Tasks);
  for (const int64_t Vms : {200, 2'767, 8'300})
    measureLists(Vms);
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count < 2) {
    std::fprintf(stderr, "usage: control_measure FOLDER [ENTRIES ...]\n");
    return 2;
  }
  const std::string Folder = Arguments[1];
  measureMessages();
  std::printf("commits of one command each, %ld s for each line\n",
              static_cast<long>(CommitTime.count()));
  std::printf("%8s %12s %10s %12s %14s\n", "grouped", "commits/s", "syncs/s",
              "ms_per_sync", "bytes_per_entry");
  for (const size_t Group : {1, 10, 100, 1000})
    measureCommits(Folder, Group);
  std::vector<raft::LogIndex> Sizes;
  for (int I = 2; I < Count; ++I)
    Sizes.push_back(std::strtoul(Arguments[I], nullptr, 10));
  if (Sizes.empty())
    Sizes = {1'000, 10'000, 30'000, 100'000, 300'000};
  std::printf("open the store and restore the state of %ld workers\n",
              static_cast<long>(Targets));
  std::printf("%8s %9s %9s %9s %9s %9s\n", "entries", "snapshot", "read",
              "applied", "open_ms", "total_ms");
  for (const raft::LogIndex Entries : Sizes) {
    for (const bool WithSnapshot : {false, true})
      measureRestart(Folder, Entries, WithSnapshot);
  }
  std::filesystem::remove_all(Folder);
  return 0;
}
