#include "anvil/entry/Entry.h"

#include "absl/strings/str_cat.h"
#include <boost/asio/io_context.hpp>
#include <glog/logging.h>

#include "EntryImpl.h"
#include "anvil/timeline/FrameStamps.h"

namespace anvil::entry {

namespace {

// The router checks deadlines and poll times at each tick, so they can be late
// by up to one period.
constexpr Duration TickPeriod = std::chrono::milliseconds(10);
// Bounds the time that a shutdown waits until control has closed the claims of
// requests that did not run.
constexpr Duration ShutdownCloseClaimLimit = std::chrono::seconds(2);
// Takes about 1.5 MB and covers the last 20 s at 100 requests per second.
constexpr size_t TimelineCapacity = 4096;
constexpr Duration CloseClaimPollPeriod = std::chrono::milliseconds(20);

net::RpcOptions rpcOptions(const EntryHooks &Hooks,
                           timeline::Recorder &Timeline) {
  net::RpcOptions Options;
  Options.m_Random = Hooks.m_Random;
  timeline::stampFrames(Options, Timeline, Hooks.m_WallMicros);
  return Options;
}

std::string makeInstanceName(const std::string &Name, const EntryHooks &Hooks) {
  const auto Suffix = static_cast<uint32_t>(Hooks.m_Random() * 4294967296.0);
  return absl::StrCat(Name, "-", absl::Hex(Suffix, absl::kZeroPad8));
}

route::RouterOptions routerOptions(const EntryOptions &Options,
                                   const EntryHooks &Hooks,
                                   const std::string &Instance) {
  route::RouterOptions Result;
  Result.m_Entry = Instance;
  Result.m_Zone = AvailabilityZoneId(Options.m_AvailabilityZone);
  Result.m_MaxRequests = static_cast<size_t>(Options.m_MaxRequests);
  Result.m_MaxBytes = static_cast<size_t>(Options.m_MaxBufferedMib) << 20;
  Result.m_Random = Hooks.m_Random;
  return Result;
}

net::HttpServerOptions httpOptions(const EntryOptions &Options) {
  net::HttpServerOptions Result;
  Result.m_ReceiveLimit = Options.m_ReceiveLimit;
  Result.m_IdleLimit = Options.m_IdleLimit;
  Result.m_MaxConnections = static_cast<size_t>(Options.m_MaxConnections);
  Result.m_MaxRequests = static_cast<size_t>(Options.m_MaxRequests);
  Result.m_MaxBufferedBytes = static_cast<size_t>(Options.m_MaxBufferedMib)
                              << 20;
  Result.m_RefusalFields = {{"Anvil-Outcome", "not-run"}};
  return Result;
}

} // namespace

Entry::Impl::Impl(boost::asio::io_context &Io, EntryOptions Options,
                  EntryHooks Hooks)
    : m_Io(Io), m_Options(std::move(Options)), m_Hooks(std::move(Hooks)),
      m_Instance(makeInstanceName(m_Options.m_Name, m_Hooks)),
      m_Router(routerOptions(m_Options, m_Hooks, m_Instance)),
      m_Timeline(m_Options.m_Name, TimelineCapacity, m_Hooks.m_WallMicros),
      m_Control(Io, m_Options.m_Controls, rpcOptions(m_Hooks, m_Timeline),
                m_Hooks.m_Now),
      m_Agents(Io, rpcOptions(m_Hooks, m_Timeline)), m_TickTimer(Io),
      m_SyncTimer(Io), m_DrainTimer(Io), m_NoticeTimer(Io) {}

absl::Status Entry::Impl::start() {
  const auto Handle = [Weak = weak_from_this()](net::HttpRequest Request,
                                                net::HttpResponder Respond) {
    if (const std::shared_ptr<Impl> Self = Weak.lock())
      Self->handle(std::move(Request), std::move(Respond));
  };
  auto Created = net::HttpServer::create(m_Io, m_Options.m_Listen,
                                         httpOptions(m_Options), Handle);
  if (!Created.ok())
    return Created.status();
  m_Http = std::move(*Created);
  LOG(INFO) << "entry: started instance=" << m_Instance
            << " listen=" << m_Http->endpoint().str()
            << " zone=" << m_Options.m_AvailabilityZone
            << " control=" << m_Control.currentReplica();
  scheduleSync(Duration(0));
  tick();
  return absl::OkStatus();
}

void Entry::Impl::tick() {
  if (m_Stopped)
    return;
  step(route::Tick{});
  m_TickTimer.expires_after(TickPeriod);
  m_TickTimer.async_wait(
      [Weak = weak_from_this()](const boost::system::error_code &Error) {
        const std::shared_ptr<Impl> Self = Weak.lock();
        if (!Error && Self)
          Self->tick();
      });
}

void Entry::Impl::shutdown(std::function<void(EntryReport)> Stopped) {
  if (m_Draining)
    return;
  m_Draining = true;
  m_OnStopped = std::move(Stopped);
  m_Timeline.record("entry.shutdown-started", {},
                    "The entry reports not ready.");
  LOG(INFO) << "entry: shutdown started in_progress=" << m_Pending.size();
  m_NoticeTimer.expires_after(m_Options.m_DrainNotice);
  m_NoticeTimer.async_wait(
      [Weak = weak_from_this()](const boost::system::error_code &Error) {
        const std::shared_ptr<Impl> Self = Weak.lock();
        if (!Error && Self)
          Self->closeListener();
      });
  if (m_Options.m_DrainLimit == Duration(0))
    return;
  m_DrainTimer.expires_after(m_Options.m_DrainLimit);
  m_DrainTimer.async_wait(
      [Weak = weak_from_this()](const boost::system::error_code &Error) {
        const std::shared_ptr<Impl> Self = Weak.lock();
        if (!Error && Self)
          Self->cutOff();
      });
}

// Requests whose first bytes have arrived are still routed. Others can't arrive
// once the listener is closed.
void Entry::Impl::closeListener() {
  m_Http->shutdown([Weak = weak_from_this()] {
    if (const std::shared_ptr<Impl> Self = Weak.lock())
      Self->stopWhenClaimsAreClosed(Self->m_Hooks.m_Now() +
                                    ShutdownCloseClaimLimit);
  });
}

void Entry::Impl::stopWhenClaimsAreClosed(TimePoint Deadline) {
  if (m_Stopped || m_CuttingOff)
    return;
  if (m_OpenClaimCloses == 0 || m_Hooks.m_Now() >= Deadline)
    return stop();
  m_NoticeTimer.expires_after(CloseClaimPollPeriod);
  m_NoticeTimer.async_wait([Weak = weak_from_this(),
                            Deadline](const boost::system::error_code &Error) {
    const std::shared_ptr<Impl> Self = Weak.lock();
    if (!Error && Self)
      Self->stopWhenClaimsAreClosed(Deadline);
  });
}

void Entry::Impl::cutOff() {
  if (m_Stopped)
    return;
  // The callback of closeListener() can run within HttpServer::cutOff(). It
  // must not stop the entry before the report is complete.
  m_CuttingOff = true;
  step(route::ShutdownStarted{});
  for (const auto &[Id, Request] : m_Pending) {
    m_Report.m_CutOff.push_back(
        absl::StrCat(Request.m_MethodAndPath, " request=", Request.m_Id));
    LOG(WARNING) << "entry: cut off request=" << Request.m_Id
                 << " what=" << Request.m_MethodAndPath;
  }
  m_Report.m_CutOffConnections = m_Http->cutOff();
  stop();
}

void Entry::Impl::stop() {
  if (m_Stopped)
    return;
  m_Stopped = true;
  m_TickTimer.cancel();
  m_SyncTimer.cancel();
  m_DrainTimer.cancel();
  m_NoticeTimer.cancel();
  LOG(INFO) << "entry: stopped cut_off=" << m_Report.m_CutOff.size();
  if (m_OnStopped)
    std::exchange(m_OnStopped, nullptr)(std::move(m_Report));
}

absl::StatusOr<std::unique_ptr<Entry>>
Entry::create(boost::asio::io_context &Io, EntryOptions Options,
              EntryHooks Hooks) {
  auto State = std::make_shared<Impl>(Io, std::move(Options), std::move(Hooks));
  const absl::Status Started = State->start();
  if (!Started.ok())
    return Started;
  return std::unique_ptr<Entry>(new Entry(std::move(State)));
}

Entry::Entry(std::shared_ptr<Impl> State) : m_Impl(std::move(State)) {}

Entry::~Entry() {
  m_Impl->m_OnStopped = nullptr;
  m_Impl->stop();
}

net::Endpoint Entry::endpoint() const { return m_Impl->m_Http->endpoint(); }

void Entry::shutdown(std::function<void(EntryReport)> Stopped) {
  m_Impl->shutdown(std::move(Stopped));
}

void Entry::cutOff() { m_Impl->cutOff(); }

} // namespace anvil::entry
