#include "OperatorApi.h"

#include <algorithm>
#include <array>
#include <functional>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "ConfigUpload.h"
#include "HttpText.h"
#include "JobJson.h"
#include "anvil/base/Port.h"
#include "anvil/net/Rpc.h"

namespace anvil::entry {

namespace {

constexpr size_t MaxKeyLength = 255;
constexpr std::string_view OperatorField = "Anvil-Operator";

/// One request to the operators' interface, with what its handlers need.
struct Context {
  const net::HttpRequest &m_Request;
  std::vector<std::string_view> m_Parts; ///< Of the path, without "v1".
  std::string m_TraceId;
  int64_t m_NowMicros;
};

net::HttpResponse badRequest(std::string_view Field, std::string_view Message) {
  net::HttpResponse Response =
      net::makeHttpError(400, "invalid-field", Message, Field);
  setOutcome(Response, wire::Outcome::NOT_RUN);
  return Response;
}

CommandCall newCommand(const Context &Call) {
  CommandCall Result;
  Result.m_Command.proposedAtUs = Call.m_NowMicros;
  Result.m_Command.traceId = Call.m_TraceId;
  return Result;
}

OperatorCall query(const Context &Call, std::string Kind,
                   std::string Argument) {
  wire::QueryRequest Request;
  Request.kind = std::move(Kind);
  Request.argument = std::move(Argument);
  // Without it a caller might not find the job that it has just submitted.
  Request.linearizable =
      queryValue(Call.m_Request.m_Query, "linearizable").value_or("true") !=
      "false";
  return Request;
}

bool readOperator(const Context &Call, std::string &Operator) {
  return singleField(Call.m_Request, OperatorField, Operator) &&
         isName(Operator);
}

bool readPositive(std::string_view Text, int64_t &Id) {
  return absl::SimpleAtoi(toAbsl(Text), &Id) && Id > 0;
}

OperatorCall submitJob(const Context &Call) {
  std::string Key;
  if (!singleField(Call.m_Request, "Idempotency-Key", Key) ||
      (!Key.empty() && !isToken(Key, MaxKeyLength)))
    return badRequest("Idempotency-Key",
                      "must appear once and have up to 255 visible characters");
  wire::SubmitJob Job;
  JsonProblem Problem;
  if (!parseJob(Call.m_Request.m_Body, Job.spec, Problem))
    return badRequest(Problem.m_Field, Problem.m_Message);
  if (Key.empty() && !Job.spec.idempotent)
    return badRequest("Idempotency-Key",
                      "is required for a job that is not idempotent");
  Job.submissionId = Key.empty() ? Call.m_TraceId : Key;
  CommandCall Result = newCommand(Call);
  Result.m_Command.__set_submitJob(Job);
  Result.m_OkStatus = 201;
  return Result;
}

OperatorCall listJobs(const Context &Call) {
  std::string Filter;
  for (const std::string_view Key : {"workspace", "phase", "after", "limit"}) {
    if (const std::optional<std::string> Value =
            queryValue(Call.m_Request.m_Query, Key))
      absl::StrAppend(&Filter, Filter.empty() ? "" : "&", toAbsl(Key), "=",
                      *Value);
  }
  return query(Call, "jobs", std::move(Filter));
}

OperatorCall showJob(const Context &Call) {
  int64_t Id = 0;
  if (!readPositive(Call.m_Parts[1], Id))
    return badRequest("id", "must be a job number");
  return query(Call, "job", absl::StrCat(Id));
}

OperatorCall cancelJob(const Context &Call) {
  wire::CancelJob Cancel;
  if (!readPositive(Call.m_Parts[1], Cancel.jobId))
    return badRequest("id", "must be a job number");
  Cancel.reason = "cancelled by the caller";
  CommandCall Result = newCommand(Call);
  Result.m_Command.__set_cancelJob(Cancel);
  return Result;
}

OperatorCall explain(const Context &Call) {
  static constexpr std::array<std::string_view, 4> Kinds = {"job", "vm", "zone",
                                                            "workspace"};
  if (std::find(Kinds.begin(), Kinds.end(), Call.m_Parts[1]) == Kinds.end())
    return badRequest("kind", "must be one of job, vm, zone, workspace");
  if (!isName(Call.m_Parts[2]))
    return badRequest("id", "must be 1 to 64 letters, digits, '-', '_' or '.'");
  return query(Call, absl::StrCat("explain:", toAbsl(Call.m_Parts[1])),
               std::string(Call.m_Parts[2]));
}

OperatorCall setZone(const Context &Call) {
  wire::SetZoneService Change;
  if (!isName(Call.m_Parts[1]))
    return badRequest("name", "must be the name of an availability zone");
  if (Call.m_Parts[2] != "withdraw" && Call.m_Parts[2] != "restore")
    return badRequest("action", "must be withdraw or restore");
  if (!readOperator(Call, Change.operatorId))
    return badRequest(OperatorField, "must name the operator");
  Change.availabilityZone = Call.m_Parts[1];
  Change.inService = Call.m_Parts[2] == "restore";
  Change.requestId = Call.m_TraceId;
  CommandCall Result = newCommand(Call);
  Result.m_Command.__set_setZoneService(Change);
  return Result;
}

OperatorCall changeControls(const Context &Call) {
  static constexpr std::array<std::string_view, 3> Actions = {"add", "promote",
                                                              "remove"};
  wire::ChangeReplicas Change;
  if (!readPositive(Call.m_Parts[1], Change.replicaId))
    return badRequest("id", "must be a replica number");
  const auto *const Action =
      std::find(Actions.begin(), Actions.end(), Call.m_Parts[2]);
  if (Action == Actions.end())
    return badRequest("action", "must be one of add, promote, remove");
  if (!readOperator(Call, Change.operatorId))
    return badRequest(OperatorField, "must name the operator");
  // The wire values follow the order of the words and start at 1.
  Change.kind =
      static_cast<wire::ReplicaChange::type>(Action - Actions.begin() + 1);
  CommandCall Result = newCommand(Call);
  Result.m_Command.__set_changeReplicas(Change);
  return Result;
}

OperatorCall applyConfig(const Context &Call) {
  wire::ApplyConfig Change;
  if (!readOperator(Call, Change.operatorId))
    return badRequest(OperatorField, "must name the operator");
  JsonProblem Problem;
  if (!readConfigUpload(Call.m_Request.m_Body, Change, Problem))
    return badRequest(Problem.m_Field, Problem.m_Message);
  // A promoted document names the environment that it was tried in; the query
  // names the one it is applied to.
  Change.promotedFrom =
      queryValue(Call.m_Request.m_Query, "promoted_from").value_or("");
  if (const std::optional<std::string> Environment =
          queryValue(Call.m_Request.m_Query, "environment"))
    Change.environment = *Environment;
  CommandCall Result = newCommand(Call);
  Result.m_Command.__set_applyConfig(Change);
  return Result;
}

OperatorCall showConfig(const Context &Call) {
  return query(Call, "config", "");
}
OperatorCall showHistory(const Context &Call) {
  return query(Call, "config-history",
               queryValue(Call.m_Request.m_Query, "limit").value_or(""));
}
OperatorCall showControls(const Context &Call) {
  return query(Call, "controls", "");
}
OperatorCall showStatus(const Context &Call) {
  return query(Call, "status", "");
}
OperatorCall showTargets(const Context &Call) {
  return query(Call, "targets", "");
}
OperatorCall showTimeline(const Context &Call) {
  TimelineQuery Wanted;
  std::string Field;
  if (!readTimelineQuery(Call.m_Request.m_Query, Wanted, Field))
    return badRequest(Field,
                      "limit must be from 1 to 1000, format json or text");
  return Wanted;
}

/// One path and method; a part "*" stands for any text.
struct PathRule {
  std::string_view m_Method;
  std::vector<std::string_view> m_Parts;
  OperatorCall (*m_Handle)(const Context &);
};

const std::vector<PathRule> &pathRules() {
  static const std::vector<PathRule> Rules = {
      {"POST", {"jobs"}, submitJob},
      {"GET", {"jobs"}, listJobs},
      {"GET", {"jobs", "*"}, showJob},
      {"DELETE", {"jobs", "*"}, cancelJob},
      {"GET", {"explain", "*", "*"}, explain},
      {"POST", {"zones", "*", "*"}, setZone},
      {"GET", {"controls"}, showControls},
      {"POST", {"controls", "*", "*"}, changeControls},
      {"GET", {"config"}, showConfig},
      {"PUT", {"config"}, applyConfig},
      {"GET", {"config", "history"}, showHistory},
      {"GET", {"status"}, showStatus},
      {"GET", {"targets"}, showTargets},
      {"GET", {"timeline"}, showTimeline},
  };
  return Rules;
}

bool matches(const PathRule &Rule, const std::vector<std::string_view> &Parts) {
  const auto SamePart = [](std::string_view Wanted, std::string_view Given) {
    return Wanted == "*" || Wanted == Given;
  };
  return std::equal(Rule.m_Parts.begin(), Rule.m_Parts.end(), Parts.begin(),
                    Parts.end(), SamePart);
}

net::HttpResponse noSuchPath(const std::string &Allowed) {
  net::HttpResponse Response =
      Allowed.empty()
          ? net::makeHttpError(404, "not-found", "the path is not known")
          : net::makeHttpError(405, "unsupported-method",
                               "the path has no such method");
  if (!Allowed.empty())
    Response.m_Fields.push_back({"Allow", Allowed});
  setOutcome(Response, wire::Outcome::NOT_RUN);
  return Response;
}

int httpStatusOf(wire::CommandStatus::type Status, int OkStatus) {
  switch (Status) {
  case wire::CommandStatus::OK:
    return OkStatus;
  case wire::CommandStatus::REFUSED:
  case wire::CommandStatus::CONFLICT:
    return 409;
  case wire::CommandStatus::NOT_FOUND:
    return 404;
  case wire::CommandStatus::LIMIT:
    return 429;
  case wire::CommandStatus::INVALID:
    return 400;
  }
  return 500;
}

std::string_view codeOf(wire::CommandStatus::type Status) {
  switch (Status) {
  case wire::CommandStatus::REFUSED:
    return "refused";
  case wire::CommandStatus::CONFLICT:
    return "conflict";
  case wire::CommandStatus::NOT_FOUND:
    return "not-found";
  case wire::CommandStatus::LIMIT:
    return "limit";
  case wire::CommandStatus::INVALID:
    return "invalid";
  default:
    return "unexpected";
  }
}

} // namespace

OperatorCall readOperatorRequest(const net::HttpRequest &Request,
                                 std::string_view TraceId, int64_t NowMicros) {
  std::vector<std::string_view> Parts = splitPath(Request.m_Path);
  Parts.erase(Parts.begin());
  const Context Call{Request, std::move(Parts), std::string(TraceId),
                     NowMicros};
  std::string Allowed;
  for (const PathRule &Rule : pathRules()) {
    if (!matches(Rule, Call.m_Parts))
      continue;
    if (Rule.m_Method == Request.m_Method)
      return Rule.m_Handle(Call);
    absl::StrAppend(&Allowed, Allowed.empty() ? "" : ", ",
                    toAbsl(Rule.m_Method));
  }
  return noSuchPath(Allowed);
}

net::HttpResponse renderCommandResult(const wire::CommandResult &Result,
                                      int OkStatus) {
  const int Status = httpStatusOf(Result.status, OkStatus);
  if (Result.status != wire::CommandStatus::OK) {
    std::string Message = Result.message;
    if (!Result.winner.empty())
      absl::StrAppend(&Message, " (accepted: ", Result.winner, ")");
    net::HttpResponse Response = net::makeHttpError(
        Status, codeOf(Result.status), Message, Result.field);
    setOutcome(Response, wire::Outcome::NOT_RUN);
    if (Status == 429)
      setRetryAfter(Response, std::chrono::seconds(1));
    return Response;
  }
  boost::json::object Body;
  Body["index"] = Result.index;
  if (Result.jobId != 0)
    Body["job_id"] = Result.jobId;
  if (Result.configVersion != 0)
    Body["config_version"] = Result.configVersion;
  if (!Result.message.empty())
    Body["message"] = Result.message;
  if (!Result.winner.empty())
    Body["winner"] = Result.winner;
  net::HttpResponse Response;
  Response.m_Status = Status;
  Response.m_Body = boost::json::serialize(Body) + "\n";
  setOutcome(Response, wire::Outcome::COMPLETED);
  return Response;
}

net::HttpResponse renderQueryReply(const wire::QueryReply &Reply) {
  net::HttpResponse Response;
  Response.m_Status = Reply.httpStatus >= 200 && Reply.httpStatus <= 599
                          ? Reply.httpStatus
                          : 500;
  Response.m_Body = Reply.json;
  if (Reply.stale)
    Response.m_Fields.push_back({"Anvil-Stale", "true"});
  setOutcome(Response, wire::Outcome::COMPLETED);
  return Response;
}

net::HttpResponse renderControlFailure(const absl::Status &Status,
                                       bool Changes) {
  const std::optional<net::RpcErrc> Code = layerErrorOf<net::RpcErrc>(Status);
  const bool NeverLeft =
      Code == net::RpcErrc::NotSent || Code == net::RpcErrc::Overloaded;
  if (NeverLeft || !Changes) {
    net::HttpResponse Response = net::makeHttpError(
        503, "control-unreachable", "no control replica answered");
    setOutcome(Response, wire::Outcome::NOT_RUN);
    setRetryAfter(Response, std::chrono::seconds(1));
    return Response;
  }
  net::HttpResponse Response =
      net::makeHttpError(504, "outcome-unknown",
                         "control did not confirm the change; repeat it with "
                         "the same key to learn its outcome");
  setOutcome(Response, wire::Outcome::UNKNOWN);
  return Response;
}

} // namespace anvil::entry
