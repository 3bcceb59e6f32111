#ifndef ANVIL_SRC_DISPATCH_FAIRSHARE_H
#define ANVIL_SRC_DISPATCH_FAIRSHARE_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Fleet.h"
#include "Guarantees.h"
#include "Placer.h"

namespace anvil::dispatch::internal {

/// A waiting step and its place in the order.
struct RankedStep {
  WaitingStep m_Step;
  double m_Rank = 0; ///< JobUrgency::m_Rank of its job.
  /// It is ordered by its rank alone, whatever its workspace uses: a guarantee
  /// covers its job, or the job has no slack left but can still earn a part of
  /// its value.
  bool m_KeepsRank = false;
  /// It comes after all other steps of its priority; see Planner.
  bool m_YieldsToGuarantee = false;
};

/// Orders waiting steps so that workspaces beyond their fair share of a service
/// yield to the others of the same priority.
///
/// It answers a workspace that sends more than the service can do: without it,
/// the others wait in proportion to what that workspace sends.
///
/// As in dominant resource fairness, the share of a workspace is the largest of
/// its shares of cores, memory and accelerators, here of the runs beyond its
/// guarantee. Runs that are less urgent than the waiting steps do not count, so
/// that the batch work of a workspace does not delay its urgent jobs.
/// Workspaces that have steps waiting in a service at a priority divide by
/// their weights what guaranteed runs and the other workspaces leave of the
/// service. The rank of a step of a workspace beyond its part is multiplied by
/// the ratio of the part to its share, within a bound.
///
/// Usage: call next() until it returns nothing, and addStarted() after each
/// step of which tasks were started.
class FairShare {
public:
  struct Options {
    /// Without it, next() returns the steps in their original order.
    bool m_Enabled = true;
  };

  /// \p Steps are ordered by priority, then steps that yield to guarantees
  /// last, then by descending rank. They must outlive this object.
  FairShare(const Fleet &PlanFleet, const Guarantees &PlanGuarantees,
            const std::vector<RankedStep> &Steps, Options ShareOptions);

  /// Returns the index of the next step, or nothing after the last.
  std::optional<size_t> next();
  /// Adds started tasks of a step that next() returned to the share of its
  /// workspace.
  void addStarted(size_t Index, int32_t Tasks);

  /// Returns whether a later step of the same service was started before the
  /// step, because its workspace is beyond its part.
  bool hasYielded(size_t Index) const;
  /// Returns the dominant share of the step's workspace beyond its guarantee,
  /// from 0 to 1.
  double shareOf(size_t Index) const;
  /// Returns the part of the service that the step's workspace may use before
  /// it yields, from 0 to 1.
  double partOf(size_t Index) const;

private:
  /// What a workspace uses of a service.
  struct Usage {
    /// By runs that are not less urgent than the present group.
    wire::ResourceAmounts m_All;
    std::map<int32_t, wire::ResourceAmounts> m_LessUrgent; ///< By priority.
    wire::ResourceAmounts m_Urgent; ///< By runs of the highest priority.
    int64_t m_Guaranteed = 0;
    double m_Weight = 1;
    /// It has steps in the present group.
    bool m_Competes = false;
    // Derived from the above by update().
    double m_Share = 0;
    double m_Part = 1;
    double m_Discount = 1;

    void add(const wire::JobRecord &Job, const wire::ResourceAmounts &Amounts,
             int32_t Count);
    /// Counts the runs of \p Priority and of more urgent ones in m_All.
    void countUpTo(int32_t Priority);
    /// Returns the part of what its urgent runs use that its guarantee covers.
    double coveredPart() const;
  };
  struct Service {
    wire::ResourceAmounts m_Capacity;
    std::map<std::string, Usage> m_Workspaces;
    /// Index of the last step in the original order that was started.
    std::optional<size_t> m_LastStarted;
  };
  /// Steps of one workspace, service and group that are in the right order
  /// among each other.
  struct Line {
    Usage *m_Usage = nullptr;
    bool m_KeepsRank = false;
    std::vector<size_t> m_Indexes;
    size_t m_Next = 0;
  };

  Usage &usageOf(const wire::JobRecord &Job);
  const Usage &usageOf(size_t Index) const;
  void openGroup();
  static void update(Service &Value);

  const Guarantees &m_Guarantees;
  const std::vector<RankedStep> &m_Steps;
  const Options m_Options;
  std::map<std::string, Service> m_Services;
  /// Present group: consecutive steps of the same priority that alike yield to
  /// guarantees or do not.
  std::vector<Line> m_Lines;
  size_t m_GroupEnd = 0;
};

} // namespace anvil::dispatch::internal

#endif // ANVIL_SRC_DISPATCH_FAIRSHARE_H
