#include "Gang.h"
#include "StateData.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

#include "anvil/config/Config.h"

namespace anvil::state::internal {

namespace {

constexpr size_t MaxRequestIdBytes = 128;

wire::CommandResult moveZone(ApplyContext &Ctx, Zone &Subject, bool InService) {
  const std::string &Name = Subject.m_Record.name;
  const ZoneEvent Event = InService ? ZoneEvent::Restore : ZoneEvent::Withdraw;
  const std::optional<ZonePhase> Next =
      Ctx.m_Data.m_Charts.m_Zone.next(Subject.phase(), Event);
  const char *Phase = InService ? "in service" : "withdrawn";
  if (!Next)
    return okResult(
        absl::StrCat("availability zone ", Name, " is already ", Phase));
  Subject.m_Record.phase = static_cast<int8_t>(*Next);
  Ctx.m_Data.m_RouteVersion = Ctx.m_Index;
  Ctx.emit(ZoneChanged{AvailabilityZoneId(Name), InService});
  if (!InService) {
    for (auto &[Vm, Each] : Ctx.m_Data.m_Targets) {
      if (Each.m_Record.info.availabilityZone == Name)
        releaseReservedGangs(
            Ctx, Each,
            absl::StrCat("availability zone ", Name, " was withdrawn"));
    }
  }
  return okResult(absl::StrCat("availability zone ", Name, " is ", Phase));
}

void recordRequest(ApplyContext &Ctx, Zone &Subject,
                   const wire::SetZoneService &Command,
                   const std::string &Message) {
  std::vector<record::ZoneRequest> &Requests = Subject.m_Record.requests;
  if (Requests.size() >= MaxZoneRequests)
    Requests.erase(Requests.begin());
  record::ZoneRequest Request;
  Request.requestId = Command.requestId;
  Request.inService = Command.inService;
  Request.index = Ctx.m_Index;
  Request.message = Message;
  Requests.push_back(std::move(Request));
}

std::string listIssues(const std::vector<config::Issue> &Issues) {
  std::string Text;
  for (const config::Issue &Each : Issues)
    absl::StrAppend(&Text, Text.empty() ? "" : "\n", config::toString(Each));
  return Text;
}

wire::CommandResult configResult(wire::CommandStatus::type Status,
                                 std::string Message,
                                 const record::ConfigVersion &Winner) {
  wire::CommandResult Result = makeResult(Status, std::move(Message));
  Result.configVersion = Winner.version;
  Result.winner = Winner.operatorId;
  Result.index = Winner.index;
  return Result;
}

// Returns the first response again if the content is the same, or a conflict
// that names the operator whose content was accepted.
wire::CommandResult answerKnownVersion(const record::ConfigVersion &Known,
                                       const std::string &Digest) {
  if (Known.digest == Digest)
    return configResult(wire::CommandStatus::OK, "accepted", Known);
  return configResult(wire::CommandStatus::CONFLICT,
                      absl::StrCat("version ", Known.version,
                                   " was already applied by ", Known.operatorId,
                                   " with other content"),
                      Known);
}

// A promoted document names the environment that it comes from; any other must
// name the environment that it is applied to.
std::optional<wire::CommandResult>
checkEnvironment(const StateData &Data, const wire::ApplyConfig &Command,
                 const config::Document &Doc) {
  if (Command.environment != Doc.m_Environment &&
      Command.promotedFrom != Doc.m_Environment) {
    return invalid("environment",
                   absl::StrCat("the document is for environment ",
                                Doc.m_Environment, ", not ",
                                Command.environment));
  }
  if (!Data.m_ConfigVersions.empty() &&
      Data.m_ConfigVersions.rbegin()->second.environment !=
          Command.environment) {
    return invalid(
        "environment",
        absl::StrCat("this environment is ",
                     Data.m_ConfigVersions.rbegin()->second.environment,
                     ", not ", Command.environment));
  }
  return std::nullopt;
}

// Adds the configured zones and removes those that are neither configured nor
// have targets. A withdrawn zone stays, so that it does not return to service
// when a later configuration lists it again.
void updateZones(StateData &Data) {
  for (const config::Zone &Each : Data.m_Document->m_Zones)
    ensureZone(Data, Each.m_Name);
  for (auto Next = Data.m_Zones.begin(); Next != Data.m_Zones.end();) {
    const Zone &Each = Next->second;
    const auto &ListedZones = Data.m_Document->m_Zones;
    const bool Configured = std::any_of(ListedZones.begin(), ListedZones.end(),
                                        [&](const config::Zone &Listed) {
                                          return Listed.m_Name == Next->first;
                                        });
    const bool Forget =
        !Configured && Each.m_Targets == 0 &&
        Data.m_Charts.m_Zone.next(Each.phase(), ZoneEvent::Forget) ==
            ZonePhase::Removed;
    Next = Forget ? Data.m_Zones.erase(Next) : std::next(Next);
  }
}

} // namespace

Zone &ensureZone(StateData &Data, const std::string &Name) {
  const auto [Found, Added] = Data.m_Zones.try_emplace(Name);
  if (Added) {
    Found->second.m_Record.name = Name;
    Found->second.m_Record.phase =
        static_cast<int8_t>(Data.m_Charts.m_Zone.initial());
  }
  return Found->second;
}

wire::CommandResult applyZoneService(ApplyContext &Ctx,
                                     const wire::SetZoneService &Command) {
  if (Command.requestId.empty() || Command.requestId.size() > MaxRequestIdBytes)
    return invalid("requestId", "the request id must have 1 to 128 bytes");
  const auto Found = Ctx.m_Data.m_Zones.find(Command.availabilityZone);
  if (Found == Ctx.m_Data.m_Zones.end())
    return notFound(absl::StrCat("availability zone ", Command.availabilityZone,
                                 " is unknown"));
  for (const record::ZoneRequest &Earlier : Found->second.m_Record.requests) {
    if (Earlier.requestId != Command.requestId)
      continue;
    if (Earlier.inService != Command.inService)
      return invalid(
          "requestId",
          "the request id was already used for the opposite request");
    wire::CommandResult First = okResult(Earlier.message);
    First.index = Earlier.index;
    return First;
  }
  wire::CommandResult Result = moveZone(Ctx, Found->second, Command.inService);
  recordRequest(Ctx, Found->second, Command, Result.message);
  return Result;
}

wire::CommandResult applyConfig(ApplyContext &Ctx,
                                const wire::ApplyConfig &Command) {
  StateData &Data = Ctx.m_Data;
  config::ParseResult Parsed =
      config::parseDocument(Command.document, "document");
  if (!Parsed.ok())
    return invalid(Parsed.m_Issues.front().m_Field,
                   listIssues(Parsed.m_Issues));
  const std::string Digest = config::contentDigest(Parsed.m_Document);
  if (!Command.digest.empty() && Command.digest != Digest)
    return invalid("digest", absl::StrCat("the content has digest ", Digest,
                                          ", not ", Command.digest));
  if (Command.version != Parsed.m_Document.m_Version) {
    return invalid("version", absl::StrCat("the document has version ",
                                           Parsed.m_Document.m_Version,
                                           ", not ", Command.version));
  }
  if (std::optional<wire::CommandResult> Refusal =
          checkEnvironment(Data, Command, Parsed.m_Document))
    return *Refusal;
  if (const auto Known = Data.m_ConfigVersions.find(Command.version);
      Known != Data.m_ConfigVersions.end())
    return answerKnownVersion(Known->second, Digest);
  if (!Data.m_ConfigVersions.empty() &&
      Command.version < Data.m_ConfigVersions.rbegin()->first) {
    const record::ConfigVersion &Newest =
        Data.m_ConfigVersions.rbegin()->second;
    return configResult(wire::CommandStatus::REFUSED,
                        absl::StrCat("version ", Command.version,
                                     " is older than ", Newest.version),
                        Newest);
  }
  record::ConfigVersion &Added = Data.m_ConfigVersions[Command.version];
  Added.version = Command.version;
  Added.digest = Digest;
  Added.operatorId = truncateText(Command.operatorId);
  Added.environment = Command.environment;
  Added.promotedFrom = truncateText(Command.promotedFrom);
  Added.index = Ctx.m_Index;
  if (Data.m_ConfigVersions.size() > MaxConfigVersions)
    Data.m_ConfigVersions.erase(Data.m_ConfigVersions.begin());
  Data.m_DocumentText = Command.document;
  Data.m_Document = std::move(Parsed.m_Document);
  updateZones(Data);
  Ctx.emit(ConfigChanged{Command.version});
  return configResult(wire::CommandStatus::OK, "accepted", Added);
}

} // namespace anvil::state::internal
