#include "fakes/FakeMinion.h"

#include <algorithm>
#include <cmath>

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

namespace anvil::fakes {

namespace json = boost::json;

namespace {

std::string fieldOf(const net::HttpRequest &Request, std::string_view Name) {
  return std::string(Request.field(Name).value_or(""));
}

json::object countsOf(const std::map<std::string, int64_t> &Runs, bool Full) {
  json::object Out;
  for (const auto &[Id, Count] : Runs)
    if (Full || Count > 1)
      Out[Id] = Count;
  return Out;
}

std::string describe(const FakeMinionCounts &Counts, bool Full) {
  json::object Out;
  Out["started"] = Counts.m_Started;
  Out["finished"] = Counts.m_Finished;
  Out["overfill"] = Counts.m_Overfill;
  Out["busy"] = Counts.m_Busy;
  Out["most_busy"] = Counts.m_MostBusy;
  Out["requests"] = countsOf(Counts.m_Requests, Full);
  Out["keys"] = countsOf(Counts.m_Keys, Full);
  return json::serialize(Out);
}

/// Applies one member of a POST /faults body; returns false for an unknown
/// name.
bool applyFault(FakeMinionOptions &Options, std::string_view Name,
                const json::value &Value) {
  struct Rate {
    std::string_view m_Name;
    double FakeMinionOptions::*m_Field;
  };
  constexpr Rate Rates[] = {
      {"fail-rate", &FakeMinionOptions::m_FailRate},
      {"hang-rate", &FakeMinionOptions::m_HangRate},
      {"truncate-rate", &FakeMinionOptions::m_TruncateRate},
      {"close-rate", &FakeMinionOptions::m_CloseRate},
      {"late-rate", &FakeMinionOptions::m_LateRate}};
  for (const Rate &Each : Rates) {
    if (Each.m_Name != Name)
      continue;
    Options.*Each.m_Field = Value.to_number<double>();
    return true;
  }
  if (Name == "service-ms")
    Options.m_ServiceMean =
        std::chrono::milliseconds(Value.to_number<int64_t>());
  else if (Name == "late-ms")
    Options.m_LateTime = std::chrono::milliseconds(Value.to_number<int64_t>());
  else
    return false;
  return true;
}

} // namespace

struct FakeMinion::Impl : std::enable_shared_from_this<FakeMinion::Impl> {
  Impl(boost::asio::io_context &Io, FakeMinionOptions Options)
      : m_Io(Io), m_Options(std::move(Options)) {}

  void handle(const net::HttpRequest &Request, const FakeConnectionPtr &Link);
  void changeFaults(const net::HttpRequest &Request,
                    const FakeConnectionPtr &Link);
  void run(const net::HttpRequest &Request, const FakeConnectionPtr &Link);
  void finish(const std::string &Body, const FakeConnectionPtr &Link);
  void release() {
    --m_Counts.m_Busy;
    ++m_Counts.m_Finished;
  }
  bool chance(double Rate) { return Rate > 0 && m_Options.m_Random() < Rate; }
  Duration serviceTime();
  std::string bodyOf(const net::HttpRequest &Request) const;

