#include <set>

#include "absl/strings/str_cat.h"
#include <boost/asio/io_context.hpp>
#include <glog/logging.h>

#include "EntryImpl.h"
#include "anvil/net/WireCodec.h"

namespace anvil::entry {

namespace {
// Five silent replicas in turn still leave the sixth to answer within the 2.5 s
// that a read stays fresh.
constexpr Duration SyncTimeout = std::chrono::milliseconds(400);
} // namespace

void Entry::Impl::syncLater(Duration Delay) {
  m_SyncTimer.expires_after(Delay);
  m_SyncTimer.async_wait(
      [Weak = weak_from_this()](const boost::system::error_code &Error) {
        const std::shared_ptr<Impl> Self = Weak.lock();
        if (!Error && Self && !Self->m_Stopped)
          Self->sync();
      });
}

void Entry::Impl::sync() {
  wire::EntrySyncRequest Request;
  Request.entry = m_Instance;
  Request.routeVersion = m_RouteVersion;
  Request.configVersion = m_ConfigVersion;
  const TimePoint AskedAt = m_Hooks.m_Now();
  m_Control.callOnce(
      wire::Method::ENTRY_SYNC, net::encodeStruct(Request), SyncTimeout,
      [Weak = weak_from_this(), AskedAt](absl::StatusOr<std::string> Answer) {
        const std::shared_ptr<Impl> Self = Weak.lock();
        if (Self && !Self->m_Stopped)
          Self->onSync(std::move(Answer), AskedAt);
      });
}

void Entry::Impl::onSync(absl::StatusOr<std::string> Answer,
                         TimePoint AskedAt) {
  const Duration Used = m_Hooks.m_Now() - AskedAt;
  syncLater(std::max(Duration(0), m_Options.m_SyncPeriod - Used));
  absl::StatusOr<wire::EntrySyncReply> Reply = absl::UnknownError("no answer");
  if (Answer.ok())
    Reply = net::decodeAs<wire::EntrySyncReply>(*Answer);
  if (!Reply.ok()) {
    ++m_Metrics.m_SyncFailures;
    LOG_EVERY_N(WARNING, 20)
        << "entry: sync failed control=" << m_Control.current();
    return;
  }
  const bool Older = Reply->routeVersion < m_RouteVersion ||
                     Reply->configVersion < m_ConfigVersion;
  if (!Older)
    takeRoutes(*Reply);
  // A replica that is behind or cut off answers with old state; what is in
  // force never goes back.
  if (Older || !Reply->fresh) {
    ++m_Metrics.m_StaleSyncs;
    return m_Control.useNext();
  }
  ++m_Metrics.m_Syncs;
  step(route::FreshRead{AskedAt});
}

void Entry::Impl::noteConfig(int64_t Version) {
  LOG(INFO) << "entry: configuration in force version=" << Version;
  m_Timeline.record(
      "entry.config-in-force", {},
      absl::StrCat("Configuration version ", Version, " is in force."));
}

void Entry::Impl::takeRoutes(wire::EntrySyncReply &Reply) {
  if (Reply.configChanged && Reply.configVersion != m_ConfigVersion)
    noteConfig(Reply.configVersion);
  m_RouteVersion = Reply.routeVersion;
  m_ConfigVersion = Reply.configVersion;
  if (Reply.configChanged)
    step(route::ConfigChanged{std::move(Reply.services),
                              std::move(Reply.workspaces)});
  if (!Reply.routesChanged)
    return;
  std::set<std::string> Listed;
  for (const wire::RouteTarget &Each : Reply.routes)
    Listed.insert(Each.agentAddress);
  step(route::RoutesChanged{std::move(Reply.routes)});
  m_Agents.keepOnly(Listed);
}

} // namespace anvil::entry
