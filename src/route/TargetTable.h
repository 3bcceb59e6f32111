#ifndef ANVIL_ROUTE_TARGETTABLE_H
#define ANVIL_ROUTE_TARGETTABLE_H

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "anvil/route/RouterTypes.h"

namespace anvil::route::internal {

/// What the entry knows about one target.
struct Target {
  wire::RouteTarget m_Route;
  bool m_Listed = true; ///< In the current routing table.
  int m_Outstanding =
      0; ///< Requests of this entry that are claiming or running there.
  double m_OtherLoad =
      0; ///< Requests of others there when the agent last reported.
  TimePoint m_ReportedAt{};
  TimePoint m_BusyUntil{}; ///< The agent asked not to be sent requests before
                           ///< this time.
  double m_Penalty = 0;    ///< At m_PenaltyAt; decays from then on.
  TimePoint m_PenaltyAt{};
};

using TargetPtr = std::shared_ptr<Target>;

/// Keeps the targets of all services and chooses one for a request.
class TargetTable {
public:
  explicit TargetTable(const RouterOptions &Options) : m_Options(Options) {}

  /// Takes over a routing table. Loads and penalties of targets that stay the
  /// same incarnation are kept.
  void replace(const std::vector<wire::RouteTarget> &Routes);

  /// Chooses a target with room, or returns null. Targets in \p Tried are used
  /// only if no other one is usable.
  TargetPtr choose(const std::string &Service,
                   const std::set<std::string> &Tried, TimePoint Now) const;

  /// Returns the target of that name and incarnation, or null.
  TargetPtr find(const std::string &Service, const std::string &Vm,
                 int64_t Incarnation) const;

  /// Returns true if the service has a target that may be sent requests.
  bool anyUsable(const std::string &Service) const;
  /// Returns true if \p Each may be sent requests.
  static bool usable(const Target &Each) {
    return Each.m_Listed && Each.m_Route.usable;
  }

  /// Takes over the load that an agent reported with the end of one request of
  /// this entry.
  void noteLoad(Target &Each, const wire::Load &Load, TimePoint Now) const;
  /// Avoids a target because the agent has no room.
  void noteBusy(Target &Each, Duration RetryAfter, TimePoint Now) const;
  /// Avoids a target by \p Weight; a weight of 1 stands for a failed request.
  void penalise(Target &Each, double Weight, TimePoint Now) const;

  /// Returns the requests that the target is assumed to hold.
  double loadOf(const Target &Each, TimePoint Now) const;
  double penaltyOf(const Target &Each, TimePoint Now) const;

private:
  TargetPtr chooseBelow(const std::vector<TargetPtr> &Candidates,
                        bool AllowQueueing, TimePoint Now) const;
  TargetPtr lighter(const TargetPtr &Left, const TargetPtr &Right,
                    TimePoint Now) const;
  size_t randomIndex(size_t Count) const;

  const RouterOptions &m_Options;
  std::map<std::string, std::vector<TargetPtr>> m_ByService;
  std::map<std::string, TargetPtr> m_ByVm;
};

} // namespace anvil::route::internal

#endif // ANVIL_ROUTE_TARGETTABLE_H
