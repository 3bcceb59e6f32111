#include "TimelineGather.h"

#include <set>

#include "anvil/net/WireCodec.h"

namespace anvil::control::internal {

namespace {

/// Asks one process for its own events only.
constexpr const char *OwnEventsKind = "timeline-own";

struct Gather {
  timeline::Filter m_Filter;
  std::vector<std::vector<timeline::Event>> m_Sources;
  std::vector<std::unique_ptr<net::RpcClient>> m_Agents;
  size_t m_Waiting =
      1; ///< One for the start, so that it ends only after all were asked.
  std::function<void(std::vector<timeline::Event>)> m_Done;

  void finishOne() {
    if (--m_Waiting == 0)
      m_Done(timeline::merge(m_Sources, m_Filter.m_Limit));
  }
};

void noteMissing(timeline::Recorder &Own, Gather &All,
                 const std::string &Process, const std::string &Vm) {
  timeline::Event Missing;
  Missing.m_Process = Process;
  Missing.m_Kind = "timeline.missing";
  Missing.m_Subject.m_Vm = Vm;
  Missing.m_Text =
      "This process did not answer, so its own events are not shown.";
  Missing.m_At = Own.clock().now(0);
  All.m_Sources.push_back({std::move(Missing)});
}

void ask(net::RpcClient &Client, const std::string &Process,
         const std::string &Vm, const std::string &Argument,
         timeline::Recorder &Own, const std::shared_ptr<Gather> &All) {
  wire::QueryRequest Request;
  Request.kind = OwnEventsKind;
  Request.argument = Argument;
  ++All->m_Waiting;
  Client.call(
      wire::Method::QUERY, net::encodeStruct(Request), GatherTimeout, "",
      [All, Process, Vm, &Own](const absl::StatusOr<std::string> &Answer) {
        absl::StatusOr<wire::QueryReply> Reply =
            absl::UnavailableError("no answer");
        if (Answer.ok())
          Reply = net::decodeAs<wire::QueryReply>(*Answer);
        absl::StatusOr<std::vector<timeline::Event>> Events =
            absl::UnavailableError("no answer");
        if (Reply.ok())
          Events = timeline::fromJson(Reply->json);
        if (Events.ok())
          All->m_Sources.push_back(*std::move(Events));
        else
          noteMissing(Own, *All, Process, Vm);
        All->finishOne();
      });
}

// Returns the VMs whose agents may have events on the subject; an empty set
// means all.
std::set<std::string> concernedVms(const timeline::Filter &Filter,
                                   const state::ClusterState &State) {
  std::set<std::string> Vms;
  if (!Filter.m_Subject.m_Vm.empty())
    Vms.insert(Filter.m_Subject.m_Vm);
  if (Filter.m_Subject.m_Job.empty())
    return Vms;
  if (const std::optional<state::JobView> Job =
          State.job(JobId(std::atoll(Filter.m_Subject.m_Job.c_str()))))
    for (const state::MemberView &Member : Job->m_Members)
      Vms.insert(Member.m_Vm.str());
  return Vms;
}

} // namespace

void gatherTimeline(boost::asio::io_context &Io, ReplicaHost &Replica,
                    const net::RpcOptions &Options, timeline::Recorder &Own,
                    const std::string &Argument,
                    std::function<void(std::vector<timeline::Event>)> Done) {
  auto All = std::make_shared<Gather>();
  All->m_Filter = timeline::parseFilter(Argument);
  All->m_Done = std::move(Done);
  All->m_Sources.push_back(Own.select(All->m_Filter));
  const raft::Membership Members = Replica.status().m_Members;
  for (raft::ReplicaId Id : Members.m_Voters)
    if (net::RpcClient *Peer = Replica.peer(Id))
      ask(*Peer, "control " + Peer->peer().str(), "", Argument, Own, All);
  const std::set<std::string> Vms =
      concernedVms(All->m_Filter, Replica.state());
  Replica.state().forEachTarget([&](const state::TargetView &Target) {
    const absl::StatusOr<net::Endpoint> Address =
        net::parseEndpoint(Target.m_Info.agentAddress);
    const bool Concerned = Vms.empty() || Vms.contains(Target.m_Info.vm);
    if (!Concerned || !Address.ok() || All->m_Agents.size() >= MaxAgentsAsked)
      return;
    All->m_Agents.push_back(net::RpcClient::create(Io, *Address, Options));
    ask(*All->m_Agents.back(), "agent " + Target.m_Info.vm, Target.m_Info.vm,
        Argument, Own, All);
  });
  All->finishOne();
}

} // namespace anvil::control::internal
