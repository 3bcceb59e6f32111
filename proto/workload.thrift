// Commands and records of the replicated workload state (jobs of several steps, workers and admission policy), and the
// messages between the processes that serve it.
// Field ids are never reused. Times are milliseconds unless a name says otherwise.
// Regenerate with tools/generate-thrift.

namespace cpp anvil.wire

// ---- jobs ----

// Resources of a task or a worker.
struct ResourceAmounts { 1: i32 milliCores, 2: i32 memoryMib, 3: i32 accelerators }

struct StepSpec {
  1: i32 tasks,
  2: ResourceAmounts perTask,
  3: i64 estimateMs,            // declared run time of one task, never trusted as a bound
  4: list<i32> dependsOn,       // numbers of earlier steps that must be done first
  5: bool checkpointing,
  6: bool gang,                 // all tasks run together and end together
  7: bool rackLocal,            // slower when spread over racks
  8: string requiredLabel,      // empty: any worker
  9: string dataRack,           // slower on any other rack; empty: none
  10: i32 maxTasksPerWorker,    // of one occurrence; 0: no limit
  11: bool speculative,         // copies may run in parallel
  12: bool longRunning,         // runs until it is cancelled
  13: string image,
  14: i32 latencyTargetMs,      // of a long-running task; 0: none
  15: bool usesSpareCores,      // its cores are not counted against the worker
  16: i32 maxUnavailable        // disruption budget of a long-running step
}

struct WorkloadSpec {
  1: string payload,            // opaque to the scheduler
  2: list<StepSpec> steps,
  3: i64 firstDueMs,            // since the Unix epoch; only with repeats
  4: i64 intervalMs,
  5: i32 repeats                // 0: runs once, at once
}

// Identifies one task of one occurrence of a job.
struct TaskRef { 1: string jobId, 2: i32 occurrence, 3: i32 step, 4: i32 index }

enum RunEndKind {
  DONE = 1,
  FAILED = 2,
  STOPPED = 3,
  LEASE_EXPIRED = 4,
  GANG_BROKEN = 5,              // another member of the gang ended
  GANG_INCOMPLETE = 6,          // the other members did not start in time
  NOT_STARTED = 7,              // the worker refused it, and it can't start later
  WORKER_LOST = 8
}

struct RunEnd { 1: TaskRef task, 2: i64 run, 3: RunEndKind kind, 4: string checkpoint, 5: string detail }

enum JobPhase { QUEUED = 1, RUNNING = 2, COMPLETED = 3, FAILED = 4, CANCELLED = 5 }

// ---- workers ----

// One incarnation (start) of a worker. A worker that restarts may keep its id; then startedAtMs differs.
struct WorkerIncarnation { 1: string id, 2: i64 startedAtMs }

struct WorkerInfo {
  1: WorkerIncarnation incarnation,
  2: string serviceName,
  3: string availabilityZone,
  4: list<string> labels,
  5: ResourceAmounts capacity,
  6: string vm,                 // machine that the worker runs on
  7: string rack,
  8: string agentAddress        // an agent serves at most one worker at a time
}

// A run as the worker's agent knows it.
struct RunStatus {
  1: TaskRef task,
  2: i64 run,
  3: bool running,              // false: ordered, not yet confirmed by the worker
  4: i32 percent,
  5: string checkpoint,
  6: i64 runningMs              // since the worker first reported the run
}

// Identifies one run of a task.
struct RunRef { 1: TaskRef task, 2: i64 run }

struct WorkerSyncRequest {
  1: string agentIncarnation,   // random, chosen at each start of the agent
  2: i64 sequence,
  3: WorkerInfo info,           // empty incarnation.id: the agent has no worker
  4: i64 fencingToken,          // 0: not registered
  5: list<RunStatus> runs,
  6: list<RunEnd> ends,         // not acknowledged so far
  7: i64 firstEndNumber,        // of the first element of ends; the agent numbers its ends in order
  8: bool draining,
  9: i64 remainingMs,           // while draining: least time until the worker shuts down
  10: WorkerIncarnation endedIncarnation, // known to have ended; empty id: none
  11: string availabilityZone,  // of the agent
  12: bool runsListed,          // runs was read from the worker under fencingToken
  13: i64 silentMs,             // since the worker last answered a call
  14: list<RunRef> unaccountedRuns // of endedIncarnation: its successor may start or be running them
}

struct RunOrder {
  1: TaskRef task,
  2: i64 run,
  3: string payload,
  4: string checkpoint
}

struct ReplicaAddress { 1: i64 id, 2: string address, 3: string availabilityZone }

struct GroupView { 1: list<ReplicaAddress> replicas, 2: i64 leader, 3: i64 term }

struct WorkerSyncReply {
  1: GroupView group,
  2: bool isLeader,
  3: i64 fencingToken,          // of the registered incarnation; 0: none
  4: WorkerIncarnation registered,
  5: list<RunOrder> starts,     // runs that should run and that the request did not list
  6: list<RunRef> stops,       // listed runs that should not run
  7: i64 confirmedSequence,     // a quorum confirmed the leader after it received the requests up to this one
  8: i64 acknowledgedEndNumber  // ends up to this number are durable
}

