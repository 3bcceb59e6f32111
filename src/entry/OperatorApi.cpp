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

constexpr size_t MaxIdempotencyKeyLength = 255;
constexpr std::string_view OperatorField = "Anvil-Operator";

/// One operator request and the data that its handler needs.
struct RequestContext {
  const net::HttpRequest &m_Request;
  /// Parts of the path without "v1".
  std::vector<std::string_view> m_Parts;
  std::string m_TraceId;
  int64_t m_NowMicros;
};

net::HttpResponse invalidField(std::string_view Field,
                               std::string_view Message) {
  net::HttpResponse Response =
      net::makeHttpError(400, "invalid-field", Message, Field);
  setOutcome(Response, wire::Outcome::NOT_RUN);
  return Response;
}

CommandCall newCommand(const RequestContext &Context) {
  CommandCall Result;
  Result.m_Command.proposedAtUs = Context.m_NowMicros;
  Result.m_Command.traceId = Context.m_TraceId;
  return Result;
}

OperatorCall makeQuery(const RequestContext &Context, std::string Kind,
                       std::string Argument) {
  wire::QueryRequest Request;
  Request.kind = std::move(Kind);
  Request.argument = std::move(Argument);
  // A read that isn't linearizable might miss a job that the caller has just
  // submitted.
  Request.linearizable =
      queryValue(Context.m_Request.m_Query, "linearizable").value_or("true") !=
      "false";
  return Request;
}

bool readOperatorId(const RequestContext &Context, std::string &Operator) {
  return readSingleField(Context.m_Request, OperatorField, Operator) &&
         isName(Operator);
}

bool parsePositive(std::string_view Text, int64_t &Id) {
  return absl::SimpleAtoi(toAbsl(Text), &Id) && Id > 0;
}

OperatorCall submitJob(const RequestContext &Context) {
  std::string Key;
  if (!readSingleField(Context.m_Request, "Idempotency-Key", Key) ||
      (!Key.empty() && !isVisibleAscii(Key, MaxIdempotencyKeyLength)))
    return invalidField(
        "Idempotency-Key",
        "must appear once and have up to 255 visible characters");
  wire::SubmitJob Job;
  JsonProblem Problem;
  if (!parseJob(Context.m_Request.m_Body, Job.spec, Problem))
    return invalidField(Problem.m_Field, Problem.m_Message);
  if (Key.empty() && !Job.spec.idempotent)
    return invalidField("Idempotency-Key",
                        "is required for a job that is not idempotent");
  Job.submissionId = Key.empty() ? Context.m_TraceId : Key;
  CommandCall Result = newCommand(Context);
  Result.m_Command.__set_submitJob(Job);
  Result.m_OkStatus = 201;
  return Result;
}

OperatorCall listJobs(const RequestContext &Context) {
  std::string Filter;
  for (const std::string_view Key : {"workspace", "phase", "after", "limit"}) {
    if (const std::optional<std::string> Value =
            queryValue(Context.m_Request.m_Query, Key))
      absl::StrAppend(&Filter, Filter.empty() ? "" : "&", toAbsl(Key), "=",
                      *Value);
  }
  return makeQuery(Context, "jobs", std::move(Filter));
}

OperatorCall showJob(const RequestContext &Context) {
  int64_t Id = 0;
  if (!parsePositive(Context.m_Parts[1], Id))
    return invalidField("id", "must be a job number");
  return makeQuery(Context, "job", absl::StrCat(Id));
}

OperatorCall cancelJob(const RequestContext &Context) {
  wire::CancelJob Cancel;
  if (!parsePositive(Context.m_Parts[1], Cancel.jobId))
    return invalidField("id", "must be a job number");
  Cancel.reason = "cancelled by the caller";
  CommandCall Result = newCommand(Context);
  Result.m_Command.__set_cancelJob(Cancel);
  return Result;
}

OperatorCall explain(const RequestContext &Context) {
  static constexpr std::array<std::string_view, 4> Kinds = {"job", "vm", "zone",
                                                            "workspace"};
  if (std::find(Kinds.begin(), Kinds.end(), Context.m_Parts[1]) == Kinds.end())
    return invalidField("kind", "must be one of job, vm, zone, workspace");
  if (!isName(Context.m_Parts[2]))
    return invalidField("id",
                        "must be 1 to 64 letters, digits, '-', '_' or '.'");
  return makeQuery(Context,
                   absl::StrCat("explain:", toAbsl(Context.m_Parts[1])),
                   std::string(Context.m_Parts[2]));
}

// An order that waited in a frozen process could undo a newer one, which its
// operator has sent through another entry since.
net::HttpResponse callerHasGone() {
  net::HttpResponse Response = net::makeHttpError(
      503, "caller-gone", "the caller closed the connection");
  setOutcome(Response, wire::Outcome::NOT_RUN);
  return Response;
}

