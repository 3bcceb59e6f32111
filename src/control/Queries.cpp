#include "Queries.h"

#include <boost/json.hpp>

#include "absl/strings/numbers.h"

#include "anvil/state/StateQuery.h"

namespace anvil::control::internal {

namespace json = boost::json;

namespace {

constexpr std::string_view ExplainPrefix = "explain:";
constexpr size_t MaxTargetRows = 10'000;

std::string_view nameOf(raft::RaftRole Role) {
  switch (Role) {
  case raft::RaftRole::Follower:
    return "follower";
  case raft::RaftRole::PreCandidate:
    return "pre-candidate";
  case raft::RaftRole::Candidate:
    return "candidate";
  case raft::RaftRole::Leader:
    return "leader";
  }
  return "unknown";
}

json::string_view toJsonView(std::string_view Text) {
  return {Text.data(), Text.size()};
}

json::array idsOf(const std::vector<raft::ReplicaId> &Ids) {
  json::array Array;
  for (raft::ReplicaId Id : Ids)
    Array.push_back(Id.value());
  return Array;
}

wire::QueryReply makeOkReply(const json::value &Body) {
  wire::QueryReply Reply;
  Reply.httpStatus = 200;
  Reply.json = json::serialize(Body);
  return Reply;
}

json::object replicaObject(const QueryContext &Context) {
  json::object Replica;
  Replica["name"] = Context.m_Name;
  Replica["availability_zone"] = Context.m_AvailabilityZone;
  Replica["role"] = toJsonView(nameOf(Context.m_Raft.m_Role));
  Replica["term"] = Context.m_Raft.m_Term;
  Replica["leader"] = Context.m_Raft.m_Leader.value();
  Replica["commit_index"] = Context.m_Raft.m_Commit;
  Replica["applied_index"] = Context.m_Raft.m_Applied;
  Replica["voters"] = idsOf(Context.m_Raft.m_Members.m_Voters);
  Replica["learners"] = idsOf(Context.m_Raft.m_Members.m_Learners);
  Replica["sessions"] = Context.m_Sessions;
  return Replica;
}

json::object schedulerObject(const SchedulerDriver &Scheduler) {
  const sched::SchedulerCounts Counts = Scheduler.counts();
  json::object Object;
  Object["workers"] = Counts.m_Workers;
  Object["quarantined_workers"] = Counts.m_QuarantinedWorkers;
  Object["queued"] = Counts.m_Queued;
  Object["parked"] = Counts.m_Parked;
  Object["placed"] = Counts.m_Placed;
  Object["reservations"] = Counts.m_Reservations;
  Object["guarantees_missing"] = Counts.m_GuaranteesMissing;
  json::array Warnings;
  for (const std::string &Text : Scheduler.warnings())
    Warnings.push_back(toJsonView(Text));
  Object["warnings"] = std::move(Warnings);
  return Object;
}

wire::QueryReply answerStatus(const QueryContext &Context) {
  wire::QueryReply Reply = state::answerQuery(Context.m_State, "status", "");
  json::value Body = json::parse(Reply.json);
  if (!Body.is_object())
    return Reply;
  Body.as_object()["replica"] = replicaObject(Context);
  if (Context.m_Scheduler.active())
    Body.as_object()["scheduler"] = schedulerObject(Context.m_Scheduler);
  Reply.json = json::serialize(Body);
  return Reply;
}

wire::QueryReply answerControls(const QueryContext &Context) {
  json::array Rows;
  const auto Append = [&](const std::vector<raft::ReplicaId> &Ids,
                          std::string_view Member) {
    for (raft::ReplicaId Id : Ids) {
      json::object Row;
      Row["replica"] = Id.value();
      Row["member"] = toJsonView(Member);
      Row["leader"] = Id == Context.m_Raft.m_Leader;
      Row["connected"] = Context.m_Connected(Id);
      Row["committed"] = Context.m_Raft.m_MembersCommitted;
      Rows.push_back(std::move(Row));
    }
  };
  Append(Context.m_Raft.m_Members.m_Voters, "voter");
  Append(Context.m_Raft.m_Members.m_Learners, "learner");
  return makeOkReply(Rows);
}

wire::QueryReply answerTargets(const QueryContext &Context) {
  json::array Rows;
  Context.m_State.forEachTarget([&](const state::TargetView &Target) {
    if (Rows.size() >= MaxTargetRows)
      return;
    json::object Row;
    Row["vm"] = Target.m_Info.vm;
    Row["kind"] =
        Target.m_Info.kind == wire::TargetKind::WORKER ? "worker" : "minion";
    Row["availability_zone"] = Target.m_Info.availabilityZone;
    Row["rack"] = Target.m_Info.rack;
    Row["service"] = Target.m_Info.serviceName;
    Row["phase"] = toJsonView(state::nameOf(Target.m_Phase));
    Row["usable"] = Target.m_Usable;
    Row["quarantined"] = Target.m_Quarantined;
    Row["accelerators"] = Target.m_Info.capacity.accelerators;
    Row["accelerators_used"] = Target.m_Used.accelerators;
    Row["agent"] = Target.m_Info.agentAddress;
    Row["incarnation"] = Target.m_Info.incarnation;
    Rows.push_back(std::move(Row));
  });
  return makeOkReply(Rows);
}

// Adds the reason from the scheduler why a job waits, which the state lacks.
wire::QueryReply answerExplainJob(const wire::QueryRequest &Request,
                                  const QueryContext &Context) {
  wire::QueryReply Reply =
      state::answerQuery(Context.m_State, "explain/job", Request.argument);
  int64_t Id = 0;
  if (Reply.httpStatus != 200 || !absl::SimpleAtoi(Request.argument, &Id))
    return Reply;
  const std::string Explanation =
      Context.m_Scheduler.explain(JobId(Id), Context.m_Now);
  json::value Body = json::parse(Reply.json);
  if (Explanation.empty() || !Body.is_object())
    return Reply;
  Body.as_object()["scheduler"] = Explanation;
  Reply.json = json::serialize(Body);
  return Reply;
}

} // namespace

bool needsLeader(const wire::QueryRequest &Request) {
  return Request.kind == "explain:job" || Request.kind == "status" ||
         Request.kind == "controls";
}

wire::QueryReply answerQuery(const wire::QueryRequest &Request,
                             const QueryContext &Context) {
  if (Request.kind == "status")
    return answerStatus(Context);
  if (Request.kind == "controls")
    return answerControls(Context);
  if (Request.kind == "targets")
    return answerTargets(Context);
  if (Request.kind == "explain:job")
    return answerExplainJob(Request, Context);
  if (Request.kind.starts_with(ExplainPrefix))
    return state::answerQuery(
        Context.m_State, "explain/" + Request.kind.substr(ExplainPrefix.size()),
        Request.argument);
  return state::answerQuery(Context.m_State, Request.kind, Request.argument);
}

wire::EntrySyncReply entrySyncReply(const wire::EntrySyncRequest &Request,
                                    const state::ClusterState &State) {
  wire::EntrySyncReply Reply;
  Reply.routeVersion = State.routeVersion();
  Reply.routesChanged = Request.routeVersion != Reply.routeVersion;
  if (Reply.routesChanged)
    Reply.routes = State.routes();
  Reply.configVersion = State.configuration().m_Version;
  Reply.configChanged = Request.configVersion != Reply.configVersion;
  const config::Document *Document = State.document();
  if (!Reply.configChanged || !Document)
    return Reply;
  Reply.services = state::serviceConfigs(*Document);
  for (const config::Workspace &Workspace : Document->m_Workspaces)
    Reply.workspaces.push_back(Workspace.m_Name);
  return Reply;
}

} // namespace anvil::control::internal
