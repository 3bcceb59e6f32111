// Messages between the processes of anvilwheel and the commands of the replicated state.
// Field ids are never reused. Times are microseconds; "Ms" fields are milliseconds.
// Regenerate with tools/generate-thrift.

namespace cpp anvil.wire

const i32 PROTOCOL_VERSION = 1

// ---- framing ----

enum FrameKind { REQUEST = 1, RESPONSE = 2, ONE_WAY = 3, PING = 4, PONG = 5 }

enum Method {
  RAFT_MESSAGE = 1,
  FORWARD_COMMAND = 2,
  AGENT_HEARTBEAT = 3,
  SESSION_REPORT = 4,
  ENTRY_SYNC = 5,
  SUBMIT_COMMAND = 6,
  QUERY = 7,
  EXECUTE = 8,
  WORKER_SYNC = 9,
  ENTRY_WATCH = 10,
  WORKLOAD_CALL = 11,
  LOCATE = 12,
  FOUND_GROUP = 13
}

struct Frame {
  1: i32 version = 1,
  2: FrameKind kind,
  3: i64 requestId,
  4: Method method,
  5: i64 timeoutMs,
  6: string traceId,
  7: i32 errorCode,      // absl::StatusCode; 0 is OK
  8: string errorText,
  9: binary body,
  // Hybrid logical time of the sender, which orders causes before effects in time lines; 0 is none.
  10: i64 stampWallUs,
  11: i32 stampLogical
}

// ---- shared records ----

enum Outcome { COMPLETED = 1, NOT_RUN = 2, UNKNOWN = 3 }

struct Resources { 1: i32 accelerators, 2: i32 cores, 3: i64 memoryMib }

enum TargetKind { MINION = 1, WORKER = 2 }

// One target VM as its agent announces it.
struct TargetInfo {
  1: string vm,
  2: TargetKind kind,
  3: string availabilityZone,
  4: string rack,
  5: string serviceName,       // minions only
  6: string agentAddress,  // ip:port of the agent's EXECUTE listener
  7: i64 incarnation,
  8: Resources capacity,   // workers only
  9: i32 slots,            // minions only
  10: i32 connections      // minions only
}

enum Urgency { URGENT = 1, WORKING_DAY = 2, BATCH = 3, OVERNIGHT = 4 }
enum Adjacency { ANY = 1, RACK = 2, VM = 3 }

struct JobSpec {
  1: string workspace,
  2: string name,
  3: i32 tasks,                 // members of the gang
  4: Resources perTask,
  5: Adjacency adjacency = Adjacency.ANY,
  6: bool adjacencyRequired,
  7: Urgency urgency = Urgency.BATCH,
  8: i64 deadlineMs,            // after submission; 0 is none
  9: bool idempotent,
  10: i64 estimateMs,           // declared run time, never trusted as a bound
  11: i64 leaseMs = 60000,
  12: string payload,           // opaque to the scheduler
  13: bool checkpointable
}

enum TaskState {
  PREPARED = 1, RUNNING = 2, SUCCEEDED = 3, FAILED = 4, STOPPED = 5, CHECKPOINTED = 6, REFUSED = 7
}

struct TaskStatus {
  1: i64 jobId, 2: i32 taskIndex, 3: i64 startToken, 4: TaskState state, 5: string detail, 6: i32 usedCores
}

// What the replicated state wants an agent to do about one task.
enum TaskOrder { PREPARE = 1, START = 2, STOP = 3, CHECKPOINT_AND_STOP = 4, THROTTLE = 5 }

struct Assignment {
  1: i64 jobId, 2: i32 taskIndex, 3: i64 startToken, 4: TaskOrder order, 5: Resources resources,
  6: i64 leaseMs, 7: string payload, 8: string workspace
}

// ---- agent <-> control ----

struct Load { 1: i32 busySlots, 2: i32 queued, 3: i32 queueLimit }

struct ClaimOutcome { 1: string claimId, 2: i64 token, 3: Outcome outcome, 4: i32 httpStatus, 5: binary body, 6: string contentType }

struct AgentHeartbeat {
  1: TargetInfo target,
  2: i64 sequence,
  3: Load load,
  4: list<TaskStatus> tasks,
  5: bool shuttingDown,       // the agent is shutting down
  6: bool targetHealthy,
  7: i64 configVersion,
  8: list<ClaimOutcome> outcomes // repeated until acknowledged
}

struct AgentHeartbeatReply {
  1: i64 sequence,
  2: bool accepted,              // false: stale incarnation, or no quorum
  3: i64 permitMs,               // the agent counts it from the time it sent the heartbeat; 0 is none
  4: i64 configVersion,
  5: bool draining,
  6: list<Assignment> assignments, // the complete desired set for this agent
  7: list<string> acknowledgedClaims,
  8: i64 renewedAtIndex,
  9: string detail
}

struct SessionReport { 1: string replica, 2: list<string> vms, 3: list<Load> loads }

// ---- entry <-> control ----

struct RouteTarget {
  1: string vm, 2: string availabilityZone, 3: string serviceName, 4: string agentAddress,
  5: i64 incarnation, 6: i32 slots, 7: bool usable
}

struct ServiceClass {
  1: string name, 2: Urgency urgency, 3: i64 deadlineMs, 4: bool idempotent, 5: i32 queueLimit
}
struct ServiceConfig { 1: string name, 2: i32 slots, 3: i32 connections, 4: list<ServiceClass> classes }

