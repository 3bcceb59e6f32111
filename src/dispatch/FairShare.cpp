#include "FairShare.h"

#include <algorithm>
#include <utility>

namespace anvil::dispatch::internal {

using workload::add;

namespace {

// Lowest factor on a rank. Ranks differ by several orders of magnitude, so a
// job that is much more urgent still goes first.
constexpr double MinDiscount = 0.25;

// Relative difference of shares that is within rounding.
constexpr double ShareTolerance = 1e-9;

/// Shares of a service's cores, memory and accelerators.
struct Shares {
  double m_Cores = 0;
  double m_Memory = 0;
  double m_Accelerators = 0;

  void add(const wire::ResourceAmounts &Amounts,
           const wire::ResourceAmounts &Capacity, double Factor) {
    const auto Share = [&](int32_t Used, int32_t Has) {
      return Has > 0 ? Factor * Used / Has : 0.0;
    };
    m_Cores += Share(Amounts.milliCores, Capacity.milliCores);
    m_Memory += Share(Amounts.memoryMib, Capacity.memoryMib);
    m_Accelerators += Share(Amounts.accelerators, Capacity.accelerators);
  }
  double dominant() const {
    return std::max({m_Cores, m_Memory, m_Accelerators});
  }
};

} // namespace

void FairShare::Usage::add(const wire::JobRecord &Job,
                           const wire::ResourceAmounts &Amounts,
                           int32_t Count) {
  workload::add(m_LessUrgent[Job.priority], Amounts, Count);
  if (Job.priority == GuaranteedPriority)
    workload::add(m_Urgent, Amounts, Count);
}

void FairShare::Usage::countUpTo(int32_t Priority) {
  const auto End = m_LessUrgent.upper_bound(Priority);
  for (auto It = m_LessUrgent.begin(); It != End; ++It)
    workload::add(m_All, It->second);
  m_LessUrgent.erase(m_LessUrgent.begin(), End);
}

double FairShare::Usage::coveredPart() const {
  if (m_Guaranteed == 0)
    return 0;
  if (m_Urgent.accelerators <= m_Guaranteed)
    return 1;
  return static_cast<double>(m_Guaranteed) / m_Urgent.accelerators;
}

FairShare::FairShare(const Fleet &PlanFleet, const Guarantees &PlanGuarantees,
                     const std::vector<RankedStep> &Steps, Options ShareOptions)
    : m_Guarantees(PlanGuarantees), m_Steps(Steps), m_Options(ShareOptions) {
  if (!m_Options.m_Enabled)
    return;
  for (const WorkerView &Worker : PlanFleet.workers()) {
    add(m_Services[Worker.info().serviceName].m_Capacity,
        Worker.info().capacity);
    for (const RunView &Run : Worker.m_Runs)
      if (!Run.m_Stopping)
        usageOf(*Run.m_Job).add(*Run.m_Job, Run.m_Amounts, 1);
  }
}

FairShare::Usage &FairShare::usageOf(const wire::JobRecord &Job) {
  const auto [It, IsNew] =
      m_Services[Job.serviceName].m_Workspaces.try_emplace(Job.workspace);
  Usage &Result = It->second;
  if (!IsNew)
    return Result;
  Result.m_Guaranteed = m_Guarantees.guaranteed(Job.workspace);
  const int64_t Weight =
      Result.m_Guaranteed > 0 ? Result.m_Guaranteed : m_Guarantees.smallest();
  Result.m_Weight = static_cast<double>(std::max<int64_t>(1, Weight));
  return Result;
}

// Opens the group that begins at the end of the present one.
void FairShare::openGroup() {
  const size_t Begin = m_GroupEnd;
  const RankedStep &First = m_Steps[Begin];
  m_Lines.clear();
  for (auto &[Name, Each] : m_Services)
    for (auto &[Workspace, Used] : Each.m_Workspaces) {
      Used.m_Competes = false;
      Used.countUpTo(First.m_Step.m_Job->priority);
    }
  std::map<std::pair<const Usage *, bool>, Line> Lines;
  while (m_GroupEnd < m_Steps.size()) {
    const RankedStep &Each = m_Steps[m_GroupEnd];
    const wire::JobRecord &Job = *Each.m_Step.m_Job;
    if (Job.priority != First.m_Step.m_Job->priority ||
        Each.m_YieldsToGuarantee != First.m_YieldsToGuarantee)
      break;
    Usage &Used = usageOf(Job);
    Used.m_Competes = true;
    Line &Own = Lines[{&Used, Each.m_KeepsRank}];
    Own.m_Usage = &Used;
    Own.m_KeepsRank = Each.m_KeepsRank;
    Own.m_Indexes.push_back(m_GroupEnd++);
  }
  for (auto &[Key, Each] : Lines)
    m_Lines.push_back(std::move(Each));
  for (auto &[Name, Each] : m_Services)
    update(Each);
}

// A single workspace has nobody to yield to.
void FairShare::update(Service &Value) {
  Shares Taken; // By guaranteed runs and by workspaces that do not compete.
  double Weights = 0;
  int Competing = 0;
  for (auto &[Workspace, Each] : Value.m_Workspaces) {
    const double Covered = Each.coveredPart();
    Taken.add(Each.m_Urgent, Value.m_Capacity, Covered);
    Shares Beyond;
    Beyond.add(Each.m_All, Value.m_Capacity, 1);
    Beyond.add(Each.m_Urgent, Value.m_Capacity, -Covered);
    Each.m_Share = Beyond.dominant();
    if (Each.m_Competes) {
      Weights += Each.m_Weight;
      ++Competing;
    } else {
      Taken.add(Each.m_All, Value.m_Capacity, 1);
      Taken.add(Each.m_Urgent, Value.m_Capacity, -Covered);
    }
  }
  const double Left = std::max(0.0, 1 - Taken.dominant());
  for (auto &[Workspace, Each] : Value.m_Workspaces) {
    Each.m_Part = 1;
    Each.m_Discount = 1;
    if (!Each.m_Competes || Competing < 2)
      continue;
    Each.m_Part = Left * Each.m_Weight / Weights;
    if (Each.m_Share > Each.m_Part * (1 + ShareTolerance))
      Each.m_Discount = std::max(MinDiscount, Each.m_Part / Each.m_Share);
  }
}

std::optional<size_t> FairShare::next() {
  if (!m_Options.m_Enabled) {
    if (m_GroupEnd >= m_Steps.size())
      return std::nullopt;
    return m_GroupEnd++;
  }
  Line *Best = nullptr;
  while (!Best) {
    double BestScore = 0;
    for (Line &Each : m_Lines) {
      if (Each.m_Next == Each.m_Indexes.size())
        continue;
      const size_t Index = Each.m_Indexes[Each.m_Next];
      const double Score = m_Steps[Index].m_Rank *
                           (Each.m_KeepsRank ? 1 : Each.m_Usage->m_Discount);
      if (Best &&
          (Score < BestScore ||
           (Score == BestScore && Index > Best->m_Indexes[Best->m_Next])))
        continue;
      Best = &Each;
      BestScore = Score;
    }
    if (Best)
      break;
    if (m_GroupEnd >= m_Steps.size())
      return std::nullopt;
    openGroup();
  }
  return Best->m_Indexes[Best->m_Next++];
}

void FairShare::addStarted(size_t Index, int32_t Tasks) {
  if (!m_Options.m_Enabled || Tasks <= 0)
    return;
  const WaitingStep &Step = m_Steps[Index].m_Step;
  Service &Own = m_Services[Step.m_Job->serviceName];
  Usage &Used = usageOf(*Step.m_Job);
  Used.add(*Step.m_Job, workload::countedAmounts(*Step.m_Spec), Tasks);
  Used.countUpTo(Step.m_Job->priority);
  Own.m_LastStarted = std::max(Own.m_LastStarted.value_or(0), Index);
  update(Own);
}

bool FairShare::hasYielded(size_t Index) const {
  const auto It = m_Services.find(m_Steps[Index].m_Step.m_Job->serviceName);
  return It != m_Services.end() && It->second.m_LastStarted.value_or(0) > Index;
}

const FairShare::Usage &FairShare::usageOf(size_t Index) const {
  const wire::JobRecord &Job = *m_Steps[Index].m_Step.m_Job;
  return m_Services.at(Job.serviceName).m_Workspaces.at(Job.workspace);
}

double FairShare::shareOf(size_t Index) const { return usageOf(Index).m_Share; }

double FairShare::partOf(size_t Index) const { return usageOf(Index).m_Part; }

} // namespace anvil::dispatch::internal
