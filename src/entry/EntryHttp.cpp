#include "absl/strings/str_cat.h"
#include <boost/asio/io_context.hpp>

#include "EntryImpl.h"
#include "HttpText.h"
#include "anvil/net/WireCodec.h"

namespace anvil::entry {

namespace {

// Covers two elections of up to a second each.
constexpr Duration OperatorTimeout = std::chrono::seconds(5);

net::HttpResponse completedResponse(int Status, std::string Body) {
  net::HttpResponse Response;
  Response.m_Status = Status;
  Response.m_Body = std::move(Body);
  setOutcome(Response, wire::Outcome::COMPLETED);
  return Response;
}

} // namespace

void Entry::Impl::handle(net::HttpRequest Request, net::HttpResponder Respond) {
  auto RequestId = readRequestId(Request);
  if (auto *Error = std::get_if<net::HttpResponse>(&RequestId))
    return Respond(std::move(*Error));
  const int64_t Id = m_NextRequest++;
  PendingRequest &Pending = m_Pending[Id];
  Pending.m_Id = std::move(std::get<std::string>(RequestId));
  if (Pending.m_Id.empty())
    Pending.m_Id = absl::StrCat(m_Instance, "-", Id);
  Pending.m_MethodAndPath = Request.m_Method + " " + Request.m_Path;
  Pending.m_ArrivedAt = m_Hooks.m_Now();
  Pending.m_Respond = std::move(Respond);
  if (Request.m_Path.starts_with("/services/")) {
    Pending.m_Kind = RequestKind::Service;
    return handleService(std::move(Request), Id);
  }
  if (Request.m_Path.starts_with("/v1/")) {
    Pending.m_Kind = RequestKind::Operator;
    return handleOperator(Request, Id);
  }
  handleLocal(Request, Id);
}

void Entry::Impl::handleService(net::HttpRequest Request, int64_t Id) {
  auto Parsed = readServiceRequest(std::move(Request));
  if (auto *Error = std::get_if<net::HttpResponse>(&Parsed))
    return respond(Id, std::move(*Error));
  auto &Event = std::get<route::RequestArrived>(Parsed);
  Event.m_Id = route::RequestId(Id);
  PendingRequest &Pending = m_Pending.at(Id);
  Event.m_TraceId = Pending.m_Id;
  Pending.m_Workspace = Event.m_Workspace;
  step(std::move(Event));
}

void Entry::Impl::handleOperator(const net::HttpRequest &Request, int64_t Id) {
  OperatorCall Call = readOperatorRequest(Request, m_Pending.at(Id).m_Id,
                                          m_Hooks.m_WallMicros());
  if (auto *Error = std::get_if<net::HttpResponse>(&Call))
    return respond(Id, std::move(*Error));
  if (const auto *Query = std::get_if<wire::QueryRequest>(&Call))
    return sendQuery(*Query, Id);
  if (auto *Timeline = std::get_if<TimelineQuery>(&Call))
    return sendTimeline(std::move(*Timeline), Id);
  sendCommand(std::move(std::get<CommandCall>(Call)), Id);
}

void Entry::Impl::sendCommand(CommandCall Call, int64_t Id) {
  const int OkStatus = Call.m_OkStatus;
  submit(std::move(Call.m_Command), OperatorTimeout, m_Pending.at(Id).m_Id,
         [Weak = weak_from_this(), Id,
          OkStatus](const absl::StatusOr<wire::CommandResult> &Result) {
           const std::shared_ptr<Impl> Self = Weak.lock();
           if (!Self)
             return;
           Self->respond(Id, Result.ok()
                                 ? renderCommandResult(*Result, OkStatus)
                                 : renderControlFailure(Result.status(), true));
         });
}

void Entry::Impl::sendQuery(const wire::QueryRequest &Query, int64_t Id) {
  m_Control.call(
      wire::Method::QUERY, net::encodeStruct(Query), OperatorTimeout,
      m_Pending.at(Id).m_Id,
      [Weak = weak_from_this(), Id](const absl::StatusOr<std::string> &Answer) {
        const std::shared_ptr<Impl> Self = Weak.lock();
        if (!Self)
          return;
        if (!Answer.ok())
          return Self->respond(Id,
                               renderControlFailure(Answer.status(), false));
        const absl::StatusOr<wire::QueryReply> Reply =
            net::decodeAs<wire::QueryReply>(*Answer);
        Self->respond(Id, Reply.ok()
                              ? renderQueryReply(*Reply)
                              : renderControlFailure(Reply.status(), false));
      });
}

void Entry::Impl::sendTimeline(TimelineQuery Query, int64_t Id) {
  wire::QueryRequest Request;
  Request.kind = "timeline";
  Request.argument = Query.m_Argument;
  m_Control.call(
      wire::Method::QUERY, net::encodeStruct(Request), OperatorTimeout,
      m_Pending.at(Id).m_Id,
      [Weak = weak_from_this(), Id,
       Query = std::move(Query)](const absl::StatusOr<std::string> &Answer) {
        const std::shared_ptr<Impl> Self = Weak.lock();
        if (!Self)
          return;
        std::string Events;
        if (Answer.ok()) {
          const absl::StatusOr<wire::QueryReply> Reply =
              net::decodeAs<wire::QueryReply>(*Answer);
          if (Reply.ok() && Reply->httpStatus == 200)
            Events = Reply->json;
        }
        Self->respond(Id, renderTimeline(Query, Self->m_Timeline, Events));
      });
}

void Entry::Impl::handleLocal(const net::HttpRequest &Request, int64_t Id) {
  const bool IsRead = Request.m_Method == "GET" || Request.m_Method == "HEAD";
  if (IsRead && Request.m_Path == "/healthz")
    return respond(Id, completedResponse(200, "{\"status\":\"ok\"}\n"));
  if (IsRead && Request.m_Path == "/readyz")
    return respond(Id, readiness());
  if (IsRead && Request.m_Path == "/metrics") {
    net::HttpResponse Response = completedResponse(200, metricsText());
    Response.m_ContentType = metrics::PrometheusContentType;
    return respond(Id, std::move(Response));
  }
  net::HttpResponse Response =
      net::makeHttpError(404, "not-found", "the path is not known");
  setOutcome(Response, wire::Outcome::NOT_RUN);
  respond(Id, std::move(Response));
}

net::HttpResponse Entry::Impl::readiness() const {
  if (m_Draining)
    return completedResponse(503, "{\"status\":\"shutting-down\"}\n");
  if (!m_Router.ready(m_Hooks.m_Now()))
    return completedResponse(503, "{\"status\":\"control-silent\"}\n");
  return completedResponse(200, "{\"status\":\"ready\"}\n");
}

std::string Entry::Impl::metricsText() const {
  EntryGauges Gauges;
  Gauges.m_Ready = !m_Draining && m_Router.ready(m_Hooks.m_Now());
  Gauges.m_RouteVersion = m_RouteVersion;
  Gauges.m_ConfigVersion = m_ConfigVersion;
  Gauges.m_AgentConnections = m_Agents.size();
  return writeEntryMetrics(m_Metrics, Gauges, m_Http->counters(),
                           m_Router.counters());
}

void Entry::Impl::respond(int64_t Id, net::HttpResponse Response) {
  const auto Found = m_Pending.find(Id);
  if (Found == m_Pending.end())
    return;
  const PendingRequest Pending = std::move(Found->second);
  m_Pending.erase(Found);
  const Duration Elapsed = m_Hooks.m_Now() - Pending.m_ArrivedAt;
  if (Pending.m_Kind == RequestKind::Service)
    m_Metrics.m_ServiceTime.add(Elapsed);
  if (Pending.m_Kind == RequestKind::Operator)
    m_Metrics.m_OperatorTime.add(Elapsed);
  Response.m_Fields.push_back({std::string(RequestIdField), Pending.m_Id});
  Pending.m_Respond(std::move(Response));
}

} // namespace anvil::entry
