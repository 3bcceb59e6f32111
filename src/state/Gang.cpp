#include "Gang.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace anvil::state::internal {

void Gang::reserve(const std::vector<wire::MemberPlacement> &Placements,
                   const std::string &Reason) {
  record::Job &Record = m_Job.m_Record;
  Record.members.assign(Placements.size(), record::Member());
  Record.startToken = m_Ctx.m_Index;
  ++Record.attempts;
  m_Job.m_Counts = {};
  for (const wire::MemberPlacement &Placement : Placements) {
    record::Member &Member =
        Record.members[static_cast<size_t>(Placement.taskIndex)];
    Member.vm = Placement.vm;
    Member.incarnation = Placement.incarnation;
    Member.phase = static_cast<int8_t>(m_Ctx.m_Data.m_Charts.m_Task.initial());
    ++m_Job.m_Counts[static_cast<size_t>(phaseOf(Member))];
    allocateResources(static_cast<size_t>(Placement.taskIndex));
  }
  moveJob(JobEvent::Place, Reason);
}

void Gang::allocateResources(size_t Task) {
  const record::Job &Record = m_Job.m_Record;
  Target *Worker = m_Ctx.m_Data.findTarget(Record.members[Task].vm);
  const TaskRef Ref{Record.id, static_cast<int32_t>(Task)};
  Worker->m_Members.insert(
      std::lower_bound(Worker->m_Members.begin(), Worker->m_Members.end(), Ref),
      Ref);
  Worker->m_Used.add(Record.spec.perTask, 1);
  m_Ctx.m_Data.m_UsageByWorkspace[Record.spec.workspace].add(
      Record.spec.perTask, 1);
}

void Gang::freeResources(size_t Task) {
  const record::Job &Record = m_Job.m_Record;
  Target *Worker = m_Ctx.m_Data.findTarget(Record.members[Task].vm);
  const TaskRef Ref{Record.id, static_cast<int32_t>(Task)};
  Worker->m_Members.erase(std::lower_bound(Worker->m_Members.begin(),
                                           Worker->m_Members.end(), Ref));
  Worker->m_Used.add(Record.spec.perTask, -1);
  m_Ctx.m_Data.m_UsageByWorkspace[Record.spec.workspace].add(
      Record.spec.perTask, -1);
  m_Ctx.emit(TaskReleased{JobId(Record.id), Ref.m_Task,
                          VmId(Record.members[Task].vm)});
}

bool Gang::moveMember(size_t Task, TaskEvent Event) {
  record::Member &Member = m_Job.m_Record.members[Task];
  const std::optional<TaskPhase> Next =
      m_Ctx.m_Data.m_Charts.m_Task.next(phaseOf(Member), Event);
  if (!Next)
    return false;
  --m_Job.m_Counts[static_cast<size_t>(phaseOf(Member))];
  Member.phase = static_cast<int8_t>(*Next);
  ++m_Job.m_Counts[static_cast<size_t>(phaseOf(Member))];
  Member.leaseEndsUs = 0;
  if (*Next == TaskPhase::Starting)
    Member.mayHaveStarted = true;
  if (*Next == TaskPhase::Running)
    Member.wasRunning = true;
  if (*Next == TaskPhase::Lost)
    Member.leaseEndsUs =
        m_Ctx.m_NowUs + lostLeaseUs(m_Job.m_Record.spec.leaseMs);
  if (m_Job.count(TaskPhase::Lost) > 0) {
    m_Ctx.m_Data.m_JobsWithLostMembers.insert(m_Job.m_Record.id);
  } else {
    m_Ctx.m_Data.m_JobsWithLostMembers.erase(m_Job.m_Record.id);
  }
  if (*Next == TaskPhase::Released)
    freeResources(Task);
  return true;
}