  boost::asio::io_context &m_Io;
  FakeMinionOptions m_Options;
  FakeMinionCounts m_Counts;
  std::unique_ptr<FakeHttpServer> m_Server;
};

Duration FakeMinion::Impl::serviceTime() {
  double Micros = static_cast<double>(m_Options.m_ServiceMean.count());
  if (m_Options.m_Distribution == ServiceTime::Exponential)
    Micros *= -std::log(1.0 - m_Options.m_Random());
  const Duration Base(static_cast<int64_t>(Micros));
  return chance(m_Options.m_LateRate) ? Base + m_Options.m_LateTime : Base;
}

std::string FakeMinion::Impl::bodyOf(const net::HttpRequest &Request) const {
  json::object Out;
  Out["request"] = fieldOf(Request, "X-Request-Id");
  Out["key"] = fieldOf(Request, "Idempotency-Key");
  Out["minion"] = m_Options.m_Name;
  Out["path"] = Request.m_Path;
  Out["received"] = static_cast<int64_t>(Request.m_Body.size());
  if (m_Options.m_ResponseBytes > 0)
    Out["padding"] =
        std::string(static_cast<size_t>(m_Options.m_ResponseBytes), 'x');
  return json::serialize(Out);
}

void FakeMinion::Impl::handle(const net::HttpRequest &Request,
                              const FakeConnectionPtr &Link) {
  if (Request.m_Path == "/counts")
    return Link->respond(200, describe(m_Counts, Request.m_Query == "full"));
  if (Request.m_Path == "/faults" && Request.m_Method == "POST")
    return changeFaults(Request, Link);
  if (m_Counts.m_Busy >= m_Options.m_Slots) {
    ++m_Counts.m_Overfill;
    return Link->respond(503, R"({"error":"no free slot"})");
  }
  run(Request, Link);
}

void FakeMinion::Impl::changeFaults(const net::HttpRequest &Request,
                                    const FakeConnectionPtr &Link) {
  FakeMinionOptions Changed = m_Options;
  try {
    const json::object Wanted = json::parse(Request.m_Body).as_object();
    for (const auto &Member : Wanted)
      if (!applyFault(Changed, {Member.key().data(), Member.key().size()},
                      Member.value()))
        return Link->respond(400, R"({"error":"unknown name"})");
  } catch (const std::exception &) {
    return Link->respond(400, R"({"error":"not an object of numbers"})");
  }
  m_Options = std::move(Changed);
  Link->respond(200, "{}");
}

void FakeMinion::Impl::run(const net::HttpRequest &Request,
                           const FakeConnectionPtr &Link) {
  ++m_Counts.m_Started;
  ++m_Counts.m_Busy;
  m_Counts.m_MostBusy = std::max(m_Counts.m_MostBusy, m_Counts.m_Busy);
  ++m_Counts.m_Requests[fieldOf(Request, "X-Request-Id")];
  if (const std::string Key = fieldOf(Request, "Idempotency-Key"); !Key.empty())
    ++m_Counts.m_Keys[Key];
  if (chance(m_Options.m_HangRate))
    return Link->onPeerClosed([Self = shared_from_this()] { Self->release(); });
  runAfter(m_Io, serviceTime(),
           [Self = shared_from_this(), Link, Body = bodyOf(Request)] {
             Self->finish(Body, Link);
           });
}

void FakeMinion::Impl::finish(const std::string &Body,
                              const FakeConnectionPtr &Link) {
  // The slot is free before the response leaves, so that the next request never
  // meets a busy slot.
  release();
  if (chance(m_Options.m_CloseRate))
    return Link->close();
  if (chance(m_Options.m_TruncateRate))
    return Link->truncate(200, Body);
  if (chance(m_Options.m_FailRate))
    return Link->respond(500, R"({"error":"simulated failure"})");
  Link->respond(200, Body);
}

FakeMinion::FakeMinion(std::shared_ptr<Impl> State)
    : m_Impl(std::move(State)) {}
FakeMinion::~FakeMinion() { m_Impl->m_Server.reset(); }

absl::StatusOr<std::unique_ptr<FakeMinion>>
FakeMinion::create(boost::asio::io_context &Io, FakeMinionOptions Options) {
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
  return std::unique_ptr<FakeMinion>(new FakeMinion(std::move(State)));
}

net::Endpoint FakeMinion::endpoint() const {
  return m_Impl->m_Server->endpoint();
}
const FakeMinionCounts &FakeMinion::counts() const { return m_Impl->m_Counts; }
FakeMinionOptions &FakeMinion::behaviour() { return m_Impl->m_Options; }
FakeHttpServer &FakeMinion::server() { return *m_Impl->m_Server; }

} // namespace anvil::fakes
