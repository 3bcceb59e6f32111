#include "anvil/state/StateQuery.h"

#include <algorithm>
#include <map>
#include <optional>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "boost/json.hpp"

#include "anvil/base/Port.h"

namespace anvil::state {

namespace {

namespace json = boost::json;

constexpr int32_t HttpOk = 200;
constexpr int32_t HttpBadRequest = 400;
constexpr int32_t HttpNotFound = 404;
constexpr int64_t MaxListedJobs = 1'000;
constexpr int64_t DefaultListedJobs = 100;
/// The state stores as many versions.
constexpr int64_t MaxListedVersions = 1'024;
constexpr int64_t DefaultListedVersions = 100;

wire::QueryReply reply(int32_t Status, const json::value &Body) {
  wire::QueryReply Result;
  Result.httpStatus = Status;
  Result.json = json::serialize(Body);
  return Result;
}

wire::QueryReply error(int32_t Status, std::string_view Code,
                       const std::string &Message, std::string_view Field) {
  json::object Error{{"code", Code}, {"message", Message}};
  if (!Field.empty())
    Error["field"] = Field;
  return reply(Status, json::object{{"error", Error}});
}

wire::QueryReply notFound(std::string_view Kind, std::string_view Name) {
  return error(HttpNotFound, "not-found",
               absl::StrCat(toAbsl(Kind), " ", toAbsl(Name), " is unknown"),
               {});
}

json::object toJson(const wire::Resources &Amount) {
  return {{"accelerators", Amount.accelerators},
          {"cores", Amount.cores},
          {"memory_mib", Amount.memoryMib}};
}

std::string_view nameOfUrgency(wire::Urgency::type Value) {
  switch (Value) {
  case wire::Urgency::URGENT:
    return "urgent";
  case wire::Urgency::WORKING_DAY:
    return "working-day";
  case wire::Urgency::BATCH:
    return "batch";
  case wire::Urgency::OVERNIGHT:
    return "overnight";
  }
  return "unknown";
}

json::object summary(const JobView &View) {
  return {{"id", View.m_Id.value()},
          {"name", View.m_Spec.name},
          {"workspace", View.m_Spec.workspace},
          {"phase", nameOf(View.m_Phase)},
          {"reason", View.m_Reason},
          {"tasks", View.m_Spec.tasks},
          {"urgency", nameOfUrgency(View.m_Spec.urgency)},
          {"submitted_at_us", View.m_SubmittedAtUs},
          {"changed_at_us", View.m_ChangedAtUs},
          {"attempts", View.m_Attempts}};
}

json::object details(const JobView &View) {
  json::object Body = summary(View);
  Body["per_task"] = toJson(View.m_Spec.perTask);
  Body["idempotent"] = View.m_Spec.idempotent;
  Body["checkpointable"] = View.m_Spec.checkpointable;
  Body["checkpointed"] = View.m_Checkpointed;
  Body["throttled"] = View.m_Throttled;
  Body["deadline_ms"] = View.m_Spec.deadlineMs;
  Body["lease_ms"] = View.m_Spec.leaseMs;
  Body["submission_id"] = View.m_SubmissionId;
  json::array Members;
  for (const MemberView &Each : View.m_Members) {
    Members.push_back(json::object{{"task", Each.m_TaskIndex},
                                   {"vm", Each.m_Vm.str()},
                                   {"phase", nameOf(Each.m_Phase)}});
  }
  Body["members"] = std::move(Members);
  json::array History;
  for (const JobHistoryEntry &Each : View.m_History)
    History.push_back(json::object{{"at_us", Each.m_AtUs},
                                   {"phase", nameOf(Each.m_Phase)},
                                   {"reason", Each.m_Reason}});
  Body["history"] = std::move(History);
  return Body;
}

wire::QueryReply answerJob(const ClusterState &State,
                           std::string_view Argument) {
  int64_t Id = 0;
  if (!absl::SimpleAtoi(toAbsl(Argument), &Id))
    return error(HttpBadRequest, "invalid", "the job must be a number", "id");
  const std::optional<JobView> Found = State.job(JobId(Id));
  return Found ? reply(HttpOk, details(*Found)) : notFound("job", Argument);
}

struct JobFilter {
  std::string m_Workspace;
  std::string m_Phase;
  int64_t m_After = 0;
  int64_t m_Limit = DefaultListedJobs;
};

bool parseLimit(const std::string &Value, int64_t &Limit) {
  return absl::SimpleAtoi(Value, &Limit) && Limit >= 1 &&
         Limit <= MaxListedJobs;
}

bool parsePair(const std::string &Key, const std::string &Value,
               JobFilter &Filter) {
  if (Key == "after")
    return absl::SimpleAtoi(Value, &Filter.m_After);
  if (Key == "limit")
    return parseLimit(Value, Filter.m_Limit);
  if (Key == "workspace")
    Filter.m_Workspace = Value;
  if (Key == "phase")
    Filter.m_Phase = Value;
  return Key == "workspace" || Key == "phase";
}

// Returns the first key in \p Argument that is unknown or has an invalid value,
// or an empty string if there is none.
std::string parseFilter(std::string_view Argument, JobFilter &Filter) {
  if (Argument.empty())
    return {};
  const std::vector<std::string> Pairs = absl::StrSplit(toAbsl(Argument), '&');
  for (const std::string &Pair : Pairs) {
    const size_t Equals = Pair.find('=');
    const std::string Key = Pair.substr(0, Equals);
    if (!parsePair(Key,
                   Equals == std::string::npos ? "" : Pair.substr(Equals + 1),
                   Filter))
      return Key.empty() ? "argument" : Key;
  }
  return {};
}

wire::QueryReply answerJobs(const ClusterState &State,
                            std::string_view Argument) {
  JobFilter Filter;
  if (const std::string InvalidKey = parseFilter(Argument, Filter);
      !InvalidKey.empty()) {
    return error(HttpBadRequest, "invalid",
                 absl::StrCat("the value of ", InvalidKey,
                              " is wrong or the key is unknown"),
                 InvalidKey);
  }
  json::array Jobs;
  int64_t Next = 0;
  State.forEachJob(JobId(Filter.m_After), [&](const JobView &View) {
    const bool Wanted =
        (Filter.m_Workspace.empty() ||
         View.m_Spec.workspace == Filter.m_Workspace) &&
        (Filter.m_Phase.empty() || nameOf(View.m_Phase) == Filter.m_Phase);
    if (!Wanted)
      return true;
    if (static_cast<int64_t>(Jobs.size()) == Filter.m_Limit) {
      Next = Jobs.back().as_object()["id"].as_int64();
      return false;
    }
    Jobs.push_back(summary(View));
    return true;
  });
  json::object Body{{"jobs", std::move(Jobs)}};
  if (Next != 0)
    Body["next"] = Next;
  return reply(HttpOk, Body);
}

wire::QueryReply answerConfig(const ClusterState &State) {
  const ConfigView View = State.configuration();
  if (View.m_Version == 0)
    return notFound("configuration", "of this environment");
  return reply(HttpOk, json::object{{"version", View.m_Version},
                                    {"digest", View.m_Digest},
                                    {"environment", View.m_Environment},
                                    {"operator", View.m_OperatorId},
                                    {"index", View.m_Index},
                                    {"document", View.m_Text}});
}

wire::QueryReply answerConfigHistory(const ClusterState &State,
                                     std::string_view Argument) {
  int64_t Limit = DefaultListedVersions;
  if (!Argument.empty() && (!absl::SimpleAtoi(toAbsl(Argument), &Limit) ||
                            Limit < 1 || Limit > MaxListedVersions))
    return error(
        HttpBadRequest, "invalid",
        absl::StrCat("the limit must be from 1 to ", MaxListedVersions),
        "limit");
  json::array Versions;
  for (const ConfigVersionView &Each :
       State.configHistory(static_cast<size_t>(Limit))) {
    Versions.push_back(json::object{{"version", Each.m_Version},
                                    {"digest", Each.m_Digest},
                                    {"operator", Each.m_OperatorId},
                                    {"environment", Each.m_Environment},
                                    {"promoted_from", Each.m_PromotedFrom},
                                    {"index", Each.m_Index}});
  }
  return reply(HttpOk, Versions);
}

json::array guaranteeWarnings(const ClusterState &State) {
  json::array Warnings;
  if (State.document() == nullptr)
    return Warnings;
  int64_t Guaranteed = 0;
  for (const config::Workspace &Space : State.document()->m_Workspaces) {
    for (const config::Guarantee &Each : Space.m_Guarantees)
      Guaranteed += Each.m_Shape.m_Accelerators * Each.m_Count;
  }
  int64_t Usable = 0;
  State.forEachTarget([&](const TargetView &View) {
    if (View.m_Usable)
      Usable += View.m_Info.capacity.accelerators;
  });
  if (Guaranteed > Usable) {
    Warnings.push_back(json::string(absl::StrCat(
        "Guarantees need ", Guaranteed, " accelerators but only ", Usable,
        " are usable; ", Guaranteed - Usable, " are missing.")));
  }
  return Warnings;
}

wire::QueryReply answerStatus(const ClusterState &State) {
  const Counters Count = State.counters();
  json::array Withdrawn;
  for (const AvailabilityZoneId &Each : State.withdrawnZones())
    Withdrawn.push_back(json::string(Each.str()));
  json::array Draining;
  for (const VmId &Each : State.drainingTargets())
    Draining.push_back(json::string(Each.str()));
  json::object Jobs{{"live", Count.m_LiveJobs},
                    {"queued", Count.m_QueuedJobs},
                    {"submitted", Count.m_JobsSubmitted},
                    {"completed", Count.m_JobsCompleted},
                    {"failed", Count.m_JobsFailed},
                    {"cancelled", Count.m_JobsCancelled},
                    {"outcome_unknown", Count.m_JobsOutcomeUnknown}};
  json::object Claims{{"stored", Count.m_Claims},
                      {"open", Count.m_OpenClaims},
                      {"bytes", Count.m_ClaimBytes},
                      {"refused_by_limit", Count.m_ClaimsRefusedByLimit}};
  return reply(
      HttpOk,
      json::object{{"applied_index", Count.m_AppliedIndex},
                   {"config_version", State.configuration().m_Version},
                   {"route_version", State.routeVersion()},
                   {"targets", json::object{{"known", Count.m_Targets},
                                            {"lost", Count.m_LostTargets}}},
                   {"tasks", Count.m_Members},
                   {"jobs", std::move(Jobs)},
                   {"claims", std::move(Claims)},
                   {"withdrawn_zones", std::move(Withdrawn)},
                   {"draining_targets", std::move(Draining)},
                   {"warnings", guaranteeWarnings(State)}});
}

wire::QueryReply answerExplain(const ClusterState &State, std::string_view Kind,
                               std::string_view Name) {
  std::vector<std::string> Sentences;
  int64_t Id = 0;
  if (Kind == "job" && absl::SimpleAtoi(toAbsl(Name), &Id)) {
    Sentences = internal::explainJob(State, JobId(Id));
  } else if (Kind == "vm") {
    Sentences = internal::explainVm(State, VmId(Name));
  } else if (Kind == "zone") {
    Sentences = internal::explainZone(State, std::string(Name));
  } else if (Kind == "workspace") {
    Sentences = internal::explainWorkspace(State, std::string(Name));
  } else {
    return error(HttpBadRequest, "invalid",
                 "explain takes a job number, vm, zone or workspace", "kind");
  }
  if (Sentences.empty())
    return notFound(Kind, Name);
  json::array Explanation;
  for (const std::string &Each : Sentences)
    Explanation.push_back(json::string(Each));
  return reply(HttpOk, json::object{{"kind", Kind},
                                    {"id", Name},
                                    {"explanation", std::move(Explanation)}});
}

} // namespace

wire::QueryReply answerQuery(const ClusterState &State, std::string_view Kind,
                             std::string_view Argument) {
  constexpr std::string_view Explain = "explain/";
  if (Kind == "job")
    return answerJob(State, Argument);
  if (Kind == "jobs")
    return answerJobs(State, Argument);
  if (Kind == "config")
    return answerConfig(State);
  if (Kind == "config-history")
    return answerConfigHistory(State, Argument);
  if (Kind == "status")
    return answerStatus(State);
  if (Kind.substr(0, Explain.size()) == Explain)
    return answerExplain(State, Kind.substr(Explain.size()), Argument);
  return error(HttpBadRequest, "invalid",
               absl::StrCat("query ", toAbsl(Kind), " is unknown"), "kind");
}

std::vector<wire::ServiceConfig> serviceConfigs(const config::Document &Doc) {
  std::vector<wire::ServiceConfig> Services;
  for (const config::Service &Each : Doc.m_Services) {
    wire::ServiceConfig &Added = Services.emplace_back();
    Added.name = Each.m_Name;
    Added.slots = static_cast<int32_t>(Each.m_Slots);
    Added.connections = static_cast<int32_t>(Each.m_Connections);
    for (const config::RequestClass &Class : Each.m_Classes) {
      wire::ServiceClass &Wire = Added.classes.emplace_back();
      Wire.name = Class.m_Name;
      // Both enumerations have the same order, but the wire values start at 1.
      Wire.urgency = static_cast<wire::Urgency::type>(
          static_cast<int>(Class.m_Urgency) + 1);
      Wire.deadlineMs = Class.m_DeadlineMs;
      Wire.idempotent = Class.m_Idempotent;
      Wire.queueLimit = static_cast<int32_t>(Class.m_QueueLimit);
    }
  }
  return Services;
}

} // namespace anvil::state
