#include "fakes/FakeWorker.h"

#include <algorithm>
#include <chrono>
#include <compare>
#include <deque>

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include "absl/strings/str_cat.h"

namespace anvil::fakes {

namespace json = boost::json;

namespace {

using SteadyTime = std::chrono::steady_clock::time_point;

/// Events kept for GET /tasks; the agent reads them several times a second.
constexpr size_t MaxEvents = 4096;

struct Key {
  int64_t m_Job = 0;
  int64_t m_Task = 0;
  int64_t m_Token = 0;
  auto operator<=>(const Key &) const = default;
};

struct Task {
  int64_t m_Run =
      0; ///< Number of this run; timers of earlier runs are ignored.
  int64_t m_Accelerators = 0;
  int64_t m_Cores = 0;
  SteadyTime m_StartedAt;
  SteadyTime m_LeaseEnd;
  bool m_Throttled = false;
  std::string m_Exit = "succeeded";
};

Key keyOf(const json::object &Body) {
  return {Body.at("job").to_number<int64_t>(),
          Body.at("task").to_number<int64_t>(),
          Body.at("token").to_number<int64_t>()};
}

json::object keyObject(const Key &Which) {
  return {
      {"job", Which.m_Job}, {"task", Which.m_Task}, {"token", Which.m_Token}};
}

int64_t numberOr(const json::object &Body, std::string_view Name,
                 int64_t Default) {
  const json::value *Value = Body.if_contains(Name);
  return Value && Value->is_number() ? Value->to_number<int64_t>() : Default;
}

json::object payloadOf(const json::object &Body) {
  const json::value *Text = Body.if_contains("payload");
  if (!Text || !Text->is_string())
    return {};
  boost::system::error_code Error;
  json::value Parsed = json::parse(Text->as_string(), Error);
  return !Error && Parsed.is_object() ? Parsed.as_object() : json::object();
}

} // namespace

struct FakeWorker::Impl : std::enable_shared_from_this<FakeWorker::Impl> {
  Impl(boost::asio::io_context &Io, FakeWorkerOptions Options)
      : m_Io(Io), m_Options(std::move(Options)) {}

  void handle(const net::HttpRequest &Request, const FakeConnectionPtr &Link);
  void command(const std::string &Name, const json::object &Body,
               const FakeConnectionPtr &Link);
  void start(const Key &Which, const json::object &Body,
             const FakeConnectionPtr &Link);
  void launch(const Key &Which, const json::object &Body);
  void watchLease(const Key &Which, int64_t Run);
  void checkpoint(const Key &Which, const FakeConnectionPtr &Link);
  void stop(const Key &Which, const FakeConnectionPtr &Link);
  void endTask(const Key &Which, int64_t Run, std::string_view Kind,
               std::string_view Detail);
  void report(const Key &Which, std::string_view Kind, std::string_view Detail);
  std::string status(int64_t After) const;
  std::string describe() const;
  bool fits(const json::object &Body) const;

