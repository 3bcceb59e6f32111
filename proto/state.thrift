// Records of the replicated state as they are kept in memory and written to snapshots.
// Field ids are never reused; a change that old programs cannot read raises SNAPSHOT_VERSION.

include "anvil.thrift"

namespace cpp anvil.record

const i32 SNAPSHOT_VERSION = 1

struct Target {
  1: anvil.TargetInfo info,
  2: i8 phase,
  3: bool quarantined,
  4: string quarantineReason,
  5: i64 lostIndex,             // log index of the loss; 0 if not lost
  6: string lostReason
}

// One member of a placed gang; its task index is its position.
struct Member {
  1: string vm,
  2: i64 incarnation,
  3: i8 phase,
  4: i64 leaseEndsUs,           // set while lost
  5: bool mayHaveStarted,       // a START order exists and the agent has not refused it
  6: bool wasRunning,
  7: i8 finalState              // anvil.TaskState of the final report; 0 without one
}

// One entry of a job's history.
struct PhaseChange { 1: i64 atUs, 2: i8 phase, 3: string reason }

struct Job {
  1: i64 id,
  2: anvil.JobSpec spec,
  3: string submissionId,
  4: i8 phase,
  5: i64 submittedAtUs,
  6: i64 changedAtUs,
  7: i64 startToken,            // log index of the placement
  8: i32 attempts,
  9: bool throttled,
  10: bool checkpointed,
  11: bool checkpointOrdered,
  12: i8 pendingEnd,            // what follows once the gang is released: 0 by the job's rules, 1 cancelled, 2 failed
  13: string reason,
  14: list<Member> members,
  15: list<PhaseChange> history,
  16: i64 endedIndex
}

struct Submission { 1: string key, 2: i64 jobId, 3: i64 specHash, 4: i64 index }

struct Claim {
  1: string claimId,
  2: string requestDigest,
  3: string vm,
  4: i64 incarnation,
  5: string entry,
  6: string attemptId,
  7: i64 token,
  8: bool open,
  9: i64 closedAtUs,
  10: anvil.ClaimOutcome outcome,
  // Another attempt was told the token while the claim was open.
  11: bool tokenShared
}

struct ZoneRequest { 1: string requestId, 2: bool inService, 3: i64 index, 4: string message }

struct Zone { 1: string name, 2: i8 phase, 3: list<ZoneRequest> requests }

struct ConfigVersion {
  1: i64 version, 2: string digest, 3: string operatorId, 4: string environment, 5: string promotedFrom, 6: i64 index
}

struct Totals {
  1: i64 jobsSubmitted, 2: i64 jobsCompleted, 3: i64 jobsFailed, 4: i64 jobsCancelled, 5: i64 jobsOutcomeUnknown,
  6: i64 claimsRefusedByLimit, 7: i64 staleReports
}

// First record of a snapshot; the counts tell how many records of each kind follow, in this order.
struct Header {
  1: i64 appliedIndex,
  2: i64 routeVersion,
  3: Totals totals,
  4: string document,
  5: i64 configVersions,
  6: i64 zones,
  7: i64 targets,
  8: i64 submissions,
  9: i64 jobs,
  10: i64 claims
}
