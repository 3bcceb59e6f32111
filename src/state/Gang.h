#ifndef ANVIL_STATE_GANG_H
#define ANVIL_STATE_GANG_H

#include <string>

#include "StateData.h"

namespace anvil::state::internal {

/// What follows a release; stored in record::Job::pendingEnd.
enum class PendingEnd : int8_t { ByRules = 0, Cancelled = 1, Failed = 2 };

/// Moves one gang through its charts and keeps the resources and indexes that
/// depend on it.
///
/// Usage: make one for a command and a job, call the step, then settle() where
/// the step does not do it. The job may be dropped from the state when it ends,
/// so nothing may be used after a step that ends it.
class Gang {
public:
  Gang(ApplyContext &Ctx, Job &Subject) : m_Ctx(Ctx), m_Job(Subject) {}

  /// Reserves the members in \p Placements for the token \p m_Ctx.m_Index; the
  /// caller has checked them.
  void reserve(const std::vector<wire::MemberPlacement> &Placements,
               const std::string &Reason);

  /// Moves one member; returns false if its phase ignores the event.
  bool moveMember(size_t Task, TaskEvent Event);

  /// Releases all members of a placed gang; nothing if it is already being
  /// released.
  void release(const std::string &Reason);

  /// Takes the steps that follow from the phases of the members: start,
  /// running, completed, released.
  void settle();

  /// Moves the job by its chart and notes the reason; returns false if the
  /// phase ignores the event.
  bool moveJob(JobEvent Event, const std::string &Reason);

  /// Ends a job that holds no member.
  void end(JobEvent Event, const std::string &Reason);

private:
  void occupy(size_t Task);
  void vacate(size_t Task);
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

/// Drops the oldest ended jobs above MaxEndedJobs. Call once the command uses
/// no job any more.
void pruneEndedJobs(StateData &Data);

/// Applies the loss of a target to its members and releases their gangs.
void loseMembersOf(ApplyContext &Ctx, Target &Gone, const std::string &Reason);

/// Releases the gangs that are reserved, so not yet started, with a member on
/// \p On.
void releaseReservedOn(ApplyContext &Ctx, Target &On,
                       const std::string &Reason);

} // namespace anvil::state::internal

#endif // ANVIL_STATE_GANG_H
