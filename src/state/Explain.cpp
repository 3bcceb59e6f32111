#include "anvil/state/StateQuery.h"

#include <map>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace anvil::state::internal {

namespace {

std::string formatResources(const wire::Resources &Amount) {
  return absl::StrCat(Amount.accelerators, " accelerators, ", Amount.cores,
                      " cores and ", Amount.memoryMib, " MiB");
}

std::string formatResources(const config::Amount &Amount) {
  return absl::StrCat(Amount.m_Accelerators, " accelerators, ", Amount.m_Cores,
                      " cores and ", Amount.m_MemoryGib * 1'024, " MiB");
}

bool isWithdrawn(const ClusterState &State, const std::string &Zone) {
  for (const AvailabilityZoneId &Each : State.withdrawnZones()) {
    if (Each.str() == Zone)
      return true;
  }
  return false;
}

// Returns the number of members in each phase, such as "3 running and 1 lost".
std::string countPhases(const std::vector<MemberView> &Members) {
  std::map<TaskPhase, int> Counts;
  for (const MemberView &Each : Members)
    ++Counts[Each.m_Phase];
  std::vector<std::string> Parts;
  Parts.reserve(Counts.size());
  for (const auto &[Phase, Count] : Counts)
    Parts.push_back(absl::StrCat(Count, " ", std::string(nameOf(Phase))));
  return absl::StrJoin(Parts, " and ");
}

// Returns a clause for each reason why a target takes no new work.
std::vector<std::string> unavailabilityReasons(const ClusterState &State,
                                               const TargetView &View) {
  std::vector<std::string> Reasons;
  if (View.m_Phase == VmPhase::Lost)
    Reasons.push_back("it is lost");
  if (View.m_Phase == VmPhase::Draining)
    Reasons.push_back("it is draining");
  if (View.m_Quarantined)
    Reasons.push_back(
        absl::StrCat("it is quarantined (", View.m_QuarantineReason, ")"));
  if (isWithdrawn(State, View.m_Info.availabilityZone))
    Reasons.push_back(absl::StrCat(
        "availability zone ", View.m_Info.availabilityZone, " is withdrawn"));
  return Reasons;
}

} // namespace

std::vector<std::string> explainJob(const ClusterState &State, JobId Id) {
  const std::optional<JobView> View = State.job(Id);
  if (!View)
    return {};
  std::vector<std::string> Text;
  Text.push_back(absl::StrCat(
      "Job ", Id.value(), " of workspace ", View->m_Spec.workspace, " is ",
      std::string(nameOf(View->m_Phase)), ": ", View->m_Reason, "."));
  Text.push_back(absl::StrCat("It asks for ", View->m_Spec.tasks, " tasks of ",
                              formatResources(View->m_Spec.perTask),
                              " each and was placed ", View->m_Attempts,
                              " times."));
  if (!View->m_Members.empty())
    Text.push_back(
        absl::StrCat("Its tasks are ", countPhases(View->m_Members), "."));
  for (const MemberView &Each : View->m_Members) {
    if (Each.m_Phase == TaskPhase::Lost) {
      Text.push_back(absl::StrCat(
          "Task ", Each.m_TaskIndex, " was lost with VM ", Each.m_Vm.str(),
          " and may run until its lease ends at ", Each.m_LeaseEndsUs, " us."));
    }
  }
  if (View->m_Throttled)
    Text.push_back(
        "It is throttled because its resources are being reclaimed.");
  if (View->m_Checkpointed)
    Text.push_back("It has a checkpoint of the whole gang.");
  return Text;
}

std::vector<std::string> explainVm(const ClusterState &State, const VmId &Vm) {
  const std::optional<TargetView> View = State.target(Vm);
  if (!View)
    return {};
  const wire::TargetInfo &Info = View->m_Info;
  const bool Worker = Info.kind == wire::TargetKind::WORKER;
  std::vector<std::string> Text;
  Text.push_back(absl::StrCat(
      "VM ", Vm.str(), " is a ", Worker ? "worker" : "minion", " in rack ",
      Info.rack, " of availability zone ", Info.availabilityZone, " and is ",
      std::string(nameOf(View->m_Phase)), "."));
  const std::vector<std::string> Reasons = unavailabilityReasons(State, *View);
  if (Reasons.empty()) {
    Text.push_back("It takes new work.");
  } else {
    Text.push_back(absl::StrCat("It takes no new work because ",
                                absl::StrJoin(Reasons, " and "), "."));
  }
  if (Worker) {
    Text.push_back(absl::StrCat(View->m_Members, " tasks hold ",
                                formatResources(View->m_Used), " of ",
                                formatResources(Info.capacity), "."));
  }
  return Text;
}

std::vector<std::string> explainZone(const ClusterState &State,
                                     const std::string &Zone) {
  int64_t Targets = 0;
  int64_t Usable = 0;
  int64_t Tasks = 0;
  State.forEachTarget([&](const TargetView &View) {
    if (View.m_Info.availabilityZone != Zone)
      return;
    ++Targets;
    Usable += View.m_Usable ? 1 : 0;
    Tasks += View.m_Members;
  });
  bool Known = Targets > 0 || isWithdrawn(State, Zone);
  if (State.document() != nullptr) {
    for (const config::Zone &Each : State.document()->m_Zones)
      Known = Known || Each.m_Name == Zone;
  }
  if (!Known)
    return {};
  return {absl::StrCat("Availability zone ", Zone, " is ",
                       isWithdrawn(State, Zone) ? "withdrawn" : "in service",
                       "."),
          absl::StrCat(Usable, " of its ", Targets, " targets take new work."),
          absl::StrCat(Tasks, " tasks hold resources there.")};
}

std::vector<std::string> explainWorkspace(const ClusterState &State,
                                          const std::string &Workspace) {
  const config::Workspace *Space =
      State.document() == nullptr
          ? nullptr
          : config::findWorkspace(*State.document(), Workspace);
  if (Space == nullptr)
    return {};
  std::map<JobPhase, int64_t> Jobs;
  State.forEachJob(JobId(0), [&](const JobView &View) {
    if (View.m_Spec.workspace == Workspace)
      ++Jobs[View.m_Phase];
    return true;
  });
  std::vector<std::string> Text;
  Text.push_back(
      absl::StrCat("Workspace ", Workspace, " holds ",
                   formatResources(State.heldBy(WorkspaceId(Workspace))),
                   " of ", formatResources(Space->m_Quota), "."));
  for (const config::Guarantee &Each : Space->m_Guarantees) {
    Text.push_back(absl::StrCat("It is guaranteed ", Each.m_Count,
                                " times the shape ", Each.m_Name, " of ",
                                formatResources(Each.m_Shape), "."));
  }
  std::vector<std::string> Parts;
  Parts.reserve(Jobs.size());
  for (const auto &[Phase, Count] : Jobs)
    Parts.push_back(absl::StrCat(Count, " ", std::string(nameOf(Phase))));
  Text.push_back(Parts.empty() ? "It has no jobs."
                               : absl::StrCat("Its jobs are ",
                                              absl::StrJoin(Parts, ", "), "."));
  return Text;
}

} // namespace anvil::state::internal