OperatorCall setZoneService(const RequestContext &Context) {
  if (!Context.m_Request.callerWaits())
    return callerHasGone();
  wire::SetZoneService Change;
  if (!isName(Context.m_Parts[1]))
    return invalidField("name", "must be the name of an availability zone");
  if (Context.m_Parts[2] != "withdraw" && Context.m_Parts[2] != "restore")
    return invalidField("action", "must be withdraw or restore");
  if (!readOperatorId(Context, Change.operatorId))
    return invalidField(OperatorField, "must name the operator");
  Change.availabilityZone = Context.m_Parts[1];
  Change.inService = Context.m_Parts[2] == "restore";
  Change.requestId = Context.m_TraceId;
  CommandCall Result = newCommand(Context);
  Result.m_Command.__set_setZoneService(Change);
  return Result;
}

OperatorCall changeReplica(const RequestContext &Context) {
  static constexpr std::array<std::string_view, 3> Actions = {"add", "promote",
                                                              "remove"};
  wire::ChangeReplicas Change;
  if (!parsePositive(Context.m_Parts[1], Change.replicaId))
    return invalidField("id", "must be a replica number");
  const auto *const Action =
      std::find(Actions.begin(), Actions.end(), Context.m_Parts[2]);
  if (Action == Actions.end())
    return invalidField("action", "must be one of add, promote, remove");
  if (!readOperatorId(Context, Change.operatorId))
    return invalidField(OperatorField, "must name the operator");
  // The values of wire::ReplicaChange have the order of Actions and start at 1.
  Change.kind =
      static_cast<wire::ReplicaChange::type>(Action - Actions.begin() + 1);
  CommandCall Result = newCommand(Context);
  Result.m_Command.__set_changeReplicas(Change);
  return Result;
}

OperatorCall applyConfig(const RequestContext &Context) {
  wire::ApplyConfig Change;
  if (!readOperatorId(Context, Change.operatorId))
    return invalidField(OperatorField, "must name the operator");
  JsonProblem Problem;
  if (!readConfigUpload(Context.m_Request.m_Body, Change, Problem))
    return invalidField(Problem.m_Field, Problem.m_Message);
  // A promoted document names the environment that it was tested in. The
  // query names the environment that it is applied to.
  Change.promotedFrom =
      queryValue(Context.m_Request.m_Query, "promoted_from").value_or("");
  if (const std::optional<std::string> Environment =
          queryValue(Context.m_Request.m_Query, "environment"))
    Change.environment = *Environment;
  CommandCall Result = newCommand(Context);
  Result.m_Command.__set_applyConfig(Change);
  return Result;
}

OperatorCall showConfig(const RequestContext &Context) {
  return makeQuery(Context, "config", "");
}
OperatorCall showHistory(const RequestContext &Context) {
  return makeQuery(Context, "config-history",
                   queryValue(Context.m_Request.m_Query, "limit").value_or(""));
}
OperatorCall showReplicas(const RequestContext &Context) {
  return makeQuery(Context, "controls", "");
}
OperatorCall showStatus(const RequestContext &Context) {
  return makeQuery(Context, "status", "");
}
OperatorCall showTargets(const RequestContext &Context) {
  return makeQuery(Context, "targets", "");
}
OperatorCall showTimeline(const RequestContext &Context) {
  TimelineQuery Query;
  std::string Field;
  if (!readTimelineQuery(Context.m_Request.m_Query, Query, Field))
    return invalidField(Field,
                        "limit must be from 1 to 1000, format json or text");
  return Query;
}

/// The handler of one method and path. A part "*" matches any text.
struct PathRule {
  std::string_view m_Method;
  std::vector<std::string_view> m_Parts;
  OperatorCall (*m_Handle)(const RequestContext &);
};

const std::vector<PathRule> &pathRules() {
  static const std::vector<PathRule> Rules = {
      {"POST", {"jobs"}, submitJob},
      {"GET", {"jobs"}, listJobs},
      {"GET", {"jobs", "*"}, showJob},
      {"DELETE", {"jobs", "*"}, cancelJob},
      {"GET", {"explain", "*", "*"}, explain},
      {"POST", {"zones", "*", "*"}, setZoneService},
      {"GET", {"controls"}, showReplicas},
      {"POST", {"controls", "*", "*"}, changeReplica},
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
  const auto SamePart = [](std::string_view Pattern, std::string_view Part) {
    return Pattern == "*" || Pattern == Part;
  };
  return std::equal(Rule.m_Parts.begin(), Rule.m_Parts.end(), Parts.begin(),
                    Parts.end(), SamePart);
}

net::HttpResponse unsupportedRequest(const std::string &Allowed) {
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
  const RequestContext Context{Request, std::move(Parts), std::string(TraceId),
                               NowMicros};
  std::string Allowed;
  for (const PathRule &Rule : pathRules()) {
    if (!matches(Rule, Context.m_Parts))
      continue;
    if (Rule.m_Method == Request.m_Method)
      return Rule.m_Handle(Context);
    absl::StrAppend(&Allowed, Allowed.empty() ? "" : ", ",
                    toAbsl(Rule.m_Method));
  }
  return unsupportedRequest(Allowed);
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
                                       bool IsCommand) {
  const std::optional<net::RpcErrc> Code = layerErrorOf<net::RpcErrc>(Status);
  const bool NotSent =
      Code == net::RpcErrc::NotSent || Code == net::RpcErrc::Overloaded;
  if (NotSent || !IsCommand) {
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
