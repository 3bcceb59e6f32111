#ifndef ANVIL_TESTS_ENTRY_SESSIONHARNESS_H
#define ANVIL_TESTS_ENTRY_SESSIONHARNESS_H

#include <deque>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "anvil/daemon/Process.h"
#include "anvil/entry/Entry.h"
#include "anvil/net/Rpc.h"
#include "anvil/net/WireCodec.h"
#include "support/IoThread.h"

namespace anvil::entry::testing {

inline net::RpcOptions fakeRpcOptions() {
  net::RpcOptions Options;
  Options.m_Random = [] { return 0.25; };
  return Options;
}

/// Answers syncs with a fixed routing table, answers commands and queries
/// with scripted results, and records the commands and queries.
class FakeControl {
public:
  FakeControl(boost::asio::io_context &Io, wire::EntrySyncReply SyncReply,
              std::vector<std::string> &RecordedCalls)
      : m_SyncReply(std::move(SyncReply)), m_RecordedCalls(RecordedCalls),
        m_Server(std::move(
            *net::RpcServer::create(Io, {"127.0.0.1", 0}, fakeRpcOptions()))) {
    m_Server->handle(
        wire::Method::ENTRY_SYNC,
        [this](const net::RpcCall &Call, const net::RpcResponder &Respond) {
          const auto Request =
              *net::decodeAs<wire::EntrySyncRequest>(Call.m_Body);
          wire::EntrySyncReply Reply = m_SyncReply;
          Reply.routesChanged = Request.routeVersion != Reply.routeVersion;
          Reply.configChanged = Request.configVersion != Reply.configVersion;
          Respond(net::encodeStruct(Reply));
        });
    m_Server->handle(
        wire::Method::SUBMIT_COMMAND,
        [this](const net::RpcCall &Call, const net::RpcResponder &Respond) {
          recordCall("command", *net::decodeAs<wire::Command>(Call.m_Body));
          Respond(net::encodeStruct(next(m_Results)));
        });
    m_Server->handle(
        wire::Method::QUERY,
        [this](const net::RpcCall &Call, const net::RpcResponder &Respond) {
          recordCall("query", *net::decodeAs<wire::QueryRequest>(Call.m_Body));
          Respond(net::encodeStruct(next(m_Replies)));
        });
  }

  net::Endpoint endpoint() const { return m_Server->endpoint(); }

  std::deque<wire::CommandResult> m_Results;
  std::deque<wire::QueryReply> m_Replies;

private:
  template <typename T> static T next(std::deque<T> &Script) {
    if (Script.empty())
      return T();
    T First = Script.front();
    Script.pop_front();
    return First;
  }
  template <typename T>
  void recordCall(const std::string &Kind, const T &Value) {
    std::ostringstream Text;
    Text << "  control " << Kind << " " << Value;
    m_RecordedCalls.push_back(Text.str());
  }

  wire::EntrySyncReply m_SyncReply;
  std::vector<std::string> &m_RecordedCalls;
  std::unique_ptr<net::RpcServer> m_Server;
};

/// Answers each request with the next scripted reply, or completes it if there
/// is none. While m_HoldRequests is set, requests are not answered until
/// release().
class FakeAgent {
public:
  FakeAgent(boost::asio::io_context &Io,
            std::vector<std::string> &RecordedCalls)
      : m_RecordedCalls(RecordedCalls),
        m_Server(std::move(
            *net::RpcServer::create(Io, {"127.0.0.1", 0}, fakeRpcOptions()))) {
    m_Server->handle(wire::Method::EXECUTE, [this](const net::RpcCall &Call,
                                                   net::RpcResponder Respond) {
      const auto Request = *net::decodeAs<wire::ExecuteRequest>(Call.m_Body);
      m_RecordedCalls.push_back("  agent " + Request.httpMethod + " " +
                                Request.path + " class=" + Request.className +
                                " claim=" + Request.claimId +
                                " token=" + std::to_string(Request.claimToken) +
                                " body=" + Request.body);
      if (m_HoldRequests)
        return m_HeldResponders.push_back(std::move(Respond));
      answer(Respond);
    });
  }

  net::Endpoint endpoint() const { return m_Server->endpoint(); }
  void release() {
    m_HoldRequests = false;
    for (const net::RpcResponder &Responder :
         std::exchange(m_HeldResponders, {}))
      answer(Responder);
  }

