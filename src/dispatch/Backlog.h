#ifndef ANVIL_SRC_DISPATCH_BACKLOG_H
#define ANVIL_SRC_DISPATCH_BACKLOG_H

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Fleet.h"
#include "JobRank.h"
#include "Placer.h"

namespace anvil::dispatch::internal {

/// Room of a service over time: what is free, and what runs release.
///
/// It adds the workers up as if they were one, so a task starts here no later
/// than it can start on separate workers.
class RoomOverTime {
public:
  /// Starts with nothing, at \p Now.
  explicit RoomOverTime(TimePoint Now) : m_Time(Now) {}

  void addWorker(const wire::ResourceAmounts &Capacity);
  /// Takes \p Amounts until \p EndsAt, or for good if that is NoKnownEnd.
  void addRun(const wire::ResourceAmounts &Amounts, TimePoint EndsAt);
  /// Starts \p Count tasks, as many at a time as there is room for, or all
  /// together if \p Together, and moves the time to the start of the last one.
  /// Returns false, without a change, if they never fit.
  bool start(const wire::ResourceAmounts &Need, int32_t Count, bool Together,
             Duration Expected);

  TimePoint time() const { return m_Time; }
  /// Returns what is free once all runs with a known end are over.
  const wire::ResourceAmounts &capacity() const { return m_Capacity; }

private:
  struct Release {
    TimePoint m_At;
    wire::ResourceAmounts m_Amounts;

    /// Orders a heap by the earliest release.
    bool operator<(const Release &Other) const { return m_At > Other.m_At; }
  };

  void release(TimePoint At, const wire::ResourceAmounts &Amounts);

  TimePoint m_Time;
  wire::ResourceAmounts m_Capacity;
  wire::ResourceAmounts m_Free;
  std::vector<Release> m_Releases; ///< A heap.
};

/// The work that waits, in the order of a plan, with the time at which each
/// step is expected to start.
///
/// It answers a sustained overload: a job that is submitted now starts after
/// the work that goes before it, and may then end too late to have any value.
/// Usage: create it at the beginning of a plan, add() the waiting steps in the
/// order in which the plan places them, complete() it with the fleet that the
/// plan left; then it is only read.
class Backlog {
public:
  /// What goes before a job.
  struct Ahead {
    /// Earliest expected start of the job.
    TimePoint m_Start;
    /// Variance of the time until then, relative to its square.
    double m_RelativeVariance = 0;
  };

  /// Knows no service.
  Backlog() = default;
  Backlog(const Fleet &PlanFleet, TimePoint Now);

  /// Adds a waiting step. Steps that only some workers may run are left out,
  /// since other jobs need not wait for them.
  void add(const WaitingStep &Step, const JobUrgency &Urgency);
  void complete(const Fleet &PlanFleet);

  TimePoint madeAt() const { return m_MadeAt; }
  /// Returns the work of a service that goes before a job; nothing if the
  /// service has no workers.
  std::optional<Ahead> aheadOf(const std::string &Service, int32_t Priority,
                               double Rank) const;
  /// Returns what the runs of a service can use at most, which excludes what
  /// long-running tasks hold; nothing if the service has no workers.
  std::optional<wire::ResourceAmounts>
  capacityOf(const std::string &Service) const;
  /// Returns whether the plan left room that no other step reserves: for all
  /// tasks of a gang, or for one task of another step.
  bool hasRoomFor(const std::string &Service, const wire::StepSpec &Step) const;

private:
  struct Entry {
    int32_t m_Priority = 0;
    double m_Rank = 0;
    wire::ResourceAmounts m_Need;
    int32_t m_Tasks = 0;
    bool m_Together = false;
    Duration m_Expected{0};
    /// Latest useful start of the rest of the job.
    TimePoint m_LastStart;
    double m_CoreSeconds = 0;
    double m_LogVariance = 0;
    /// Equal for consecutive steps of one job.
    int m_JobNumber = 0;
    /// The job loses its value before its turn comes, so equally urgent jobs go
    /// before it then.
    bool m_Hopeless = false;
    /// Start of the last task.
    TimePoint m_Start;
    /// The same if only runs of the highest priority hold room; set for steps
    /// of that priority.
    TimePoint m_UrgentStart;
  };
  struct FreeWorker {
    wire::ResourceAmounts m_Free; ///< Without what is reserved.
    std::vector<std::string> m_Labels;
  };
  struct Service {
    explicit Service(TimePoint Now) : m_Room(Now), m_UrgentRoom(Now) {}

    RoomOverTime m_Room;
    /// Without less urgent runs than those of the highest priority, which can
    /// preempt them.
    RoomOverTime m_UrgentRoom;
    bool m_HasLessUrgentRuns = false; ///< Without them, both rooms are equal.
    std::vector<Entry> m_Entries;
    std::vector<FreeWorker> m_Workers;
  };
  using EntryIterator = std::vector<Entry>::iterator;

  static void simulate(Service &Each);
  static void simulatePriority(Service &Each, EntryIterator Begin,
                               EntryIterator End);
  const Service *find(const std::string &Name) const;

  TimePoint m_MadeAt;
  std::map<std::string, Service> m_Services;
  /// Job of the last add(); only compared, and only during the plan.
  const wire::JobRecord *m_LastJob = nullptr;
  int m_JobNumber = 0;
};

} // namespace anvil::dispatch::internal

#endif // ANVIL_SRC_DISPATCH_BACKLOG_H
