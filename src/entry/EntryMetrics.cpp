#include "EntryMetrics.h"

#include "anvil/daemon/Process.h"
#include "anvil/net/Rpc.h"

namespace anvil::entry {

namespace {

using metrics::PrometheusText;

template <typename Number> double toDouble(Number Value) {
  return static_cast<double>(Value);
}

void writeOutcomes(PrometheusText &Text, const route::RouterCounters &Routing) {
  Text.counter("anvil_entry_requests_total", "Requests for services.");
  Text.sample(toDouble(Routing.m_Requests));
  int64_t Refused = 0;
  for (const int64_t Count : Routing.m_Refused)
    Refused += Count;
  Text.counter("anvil_entry_outcomes_total",
               "Answered requests for services by outcome.");
  Text.sample(toDouble(Routing.m_Completed), {{"outcome", "completed"}});
  Text.sample(toDouble(Refused), {{"outcome", "not-run"}});
  Text.sample(toDouble(Routing.m_Unknown), {{"outcome", "unknown"}});
  Text.counter("anvil_entry_refused_total",
               "Requests that were refused as not run, by reason.");
  for (size_t Index = 0; Index < route::RefusalReasonCount; ++Index) {
    const auto Reason = static_cast<route::RefusalReason>(Index);
    Text.sample(toDouble(Routing.m_Refused[Index]),
                {{"reason", route::refusalText(Reason).m_Code}});
  }
}

void writeRouting(PrometheusText &Text, const route::RouterCounters &Routing) {
  Text.counter("anvil_entry_attempts_total", "Requests sent to agents.");
  Text.sample(toDouble(Routing.m_Attempts));
  Text.counter("anvil_entry_retries_total",
               "Retries by whether the budget allowed them.");
  Text.sample(toDouble(Routing.m_Retries), {{"result", "allowed"}});
  Text.sample(toDouble(Routing.m_RetriesDenied), {{"result", "denied"}});
  Text.counter("anvil_entry_late_answers_total",
               "Answers that were dropped because nobody waited for them.");
  Text.sample(toDouble(Routing.m_LateAnswers));
  Text.counter("anvil_entry_late_claims_total",
               "Claims that were granted too late and closed again.");
  Text.sample(toDouble(Routing.m_LateClaims));
  Text.counter("anvil_entry_claim_polls_total",
               "Repeated questions for held claims.");
  Text.sample(toDouble(Routing.m_ClaimPolls));
  Text.gauge("anvil_entry_requests_in_progress",
             "Requests for services without an answer.");
  Text.sample(toDouble(Routing.m_InProgress));
  Text.gauge("anvil_entry_requests_queued",
             "Requests that wait for a target with room.");
  Text.sample(toDouble(Routing.m_Queued));
  Text.gauge("anvil_entry_request_bytes", "Bodies of requests in progress.");
  Text.sample(toDouble(Routing.m_Bytes));
}

void writeHttp(PrometheusText &Text, const net::HttpCounters &Http) {
  Text.counter("anvil_http_connections_total", "Accepted HTTP connections.");
  Text.sample(toDouble(Http.m_Connections));
  Text.gauge("anvil_http_connections", "Open HTTP connections.");
  Text.sample(toDouble(Http.m_OpenConnections));
  Text.counter("anvil_http_requests_total",
               "HTTP requests that were received whole.");
  Text.sample(toDouble(Http.m_Requests));
  Text.counter("anvil_http_refused_total",
               "HTTP requests that the server refused or gave up, by reason.");
  for (size_t Index = 0; Index < net::HttpRefusalCount; ++Index)
    Text.sample(
        toDouble(Http.m_Refusals[Index]),
        {{"reason", httpRefusalName(static_cast<net::HttpRefusal>(Index))}});
}

void writeControl(PrometheusText &Text, const EntryMetrics &Metrics,
                  const EntryGauges &Gauges) {
  Text.gauge("anvil_entry_ready", "1 if requests are routed.");
  Text.sample(Gauges.m_Ready ? 1 : 0);
  Text.gauge("anvil_entry_route_version",
             "Version of the routing table in force.");
  Text.sample(toDouble(Gauges.m_RouteVersion));
  Text.gauge("anvil_entry_config_version",
             "Version of the configuration in force.");
  Text.sample(toDouble(Gauges.m_ConfigVersion));
  Text.gauge("anvil_entry_agent_connections",
             "Agents that the entry keeps a connection to.");
  Text.sample(toDouble(Gauges.m_AgentConnections));
  Text.counter("anvil_entry_syncs_total", "Syncs with control by result.");
  Text.sample(toDouble(Metrics.m_Syncs), {{"result", "fresh"}});
  Text.sample(toDouble(Metrics.m_StaleSyncs), {{"result", "stale"}});
  Text.sample(toDouble(Metrics.m_SyncFailures), {{"result", "failed"}});
}

void writeProcess(PrometheusText &Text) {
  const daemon::Footprint Usage = daemon::readFootprint();
  Text.gauge("process_resident_memory_bytes",
             "Resident memory of this process.");
  Text.sample(toDouble(Usage.m_ResidentBytes));
  Text.counter("process_cpu_seconds_total",
               "User and system time of this process.");
  Text.sample(Usage.m_CpuSeconds);
  Text.gauge("process_open_fds", "Open file descriptors of this process.");
  Text.sample(toDouble(Usage.m_OpenFiles));
  const net::RpcCounters &Rpc = net::rpcCounters();
  Text.counter("anvil_rpc_bytes_total",
               "Bytes of the RPC connections of this process.");
  Text.sample(toDouble(Rpc.m_BytesSent), {{"direction", "sent"}});
  Text.sample(toDouble(Rpc.m_BytesReceived), {{"direction", "received"}});
  Text.counter("anvil_rpc_silent_connections_total",
               "RPC connections that were closed because they went silent.");
  Text.sample(toDouble(Rpc.m_SilentConnectionsClosed));
  Text.counter("anvil_rpc_late_responses_total",
               "RPC responses that arrived after their call had ended.");
  Text.sample(toDouble(Rpc.m_LateResponsesDropped));
}

} // namespace

std::string writeEntryMetrics(const EntryMetrics &Metrics,
                              const EntryGauges &Gauges,
                              const net::HttpCounters &Http,
                              const route::RouterCounters &Routing) {
  PrometheusText Text;
  writeOutcomes(Text, Routing);
  writeRouting(Text, Routing);
  writeHttp(Text, Http);
  writeControl(Text, Metrics, Gauges);
  Text.summary("anvil_entry_service_seconds",
               "Time to answer requests for services.", Metrics.m_ServiceTime);
  Text.summary("anvil_entry_operator_seconds",
               "Time to answer requests of operators.", Metrics.m_OperatorTime);
  Text.summary("anvil_entry_queue_seconds", "Time from arrival to dispatch.",
               Metrics.m_QueueTime);
  writeProcess(Text);
  return Text.text();
}

} // namespace anvil::entry
