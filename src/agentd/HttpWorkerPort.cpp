#include <list>
#include <set>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include "anvil/agentd/Ports.h"
#include "anvil/net/HttpClient.h"

namespace anvil::agentd {

namespace {

using agent::TaskEvent;
using agent::TaskEventKind;
using agent::TaskKey;
namespace json = boost::json;

/// Maximum number of concurrent commands; further ones are queued. One more
/// connection reads the worker's events.
constexpr size_t MaxCommands = 15;
constexpr size_t MaxConnections = MaxCommands + 1;
constexpr size_t MaxStatusBytes = 1u << 20;

int64_t millisOf(Duration Span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Span).count();
}

json::object keyObject(const TaskKey &Key) {
  return {{"job", Key.m_JobId},
          {"task", Key.m_TaskIndex},
          {"token", Key.m_StartToken}};
}

TaskKey keyOf(const json::object &Item) {
  return {Item.at("job").to_number<int64_t>(),
          Item.at("task").to_number<int32_t>(),
          Item.at("token").to_number<int64_t>()};
}

std::optional<TaskEventKind> eventKind(std::string_view Name) {
  if (Name == "succeeded")
    return TaskEventKind::Succeeded;
  if (Name == "failed")
    return TaskEventKind::Failed;
  if (Name == "stopped")
    return TaskEventKind::Stopped;
  if (Name == "checkpointed")
    return TaskEventKind::Checkpointed;
  if (Name == "checkpoint-failed")
    return TaskEventKind::CheckpointFailed;
  return std::nullopt;
}

class HttpWorkerPort : public agent::WorkerPort {
public:
  HttpWorkerPort(boost::asio::io_context &Io, const WorkerPortOptions &Options,
                 Hooks Given)
      : m_Options(Options), m_Hooks(std::move(Given)), m_Timer(Io) {
    net::HttpClientOptions Http;
    Http.m_MaxConnections = MaxConnections;
    Http.m_MaxBodyBytes = MaxStatusBytes;
    m_Client = net::HttpClient::create(Io, Options.m_Worker, Http);
    schedulePoll(Duration(0));
  }

  void start(const agent::StartTask &Command) override {
    json::object Body = keyObject(Command.m_Key);
    Body["lease_ms"] = millisOf(Command.m_Lease);
    Body["payload"] = Command.m_Payload;
    Body["workspace"] = Command.m_Workspace;
    Body["accelerators"] = Command.m_Resources.accelerators;
    Body["cores"] = Command.m_Resources.cores;
    Body["memory_mib"] = Command.m_Resources.memoryMib;
    command("/tasks/start", Command.m_Key, Body,
            [this, Key = Command.m_Key](const net::HttpExchangeResult &Result) {
              m_Hooks.m_OnTask(startEvent(Key, Result));
            });
  }

  void renew(const agent::RenewTask &Command) override {
    json::object Body = keyObject(Command.m_Key);
    Body["lease_ms"] = millisOf(Command.m_Lease);
    command("/tasks/renew", Command.m_Key, Body, nullptr);
  }

  void checkpoint(const TaskKey &Key) override {
    command("/tasks/checkpoint", Key, keyObject(Key),
            [this, Key](const net::HttpExchangeResult &Result) {
              if (!Result.m_Status.ok() || Result.m_HttpStatus != 200)
                m_Hooks.m_OnTask({Key, TaskEventKind::CheckpointFailed,
                                  "worker did not accept the checkpoint"});
            });
  }

  void throttle(const TaskKey &Key) override {
    command("/tasks/throttle", Key, keyObject(Key), nullptr);
  }

  // A worker that does not know the key answers 404, so the task does not run.
  void stop(const TaskKey &Key) override {
    command("/tasks/stop", Key, keyObject(Key),
            [this, Key](const net::HttpExchangeResult &Result) {
              if (Result.m_Status.ok() && Result.m_HttpStatus == 404)
                m_Hooks.m_OnTask({Key, TaskEventKind::Stopped,
                                  "worker does not run the task"});
            });
  }

private:
  using Answer = std::function<void(const net::HttpExchangeResult &)>;

  static TaskEvent startEvent(const TaskKey &Key,
                              const net::HttpExchangeResult &Result) {
    if (!Result.m_Status.ok()) {
      const auto Kind = Result.m_AnyByteSent ? TaskEventKind::StartUnknown
                                             : TaskEventKind::StartFailed;
      return {Key, Kind, std::string(Result.m_Status.message())};
    }
    if (Result.m_HttpStatus == 200)
      return {Key, TaskEventKind::Started, ""};
    return {Key, TaskEventKind::StartFailed,
            "worker refused the start: " + Result.m_Body};
  }

  struct Pending {
    TaskKey m_Key;
    net::HttpClientRequest m_Request;
    Answer m_OnAnswer;
  };