struct EntrySyncRequest { 1: string entry, 2: i64 routeVersion, 3: i64 configVersion }
struct EntrySyncReply {
  1: i64 routeVersion,
  2: bool routesChanged,
  3: list<RouteTarget> routes,
  4: i64 configVersion,
  5: bool configChanged,
  6: list<ServiceConfig> services,
  7: list<string> workspaces,
  8: bool fresh                 // the answering replica holds a fresh linearizable read
}

// ---- entry <-> agent ----

struct ExecuteRequest {
  1: string requestId,
  2: string serviceName,
  3: string workspace,
  4: string className,
  5: Urgency urgency,
  6: i64 timeoutMs,
  7: string httpMethod,
  8: string path,
  9: string contentType,
  10: binary body,
  11: string claimId,           // empty for idempotent requests
  12: i64 claimToken,
  13: i64 incarnation,          // the agent refuses another incarnation's request
  // Another attempt may have sent this token before, so an agent of another incarnation can't say "not run".
  14: bool tokenSentBefore
}

struct ExecuteReply {
  1: Outcome outcome,
  2: string reason,
  3: i32 httpStatus,
  4: string contentType,
  5: binary body,
  6: Load load,
  7: i64 queuedUs,
  8: i64 serviceUs,
  9: i64 retryAfterMs
}

// ---- commands of the replicated state ----

// A target joined, or changed incarnation or properties.
struct RegisterTarget { 1: TargetInfo target }
// The failure detector declared a target lost; ignored for another incarnation.
struct LoseTarget { 1: string vm, 2: i64 incarnation, 3: string reason }
struct DrainTarget { 1: string vm, 2: bool draining }
struct SetZoneService { 1: string availabilityZone, 2: bool inService, 3: string operatorId, 4: string requestId }

struct ApplyConfig {
  1: i64 version, 2: string document, 3: string digest, 4: string operatorId, 5: string environment,
  6: string promotedFrom
}

struct SubmitJob { 1: JobSpec spec, 2: string submissionId /* idempotency key */ }
struct CancelJob { 1: i64 jobId, 2: string reason }

struct MemberPlacement { 1: i32 taskIndex, 2: string vm, 3: i64 incarnation }
struct PlaceJob { 1: i64 jobId, 2: list<MemberPlacement> members, 3: string reason }
struct ParkJob { 1: i64 jobId, 2: string reason }
struct FailJob { 1: i64 jobId, 2: string reason }
enum ReclaimMode { CHECKPOINT = 1, THROTTLE = 2, STOP = 3 }
// deadlineMs counts from the proposal.
struct ReclaimJob { 1: i64 jobId, 2: ReclaimMode mode, 3: string reason, 4: i64 deadlineMs }
struct SetWorkerQuarantine { 1: string vm, 2: bool quarantined, 3: string reason }
struct ReportTasks { 1: string vm, 2: i64 incarnation, 3: list<TaskStatus> tasks }
// Frees the members on lost targets once their leases have run out.
struct ExpireLeases { 1: i64 jobId, 2: list<i32> taskIndexes }

struct OpenClaim {
  1: string claimId,      // workspace/service/idempotency key
  2: string vm, 3: i64 incarnation, 4: string requestDigest, 5: string entry,
  // Unique for each attempt of an entry. The same attempt sent again after a lost response gets its own grant again;
  // without it the claim would be HELD by a token that nobody dispatches.
  6: string attemptId
}
struct CloseClaim {
  1: ClaimOutcome outcome, 2: string vm, 3: i64 incarnation,
  // The entry did not send the token. Refused once another attempt has been told the token, which may have sent it.
  4: bool neverSent
}
struct ExpireClaims { 1: i64 closedBeforeUs }

enum ReplicaChange { ADD_LEARNER = 1, PROMOTE = 2, REMOVE = 3 }
// Changes the members of the control group. The leader turns it into a membership change of the replicated log; it is
// never written to the log as a command.
struct ChangeReplicas { 1: i64 replicaId, 2: ReplicaChange kind, 3: string operatorId }

// Exactly one optional field is set.
struct Command {
  1: i64 proposedAtUs,
  2: string traceId,
  10: optional RegisterTarget registerTarget,
  11: optional LoseTarget loseTarget,
  12: optional DrainTarget drainTarget,
  13: optional SetZoneService setZoneService,
  14: optional ApplyConfig applyConfig,
  15: optional SubmitJob submitJob,
  16: optional CancelJob cancelJob,
  17: optional PlaceJob placeJob,
  18: optional ParkJob parkJob,
  19: optional FailJob failJob,
  20: optional ReclaimJob reclaimJob,
  21: optional SetWorkerQuarantine setWorkerQuarantine,
  22: optional ReportTasks reportTasks,
  23: optional ExpireLeases expireLeases,
  24: optional OpenClaim openClaim,
  25: optional CloseClaim closeClaim,
  26: optional ExpireClaims expireClaims,
  27: optional ChangeReplicas changeReplicas
}

enum CommandStatus { OK = 1, REFUSED = 2, CONFLICT = 3, NOT_FOUND = 4, LIMIT = 5, INVALID = 6 }

enum ClaimState { GRANTED = 1, HELD = 2, CLOSED = 3 }

struct CommandResult {
  1: CommandStatus status,
  2: string message,
  3: i64 index,                 // log index of the command
  4: i64 jobId,
  5: i64 configVersion,
  6: ClaimState claimState,
  7: i64 claimToken,
  8: ClaimOutcome claimOutcome,
  9: string winner,             // operator whose change won a configuration race
  10: string field,             // the offending field of invalid input
  11: string claimVm,           // holder of an open claim
  12: i64 claimIncarnation
}

struct QueryRequest { 1: string kind, 2: string argument, 3: bool linearizable }
struct QueryReply { 1: i32 httpStatus, 2: string json, 3: bool stale }
