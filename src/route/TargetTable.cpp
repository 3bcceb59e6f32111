#include "TargetTable.h"

#include <algorithm>
#include <cmath>

namespace anvil::route::internal {

namespace {

// A target with a higher penalty is used only if all targets have one.
constexpr double AvoidAbove = 0.5;
// Bounds how long a target that failed many times stays avoided after it
// recovered.
constexpr double MaxPenalty = 8;
constexpr Duration DefaultBusyTime = std::chrono::milliseconds(20);
constexpr Duration MaxBusyTime = std::chrono::seconds(5);

// Requests sent to a target beyond its slots. They keep the slots in use while
// answers and new requests travel.
int queueAllowance(const Target &Each) {
  return std::max(1, Each.m_Route.slots / 4);
}

} // namespace

void TargetTable::replace(const std::vector<wire::RouteTarget> &Routes) {
  std::map<std::string, TargetPtr> Old = std::move(m_ByVm);
  m_ByVm.clear();
  m_ByService.clear();
  for (const auto &[Vm, Each] : Old)
    Each->m_Listed = false;
  for (const wire::RouteTarget &Route : Routes) {
    const auto Known = Old.find(Route.vm);
    TargetPtr Kept;
    if (Known != Old.end() &&
        Known->second->m_Route.incarnation == Route.incarnation)
      Kept = Known->second;
    else
      Kept = std::make_shared<Target>();
    Kept->m_Route = Route;
    Kept->m_Listed = true;
    m_ByVm[Route.vm] = Kept;
    m_ByService[Route.serviceName].push_back(Kept);
  }
}

TargetPtr TargetTable::find(const std::string &Service, const std::string &Vm,
                            int64_t Incarnation) const {
  const auto Found = m_ByVm.find(Vm);
  if (Found == m_ByVm.end() ||
      Found->second->m_Route.incarnation != Incarnation ||
      Found->second->m_Route.serviceName != Service)
    return nullptr;
  return Found->second;
}

TargetPtr TargetTable::choose(const std::string &Service,
                              const std::set<std::string> &Tried,
                              TimePoint Now) const {
  const auto Found = m_ByService.find(Service);
  if (Found == m_ByService.end())
    return nullptr;
  std::vector<TargetPtr> Untried;
  std::vector<TargetPtr> Healthy;
  std::vector<TargetPtr> Any;
  for (const TargetPtr &Each : Found->second) {
    if (!usable(*Each))
      continue;
    Any.push_back(Each);
    if (penaltyOf(*Each, Now) > AvoidAbove)
      continue;
    Healthy.push_back(Each);
    if (!Tried.contains(Each->m_Route.vm))
      Untried.push_back(Each);
  }
  // Targets with a penalty are used only if no other one is usable, not already
  // when the others are full.
  const std::vector<TargetPtr> &Rest = Healthy.empty() ? Any : Healthy;
  for (const std::vector<TargetPtr> *Candidates :
       {&std::as_const(Untried), &Rest}) {
    if (TargetPtr Free = chooseBelow(*Candidates, false, Now))
      return Free;
    if (TargetPtr Queueing = chooseBelow(*Candidates, true, Now))
      return Queueing;
  }
  return nullptr;
}

TargetPtr TargetTable::chooseBelow(const std::vector<TargetPtr> &Candidates,
                                   bool AllowQueueing, TimePoint Now) const {
  std::vector<TargetPtr> WithRoom;
  for (const TargetPtr &Each : Candidates) {
    const int Limit = std::max(1, Each->m_Route.slots) +
                      (AllowQueueing ? queueAllowance(*Each) : 0);
    if (Each->m_BusyUntil <= Now && loadOf(*Each, Now) < Limit)
      WithRoom.push_back(Each);
  }
  if (WithRoom.empty())
    return nullptr;
  const size_t First = randomIndex(WithRoom.size());
  if (WithRoom.size() == 1)
    return WithRoom[First];
  const size_t Step = 1 + randomIndex(WithRoom.size() - 1);
  return lighter(WithRoom[First], WithRoom[(First + Step) % WithRoom.size()],
                 Now);
}

TargetPtr TargetTable::lighter(const TargetPtr &Left, const TargetPtr &Right,
                               TimePoint Now) const {
  // Whole requests are compared, so that a small rest of an old report does not
  // outweigh the availability zone.
  const auto Score = [this, Now](const Target &Each) {
    const double Share =
        (loadOf(Each, Now) + penaltyOf(Each, Now) * Each.m_Route.slots) /
        std::max(1, Each.m_Route.slots);
    return std::lround(Share * 8);
  };
  const long LeftScore = Score(*Left);
  const long RightScore = Score(*Right);
  if (LeftScore != RightScore)
    return LeftScore < RightScore ? Left : Right;
  const bool RightIsNear =
      Right->m_Route.availabilityZone == m_Options.m_Zone.str();
  const bool LeftIsNear =
      Left->m_Route.availabilityZone == m_Options.m_Zone.str();
  return RightIsNear && !LeftIsNear ? Right : Left;
}

size_t TargetTable::randomIndex(size_t Count) const {
  const auto Index =
      static_cast<size_t>(m_Options.m_Random() * static_cast<double>(Count));
  return std::min(Index, Count - 1);
}

bool TargetTable::anyUsable(const std::string &Service) const {
  const auto Found = m_ByService.find(Service);
  if (Found == m_ByService.end())
    return false;
  return std::any_of(Found->second.begin(), Found->second.end(),
                     [](const TargetPtr &Each) { return usable(*Each); });
}

void TargetTable::noteLoad(Target &Each, const wire::Load &Load,
                           TimePoint Now) const {
  const int Reported = Load.busySlots + Load.queued;
  Each.m_OtherLoad = std::max(0, Reported - Each.m_Outstanding);
  Each.m_ReportedAt = Now;
}

void TargetTable::noteBusy(Target &Each, Duration RetryAfter,
                           TimePoint Now) const {
  const Duration Base = std::clamp(RetryAfter, DefaultBusyTime, MaxBusyTime);
  // Entries that were refused together must not come back together.
  const auto Jitter = Duration(static_cast<int64_t>(
      m_Options.m_Random() * 0.5 * static_cast<double>(Base.count())));
  Each.m_BusyUntil = Now + Base + Jitter;
}

void TargetTable::penalise(Target &Each, double Weight, TimePoint Now) const {
  Each.m_Penalty = std::min(MaxPenalty, penaltyOf(Each, Now) + Weight);
  Each.m_PenaltyAt = Now;
}

double TargetTable::loadOf(const Target &Each, TimePoint Now) const {
  const double Age = static_cast<double>((Now - Each.m_ReportedAt).count());
  const double Weight = std::max(
      0.0, 1 - Age / static_cast<double>(m_Options.m_HintLife.count()));
  return Each.m_Outstanding + Each.m_OtherLoad * Weight;
}

double TargetTable::penaltyOf(const Target &Each, TimePoint Now) const {
  if (Each.m_Penalty == 0)
    return 0;
  const double Age = static_cast<double>((Now - Each.m_PenaltyAt).count());
  return Each.m_Penalty *
         std::exp2(-Age /
                   static_cast<double>(m_Options.m_PenaltyHalfLife.count()));
}

} // namespace anvil::route::internal