// ---- policy ----

struct AdviceLimits { 1: i64 decisionMs, 2: i64 perWorkerMs, 3: i64 validityMs }

struct QueuePolicy {
  1: string name, 2: string host, 3: string pathPrefix, 4: string serviceName, 5: i32 priority,
  6: i64 timeoutMs, 7: i64 latencyTargetMs, 8: i32 maxAttempts, 9: double slackFactor, 10: bool anonymous,
  11: optional AdviceLimits advice
}
struct ServicePolicy { 1: string name, 2: string healthPath, 3: bool refusesOverload, 4: bool standby }
struct WorkspacePolicy { 1: string name, 2: list<string> keys, 3: i32 priority, 4: ResourceAmounts guaranteed }
struct PolicyDocument {
  1: i64 version,
  2: list<QueuePolicy> queues,
  3: list<ServicePolicy> services,
  4: list<WorkspacePolicy> workspaces,
  5: string source              // the document as the operator sent it
}

// ---- records of the replicated workload state ----

// Where callers find a job: its URL without the id. Versions of the policy may remove the queue of that address, add it
// again under another name, or let a new one take the address over.
struct JobAddress {
  1: string host,               // in lower case
  2: string path                // ends with a slash
}

enum TaskPhase { WAITING = 1, PLACED = 2, STOPPING = 3, DONE = 4 }

struct TaskRecord {
  1: TaskPhase phase = TaskPhase.WAITING,
  2: i64 run,                   // number of the newest run; 0: never placed
  3: i32 failures,              // runs that ended FAILED
  4: WorkerIncarnation worker,  // while PLACED or STOPPING
  5: string checkpoint,         // empty: starts from the beginning
  6: i64 lostRun,               // newest run that was given up as lost; 0: none
  7: bool lostRunDone           // lostRun was reported DONE later: the current run is stopped, and its end is DONE
}

struct StepRecord {
  1: list<TaskRecord> tasks,
  2: i32 done,                  // tasks that are DONE
  3: i32 active,                // tasks that are PLACED or STOPPING
  4: i32 gangFailures,
  5: i64 gangFailedRun          // newest run that was counted in gangFailures
}

struct OccurrenceRecord { 1: i32 number, 2: list<StepRecord> steps, 3: i32 stepsDone }

struct JobRecord {
  1: string id,
  2: string queue,              // its name when the job was submitted
  3: string workspace,
  4: WorkloadSpec spec,
  5: JobPhase phase = JobPhase.QUEUED,
  6: map<i32, OccurrenceRecord> occurrences,   // opened and not yet done
  7: i32 occurrencesDone,
  8: i64 submittedIndex,
  9: string serviceName,        // of the queue when the job was submitted, as are the fields below
  10: i32 priority,
  11: i32 maxAttempts,
  12: double slackFactor,
  13: i64 latencyTargetMs,
  14: i32 activeRuns,
  15: string reason,
  16: i32 occurrencesOpened,
  17: bool cancelledFirst,      // only a mark: cancelled before it was handed in, so it is refused from then on
  18: JobAddress address
}

struct WorkerRecord {
  1: WorkerInfo info,
  2: string agentIncarnation,
  3: i64 fencingToken,
  4: ResourceAmounts used,
  5: WorkerIncarnation successor // of a former incarnation: the one that replaced it; empty while there is none
}

struct WaveRecord {
  1: i64 wave, 2: list<string> machines, 3: i64 durationMs, 4: i32 maxDown,
  5: list<string> machinesTakenDown
}

struct WorkloadSnapshot {
  1: i64 appliedIndex,
  2: PolicyDocument policy,
  3: list<string> withdrawnZones,
  4: list<ReplicaAddress> replicas,
  5: list<JobRecord> jobs,
  6: list<string> endedJobIds,  // oldest first
  7: list<WorkerRecord> workers,
  8: list<WaveRecord> waves,
  9: list<WorkerRecord> formerWorkers,
  10: i64 zoneRevision          // index of the last change of a zone
}

// ---- commands of the replicated workload state ----