  boost::asio::io_context &m_Io;
  FakeWorkerOptions m_Options;
  FakeWorkerCounts m_Counts;
  std::map<Key, Task> m_Tasks;
  std::deque<json::object> m_Events;
  int64_t m_LastEvent = 0;
  int64_t m_LastRun = 0;
  std::unique_ptr<FakeHttpServer> m_Server;
};

void FakeWorker::Impl::handle(const net::HttpRequest &Request,
                              const FakeConnectionPtr &Link) {
  if (Request.m_Path == "/counts")
    return Link->respond(200, describe());
  if (Request.m_Path == "/tasks" && Request.m_Method == "GET") {
    const size_t Mark = Request.m_Query.find("after=");
    const std::string After =
        Mark == std::string::npos ? "0" : Request.m_Query.substr(Mark + 6);
    return Link->respond(200, status(std::atoll(After.c_str())));
  }
  const std::string Prefix = "/tasks/";
  if (Request.m_Method != "POST" ||
      Request.m_Path.compare(0, Prefix.size(), Prefix) != 0)
    return Link->respond(404, R"({"error":"unknown path"})");
  try {
    command(Request.m_Path.substr(Prefix.size()),
            json::parse(Request.m_Body).as_object(), Link);
  } catch (const std::exception &Error) {
    Link->respond(400, json::serialize(json::object{{"error", Error.what()}}));
  }
}

void FakeWorker::Impl::command(const std::string &Name,
                               const json::object &Body,
                               const FakeConnectionPtr &Link) {
  const Key Which = keyOf(Body);
  if (Name == "start")
    return start(Which, Body, Link);
  const auto Found = m_Tasks.find(Which);
  if (Found == m_Tasks.end())
    return Link->respond(404, R"({"error":"task is not running"})");
  if (Name == "checkpoint")
    return checkpoint(Which, Link);
  if (Name == "stop")
    return stop(Which, Link);
  if (Name == "throttle") {
    Found->second.m_Throttled = true;
    return Link->respond(200, "{}");
  }
  if (Name != "renew")
    return Link->respond(404, R"({"error":"unknown command"})");
  const auto Lease =
      std::chrono::milliseconds(Body.at("lease_ms").to_number<int64_t>());
  Found->second.m_LeaseEnd = std::max(Found->second.m_LeaseEnd,
                                      std::chrono::steady_clock::now() + Lease);
  Link->respond(200, "{}");
}

bool FakeWorker::Impl::fits(const json::object &Body) const {
  int64_t Accelerators = numberOr(Body, "accelerators", 0);
  int64_t Cores = numberOr(Body, "cores", 0);
  for (const auto &[Which, Each] : m_Tasks) {
    Accelerators += Each.m_Accelerators;
    Cores += Each.m_Cores;
  }
  return Accelerators <= m_Options.m_Accelerators && Cores <= m_Options.m_Cores;
}

void FakeWorker::Impl::start(const Key &Which, const json::object &Body,
                             const FakeConnectionPtr &Link) {
  ++m_Counts.m_StartCalls;
  if (m_Options.m_FailStarts)
    return Link->respond(500, R"({"error":"simulated start failure"})");
  if (!fits(Body)) {
    ++m_Counts.m_Overfill;
    return Link->respond(409, R"({"error":"resources are in use"})");
  }
  launch(Which, Body);
  runAfter(m_Io, m_Options.m_StartTime, [Link] { Link->respond(200, "{}"); });
}

void FakeWorker::Impl::launch(const Key &Which, const json::object &Body) {
  ++m_Counts.m_Starts[absl::StrCat(Which.m_Job, "/", Which.m_Task, "/",
                                   Which.m_Token)];
  const json::object Payload = payloadOf(Body);
  Task &Started = m_Tasks[Which];
  Started.m_Run = ++m_LastRun;
  Started.m_Accelerators = numberOr(Body, "accelerators", 0);
  Started.m_Cores = numberOr(Body, "cores", 0);
  Started.m_StartedAt = std::chrono::steady_clock::now();
  Started.m_LeaseEnd = Started.m_StartedAt +
                       std::chrono::milliseconds(numberOr(Body, "lease_ms", 0));
  if (const json::value *Exit = Payload.if_contains("exit");
      Exit && Exit->is_string())
    Started.m_Exit =
        json::value_to<std::string>(*Exit) == "failed" ? "failed" : "succeeded";
  m_Counts.m_Running = static_cast<int64_t>(m_Tasks.size());
  const int64_t DefaultMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(m_Options.m_RunTime)
          .count();
  const auto RunTime =
      std::chrono::milliseconds(numberOr(Payload, "run_ms", DefaultMs));
  runAfter(m_Io, RunTime,
           [Self = shared_from_this(), Which, Run = Started.m_Run,
            Exit = Started.m_Exit] {
             Self->endTask(Which, Run, Exit, "run time over");
           });
  watchLease(Which, Started.m_Run);
}

void FakeWorker::Impl::watchLease(const Key &Which, int64_t Run) {
  const auto Found = m_Tasks.find(Which);
  if (Found == m_Tasks.end() || Found->second.m_Run != Run)
    return;
  const auto Left = std::chrono::ceil<std::chrono::microseconds>(
      Found->second.m_LeaseEnd - std::chrono::steady_clock::now());
  if (Left.count() <= 0) {
    ++m_Counts.m_LeaseStops;
    return endTask(Which, Run, "stopped", "lease ran out on the worker");
  }
  runAfter(m_Io, Left, [Self = shared_from_this(), Which, Run] {
    Self->watchLease(Which, Run);
  });
}

void FakeWorker::Impl::checkpoint(const Key &Which,
                                  const FakeConnectionPtr &Link) {
  Link->respond(200, "{}");
  runAfter(m_Io, m_Options.m_CheckpointTime,
           [Self = shared_from_this(), Which] {
             if (Self->m_Tasks.contains(Which))
               Self->report(Which, "checkpointed", "");
           });
}

void FakeWorker::Impl::stop(const Key &Which, const FakeConnectionPtr &Link) {
  Link->respond(200, "{}");
  if (m_Options.m_IgnoreStop)
    return;
  const int64_t Run = m_Tasks.at(Which).m_Run;
  runAfter(m_Io, m_Options.m_StopTime, [Self = shared_from_this(), Which, Run] {
    Self->endTask(Which, Run, "stopped", "stopped on request");
  });
}

void FakeWorker::Impl::endTask(const Key &Which, int64_t Run,
                               std::string_view Kind, std::string_view Detail) {
  const auto Found = m_Tasks.find(Which);
  if (Found == m_Tasks.end() || Found->second.m_Run != Run)
    return;
  m_Tasks.erase(Found);
  m_Counts.m_Running = static_cast<int64_t>(m_Tasks.size());
  report(Which, Kind, Detail);
}

void FakeWorker::Impl::report(const Key &Which, std::string_view Kind,
                              std::string_view Detail) {
  json::object Event = keyObject(Which);
  Event["sequence"] = ++m_LastEvent;
  Event["kind"] = json::string(Kind);
  Event["detail"] = json::string(Detail);
  m_Events.push_back(std::move(Event));
  if (m_Events.size() > MaxEvents)
    m_Events.pop_front();
}

std::string FakeWorker::Impl::status(int64_t After) const {
  json::array Events;
  for (const json::object &Event : m_Events)
    if (Event.at("sequence").to_number<int64_t>() > After)
      Events.push_back(Event);
  json::array Running;
  const SteadyTime UsageAt =
      std::chrono::steady_clock::now() - m_Options.m_UsageLag;
  for (const auto &[Which, Each] : m_Tasks) {
    json::object Item = keyObject(Which);
    const int64_t Used = Each.m_Throttled ? Each.m_Cores / 2 : Each.m_Cores;
    Item["used_cores"] = Each.m_StartedAt <= UsageAt ? Used : 0;
    Running.push_back(std::move(Item));
  }
  json::object Out;
  Out["instance"] = m_Options.m_Instance;
  Out["events"] = std::move(Events);
  Out["running"] = std::move(Running);
  return json::serialize(Out);
}

std::string FakeWorker::Impl::describe() const {
  json::object Starts;
  for (const auto &[Which, Count] : m_Counts.m_Starts)
    Starts[Which] = Count;
  json::object Out;
  Out["start_calls"] = m_Counts.m_StartCalls;
  Out["lease_stops"] = m_Counts.m_LeaseStops;
  Out["overfill"] = m_Counts.m_Overfill;
  Out["running"] = m_Counts.m_Running;
  Out["starts"] = std::move(Starts);
  return json::serialize(Out);
}

FakeWorker::FakeWorker(std::shared_ptr<Impl> State)
    : m_Impl(std::move(State)) {}
FakeWorker::~FakeWorker() { m_Impl->m_Server.reset(); }

absl::StatusOr<std::unique_ptr<FakeWorker>>
FakeWorker::create(boost::asio::io_context &Io, FakeWorkerOptions Options) {
  const net::Endpoint Listen = Options.m_Listen;
  auto State = std::make_shared<Impl>(Io, std::move(Options));
  auto Server = FakeHttpServer::create(
      Io, Listen,
      [Weak = std::weak_ptr<Impl>(State)](const auto &Request,
                                          const auto &Link) {
        if (const std::shared_ptr<Impl> Self = Weak.lock())
          Self->handle(Request, Link);
      });
  if (!Server.ok())
    return Server.status();
  State->m_Server = std::move(*Server);
  return std::unique_ptr<FakeWorker>(new FakeWorker(std::move(State)));
}

net::Endpoint FakeWorker::endpoint() const {
  return m_Impl->m_Server->endpoint();
}
const FakeWorkerCounts &FakeWorker::counts() const { return m_Impl->m_Counts; }
FakeWorkerOptions &FakeWorker::behaviour() { return m_Impl->m_Options; }

} // namespace anvil::fakes