  bool m_HoldRequests = false;
  std::deque<net::RpcResponder> m_HeldResponders;
  std::deque<wire::ExecuteReply> m_Replies;

private:
  void answer(const net::RpcResponder &Respond) {
    wire::ExecuteReply Reply;
    Reply.outcome = wire::Outcome::COMPLETED;
    Reply.httpStatus = 200;
    Reply.contentType = "text/plain";
    Reply.body = "sieve size 40\n";
    if (!m_Replies.empty()) {
      Reply = m_Replies.front();
      m_Replies.pop_front();
    }
    Respond(net::encodeStruct(Reply));
  }

  std::vector<std::string> &m_RecordedCalls;
  std::unique_ptr<net::RpcServer> m_Server;
};

inline wire::ServiceClass sessionClass(const std::string &Name,
                                       bool Idempotent) {
  wire::ServiceClass Class;
  Class.name = Name;
  Class.urgency = wire::Urgency::URGENT;
  Class.deadlineMs = 20000;
  Class.idempotent = Idempotent;
  return Class;
}

/// Runs one entry with two fake control replicas and a fake agent, which serves
/// as two minions, on a separate thread.
class SessionHarness : public anvil::testing::IoThread {
public:
  explicit SessionHarness(Duration DrainNotice = Duration(0)) {
    m_Agent = std::make_unique<FakeAgent>(m_Io, m_RecordedCalls);
    for (std::unique_ptr<FakeControl> &Control : m_Controls)
      Control =
          std::make_unique<FakeControl>(m_Io, syncReply(), m_RecordedCalls);
    EntryOptions Options;
    Options.m_Name = "e1";
    Options.m_AvailabilityZone = "kochi";
    Options.m_Listen = {"127.0.0.1", 0};
    Options.m_Controls = {m_Controls[0]->endpoint(), m_Controls[1]->endpoint()};
    Options.m_DrainNotice = DrainNotice;
    Options.m_SyncPeriod = std::chrono::milliseconds(50);
    m_Entry = std::move(*Entry::create(
        m_Io, Options,
        {daemon::monotonicNow, [] { return 1; }, [] { return 0.25; }}));
    m_Port = m_Entry->endpoint().m_Port;
    start();
  }
  ~SessionHarness() {
    run([this] {
      m_Entry.reset();
      m_Agent.reset();
      for (std::unique_ptr<FakeControl> &Control : m_Controls)
        Control.reset();
    });
    stop();
  }

  /// Sends one request on a new connection and returns the whole response.
  std::string exchange(const std::string &Head,
                       const std::string &Body = "") const {
    anvil::testing::Caller Client(m_Port);
    Client.send(Head + "Connection: close\r\nContent-Length: " +
                std::to_string(Body.size()) + "\r\n\r\n" + Body);
    return Client.readAll();
  }

  /// Returns true if the listener accepts connections.
  bool accepts() const {
    try {
      const anvil::testing::Caller Connection(m_Port);
      return true;
    } catch (const boost::system::system_error &) {
      return false;
    }
  }

  void awaitReady() const {
    while (exchange("GET /readyz HTTP/1.1\r\n").find("200 OK") ==
           std::string::npos)
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  void awaitHeldRequests(size_t Count) {
    await([this, Count] { return m_Agent->m_HeldResponders.size() == Count; });
  }

  wire::EntrySyncReply syncReply() const {
    wire::EntrySyncReply Reply;
    Reply.routeVersion = 3;
    Reply.configVersion = 2;
    Reply.fresh = true;
    Reply.workspaces = {"malabar"};
    wire::ServiceConfig Service;
    Service.name = "sieve";
    Service.classes = {sessionClass("quote", true),
                       sessionClass("reorder", false)};
    Reply.services = {Service};
    for (const char *Vm : {"minion-1", "minion-2"}) {
      wire::RouteTarget Target;
      Target.vm = Vm;
      Target.availabilityZone = "kochi";
      Target.serviceName = "sieve";
      Target.agentAddress = m_Agent->endpoint().str();
      Target.incarnation = 7;
      Target.slots = 8;
      Target.usable = true;
      Reply.routes.push_back(Target);
    }
    return Reply;
  }

  /// The calls to the fakes. Only the entry's thread may access it.
  std::vector<std::string> m_RecordedCalls;
  std::unique_ptr<FakeControl> m_Controls[2];
  std::unique_ptr<FakeAgent> m_Agent;
  std::unique_ptr<Entry> m_Entry;
  uint16_t m_Port = 0;
};

} // namespace anvil::entry::testing

#endif // ANVIL_TESTS_ENTRY_SESSIONHARNESS_H
