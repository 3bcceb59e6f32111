#include "Commands.h"

#include <set>

#include <boost/json.hpp>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

#include "anvil/base/Port.h"
#include "anvil/config/Config.h"
#include "anvil/timeline/Timeline.h"

namespace anvil::ctl::internal {

namespace json = boost::json;

namespace {

constexpr int HttpOk = 200;
constexpr int HttpClientError = 400;
constexpr int HttpServerError = 500;
constexpr int HttpUnavailable = 503;
/// The response when a change may or may not have been committed.
constexpr int HttpOutcomeUnknown = 504;
constexpr int DefaultTimelineLimit = 200;
constexpr Duration WaitPollPeriod = std::chrono::milliseconds(500);

ExitCode exitCodeOf(const ApiResult &Result, bool ChangesState) {
  if (!Result.m_Reached)
    return Result.m_AnyByteSent && ChangesState ? ExitCode::Unknown
                                                : ExitCode::Unreachable;
  if (Result.m_Status < HttpClientError)
    return ExitCode::Ok;
  if (Result.m_Status < HttpServerError)
    return ExitCode::Refused;
  if (Result.m_Status == HttpOutcomeUnknown && ChangesState)
    return ExitCode::Unknown;
  return Result.m_Status == HttpUnavailable ? ExitCode::Unreachable
                                            : ExitCode::Refused;
}

std::string errorText(const ApiResult &Result) {
  if (!Result.m_Reached)
    return Result.m_Error;
  boost::system::error_code Error;
  const json::value Body = json::parse(Result.m_Body, Error);
  const json::value *ErrorObject = !Error && Body.is_object()
                                       ? Body.as_object().if_contains("error")
                                       : nullptr;
  if (!ErrorObject || !ErrorObject->is_object())
    return absl::StrCat("HTTP status ", Result.m_Status, ": ", Result.m_Body);
  const json::value *Message = ErrorObject->as_object().if_contains("message");
  const json::value *Field = ErrorObject->as_object().if_contains("field");
  std::string Text = Message && Message->is_string()
                         ? std::string(Message->as_string())
                         : "refused";
  if (Field && Field->is_string() && !Field->as_string().empty())
    Text = absl::StrCat(std::string(Field->as_string()), ": ", Text);
  return Text;
}

// Prints a successful response to m_Out and an error to m_Err.
ExitCode printResult(const Invocation &Call, const ApiResult &Result,
                     bool ChangesState) {
  const ExitCode Code = exitCodeOf(Result, ChangesState);
  if (Code == ExitCode::Ok) {
    *Call.m_Environment.m_Out
        << (Call.m_Options.m_Json ? Result.m_Body : renderTable(Result.m_Body));
    if (Call.m_Options.m_Json && !Result.m_Body.ends_with('\n'))
      *Call.m_Environment.m_Out << "\n";
    return Code;
  }
  *Call.m_Environment.m_Err << "anvilctl: " << errorText(Result) << "\n";
  if (Code == ExitCode::Unknown)
    *Call.m_Environment.m_Err
        << "anvilctl: the call may have taken effect; check "
           "the state before repeating it\n";
  return Code;
}

ExitCode printGet(const Invocation &Call, const std::string &Target) {
  return printResult(
      Call, Call.m_Environment.m_Call("", {"GET", Target, {}, ""}), false);
}

ApiResult sendChange(const Invocation &Call, const std::string &Entry,
                     ApiCall Request) {
  Request.m_Fields.push_back({"Anvil-Operator", Call.m_Options.m_Operator});
  Request.m_Fields.push_back(
      {"X-Request-Id", Call.flag("request-id", Call.m_Environment.m_NewId())});
  return Call.m_Environment.m_Call(Entry, Request);
}

std::string queryString(const Invocation &Call,
                        const std::vector<std::string> &Names) {
  std::vector<std::string> Parts;
  for (const std::string &Name : Names)
    if (const std::string Value = Call.flag(Name); !Value.empty())
      Parts.push_back(absl::StrCat(Name, "=", Value));
  return Parts.empty() ? "" : absl::StrCat("?", absl::StrJoin(Parts, "&"));
}

std::optional<std::string> readInput(const Invocation &Call) {
  std::optional<std::string> Text =
      Call.m_Environment.m_ReadFile(Call.m_Args[0]);
  if (!Text)
    *Call.m_Environment.m_Err << "anvilctl: can't read " << Call.m_Args[0]
                              << "\n";
  return Text;
}

// Reads and checks a configuration document; prints every issue.
std::optional<config::Document> readDocument(const Invocation &Call,
                                             std::string &Text) {
  const std::optional<std::string> Input = readInput(Call);
  if (!Input)
    return std::nullopt;
  Text = *Input;
  config::ParseResult Parsed = config::parseDocument(Text, Call.m_Args[0]);
  for (const config::Issue &Issue : Parsed.m_Issues)
    *Call.m_Environment.m_Err << config::toString(Issue) << "\n";
  if (!Parsed.ok())
    return std::nullopt;
  return std::move(Parsed.m_Document);
}

// Returns a string field of a JSON response body, or "" if it is missing.
std::string stringField(const ApiResult &Result, const char *Name) {
  boost::system::error_code Error;
  const json::value Body = json::parse(Result.m_Body, Error);
  const json::value *Value =
      !Error && Body.is_object() ? Body.as_object().if_contains(Name) : nullptr;
  return Value && Value->is_string() ? std::string(Value->as_string()) : "";
}

ExitCode configCheck(const Invocation &Call) {
  std::string Text;
  const std::optional<config::Document> Document = readDocument(Call, Text);
  if (!Document)
    return ExitCode::Refused;
  *Call.m_Environment.m_Out << "valid: environment " << Document->m_Environment
                            << " version " << Document->m_Version << " digest "
                            << config::contentDigest(*Document) << "\n";
  return ExitCode::Ok;
}

ExitCode configDiff(const Invocation &Call) {
  std::string Text;
  const std::optional<config::Document> Wanted = readDocument(Call, Text);
  if (!Wanted)
    return ExitCode::Refused;
  const ApiResult Current =
      Call.m_Environment.m_Call("", {"GET", "/v1/config", {}, ""});
  if (Current.m_Reached && Current.m_Status == 404) {
    *Call.m_Environment.m_Out << "no configuration is in force yet\n";
    return ExitCode::Ok;
  }
  if (exitCodeOf(Current, false) != ExitCode::Ok)
    return printResult(Call, Current, false);
  const config::ParseResult Old =
      config::parseDocument(stringField(Current, "document"), "in force");
  const std::vector<config::Change> Changes =
      config::diff(Old.m_Document, *Wanted);
  for (const config::Change &Change : Changes)
    *Call.m_Environment.m_Out
        << Change.m_Name << "\n  - "
        << (Change.m_Before.empty() ? "(none)" : Change.m_Before) << "\n  + "
        << (Change.m_After.empty() ? "(none)" : Change.m_After) << "\n";
  if (Changes.empty())
    *Call.m_Environment.m_Out << "no difference\n";
  return ExitCode::Ok;
}

ExitCode configApply(const Invocation &Call) {
  std::string Text;
  if (!readDocument(Call, Text))
    return ExitCode::Refused;
  return printResult(
      Call, sendChange(Call, "", {"PUT", "/v1/config", {}, Text}), true);
}

// The document must have the content digest of the document in force in the
// trial environment. The digest leaves out the environment and version, which
// differ.
ExitCode configPromote(const Invocation &Call) {
  std::string Text;
  const std::optional<config::Document> Wanted = readDocument(Call, Text);
  if (!Wanted)
    return ExitCode::Refused;
  const std::string Trial = Call.flag("trial");
  if (Trial.empty()) {
    *Call.m_Environment.m_Err
        << "anvilctl: config promote needs --trial IP:PORT, an "
           "entry of the trial environment\n";
    return ExitCode::Usage;
  }
  const ApiResult TrialConfig =
      Call.m_Environment.m_Call(Trial, {"GET", "/v1/config", {}, ""});
  if (exitCodeOf(TrialConfig, false) != ExitCode::Ok)
    return printResult(Call, TrialConfig, false);
  const std::string Digest = config::contentDigest(*Wanted);
  if (stringField(TrialConfig, "digest") != Digest) {
    *Call.m_Environment.m_Err << "anvilctl: the trial environment runs digest "
                              << stringField(TrialConfig, "digest")
                              << ", this document has " << Digest
                              << "; apply it there first\n";
    return ExitCode::Refused;
  }
  const std::string PromotedFrom =
      absl::StrCat(stringField(TrialConfig, "environment"), "@", Digest);
  return printResult(
      Call,
      sendChange(Call, "",
                 {"PUT",
                  absl::StrCat("/v1/config?promoted_from=", PromotedFrom),
                  {},
                  Text}),
      true);
}

ExitCode configStatus(const Invocation &Call) {
  return printGet(Call, "/v1/config");
}
ExitCode configHistory(const Invocation &Call) {
  return printGet(Call, "/v1/config/history" + queryString(Call, {"limit"}));
}
ExitCode status(const Invocation &Call) { return printGet(Call, "/v1/status"); }
ExitCode targets(const Invocation &Call) {
  return printGet(Call, "/v1/targets");
}

ExitCode jobSubmit(const Invocation &Call) {
  const std::optional<std::string> Text = readInput(Call);
  if (!Text)
    return ExitCode::Refused;
  ApiCall Request{
      "POST",
      "/v1/jobs",
      {{"Idempotency-Key", Call.flag("key", Call.m_Environment.m_NewId())}},
      *Text};
  return printResult(Call, sendChange(Call, "", std::move(Request)), true);
}

ExitCode jobList(const Invocation &Call) {
  return printGet(Call, "/v1/jobs" + queryString(Call, {"workspace", "phase",
                                                        "after", "limit"}));
}
ExitCode jobShow(const Invocation &Call) {
  return printGet(Call, "/v1/jobs/" + Call.m_Args[0]);
}
ExitCode jobCancel(const Invocation &Call) {
  return printResult(
      Call,
      sendChange(Call, "", {"DELETE", "/v1/jobs/" + Call.m_Args[0], {}, ""}),
      true);
}

// Prints each change of phase until the job has ended.
ExitCode jobWait(const Invocation &Call) {
  static const std::set<std::string> EndPhases = {
      "completed", "failed", "cancelled", "outcome_unknown"};
  std::string LastPhase;
  while (true) {
    const ApiResult Result = Call.m_Environment.m_Call(
        "", {"GET", "/v1/jobs/" + Call.m_Args[0], {}, ""});
    if (Result.m_Reached && Result.m_Status != HttpOk &&
        Result.m_Status < HttpServerError)
      return printResult(Call, Result, false);
    const std::string Phase = stringField(Result, "phase");
    if (!Phase.empty() && Phase != LastPhase)
      *Call.m_Environment.m_Err << "job " << Call.m_Args[0] << ": " << Phase
                                << "\n";
    LastPhase = Phase.empty() ? LastPhase : Phase;
    if (EndPhases.contains(Phase)) {
      printResult(Call, Result, false);
      return Phase == "completed" ? ExitCode::Ok : ExitCode::Failed;
    }
    Call.m_Environment.m_Sleep(WaitPollPeriod);
  }
}

ExitCode zoneWithdraw(const Invocation &Call) {
  const std::string &Zone = Call.m_Args[0];
  if (!Call.m_Options.m_Yes && !Call.m_Environment.m_Confirm(absl::StrCat(
                                   "Withdraw availability zone ", Zone,
                                   "? Nothing starts there any more and "
                                   "its jobs are moved.")))
    return ExitCode::Usage;
  return printResult(
      Call,
      sendChange(
          Call, "",
          {"POST", absl::StrCat("/v1/zones/", Zone, "/withdraw"), {}, ""}),
      true);
}

ExitCode zoneRestore(const Invocation &Call) {
  const std::string Target =
      absl::StrCat("/v1/zones/", Call.m_Args[0], "/restore");
  return printResult(Call, sendChange(Call, "", {"POST", Target, {}, ""}),
                     true);
}

ExitCode changeControl(const Invocation &Call, std::string_view Action) {
  const std::string Target =
      absl::StrCat("/v1/controls/", Call.m_Args[0], "/", toAbsl(Action));
  return printResult(Call, sendChange(Call, "", {"POST", Target, {}, ""}),
                     true);
}

ExitCode controlList(const Invocation &Call) {
  return printGet(Call, "/v1/controls");
}
ExitCode controlAdd(const Invocation &Call) {
  return changeControl(Call, "add");
}
ExitCode controlPromote(const Invocation &Call) {
  return changeControl(Call, "promote");
}
ExitCode controlRemove(const Invocation &Call) {
  if (!Call.m_Options.m_Yes &&
      !Call.m_Environment.m_Confirm(absl::StrCat(
          "Remove control replica ", Call.m_Args[0],
          " from the group? Its number and data folder can't be used again.")))
    return ExitCode::Usage;
  return changeControl(Call, "remove");
}

ExitCode explain(const Invocation &Call) {
  return printGet(
      Call, absl::StrCat("/v1/explain/", Call.m_Args[0], "/", Call.m_Args[1]));
}

// Each entry returns its own events and those of control and the agents, so all
// entries are queried and duplicate events are merged. An entry that does not
// answer is reported, and the events of the others are still shown.
ExitCode timeline(const Invocation &Call) {
  const std::string Target =
      "/v1/timeline" +
      queryString(Call, {"job", "request", "vm", "workspace", "zone", "limit"});
  std::vector<std::vector<timeline::Event>> Sources;
  ApiResult LastFailure;
  for (const std::string &Entry : Call.m_Environment.m_Entries) {
    const ApiResult Result =
        Call.m_Environment.m_Call(Entry, {"GET", Target, {}, ""});
    absl::StatusOr<std::vector<timeline::Event>> Events =
        timeline::fromJson(Result.m_Body);
    if (exitCodeOf(Result, false) == ExitCode::Ok && Events.ok()) {
      Sources.push_back(*std::move(Events));
      continue;
    }
    LastFailure = Result;
    *Call.m_Environment.m_Err << "anvilctl: entry " << Entry
                              << " did not answer: " << errorText(Result)
                              << "\n";
  }
  if (Sources.empty())
    return printResult(Call, LastFailure, false);
  int Limit = DefaultTimelineLimit;
  if (!absl::SimpleAtoi(Call.flag("limit", absl::StrCat(DefaultTimelineLimit)),
                        &Limit) ||
      Limit < 1) {
    *Call.m_Environment.m_Err
        << "anvilctl: --limit must be a positive number\n";
    return ExitCode::Usage;
  }
  const std::vector<timeline::Event> Events =
      timeline::merge(Sources, static_cast<size_t>(Limit));
  *Call.m_Environment.m_Out
      << (Call.m_Options.m_Json ? timeline::toJson(Events) + "\n"
                                : timeline::toText(Events));
  return ExitCode::Ok;
}

ExitCode completion(const Invocation &Call) {
  *Call.m_Environment.m_Out << bashCompletion();
  return ExitCode::Ok;
}

} // namespace

const std::vector<CommandSpec> &commands() {
  static const std::vector<CommandSpec> Commands = {
      {{"status"},
       {},
       {},
       "Show the state of the cluster.",
       "anvilctl status",
       status},
      {{"targets"},
       {},
       {},
       "List the target VMs.",
       "anvilctl targets --output json",
       targets},
      {{"config", "check"},
       {"FILE"},
       {},
       "Check a document without applying it.",
       "anvilctl config check env.yaml",
       configCheck},
      {{"config", "diff"},
       {"FILE"},
       {},
       "Compare a document with the one in force.",
       "anvilctl config diff env.yaml",
       configDiff},
      {{"config", "apply"},
       {"FILE"},
       {"request-id"},
       "Put a document in force.",
       "anvilctl config apply env.yaml",
       configApply},
      {{"config", "promote"},
       {"FILE"},
       {"trial", "request-id"},
       "Put a document in force that is in force in the trial environment.",
       "anvilctl config promote env.yaml --trial 10.0.0.9:8080",
       configPromote},
      {{"config", "status"},
       {},
       {},
       "Show the configuration in force.",
       "anvilctl config status",
       configStatus},
      {{"config", "history"},
       {},
       {"limit"},
       "List the accepted versions.",
       "anvilctl config history",
       configHistory},
      {{"job", "submit"},
       {"FILE"},
       {"key", "request-id"},
       "Submit a job from a JSON file.",
       "anvilctl job submit render.json --key nightly-1",
       jobSubmit},
      {{"job", "list"},
       {},
       {"workspace", "phase", "after", "limit"},
       "List jobs.",
       "anvilctl job list --workspace quotes",
       jobList},
      {{"job", "show"},
       {"ID"},
       {},
       "Show one job.",
       "anvilctl job show 7",
       jobShow},
      {{"job", "wait"},
       {"ID"},
       {},
       "Wait until a job has ended.",
       "anvilctl job wait 7",
       jobWait},
      {{"job", "cancel"},
       {"ID"},
       {"request-id"},
       "Cancel a job.",
       "anvilctl job cancel 7",
       jobCancel},
      {{"zone", "withdraw"},
       {"NAME"},
       {"request-id"},
       "Take an availability zone out of service.",
       "anvilctl zone withdraw kochi --yes",
       zoneWithdraw},
      {{"zone", "restore"},
       {"NAME"},
       {"request-id"},
       "Put an availability zone back into service.",
       "anvilctl zone restore kochi",
       zoneRestore},
      {{"control", "list"},
       {},
       {},
       "List the members of the control group.",
       "anvilctl control list",
       controlList},
      {{"control", "add"},
       {"ID"},
       {"request-id"},
       "Add a replica as a learner, which does not vote.",
       "anvilctl control add 4",
       controlAdd},
      {{"control", "promote"},
       {"ID"},
       {"request-id"},
       "Make a learner that has caught up a voter.",
       "anvilctl control promote 4",
       controlPromote},
      {{"control", "remove"},
       {"ID"},
       {"request-id"},
       "Remove a replica from the group.",
       "anvilctl control remove 1 --yes",
       controlRemove},
      {{"explain"},
       {"KIND", "ID"},
       {},
       "Explain the state of a job, vm, zone or workspace.",
       "anvilctl explain job 7",
       explain},
      {{"timeline"},
       {},
       {"job", "request", "vm", "workspace", "zone", "limit"},
       "Show events of all processes.",
       "anvilctl timeline --job 7",
       timeline},
      {{"completion"},
       {},
       {},
       "Print a completion script for bash.",
       "source <(anvilctl completion)",
       completion},
  };
  return Commands;
}

} // namespace anvil::ctl::internal