  void command(const std::string &Path, const TaskKey &Key,
               const json::object &Body, Answer OnAnswer) {
    net::HttpClientRequest Request;
    Request.m_Method = "POST";
    Request.m_Target = Path;
    Request.m_Fields.push_back({"Content-Type", "application/json"});
    Request.m_Body = json::serialize(Body);
    // Stops and renewals are repeated. While the worker hangs, only the newest
    // command of each kind is queued for a task.
    std::erase_if(m_Pending, [&](const Pending &Queued) {
      return Queued.m_Key == Key && Queued.m_Request.m_Target == Path;
    });
    m_Pending.push_back({Key, std::move(Request), std::move(OnAnswer)});
    sendPending();
  }

  // Commands of one task are sent one at a time, since a stop that arrives
  // before its start would find nothing to stop.
  void sendPending() {
    for (auto Next = m_Pending.begin();
         Next != m_Pending.end() && m_BusyTasks.size() < MaxCommands;) {
      if (!m_BusyTasks.insert(Next->m_Key).second) {
        ++Next;
        continue;
      }
      m_Client->send(
          Next->m_Request, m_Options.m_CommandTimeout,
          [this, Key = Next->m_Key, OnAnswer = std::move(Next->m_OnAnswer)](
              const net::HttpExchangeResult &Result) {
            finishCommand(Key, OnAnswer, Result);
          });
      Next = m_Pending.erase(Next);
    }
  }

  void finishCommand(const TaskKey &Key, const Answer &OnAnswer,
                     const net::HttpExchangeResult &Result) {
    m_BusyTasks.erase(Key);
    if (OnAnswer)
      OnAnswer(Result);
    sendPending();
  }

  void schedulePoll(Duration Delay) {
    m_Timer.expires_after(Delay);
    m_Timer.async_wait([this](const boost::system::error_code &Error) {
      if (!Error)
        poll();
    });
  }

  void poll() {
    net::HttpClientRequest Request;
    Request.m_Target = "/tasks?after=" + std::to_string(m_LastEvent);
    m_Client->send(Request, m_Options.m_CommandTimeout,
                   [this](const net::HttpExchangeResult &Result) {
                     if (Result.m_Status.ok() && Result.m_HttpStatus == 200)
                       readStatus(Result.m_Body);
                     schedulePoll(m_Options.m_PollPeriod);
                   });
  }

  // A malformed status counts as no answer.
  void readStatus(const std::string &Text) {
    std::vector<TaskEvent> Events;
    agent::WorkerInventory Inventory;
    int64_t LastEvent = m_LastEvent;
    try {
      const json::object Status = json::parse(Text).as_object();
      // A restarted worker numbers its events from 1 again.
      const auto Instance = Status.at("instance").to_number<int64_t>();
      if (std::exchange(m_Instance, Instance) != Instance) {
        m_LastEvent = 0;
        return;
      }
      for (const json::value &Item : Status.at("events").as_array())
        readEvent(Item.as_object(), Events, LastEvent);
      for (const json::value &Item : Status.at("running").as_array())
        Inventory.m_Running.push_back(
            {keyOf(Item.as_object()),
             Item.at("used_cores").to_number<int32_t>()});
    } catch (const std::exception &) {
      return;
    }
    m_LastEvent = LastEvent;
    for (TaskEvent &Event : Events)
      m_Hooks.m_OnTask(std::move(Event));
    m_Hooks.m_OnInventory(std::move(Inventory));
  }

  static void readEvent(const json::object &Item,
                        std::vector<TaskEvent> &Events, int64_t &LastEvent) {
    LastEvent = std::max(LastEvent, Item.at("sequence").to_number<int64_t>());
    const json::string &Name = Item.at("kind").as_string();
    const std::optional<TaskEventKind> Kind =
        eventKind({Name.data(), Name.size()});
    if (Kind)
      Events.push_back(
          {keyOf(Item), *Kind, json::value_to<std::string>(Item.at("detail"))});
  }

  const WorkerPortOptions m_Options;
  const Hooks m_Hooks;
  boost::asio::steady_timer m_Timer;
  std::list<Pending> m_Pending;
  std::set<TaskKey> m_BusyTasks; ///< Tasks with a command in progress.
  int64_t m_LastEvent = 0;
  /// Identifies the start of the worker process whose events are read.
  int64_t m_Instance = 0;
  std::unique_ptr<net::HttpClient> m_Client;
};

} // namespace

std::unique_ptr<agent::WorkerPort>
makeHttpWorkerPort(boost::asio::io_context &Io,
                   const WorkerPortOptions &Options,
                   agent::WorkerPort::Hooks Hooks) {
  return std::make_unique<HttpWorkerPort>(Io, Options, std::move(Hooks));
}

} // namespace anvil::agentd
