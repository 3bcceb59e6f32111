#include "TargetTable.h"

#include <algorithm>
#include <cmath>

namespace anvil::route::internal {

namespace {

// A target with a higher penalty is chosen only if all usable targets have one.
constexpr double MaxPenaltyOfHealthyTarget = 0.5;
// Limits how long a target with many failures is avoided after it recovers.
constexpr double MaxPenalty = 8;
constexpr Duration DefaultBusyTime = std::chrono::milliseconds(20);
constexpr Duration MaxBusyTime = std::chrono::seconds(5);

// Returns how many requests may be sent beyond the slots. They keep the slots
// busy while replies and new requests are on the network.
int queueAllowance(const Target &Target) {
  return std::max(1, Target.m_Route.slots / 4);
}

} // namespace

void TargetTable::replace(const std::vector<wire::RouteTarget> &Routes) {
  std::map<std::string, TargetPtr> Old = std::move(m_ByVm);
  m_ByVm.clear();
  m_ByService.clear();
  for (const auto &[Vm, Known] : Old)
    Known->m_Listed = false;
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
                              const std::set<std::string> &TriedVms,
                              TimePoint Now) const {
  const auto Found = m_ByService.find(Service);
  if (Found == m_ByService.end())
    return nullptr;
  std::vector<TargetPtr> Untried;
  std::vector<TargetPtr> Healthy;
  std::vector<TargetPtr> Any;
  for (const TargetPtr &Candidate : Found->second) {
    if (!usable(*Candidate))
      continue;
    Any.push_back(Candidate);
    if (penaltyOf(*Candidate, Now) > MaxPenaltyOfHealthyTarget)
      continue;
    Healthy.push_back(Candidate);
    if (!TriedVms.contains(Candidate->m_Route.vm))
      Untried.push_back(Candidate);
  }
  // Targets with a penalty are used only if no other target is usable, but not
  // if the others are merely full.
  const std::vector<TargetPtr> &Rest = Healthy.empty() ? Any : Healthy;
  for (const std::vector<TargetPtr> *Candidates :
       {&std::as_const(Untried), &Rest}) {
    if (TargetPtr Free = chooseWithCapacity(*Candidates, false, Now))
      return Free;
    if (TargetPtr Queueing = chooseWithCapacity(*Candidates, true, Now))
      return Queueing;
  }
  return nullptr;
}

TargetPtr
TargetTable::chooseWithCapacity(const std::vector<TargetPtr> &Candidates,
                                bool AllowQueueing, TimePoint Now) const {
  std::vector<TargetPtr> WithRoom;
  for (const TargetPtr &Candidate : Candidates) {
    const int Limit = std::max(1, Candidate->m_Route.slots) +
                      (AllowQueueing ? queueAllowance(*Candidate) : 0);
    if (Candidate->m_BusyUntil <= Now && loadOf(*Candidate, Now) < Limit)
      WithRoom.push_back(Candidate);
  }
  if (WithRoom.empty())
    return nullptr;
  const size_t First = randomIndex(WithRoom.size());
  if (WithRoom.size() == 1)
    return WithRoom[First];
  const size_t Step = 1 + randomIndex(WithRoom.size() - 1);
  return lessLoaded(WithRoom[First], WithRoom[(First + Step) % WithRoom.size()],
                    Now);
}

TargetPtr TargetTable::lessLoaded(const TargetPtr &Left, const TargetPtr &Right,
                                  TimePoint Now) const {
  // The score is rounded, so that the small remaining weight of an old report
  // does not take precedence over the availability zone.
  const auto Score = [this, Now](const Target &Target) {
    const double Share =
        (loadOf(Target, Now) + penaltyOf(Target, Now) * Target.m_Route.slots) /
        std::max(1, Target.m_Route.slots);
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
  return std::any_of(
      Found->second.begin(), Found->second.end(),
      [](const TargetPtr &Candidate) { return usable(*Candidate); });
}

void TargetTable::recordLoad(Target &Target, const wire::Load &Load,
                             TimePoint Now) const {
  const int Reported = Load.busySlots + Load.queued;
  Target.m_OtherLoad = std::max(0, Reported - Target.m_Outstanding);
  Target.m_ReportedAt = Now;
}

void TargetTable::recordBusy(Target &Target, Duration RetryAfter,
                             TimePoint Now) const {
  const Duration Base = std::clamp(RetryAfter, DefaultBusyTime, MaxBusyTime);
  // Jitter keeps entries that were refused together from retrying together.
  const auto Jitter = Duration(static_cast<int64_t>(
      m_Options.m_Random() * 0.5 * static_cast<double>(Base.count())));
  Target.m_BusyUntil = Now + Base + Jitter;
}

void TargetTable::penalize(Target &Target, double Weight, TimePoint Now) const {
  Target.m_Penalty = std::min(MaxPenalty, penaltyOf(Target, Now) + Weight);
  Target.m_PenaltyAt = Now;
}

double TargetTable::loadOf(const Target &Target, TimePoint Now) const {
  const double Age = static_cast<double>((Now - Target.m_ReportedAt).count());
  const double Weight = std::max(
      0.0,
      1 - Age / static_cast<double>(m_Options.m_LoadReportLifetime.count()));
  return Target.m_Outstanding + Target.m_OtherLoad * Weight;
}

double TargetTable::penaltyOf(const Target &Target, TimePoint Now) const {
  if (Target.m_Penalty == 0)
    return 0;
  const double Age = static_cast<double>((Now - Target.m_PenaltyAt).count());
  return Target.m_Penalty *
         std::exp2(-Age /
                   static_cast<double>(m_Options.m_PenaltyHalfLife.count()));
}

} // namespace anvil::route::internal
