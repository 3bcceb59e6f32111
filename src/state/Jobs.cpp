#include "Gang.h"
#include "StateData.h"

#include "absl/strings/str_cat.h"
#include "thrift/protocol/TCompactProtocol.h"
#include "thrift/transport/TBufferTransports.h"
#include "xxhash.h"

#include "anvil/config/Config.h"

namespace anvil::state::internal {

namespace {

constexpr size_t MaxNameBytes = 128;
constexpr int64_t MinLeaseMs = 1'000;

int64_t hashOf(const wire::JobSpec &Spec) {
  using apache::thrift::protocol::TCompactProtocol;
  using apache::thrift::transport::TMemoryBuffer;
  const auto Buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocol Protocol(Buffer);
  Spec.write(&Protocol);
  uint8_t *Bytes = nullptr;
  uint32_t Size = 0;
  Buffer->getBuffer(&Bytes, &Size);
  return static_cast<int64_t>(XXH3_64bits(Bytes, Size));
}

std::optional<wire::CommandResult> checkGang(const wire::JobSpec &Spec,
                                             const config::Limits &Limits) {
  if (Spec.tasks < 1 || Spec.tasks > Limits.m_GangSize)
    return invalid("spec.tasks",
                   absl::StrCat(Spec.tasks, " tasks are not between 1 and ",
                                Limits.m_GangSize));
  const wire::Resources &Each = Spec.perTask;
  if (Each.accelerators < 0 || Each.cores < 0 || Each.memoryMib < 0)
    return invalid("spec.perTask", "resources must not be negative");
  if (Each.accelerators == 0 && Each.cores == 0)
    return invalid("spec.perTask",
                   "a task needs at least one core or accelerator");
  // Keeps the sum over a gang within int64_t.
  if (Each.memoryMib > (1LL << 40))
    return invalid("spec.perTask", "memory is above 2^40 MiB");
  if (Spec.adjacency < wire::Adjacency::ANY ||
      Spec.adjacency > wire::Adjacency::VM)
    return invalid("spec.adjacency", "the adjacency is unknown");
  if (Spec.urgency < wire::Urgency::URGENT ||
      Spec.urgency > wire::Urgency::OVERNIGHT)
    return invalid("spec.urgency", "the urgency is unknown");
  return std::nullopt;
}

std::optional<wire::CommandResult> checkSpec(const wire::SubmitJob &Command,
                                             const config::Limits &Limits) {
  const wire::JobSpec &Spec = Command.spec;
  if (Spec.name.size() > MaxNameBytes)
    return invalid("spec.name", "the name has more than 128 bytes");
  if (Spec.deadlineMs < 0 || Spec.estimateMs < 0)
    return invalid(Spec.deadlineMs < 0 ? "spec.deadlineMs" : "spec.estimateMs",
                   "times must not be negative");
  if (Spec.leaseMs < MinLeaseMs || Spec.leaseMs > Limits.m_LeaseMs) {
    return invalid("spec.leaseMs",
                   absl::StrCat(Spec.leaseMs, " ms is not between ", MinLeaseMs,
                                " and ", Limits.m_LeaseMs));
  }
  if (static_cast<int64_t>(Spec.payload.size()) > Limits.m_PayloadKib << 10)
    return invalid("spec.payload", absl::StrCat("the payload has more than ",
                                                Limits.m_PayloadKib, " KiB"));
  if (Command.submissionId.size() > MaxNameBytes)
    return invalid("submission_id",
                   "the submission id has more than 128 bytes");
  if (Command.submissionId.empty() && !Spec.idempotent)
    return invalid("submission_id", "a job that is not idempotent needs a "
                                    "submission id, so that resends are found");
  return checkGang(Spec, Limits);
}

std::optional<wire::CommandResult> checkWorkspace(const StateData &Data,
                                                  const wire::JobSpec &Spec) {
  if (!Data.m_Document)
    return refused("no configuration is in force");
  const config::Workspace *Space =
      config::findWorkspace(*Data.m_Document, Spec.workspace);
  if (Space == nullptr)
    return invalid("spec.workspace",
                   absl::StrCat("workspace ", Spec.workspace, " is unknown"));
  Usage Needed;
  Needed.add(Spec.perTask, Spec.tasks);
  if (!Needed.within(usageOf(Space->m_Quota)))
    return invalid(
        "spec.perTask",
        absl::StrCat("the job needs more than the quota of workspace ",
                     Spec.workspace));
  return std::nullopt;
}

std::optional<wire::CommandResult> checkLimits(const StateData &Data,
                                               const wire::JobSpec &Spec) {
  const size_t Live = Data.m_LiveJobs.size();
  if (static_cast<int64_t>(Live) >= Data.limits().m_LiveJobs)
    return makeResult(wire::CommandStatus::LIMIT,
                      absl::StrCat("there are already ", Live, " jobs"));
  if (Data.m_PayloadBytes + static_cast<int64_t>(Spec.payload.size()) >
      MaxPayloadBytes)
    return makeResult(wire::CommandStatus::LIMIT,
                      "the payloads of all jobs would exceed 64 MiB");
  return std::nullopt;
}

std::string submissionKey(const wire::SubmitJob &Command) {
  return absl::StrCat(Command.spec.workspace, "\n", Command.submissionId);
}

wire::CommandResult jobResult(wire::CommandResult Result, int64_t Id) {
  Result.jobId = Id;
  return Result;
}

void recordSubmission(ApplyContext &Ctx, const wire::SubmitJob &Command) {
  StateData &Data = Ctx.m_Data;
  if (Command.submissionId.empty())
    return;
  const std::string Key = submissionKey(Command);
  record::Submission &Added = Data.m_Submissions[Key];
  Added.key = Key;
  Added.jobId = Ctx.m_Index;
  Added.specHash = hashOf(Command.spec);
  Added.index = Ctx.m_Index;
  Data.m_SubmissionsByIndex.emplace(Ctx.m_Index, Key);
  if (Data.m_SubmissionsByIndex.size() > MaxSubmissions) {
    Data.m_Submissions.erase(Data.m_SubmissionsByIndex.begin()->second);
    Data.m_SubmissionsByIndex.erase(Data.m_SubmissionsByIndex.begin());
  }
}

void addJob(ApplyContext &Ctx, const wire::SubmitJob &Command) {
  Job &Added = Ctx.m_Data.m_Jobs[Ctx.m_Index];
  record::Job &Record = Added.m_Record;
  Record.id = Ctx.m_Index;
  Record.spec = Command.spec;
  Record.submissionId = Command.submissionId;
  Record.phase = static_cast<int8_t>(Ctx.m_Data.m_Charts.m_Job.initial());
  Record.submittedAtUs = Ctx.m_NowUs;
  Record.changedAtUs = Ctx.m_NowUs;
  Record.reason = "submitted";
  record::PhaseChange First;
  First.atUs = Ctx.m_NowUs;
  First.phase = Record.phase;
  First.reason = Record.reason;
  Record.history.push_back(std::move(First));
  Ctx.m_Data.m_PayloadBytes +=
      static_cast<int64_t>(Command.spec.payload.size());
  Ctx.m_Data.m_LiveJobs.insert(Record.id);
  ++Ctx.m_Data.m_Totals.jobsSubmitted;
  Ctx.emit(JobSubmitted{JobId(Record.id)});
}

wire::CommandResult unknownJob(int64_t Id) {
  return notFound(absl::StrCat("job ", Id, " is unknown"));
}

wire::CommandResult alreadyEnded(const Job &Ended) {
  return refused(absl::StrCat("job ", Ended.m_Record.id, " has already ended: ",
                              std::string(nameOf(Ended.phase()))));
}

bool hasEnded(const StateData &Data, const Job &Subject) {
  return Data.m_Charts.m_Job.isFinal(Subject.phase());
}

// Ends a queued job at once. Releases the gang of a placed job, which then ends
// as \p End says.
wire::CommandResult stopPermanently(ApplyContext &Ctx, Job &Subject,
                                    PendingEnd End, const std::string &Reason) {
  Gang Members(Ctx, Subject);
  if (Subject.phase() == JobPhase::Queued) {
    Members.end(End == PendingEnd::Cancelled ? JobEvent::Cancel
                                             : JobEvent::Fail,
                Reason);
    return okResult("ended");
  }
  Subject.m_Record.pendingEnd = static_cast<int8_t>(End);
  // If the gang is already being released, the history keeps the first reason,
  // but the job ends with this one.
  Members.release(Reason);
  Subject.m_Record.reason = truncateText(Reason);
  Members.advance();
  return okResult("stopping");
}

} // namespace

wire::CommandResult applySubmit(ApplyContext &Ctx,
                                const wire::SubmitJob &Command) {
  StateData &Data = Ctx.m_Data;
  if (!Command.submissionId.empty()) {
    const auto Earlier = Data.m_Submissions.find(submissionKey(Command));
    if (Earlier != Data.m_Submissions.end() &&
        Earlier->second.specHash != hashOf(Command.spec)) {
      return jobResult(
          invalid("submission_id",
                  "the submission id was already used for another job"),
          Earlier->second.jobId);
    }
    if (Earlier != Data.m_Submissions.end())
      return jobResult(okResult("already submitted"), Earlier->second.jobId);
  }
  if (std::optional<wire::CommandResult> Refusal =
          checkSpec(Command, Data.limits()))
    return *Refusal;
  if (std::optional<wire::CommandResult> Refusal =
          checkWorkspace(Data, Command.spec))
    return *Refusal;
  if (std::optional<wire::CommandResult> Refusal =
          checkLimits(Data, Command.spec))
    return *Refusal;
  addJob(Ctx, Command);
  recordSubmission(Ctx, Command);
  return jobResult(okResult("submitted"), Ctx.m_Index);
}

wire::CommandResult applyCancel(ApplyContext &Ctx,
                                const wire::CancelJob &Command) {
  Job *Found = Ctx.m_Data.findJob(Command.jobId);
  if (Found == nullptr)
    return unknownJob(Command.jobId);
  if (Found->phase() == JobPhase::Cancelled)
    return jobResult(okResult("already cancelled"), Command.jobId);
  if (hasEnded(Ctx.m_Data, *Found))
    return jobResult(alreadyEnded(*Found), Command.jobId);
  const std::string Reason = Command.reason.empty()
                                 ? "cancelled"
                                 : absl::StrCat("cancelled: ", Command.reason);
  return jobResult(stopPermanently(Ctx, *Found, PendingEnd::Cancelled, Reason),
                   Command.jobId);
}

wire::CommandResult applyPark(ApplyContext &Ctx, const wire::ParkJob &Command) {
  Job *Found = Ctx.m_Data.findJob(Command.jobId);
  if (Found == nullptr)
    return unknownJob(Command.jobId);
  if (Found->phase() != JobPhase::Queued)
    return jobResult(refused("only a queued job can be parked"), Command.jobId);
  // Not added to the history, because the reason of a waiting job changes
  // often.
  Found->m_Record.reason = truncateText(Command.reason);
  return jobResult(okResult("parked"), Command.jobId);
}

wire::CommandResult applyFail(ApplyContext &Ctx, const wire::FailJob &Command) {
  Job *Found = Ctx.m_Data.findJob(Command.jobId);
  if (Found == nullptr)
    return unknownJob(Command.jobId);
  if (Found->phase() == JobPhase::Failed)
    return jobResult(okResult("already failed"), Command.jobId);
  if (hasEnded(Ctx.m_Data, *Found))
    return jobResult(alreadyEnded(*Found), Command.jobId);
  if (Found->m_Record.pendingEnd == static_cast<int8_t>(PendingEnd::Cancelled))
    return jobResult(refused("the job is being cancelled"), Command.jobId);
  return jobResult(
      stopPermanently(Ctx, *Found, PendingEnd::Failed, Command.reason),
      Command.jobId);
}

wire::CommandResult applyReclaim(ApplyContext &Ctx,
                                 const wire::ReclaimJob &Command) {
  Job *Found = Ctx.m_Data.findJob(Command.jobId);
  if (Found == nullptr)
    return unknownJob(Command.jobId);
  record::Job &Record = Found->m_Record;
  const bool Placed =
      Found->phase() != JobPhase::Queued && !hasEnded(Ctx.m_Data, *Found);
  if (!Placed)
    return jobResult(refused("the job holds no resources"), Command.jobId);
  const bool Started = Found->phase() != JobPhase::Reserved;
  if (Started && !Record.spec.idempotent && !Record.spec.checkpointable)
    return jobResult(
        refused("the job could only be stopped for good; cancel it instead"),
        Command.jobId);
  if (Started && Command.mode == wire::ReclaimMode::CHECKPOINT &&
      !Record.spec.checkpointable)
    return jobResult(refused("the job cannot checkpoint"), Command.jobId);
  if (Command.mode == wire::ReclaimMode::THROTTLE && Started) {
    if (Found->phase() != JobPhase::Running)
      return jobResult(refused("only a running job can be throttled"),
                       Command.jobId);
    if (!Record.throttled)
      Ctx.emit(JobThrottled{JobId(Record.id)});
    Record.throttled = true;
    return jobResult(okResult("throttled"), Command.jobId);
  }
  // STOP after CHECKPOINT cancels the order to checkpoint before the stop.
  Record.checkpointOrdered =
      Command.mode == wire::ReclaimMode::CHECKPOINT && Started;
  Gang Members(Ctx, *Found);
  Members.release(absl::StrCat("reclaimed: ", Command.reason));
  Members.advance();
  return jobResult(okResult("stopping"), Command.jobId);
}

wire::CommandResult applyExpireLeases(ApplyContext &Ctx,
                                      const wire::ExpireLeases &Command) {
  Job *Found = Ctx.m_Data.findJob(Command.jobId);
  if (Found == nullptr)
    return unknownJob(Command.jobId);
  for (const int32_t Task : Command.taskIndexes) {
    const std::vector<record::Member> &Members = Found->m_Record.members;
    if (Task < 0 || static_cast<size_t>(Task) >= Members.size())
      continue; // Already released; this is a resend.
    const record::Member &Member = Members[static_cast<size_t>(Task)];
    if (phaseOf(Member) == TaskPhase::Lost &&
        Ctx.m_NowUs < Member.leaseEndsUs) {
      return jobResult(
          refused(absl::StrCat("the lease of task ", Task, " on VM ", Member.vm,
                               " has not ended")),
          Command.jobId);
    }
  }
  Gang Members(Ctx, *Found);
  for (const int32_t Task : Command.taskIndexes) {
    if (Task >= 0 && static_cast<size_t>(Task) < Found->m_Record.members.size())
      Members.moveMember(static_cast<size_t>(Task), TaskEvent::Expire);
  }
  Members.advance();
  return jobResult(okResult("expired"), Command.jobId);
}

} // namespace anvil::state::internal
