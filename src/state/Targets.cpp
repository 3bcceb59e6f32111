#include "Gang.h"
#include "StateData.h"

#include "absl/strings/str_cat.h"

namespace anvil::state::internal {

namespace {

constexpr size_t MaxIdBytes = 128;

bool isNotNegative(const wire::Resources &Amount) {
  return Amount.accelerators >= 0 && Amount.cores >= 0 && Amount.memoryMib >= 0;
}

std::optional<wire::CommandResult> checkInfo(const wire::TargetInfo &Info) {
  if (Info.vm.empty() || Info.vm.size() > MaxIdBytes)
    return invalid("target.vm", "the VM name must have 1 to 128 bytes");
  if (Info.availabilityZone.empty() ||
      Info.availabilityZone.size() > MaxIdBytes)
    return invalid("target.availabilityZone",
                   "the availability zone must have 1 to 128 bytes");
  if (Info.rack.size() > MaxIdBytes || Info.serviceName.size() > MaxIdBytes ||
      Info.agentAddress.size() > MaxIdBytes)
    return invalid(
        "target", "rack, service and address must have at most 128 bytes each");
  if (Info.kind != wire::TargetKind::MINION &&
      Info.kind != wire::TargetKind::WORKER)
    return invalid("target.kind", "the kind must be MINION or WORKER");
  if (Info.incarnation <= 0)
    return invalid("target.incarnation", "the incarnation must be above 0");
  if (!isNotNegative(Info.capacity))
    return invalid("target.capacity", "the capacity must not be negative");
  return std::nullopt;
}

// The state accounts members against kind, zone, rack and capacity, so these
// cannot change within one incarnation.
bool hasSameFixedProperties(const wire::TargetInfo &Left,
                            const wire::TargetInfo &Right) {
  return Left.kind == Right.kind &&
         Left.availabilityZone == Right.availabilityZone &&
         Left.rack == Right.rack && Left.capacity == Right.capacity;
}

void updateRouteVersion(ApplyContext &Ctx, const Target &Changed) {
  if (Changed.m_Record.info.kind == wire::TargetKind::MINION)
    Ctx.m_Data.m_RouteVersion = Ctx.m_Index;
}

bool moveTarget(ApplyContext &Ctx, Target &Subject, VmEvent Event) {
  const std::optional<VmPhase> Next =
      Ctx.m_Data.m_Charts.m_Vm.next(Subject.phase(), Event);
  if (!Next)
    return false;
  Subject.m_Record.phase = static_cast<int8_t>(*Next);
  updateRouteVersion(Ctx, Subject);
  return true;
}

void removeOldLostTargets(ApplyContext &Ctx) {
  StateData &Data = Ctx.m_Data;
  auto Next = Data.m_LostTargetsByIndex.begin();
  while (Data.m_LostTargetsByIndex.size() > MaxLostTargets &&
         Next != Data.m_LostTargetsByIndex.end()) {
    Target &Oldest = *Data.findTarget(Next->second);
    // The members of a lost target hold resources until their leases have
    // ended.
    if (!Oldest.m_Members.empty() ||
        !moveTarget(Ctx, Oldest, VmEvent::Forget)) {
      ++Next;
      continue;
    }
    --ensureZone(Data, Oldest.m_Record.info.availabilityZone).m_Targets;
    Ctx.emit(TargetRemoved{VmId(Next->second)});
    Data.m_Targets.erase(Next->second);
    Next = Data.m_LostTargetsByIndex.erase(Next);
  }
}

void markLost(ApplyContext &Ctx, Target &LostTarget,
              const std::string &Reason) {
  record::Target &Record = LostTarget.m_Record;
  if (!moveTarget(Ctx, LostTarget, VmEvent::Lose))
    return;
  Record.lostIndex = Ctx.m_Index;
  Record.lostReason = truncateText(Reason);
  Ctx.m_Data.m_LostTargetsByIndex.emplace(Record.lostIndex, Record.info.vm);
  Ctx.emit(TargetLost{VmId(Record.info.vm), Record.info.incarnation,
                      Record.lostReason});
  closeClaimsOf(Ctx, LostTarget);
  loseMembersOf(
      Ctx, LostTarget,
      absl::StrCat("VM ", Record.info.vm, " was lost: ", Record.lostReason));
}

void bringUp(ApplyContext &Ctx, Target &Subject, const wire::TargetInfo &Info) {
  record::Target &Record = Subject.m_Record;
  if (Record.lostIndex != 0)
    Ctx.m_Data.m_LostTargetsByIndex.erase({Record.lostIndex, Record.info.vm});
  Record.lostIndex = 0;
  Record.lostReason = {};
  if (Record.info.availabilityZone != Info.availabilityZone) {
    --ensureZone(Ctx.m_Data, Record.info.availabilityZone).m_Targets;
    ++ensureZone(Ctx.m_Data, Info.availabilityZone).m_Targets;
  }
  updateRouteVersion(Ctx, Subject); // The kind may change; this is the old one.
  Record.info = Info;
  moveTarget(Ctx, Subject, VmEvent::Register);
  updateRouteVersion(Ctx, Subject);
  Ctx.emit(TargetUp{VmId(Info.vm), Info.incarnation});
}

wire::CommandResult addTarget(ApplyContext &Ctx, const wire::TargetInfo &Info) {
  if (Ctx.m_Data.m_Targets.size() >= MaxTargets)
    return makeResult(
        wire::CommandStatus::LIMIT,
        absl::StrCat("there are already ", MaxTargets, " targets"));
  Target &Added = Ctx.m_Data.m_Targets[Info.vm];
  Added.m_Record.info = Info;
  Added.m_Record.phase =
      static_cast<int8_t>(Ctx.m_Data.m_Charts.m_Vm.initial());
  ++ensureZone(Ctx.m_Data, Info.availabilityZone).m_Targets;
  updateRouteVersion(Ctx, Added);
  Ctx.emit(TargetUp{VmId(Info.vm), Info.incarnation});
  return okResult("registered");
}

wire::CommandResult registerAgain(ApplyContext &Ctx, Target &Known,
                                  const wire::TargetInfo &Info) {
  const wire::TargetInfo &Current = Known.m_Record.info;
  if (!hasSameFixedProperties(Current, Info))
    return invalid(
        "target",
        "kind, zone, rack and capacity can change only with a new incarnation");
  if (Known.phase() == VmPhase::Lost) {
    bringUp(Ctx, Known, Info);
    return okResult("returned");
  }
  if (Current == Info)
    return okResult("already registered");
  Known.m_Record.info = Info;
  updateRouteVersion(Ctx, Known);
  Ctx.emit(TargetUp{VmId(Info.vm), Info.incarnation});
  return okResult("updated");
}

} // namespace

wire::CommandResult applyRegister(ApplyContext &Ctx,
                                  const wire::RegisterTarget &Command) {
  const wire::TargetInfo &Info = Command.target;
  if (std::optional<wire::CommandResult> Refusal = checkInfo(Info))
    return *Refusal;
  Target *Known = Ctx.m_Data.findTarget(Info.vm);
  if (Known == nullptr)
    return addTarget(Ctx, Info);
  const int64_t Current = Known->m_Record.info.incarnation;
  if (Info.incarnation < Current)
    return refused(absl::StrCat("stale incarnation ", Info.incarnation,
                                ", the current one is ", Current));
  if (Info.incarnation == Current)
    return registerAgain(Ctx, *Known, Info);
  // Tasks of the old incarnation may run until their leases end.
  markLost(Ctx, *Known,
           absl::StrCat("replaced by incarnation ", Info.incarnation));
  bringUp(Ctx, *Known, Info);
  return okResult("new incarnation");
}

wire::CommandResult applyLose(ApplyContext &Ctx,
                              const wire::LoseTarget &Command) {
  Target *Known = Ctx.m_Data.findTarget(Command.vm);
  if (Known == nullptr)
    return notFound(absl::StrCat("VM ", Command.vm, " is unknown"));
  if (Known->m_Record.info.incarnation != Command.incarnation)
    return refused(absl::StrCat("incarnation ", Command.incarnation,
                                " is not the current one"));
  if (Known->phase() == VmPhase::Lost)
    return okResult("already lost");
  markLost(Ctx, *Known, Command.reason);
  removeOldLostTargets(Ctx);
  return okResult("lost");
}

wire::CommandResult applyDrain(ApplyContext &Ctx,
                               const wire::DrainTarget &Command) {
  Target *Known = Ctx.m_Data.findTarget(Command.vm);
  if (Known == nullptr)
    return notFound(absl::StrCat("VM ", Command.vm, " is unknown"));
  if (Known->phase() == VmPhase::Lost)
    return refused(absl::StrCat("VM ", Command.vm, " is lost"));
  if (!moveTarget(Ctx, *Known,
                  Command.draining ? VmEvent::Drain : VmEvent::Undrain))
    return okResult("unchanged");
  Ctx.emit(TargetDrained{VmId(Command.vm), Command.draining});
  if (Command.draining)
    releaseReservedGangs(Ctx, *Known,
                         absl::StrCat("VM ", Command.vm, " is draining"));
  return okResult(Command.draining ? "draining" : "back in use");
}

wire::CommandResult applyQuarantine(ApplyContext &Ctx,
                                    const wire::SetWorkerQuarantine &Command) {
  Target *Known = Ctx.m_Data.findTarget(Command.vm);
  if (Known == nullptr)
    return notFound(absl::StrCat("VM ", Command.vm, " is unknown"));
  if (Known->m_Record.quarantined == Command.quarantined)
    return okResult("unchanged");
  Known->m_Record.quarantined = Command.quarantined;
  Known->m_Record.quarantineReason =
      Command.quarantined ? truncateText(Command.reason) : std::string();
  updateRouteVersion(Ctx, *Known);
  Ctx.emit(WorkerQuarantined{VmId(Command.vm), Command.quarantined,
                             truncateText(Command.reason)});
  if (Command.quarantined)
    releaseReservedGangs(Ctx, *Known,
                         absl::StrCat("VM ", Command.vm, " is quarantined"));
  return okResult(Command.quarantined ? "quarantined" : "back in use");
}

} // namespace anvil::state::internal
