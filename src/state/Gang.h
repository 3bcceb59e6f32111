#ifndef ANVIL_STATE_GANG_H
#define ANVIL_STATE_GANG_H

#include <string>

#include "StateData.h"

namespace anvil::state::internal {

/// How a job ends after its gang is released. ByMemberStates requeues or ends
/// it by the final states of its members. Stored in record::Job::pendingEnd.
enum class PendingEnd : int8_t {
  ByMemberStates = 0,
  Cancelled = 1,
  Failed = 2
};

/// Applies chart events to a job and its members and keeps the resource sums
/// and indexes in agreement with their phases.
///
/// Usage: create one for a command and a job, apply events, then call
/// advance(). An ended job stays in the state until pruneEndedJobs() at the end
/// of the command.
class Gang {
public:
  Gang(ApplyContext &Ctx, Job &Subject) : m_Ctx(Ctx), m_Job(Subject) {}

  /// Reserves the members in \p Placements, which the caller has checked. The
  /// start token of the placement is the log index of the command.
  void reserve(const std::vector<wire::MemberPlacement> &Placements,
               const std::string &Reason);

  /// Applies an event to one member. Returns false if its phase ignores it.
  bool moveMember(size_t Task, TaskEvent Event);

  /// Starts the release of all members of a placed gang. Does nothing if it is
  /// already being released.
  void release(const std::string &Reason);

  /// Applies the job events that follow from the phases of its members: all
  /// prepared, all running, all succeeded or all released.
  void advance();

  /// Applies an event to the job and records the reason in its history. Returns
  /// false if its phase ignores the event.
  bool moveJob(JobEvent Event, const std::string &Reason);

  /// Ends a job that is queued or whose members have all succeeded or been
  /// released.
  void end(JobEvent Event, const std::string &Reason);

private:
  void allocateResources(size_t Task);
  void freeResources(size_t Task);
  void start();
  void finishRelease();
  JobEvent eventAfterRelease() const;
  void requeue();
  void clearMembers();
  void countEnd();
  size_t size() const { return m_Job.m_Record.members.size(); }

  ApplyContext &m_Ctx;
  Job &m_Job;
};

/// Removes the oldest ended jobs above MaxEndedJobs. Invalidates references to
/// jobs, so it must run after the command.
void pruneEndedJobs(StateData &Data);

/// Marks the members on a lost target as lost and releases their gangs.
void loseMembersOf(ApplyContext &Ctx, Target &LostTarget,
                   const std::string &Reason);

/// Releases the gangs that have a member on \p Leaving and have not started
/// yet.
void releaseReservedGangs(ApplyContext &Ctx, Target &Leaving,
                          const std::string &Reason);

} // namespace anvil::state::internal

#endif // ANVIL_STATE_GANG_H