bool Gang::moveJob(JobEvent Event, const std::string &Reason) {
  record::Job &Record = m_Job.m_Record;
  const std::optional<JobPhase> Next =
      m_Ctx.m_Data.m_Charts.m_Job.next(m_Job.phase(), Event);
  if (!Next)
    return false;
  Record.phase = static_cast<int8_t>(*Next);
  Record.changedAtUs = m_Ctx.m_NowUs;
  Record.reason = truncateText(Reason);
  if (Record.history.size() >= MaxHistory)
    Record.history.erase(Record.history.begin() + 1); // Keeps the submission.
  record::PhaseChange Entry;
  Entry.atUs = m_Ctx.m_NowUs;
  Entry.phase = Record.phase;
  Entry.reason = Record.reason;
  Record.history.push_back(std::move(Entry));
  if (m_Ctx.m_Data.m_Charts.m_Job.isFinal(*Next)) {
    m_Ctx.emit(JobEnded{JobId(Record.id), *Next, Record.reason});
  } else {
    m_Ctx.emit(JobPhaseChanged{JobId(Record.id), *Next, Record.reason});
  }
  return true;
}

void Gang::release(const std::string &Reason) {
  if (!moveJob(JobEvent::Release, Reason))
    return;
  for (size_t Task = 0; Task < size(); ++Task)
    moveMember(Task, TaskEvent::Stop);
}

void Gang::advance() {
  const auto All = static_cast<int32_t>(size());
  if (m_Job.phase() == JobPhase::Reserved &&
      m_Job.count(TaskPhase::Prepared) == All)
    return start();
  if (m_Job.phase() == JobPhase::Starting &&
      m_Job.count(TaskPhase::Running) + m_Job.count(TaskPhase::Succeeded) ==
          All)
    moveJob(JobEvent::AllRunning, "all tasks run");
  if (m_Job.phase() == JobPhase::Running &&
      m_Job.count(TaskPhase::Succeeded) == All)
    return end(JobEvent::AllSucceeded, "all tasks succeeded");
  if (m_Job.phase() == JobPhase::Releasing &&
      m_Job.count(TaskPhase::Released) + m_Job.count(TaskPhase::Succeeded) ==
          All)
    finishRelease();
}

void Gang::start() {
  moveJob(JobEvent::AllPrepared,
          absl::StrCat("all ", size(), " tasks are prepared"));
  for (size_t Task = 0; Task < size(); ++Task)
    moveMember(Task, TaskEvent::Start);
}

JobEvent Gang::eventAfterRelease() const {
  const record::Job &Record = m_Job.m_Record;
  const auto EndedWith = [](wire::TaskState::type Ending) {
    return [Ending](const record::Member &Member) {
      return Member.finalState == static_cast<int8_t>(Ending);
    };
  };
  if (std::all_of(Record.members.begin(), Record.members.end(),
                  EndedWith(wire::TaskState::SUCCEEDED)))
    return JobEvent::AllSucceeded;
  if (Record.pendingEnd == static_cast<int8_t>(PendingEnd::Cancelled))
    return JobEvent::Cancel;
  if (Record.pendingEnd == static_cast<int8_t>(PendingEnd::Failed))
    return JobEvent::Fail;
  const bool CanRequeue =
      std::all_of(Record.members.begin(), Record.members.end(),
                  [&](const record::Member &Member) {
                    return !Member.mayHaveStarted ||
                           (Record.spec.checkpointable &&
                            EndedWith(wire::TaskState::CHECKPOINTED)(Member));
                  });
  return CanRequeue || Record.spec.idempotent ? JobEvent::Requeue
                                              : JobEvent::LoseOutcome;
}

void Gang::finishRelease() {
  const JobEvent Event = eventAfterRelease();
  if (Event == JobEvent::Requeue)
    return requeue();
  const std::string Cause = m_Job.m_Record.reason;
  if (Event == JobEvent::AllSucceeded) {
    end(Event, "all tasks had succeeded when they were stopped");
  } else if (Event == JobEvent::LoseOutcome) {
    end(Event,
        absl::StrCat(
            "outcome unknown: the job is not idempotent and may have run; ",
            Cause));
  } else {
    end(Event, Cause);
  }
}

