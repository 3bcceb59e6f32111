#include "anvil/agentd/AgentProcess.h"

namespace anvil::agentd {

namespace {

absl::Status parseKind(std::string_view Text, wire::TargetKind::type &Kind) {
  if (Text != "minion" && Text != "worker")
    return absl::InvalidArgumentError("must be minion or worker");
  Kind = Text == "minion" ? wire::TargetKind::MINION : wire::TargetKind::WORKER;
  return absl::OkStatus();
}

absl::Status checkTarget(const AgentSettings &Values) {
  const bool Minion = Values.m_Target.kind == wire::TargetKind::MINION;
  if (Minion && Values.m_Target.serviceName.empty())
    return absl::InvalidArgumentError("--service is required for a minion");
  if (Minion && Values.m_Minion.m_Minion.m_Port == 0)
    return absl::InvalidArgumentError("--minion is required for a minion");
  if (!Minion && Values.m_Worker.m_Worker.m_Port == 0)
    return absl::InvalidArgumentError("--worker is required for a worker");
  if (!Minion && Values.m_Cores == 0)
    return absl::InvalidArgumentError("--cores is required for a worker");
  if (Values.m_Connections < Values.m_Slots)
    return absl::InvalidArgumentError(
        "--connections must not be less than --slots");
  return absl::OkStatus();
}

absl::Status checkAddress(const AgentSettings &Values) {
  const std::string &Address = Values.m_Listen.m_Address;
  const bool AnyAddress = Address == "0.0.0.0" || Address == "::";
  if (AnyAddress && Values.m_Advertise.m_Port == 0)
    return absl::InvalidArgumentError(
        "--advertise is required if --listen covers all addresses");
  return absl::OkStatus();
}

} // namespace

void declareAgentSettings(daemon::Settings &Reader, AgentSettings &Values) {
  using daemon::Presence;
  Reader.addEndpoint(
      "listen", "",
      "Address that entries send requests to; port 0 takes a free port.",
      Values.m_Listen);
  Reader.addEndpoint(
      "advertise", "",
      "Address announced to entries, if it differs from the listener's.",
      Values.m_Advertise, Presence::Optional);
  Reader.addEndpoints("control", "", "Control replicas.", Values.m_Control);
  Reader.addName("vm", "", "Name of this target VM, unique in the environment.",
                 Values.m_Target.vm);
  Reader.addName("availability-zone", "", "Availability zone of the VM.",
                 Values.m_Target.availabilityZone);
  Reader.addName("rack", "", "Rack of the VM.", Values.m_Target.rack);
  Reader.add(
      "kind", "minion", "Kind of the target: minion or worker.",
      [&Values](std::string_view Text) {
        return parseKind(Text, Values.m_Target.kind);
      },
      Presence::Required);
  Reader.addName("service", "", "Service of the minion.",
                 Values.m_Target.serviceName, Presence::Optional);
  Reader.addEndpoint("minion", "", "HTTP address of the minion.",
                     Values.m_Minion.m_Minion, Presence::Optional);
  Reader.addEndpoint("worker", "", "HTTP address of the worker.",
                     Values.m_Worker.m_Worker, Presence::Optional);
  Reader.addInteger("accelerators", 0, 0, 1024, "Accelerators of the worker.",
                    Values.m_Accelerators);
  Reader.addInteger("cores", 0, 0, 65536, "Cores of the worker.",
                    Values.m_Cores);
  Reader.addInteger("memory-mib", 0, 0, int64_t{1} << 40,
                    "Memory of the worker in MiB.", Values.m_MemoryMib);
  Reader.addInteger("slots", 8, 1, 4096,
                    "Requests that the minion handles at one time.",
                    Values.m_Slots);
  Reader.addInteger("connections", 64, 1, 4096,
                    "Connections that the minion accepts.",
                    Values.m_Connections);
  Reader.addInteger("queue-limit", 64, 1, 65536,
                    "Queued requests of one class.", Values.m_QueueLimit);
  Reader.addDuration(
      "drain-limit", "10m", std::chrono::seconds(0), std::chrono::hours(24),
      "Maximum time of a graceful shutdown; work in progress is cut off then.",
      Values.m_DrainLimit);
  Reader.addDuration("settle-time", "2s", std::chrono::seconds(0),
                     std::chrono::hours(1),
                     "Time after the start before the minion gets requests; it "
                     "may still process requests of an earlier agent.",
                     Values.m_SettleTime);
  Reader.addCheck([&Values] { return checkTarget(Values); });
  Reader.addCheck([&Values] { return checkAddress(Values); });
}

int64_t makeIncarnation(int64_t WallClockMicros, double Random) {
  constexpr int RandomBits = 10;
  return (WallClockMicros << RandomBits) |
         static_cast<int64_t>(Random * (1 << RandomBits));
}

} // namespace anvil::agentd