struct PutPolicy { 1: PolicyDocument document }
// Refused as OUTDATED unless the zone revision is basedOnRevision. Logs of earlier versions have entries without it, which
// apply in any case.
struct SetZone { 1: string availabilityZone, 2: bool withdrawn, 3: optional i64 basedOnRevision }
struct RegisterReplica { 1: ReplicaAddress replica }
struct ForgetReplica { 1: i64 id }
// Goes to the queue that its address selects. Logs of earlier versions have entries that only name the queue.
struct SubmitWorkload {
  1: string jobId, 2: string queue, 3: string workspace, 4: WorkloadSpec spec, 5: optional JobAddress address
}
// With an address and a workspace, a job that is not known yet is refused when it is handed in there later. Logs of earlier
// versions have entries without them.
struct CancelWorkload { 1: string jobId, 3: optional string workspace, 4: optional JobAddress address }
struct RegisterWorker { 1: WorkerInfo info, 2: string agentIncarnation }
// Runs in retainedRuns stay assigned to the incarnation: a later incarnation of the worker may be running them, or a
// delayed order may still start them there.
struct LoseWorker {
  1: WorkerIncarnation incarnation, 2: string reason, 3: list<RunStatus> lastKnownRuns, 4: list<RunRef> retainedRuns
}
struct RunPlacement { 1: i32 index, 2: WorkerIncarnation worker }
// Starts one run of a whole gang, or runs of independent tasks of one step.
struct StartRuns {
  1: string jobId, 2: i32 occurrence, 3: i32 step, 4: list<RunPlacement> placements, 5: string reason
}
struct StopRuns { 1: list<RunRef> runs, 2: string reason }
// agentIncarnation and lastEndNumber let the leader acknowledge the ends once they are durable.
struct EndRuns {
  1: WorkerIncarnation worker, 2: list<RunEnd> ends, 3: string agentIncarnation, 4: i64 lastEndNumber
}
struct OpenOccurrence { 1: string jobId, 2: i32 occurrence }
struct StartWave { 1: i64 wave, 2: list<string> machines, 3: i64 durationMs, 4: i32 maxDown }
struct NoteMachineDown { 1: i64 wave, 2: string machine }

// Exactly one field besides the time is set.
struct WorkloadCommand {
  1: i64 proposedAtMs,          // wall clock of the leader; for display only
  10: optional PutPolicy putPolicy,
  11: optional SetZone setZone,
  12: optional RegisterReplica registerReplica,
  13: optional ForgetReplica forgetReplica,
  14: optional SubmitWorkload submit,
  15: optional CancelWorkload cancel,
  16: optional RegisterWorker registerWorker,
  17: optional LoseWorker loseWorker,
  18: optional StartRuns startRuns,
  19: optional StopRuns stopRuns,
  20: optional EndRuns endRuns,
  21: optional OpenOccurrence openOccurrence,
  22: optional StartWave startWave,
  23: optional NoteMachineDown noteMachineDown
}

enum WorkloadStatus {
  OK = 1,
  UNCHANGED = 2,                // the state was already as requested; success for the caller
  INVALID = 3,
  UNAUTHORIZED = 4,
  FORBIDDEN = 5,
  NO_QUEUE = 6,
  NO_JOB = 7,
  OVERLOADED = 8,               // never stored, never runs
  NOT_READY = 9,                // no policy yet, or no confirmed leader; nothing was done
  UNKNOWN = 10,                 // may or may not take effect
  OUTDATED = 11                 // the state changed since the revision that the command is based on; nothing was done
}

struct WorkloadResult { 1: WorkloadStatus status, 2: string message, 3: i64 value, 4: i64 retryAfterMs }

// ---- calls of entries ----

// Addresses a caller's request: host and path select the queue, and key selects the workspace.
struct QueueAddress { 1: string host, 2: string path, 3: string key }

// Exactly one of the optional fields is set.
struct WorkloadCall {
  1: QueueAddress address,
  2: string jobId,
  3: string requestId,
  10: optional WorkloadSpec submit,
  11: optional bool cancel,
  12: optional bool status,
  13: optional PutPolicy putPolicy,
  14: optional bool getPolicy,
  15: optional SetZone setZone,
  16: optional RegisterReplica registerReplica,
  17: optional StartWave startWave,
  18: optional i64 waveState,
  19: optional i64 leavingReplica,  // id of a replica whose process ends soon
  20: optional bool getZoneRevision
}

struct WorkloadReply {
  1: bool isLeader,             // false: nothing was done; ask the leader of group
  2: GroupView group,
  3: WorkloadResult result,
  4: JobPhase phase,
  5: string source,             // of the policy
  6: bool waveCompleted,
  7: i64 zoneRevision           // answers getZoneRevision
}

struct QueuePending { 1: string queue, 2: i64 pending }

struct EntryWatchRequest { 1: string entry, 2: i64 sequence, 3: i64 policyVersion }
struct EntryWatchReply {
  1: GroupView group,
  2: bool isLeader,
  3: i64 confirmedSequence,
  4: bool policyChanged,
  5: PolicyDocument policy,     // without source
  6: list<QueuePending> pending
}

// ---- discovery ----

// Sent by a process to the addresses that its settings name, and to the replicas it knows.
struct LocateRequest {
  1: i64 replicaId,             // 0: the sender holds no replica
  2: string address,
  3: string availabilityZone,
  4: bool canFoundGroup,        // its disk is empty, and this is the deployment's first start
  5: bool inGroup,              // has a log of a group
  6: GroupView group            // empty if unknown
}
struct LocateReply {
  1: GroupView group,           // empty if unknown
  2: bool canFoundGroup,
  3: bool inGroup,
  4: i64 replicaId
}
// The coordinator asks one replica to found the group.
struct FoundGroupRequest { 1: i64 replicaId }

// A message of the replicated log with the address of its sender, so that a new replica can answer.
struct GroupMessage { 1: i64 senderId, 2: i64 receiverId, 3: string senderAddress, 4: binary body }
