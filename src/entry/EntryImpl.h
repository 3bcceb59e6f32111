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

  /// Tells who answers a request: a minion, control or the entry itself.
  enum class RequestKind { Service, Operator, Local };

  /// One HTTP request without a response.
  struct PendingRequest {
    std::string m_Id; ///< X-Request-Id.
    std::string m_MethodAndPath;
    std::string m_Workspace;
    TimePoint m_ArrivedAt;
    net::HttpResponder m_Respond;
    RequestKind m_Kind = RequestKind::Local;
  };

  // Entry.cpp: startup, shutdown and the periodic tick.
  absl::Status start();
  void shutdown(std::function<void(EntryReport)> Stopped);
  void closeListener();
  void cutOff();
  void stopWhenClaimsAreClosed(TimePoint Deadline);
  void stop();
  void tick();

  // EntrySync.cpp: syncs the routing table and the configuration.
  void scheduleSync(Duration Delay);
  void sync();
  void onSyncReply(absl::StatusOr<std::string> Answer, TimePoint AskedAt);
  void applySyncReply(wire::EntrySyncReply &Reply);
  void recordConfigChange(int64_t Version);

  // EntryHttp.cpp: requests and responses.
  void handle(net::HttpRequest Request, net::HttpResponder Respond);
  void handleService(net::HttpRequest Request, int64_t Id);
  void handleOperator(const net::HttpRequest &Request, int64_t Id);
  void handleLocal(const net::HttpRequest &Request, int64_t Id);
  void sendCommand(CommandCall Call, int64_t Id);
  void sendQuery(const wire::QueryRequest &Query, int64_t Id);
  void sendTimeline(TimelineQuery Query, int64_t Id);
  void respond(int64_t Id, net::HttpResponse Response);
  net::HttpResponse readiness() const;
  std::string metricsText() const;

  // EntryRouting.cpp: passes events to the router and performs its actions.
  void step(route::RouterEvent Event);
  void perform(const route::OpenClaimAction &Action);
  void perform(const route::CloseClaimAction &Action);
  void perform(const route::DispatchAction &Action);
  void perform(route::AnswerAction Action);
  void perform(const route::RefuseAction &Action);
  void recordRequestEvent(std::string_view Kind, route::RequestId Id,
                          std::string_view Vm, std::string_view Text);
  void submit(wire::Command Command, Duration Timeout, std::string_view TraceId,
              std::function<void(absl::StatusOr<wire::CommandResult>)> Done);

  boost::asio::io_context &m_Io;
  EntryOptions m_Options;
  EntryHooks m_Hooks;
  /// Name and a random suffix that differs between two starts.
  std::string m_Instance;
  route::Router m_Router;
  /// Declared before the clients, which stamp their frames with its clock.
  timeline::Recorder m_Timeline;
  ControlClient m_Control;
  AgentClients m_Agents;
  std::unique_ptr<net::HttpServer> m_Http;
  EntryMetrics m_Metrics;
  boost::asio::steady_timer m_TickTimer;
  boost::asio::steady_timer m_SyncTimer;
  boost::asio::steady_timer m_DrainTimer;
  boost::asio::steady_timer m_NoticeTimer;
  std::map<int64_t, PendingRequest> m_Pending;
  int64_t m_NextRequest = 1;
  int64_t m_RouteVersion = 0;
  int64_t m_ConfigVersion = 0;
  /// Number of CloseClaim commands without a result.
  int m_OpenClaimCloses = 0;
  bool m_Draining = false;
  bool m_CuttingOff = false;
  bool m_Stopped = false;
  std::function<void(EntryReport)> m_OnStopped;
  EntryReport m_Report;
};

} // namespace anvil::entry

#endif // ANVIL_ENTRY_ENTRYIMPL_H