void Gang::requeue() {
  record::Job &Record = m_Job.m_Record;
  // The gang cannot resume from checkpoints of only some of its members.
  bool Started = false;
  bool Whole = true;
  for (const record::Member &Member : Record.members) {
    Started = Started || Member.mayHaveStarted;
    Whole = Whole && (!Member.mayHaveStarted ||
                      Member.finalState ==
                          static_cast<int8_t>(wire::TaskState::CHECKPOINTED));
  }
  Record.checkpointed = Record.checkpointed || (Started && Whole);
  clearMembers();
  moveJob(JobEvent::Requeue, absl::StrCat("queued again: ", Record.reason));
}

void Gang::clearMembers() {
  // Members that succeeded hold their resources until the whole gang ends.
  for (size_t Task = 0; Task < size(); ++Task)
    moveMember(Task, TaskEvent::Stop);
  record::Job &Record = m_Job.m_Record;
  Record.members = {};
  Record.startToken = 0;
  Record.throttled = false;
  Record.checkpointOrdered = false;
  m_Job.m_Counts = {};
}

void Gang::end(JobEvent Event, const std::string &Reason) {
  clearMembers();
  moveJob(Event, Reason);
  record::Job &Record = m_Job.m_Record;
  Record.endedIndex = m_Ctx.m_Index;
  m_Ctx.m_Data.m_PayloadBytes -=
      static_cast<int64_t>(Record.spec.payload.size());
  Record.spec.payload = {};
  m_Ctx.m_Data.m_EndedJobsByIndex.emplace(Record.endedIndex, Record.id);
  m_Ctx.m_Data.m_LiveJobs.erase(Record.id);
  countEnd();
}

void Gang::countEnd() {
  record::Totals &Totals = m_Ctx.m_Data.m_Totals;
  switch (m_Job.phase()) {
  case JobPhase::Completed:
    ++Totals.jobsCompleted;
    break;
  case JobPhase::Failed:
    ++Totals.jobsFailed;
    break;
  case JobPhase::Cancelled:
    ++Totals.jobsCancelled;
    break;
  default:
    ++Totals.jobsOutcomeUnknown;
    break;
  }
}

void pruneEndedJobs(StateData &Data) {
  while (Data.m_EndedJobsByIndex.size() > MaxEndedJobs) {
    const auto Oldest = Data.m_EndedJobsByIndex.begin();
    Data.m_Jobs.erase(Oldest->second);
    Data.m_EndedJobsByIndex.erase(Oldest);
  }
}

void loseMembersOf(ApplyContext &Ctx, Target &LostTarget,
                   const std::string &Reason) {
  const std::vector<TaskRef> Members =
      LostTarget.m_Members; // A copy: the release changes the list.
  for (const TaskRef &Ref : Members) {
    Job *Found = Ctx.m_Data.findJob(Ref.m_Job);
    // The loss of an earlier member may have released the whole gang.
    if (Found == nullptr ||
        static_cast<size_t>(Ref.m_Task) >= Found->m_Record.members.size())
      continue;
    Gang Affected(Ctx, *Found);
    if (!Affected.moveMember(static_cast<size_t>(Ref.m_Task), TaskEvent::Lose))
      continue;
    Affected.release(Reason);
    Affected.advance();
  }
}

void releaseReservedGangs(ApplyContext &Ctx, Target &Leaving,
                          const std::string &Reason) {
  const std::vector<TaskRef> Members = Leaving.m_Members;
  for (const TaskRef &Ref : Members) {
    Job *Found = Ctx.m_Data.findJob(Ref.m_Job);
    if (Found == nullptr || Found->phase() != JobPhase::Reserved)
      continue;
    Gang Affected(Ctx, *Found);
    Affected.release(Reason);
    Affected.advance();
  }
}

} // namespace anvil::state::internal
