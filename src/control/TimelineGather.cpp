#include "TimelineGather.h"

#include <set>

#include "anvil/net/WireCodec.h"

namespace anvil::control::internal {

namespace {

/// Query kind that returns only the events of the process itself.
constexpr const char *LocalEventsKind = "timeline-own";

struct GatherState {
  timeline::Filter m_Filter;
  std::vector<std::vector<timeline::Event>> m_Sources;
  std::vector<std::unique_ptr<net::RpcClient>> m_Agents;
  size_t m_PendingSources =
      1; ///< Starts at 1, so that m_Done runs only after all queries are sent.
  std::function<void(std::vector<timeline::Event>)> m_Done;

  void finishSource() {
    if (--m_PendingSources == 0)
      m_Done(timeline::merge(m_Sources, m_Filter.m_Limit));
  }
};

void addMissingEvent(timeline::Recorder &LocalRecorder, GatherState &Gathering,
                     const std::string &Process, const std::string &Vm) {
  timeline::Event Missing;
  Missing.m_Process = Process;
  Missing.m_Kind = "timeline.missing";
  Missing.m_Subject.m_Vm = Vm;
  Missing.m_Text =
      "This process did not answer, so its own events are not shown.";
  Missing.m_At = LocalRecorder.clock().now(0);
  Gathering.m_Sources.push_back({std::move(Missing)});
}

void queryProcess(net::RpcClient &Client, const std::string &Process,
                  const std::string &Vm, const std::string &Argument,
                  timeline::Recorder &LocalRecorder,
                  const std::shared_ptr<GatherState> &Gathering) {
  wire::QueryRequest Request;
  Request.kind = LocalEventsKind;
  Request.argument = Argument;
  ++Gathering->m_PendingSources;
  Client.call(wire::Method::QUERY, net::encodeStruct(Request), GatherTimeout,
              "",
              [Gathering, Process, Vm,
               &LocalRecorder](const absl::StatusOr<std::string> &Answer) {
                absl::StatusOr<wire::QueryReply> Reply =
                    absl::UnavailableError("no answer");
                if (Answer.ok())
                  Reply = net::decodeAs<wire::QueryReply>(*Answer);
                absl::StatusOr<std::vector<timeline::Event>> Events =
                    absl::UnavailableError("no answer");
                if (Reply.ok())
                  Events = timeline::fromJson(Reply->json);
                if (Events.ok())
                  Gathering->m_Sources.push_back(*std::move(Events));
                else
                  addMissingEvent(LocalRecorder, *Gathering, Process, Vm);
                Gathering->finishSource();
              });
}

// Returns the VMs whose agents may have events on the subject. An empty set
// means all VMs.
std::set<std::string> relevantVms(const timeline::Filter &Filter,
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
                    const net::RpcOptions &Options,
                    timeline::Recorder &LocalRecorder,
                    const std::string &Argument,
                    std::function<void(std::vector<timeline::Event>)> Done) {
  auto Gathering = std::make_shared<GatherState>();
  Gathering->m_Filter = timeline::parseFilter(Argument);
  Gathering->m_Done = std::move(Done);
  Gathering->m_Sources.push_back(LocalRecorder.select(Gathering->m_Filter));
  const raft::Membership Members = Replica.status().m_Members;
  for (raft::ReplicaId Id : Members.m_Voters)
    if (net::RpcClient *Peer = Replica.peer(Id))
      queryProcess(*Peer, "control " + Peer->peer().str(), "", Argument,
                   LocalRecorder, Gathering);
  const std::set<std::string> Vms =
      relevantVms(Gathering->m_Filter, Replica.state());
  Replica.state().forEachTarget([&](const state::TargetView &Target) {
    const absl::StatusOr<net::Endpoint> Address =
        net::parseEndpoint(Target.m_Info.agentAddress);
    const bool Relevant = Vms.empty() || Vms.contains(Target.m_Info.vm);
    if (!Relevant || !Address.ok() ||
        Gathering->m_Agents.size() >= MaxAgentsQueried)
      return;
    Gathering->m_Agents.push_back(
        net::RpcClient::create(Io, *Address, Options));
    queryProcess(*Gathering->m_Agents.back(), "agent " + Target.m_Info.vm,
                 Target.m_Info.vm, Argument, LocalRecorder, Gathering);
  });
  Gathering->finishSource();
}

} // namespace anvil::control::internal
