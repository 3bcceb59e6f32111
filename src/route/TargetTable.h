#ifndef ANVIL_ROUTE_TARGETTABLE_H
#define ANVIL_ROUTE_TARGETTABLE_H

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "anvil/route/RouterTypes.h"

namespace anvil::route::internal {

/// State of one target as seen by this entry.
struct Target {
  wire::RouteTarget m_Route;
  bool m_Listed = true; ///< In the current routing table.
  /// Requests of this entry that are claiming or running on the target.
  int m_Outstanding = 0;
  /// Requests of other entries in the agent's last load report.
  double m_OtherLoad = 0;
  TimePoint m_ReportedAt{};
  TimePoint m_BusyUntil{}; ///< No requests are sent before this time.
  double m_Penalty = 0;    ///< At m_PenaltyAt; decays from then on.
  TimePoint m_PenaltyAt{};
};

using TargetPtr = std::shared_ptr<Target>;

/// Keeps the targets of all services and chooses one for a request.
class TargetTable {
public:
  explicit TargetTable(const RouterOptions &Options) : m_Options(Options) {}

  /// Replaces the routing table. A target whose incarnation is unchanged keeps
  /// its load and penalty.
  void replace(const std::vector<wire::RouteTarget> &Routes);

  /// Chooses a target with free capacity, or returns null. VMs in \p TriedVms
  /// are chosen only if no other healthy target has free capacity.
  TargetPtr choose(const std::string &Service,
                   const std::set<std::string> &TriedVms, TimePoint Now) const;

  /// Returns the target with that VM and incarnation, or null.
  TargetPtr find(const std::string &Service, const std::string &Vm,
                 int64_t Incarnation) const;

  /// Returns true if the service has a usable target.
  bool anyUsable(const std::string &Service) const;
  /// Returns true if requests may be sent to \p Target.
  static bool usable(const Target &Target) {
    return Target.m_Listed && Target.m_Route.usable;
  }

  /// Records the load that an agent reported in the reply to a request of this
  /// entry.
  void recordLoad(Target &Target, const wire::Load &Load, TimePoint Now) const;
  /// Avoids a target for about \p RetryAfter, because the agent refused a
  /// request.
  void recordBusy(Target &Target, Duration RetryAfter, TimePoint Now) const;
  /// Adds \p Weight to the penalty of a target. A failed request has a weight
  /// of 1.
  void penalize(Target &Target, double Weight, TimePoint Now) const;

  /// Returns the estimated number of requests on the target.
  double loadOf(const Target &Target, TimePoint Now) const;
  double penaltyOf(const Target &Target, TimePoint Now) const;

private:
  TargetPtr chooseWithCapacity(const std::vector<TargetPtr> &Candidates,
                               bool AllowQueueing, TimePoint Now) const;
  TargetPtr lessLoaded(const TargetPtr &Left, const TargetPtr &Right,
                       TimePoint Now) const;
  size_t randomIndex(size_t Count) const;

  const RouterOptions &m_Options;
  std::map<std::string, std::vector<TargetPtr>> m_ByService;
  std::map<std::string, TargetPtr> m_ByVm;
};

} // namespace anvil::route::internal

#endif // ANVIL_ROUTE_TARGETTABLE_H
