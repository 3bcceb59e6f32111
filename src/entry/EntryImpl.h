#ifndef ANVIL_ENTRY_ENTRYIMPL_H
#define ANVIL_ENTRY_ENTRYIMPL_H

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include <boost/asio/steady_timer.hpp>

#include "AgentClients.h"
#include "ControlClient.h"
#include "EntryMetrics.h"
#include "OperatorApi.h"
#include "ServiceRequest.h"
#include "anvil/entry/Entry.h"
#include "anvil/net/HttpServer.h"
#include "anvil/route/Router.h"
#include "anvil/timeline/Timeline.h"

namespace anvil::entry {

struct Entry::Impl : std::enable_shared_from_this<Entry::Impl> {
  Impl(boost::asio::io_context &Io, EntryOptions Options, EntryHooks Hooks);

  /// Who answers a request.
  enum class Answerer { Service, Control, Entry };

  /// One HTTP request without a response.
  struct Pending {
    std::string m_Id;   ///< X-Request-Id.
    std::string m_What; ///< Method and path.
    std::string m_Workspace;
    TimePoint m_ArrivedAt;
    net::HttpResponder m_Respond;
    Answerer m_By = Answerer::Entry;
  };

  // Entry.cpp: life of the process.
  absl::Status start();
  void shutdown(std::function<void(EntryReport)> Stopped);
  void closeListener();
  void cutOff();
  void finishWhenClaimsAreClosed(TimePoint GiveUpAt);
  void stop();
  void tick();

  // EntrySync.cpp: copy of the routing table and the configuration.
  void syncLater(Duration Delay);
  void sync();
  void onSync(absl::StatusOr<std::string> Answer, TimePoint AskedAt);
  void takeRoutes(wire::EntrySyncReply &Reply);
  void noteConfig(int64_t Version);

  // EntryHttp.cpp: requests and responses.
  void handle(net::HttpRequest Request, net::HttpResponder Respond);
  void handleService(net::HttpRequest Request, int64_t Id);
  void handleOperator(const net::HttpRequest &Request, int64_t Id);
  void handleOwn(const net::HttpRequest &Request, int64_t Id);
  void sendCommand(CommandCall Call, int64_t Id);
  void sendQuery(const wire::QueryRequest &Query, int64_t Id);
  void sendTimeline(TimelineQuery Query, int64_t Id);
  void respond(int64_t Id, net::HttpResponse Response);
  net::HttpResponse readiness() const;
  std::string metricsText() const;

  // EntryRouting.cpp: events and actions of the router.
  void step(route::RouterEvent Event);
  void perform(const route::OpenClaimAction &Action);
  void perform(const route::CloseClaimAction &Action);
  void perform(const route::DispatchAction &Action);
  void perform(route::AnswerAction Action);
  void perform(const route::RefuseAction &Action);
  void noteRequest(std::string_view Kind, route::RequestId Id,
                   std::string_view Vm, std::string_view Text);
  void submit(wire::Command Command, Duration Timeout, std::string_view TraceId,
              std::function<void(absl::StatusOr<wire::CommandResult>)> Done);

  boost::asio::io_context &m_Io;
  EntryOptions m_Options;
  EntryHooks m_Hooks;
  std::string
      m_Instance; ///< Name and a random part that differs between two starts.
  route::Router m_Router;
  timeline::Recorder
      m_Timeline; ///< Before the connections, which use its clock.
  ControlClient m_Control;
  AgentClients m_Agents;
  std::unique_ptr<net::HttpServer> m_Http;
  EntryMetrics m_Metrics;
  boost::asio::steady_timer m_TickTimer;
  boost::asio::steady_timer m_SyncTimer;
  boost::asio::steady_timer m_DrainTimer;
  boost::asio::steady_timer m_NoticeTimer;
  std::map<int64_t, Pending> m_Pending;
  int64_t m_NextRequest = 1;
  int64_t m_RouteVersion = 0;
  int64_t m_ConfigVersion = 0;
  int m_OpenCloses = 0; ///< CloseClaim commands without an answer.
  bool m_Draining = false;
  bool m_CuttingOff = false;
  bool m_Stopped = false;
  std::function<void(EntryReport)> m_OnStopped;
  EntryReport m_Report;
};

} // namespace anvil::entry

#endif // ANVIL_ENTRY_ENTRYIMPL_H
