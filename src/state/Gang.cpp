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
    occupy(static_cast<size_t>(Placement.taskIndex));
  }
  moveJob(JobEvent::Place, Reason);
}

void Gang::occupy(size_t Task) {
  const record::Job &Record = m_Job.m_Record;
  Target *On = m_Ctx.m_Data.findTarget(Record.members[Task].vm);
  const TaskRef Ref{Record.id, static_cast<int32_t>(Task)};
  On->m_Members.insert(
      std::lower_bound(On->m_Members.begin(), On->m_Members.end(), Ref), Ref);
  On->m_Used.add(Record.spec.perTask, 1);
  m_Ctx.m_Data.m_Held[Record.spec.workspace].add(Record.spec.perTask, 1);
}

void Gang::vacate(size_t Task) {
  const record::Job &Record = m_Job.m_Record;
  Target *On = m_Ctx.m_Data.findTarget(Record.members[Task].vm);
  const TaskRef Ref{Record.id, static_cast<int32_t>(Task)};
  On->m_Members.erase(
      std::lower_bound(On->m_Members.begin(), On->m_Members.end(), Ref));
  On->m_Used.add(Record.spec.perTask, -1);
  m_Ctx.m_Data.m_Held[Record.spec.workspace].add(Record.spec.perTask, -1);
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
        m_Ctx.m_NowUs + leaseSpanUs(m_Job.m_Record.spec.leaseMs);
  if (m_Job.count(TaskPhase::Lost) > 0) {
    m_Ctx.m_Data.m_JobsWithLost.insert(m_Job.m_Record.id);
  } else {
    m_Ctx.m_Data.m_JobsWithLost.erase(m_Job.m_Record.id);
  }
  if (*Next == TaskPhase::Released)
    vacate(Task);
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
  Record.reason = bounded(Reason);
  if (Record.history.size() >= MaxHistory)
    Record.history.erase(Record.history.begin() + 1); // keeps the submission
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

void Gang::settle() {
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
  const auto EndedBy = [](wire::TaskState::type Ending) {
    return [Ending](const record::Member &Member) {
      return Member.finalState == static_cast<int8_t>(Ending);
    };
  };
  if (std::all_of(Record.members.begin(), Record.members.end(),
                  EndedBy(wire::TaskState::SUCCEEDED)))
    return JobEvent::AllSucceeded;
  if (Record.pendingEnd == static_cast<int8_t>(PendingEnd::Cancelled))
    return JobEvent::Cancel;
  if (Record.pendingEnd == static_cast<int8_t>(PendingEnd::Failed))
    return JobEvent::Fail;
  const bool Safe =
      std::all_of(Record.members.begin(), Record.members.end(),
                  [&](const record::Member &Member) {
                    return !Member.mayHaveStarted ||
                           (Record.spec.checkpointable &&
                            EndedBy(wire::TaskState::CHECKPOINTED)(Member));
                  });
  return Safe || Record.spec.idempotent ? JobEvent::Requeue
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
  // A checkpoint of a part of the gang cannot be resumed.
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
  // Only members that succeeded still hold resources here.
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
  m_Ctx.m_Data.m_EndedOrder.emplace(Record.endedIndex, Record.id);
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
  while (Data.m_EndedOrder.size() > MaxEndedJobs) {
    const auto Oldest = Data.m_EndedOrder.begin();
    Data.m_Jobs.erase(Oldest->second);
    Data.m_EndedOrder.erase(Oldest);
  }
}

void loseMembersOf(ApplyContext &Ctx, Target &Gone, const std::string &Reason) {
  const std::vector<TaskRef> Members =
      Gone.m_Members; // changes while members are released
  for (const TaskRef &Ref : Members) {
    Job *Found = Ctx.m_Data.findJob(Ref.m_Job);
    // An earlier member of the same gang may have released this one.
    if (Found == nullptr ||
        static_cast<size_t>(Ref.m_Task) >= Found->m_Record.members.size())
      continue;
    Gang Affected(Ctx, *Found);
    if (!Affected.moveMember(static_cast<size_t>(Ref.m_Task), TaskEvent::Lose))
      continue;
    Affected.release(Reason);
    Affected.settle();
  }
}

void releaseReservedOn(ApplyContext &Ctx, Target &On,
                       const std::string &Reason) {
  const std::vector<TaskRef> Members = On.m_Members;
  for (const TaskRef &Ref : Members) {
    Job *Found = Ctx.m_Data.findJob(Ref.m_Job);
    if (Found == nullptr || Found->phase() != JobPhase::Reserved)
      continue;
    Gang Affected(Ctx, *Found);
    Affected.release(Reason);
    Affected.settle();
  }
}

} // namespace anvil::state::internal
