#include <set>

#include "absl/strings/str_cat.h"
#include <boost/asio/io_context.hpp>
#include <glog/logging.h>

#include "EntryImpl.h"
#include "anvil/net/WireCodec.h"

namespace anvil::entry {

namespace {
// A read stays fresh for 2.5 s. If five replicas in turn don't respond, the
// sixth can still answer in time.
constexpr Duration SyncTimeout = std::chrono::milliseconds(400);
} // namespace

void Entry::Impl::scheduleSync(Duration Delay) {
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
          Self->onSyncReply(std::move(Answer), AskedAt);
      });
}

void Entry::Impl::onSyncReply(absl::StatusOr<std::string> Answer,
                              TimePoint AskedAt) {
  const Duration Elapsed = m_Hooks.m_Now() - AskedAt;
  scheduleSync(std::max(Duration(0), m_Options.m_SyncPeriod - Elapsed));
  absl::StatusOr<wire::EntrySyncReply> Reply = absl::UnknownError("no answer");
  if (Answer.ok())
    Reply = net::decodeAs<wire::EntrySyncReply>(*Answer);
  if (!Reply.ok()) {
    ++m_Metrics.m_SyncFailures;
    LOG_EVERY_N(WARNING, 20)
        << "entry: sync failed control=" << m_Control.currentReplica();
    return;
  }
  const bool IsOlder = Reply->routeVersion < m_RouteVersion ||
                       Reply->configVersion < m_ConfigVersion;
  if (!IsOlder)
    applySyncReply(*Reply);
  // A replica that lags behind or is partitioned off answers with old state.
  // The applied versions never decrease.
  if (IsOlder || !Reply->fresh) {
    ++m_Metrics.m_StaleSyncs;
    return m_Control.useNextReplica();
  }
  ++m_Metrics.m_Syncs;
  step(route::FreshRead{AskedAt});
}

void Entry::Impl::recordConfigChange(int64_t Version) {
  LOG(INFO) << "entry: applied configuration version=" << Version;
  m_Timeline.record(
      "entry.config-in-force", {},
      absl::StrCat("Configuration version ", Version, " is in force."));
}

void Entry::Impl::applySyncReply(wire::EntrySyncReply &Reply) {
  if (Reply.configChanged && Reply.configVersion != m_ConfigVersion)
    recordConfigChange(Reply.configVersion);
  m_RouteVersion = Reply.routeVersion;
  m_ConfigVersion = Reply.configVersion;
  if (Reply.configChanged)
    step(route::ConfigChanged{std::move(Reply.services),
                              std::move(Reply.workspaces)});
  if (!Reply.routesChanged)
    return;
  std::set<std::string> ListedAddresses;
  for (const wire::RouteTarget &Route : Reply.routes)
    ListedAddresses.insert(Route.agentAddress);
  step(route::RoutesChanged{std::move(Reply.routes)});
  m_Agents.closeUnlisted(ListedAddresses);
}

} // namespace anvil::entry
