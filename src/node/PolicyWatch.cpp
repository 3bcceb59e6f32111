#include "PolicyWatch.h"

#include <algorithm>

#include <boost/asio/io_context.hpp>

#include "anvil/base/Port.h"
#include "anvil/net/WireCodec.h"

namespace anvil::node::internal {

struct PolicyWatch::Impl : std::enable_shared_from_this<PolicyWatch::Impl> {
  Impl(boost::asio::io_context &Io, PolicyWatchOptions Options,
       std::shared_ptr<LeaderClient> Client, log::EventLog &Log)
      : m_Options(std::move(Options)), m_LeaderClient(std::move(Client)),
        m_Log(Log), m_Timer(Io) {}

  void request();
  void onAnswer(const LeaderCallResult &Answer);
  void applyReply(wire::EntryWatchReply Reply);
  void requestAfter(Duration Pause);
  bool fresh() const {
    return m_ConfirmedAt != TimePoint() &&
           m_Options.m_Now() - m_ConfirmedAt < m_Options.m_MaxAge;
  }

  PolicyWatchOptions m_Options;
  std::shared_ptr<LeaderClient> m_LeaderClient;
  log::EventLog &m_Log;
  boost::asio::steady_timer m_Timer;
  wire::PolicyDocument m_Policy;
  std::map<std::string, int64_t> m_Pending;
  int64_t m_Sequence = 0;
  std::map<int64_t, TimePoint> m_SentAt;
  TimePoint m_ConfirmedAt;
  bool m_WasFresh = false;
};

void PolicyWatch::Impl::request() {
  const bool Fresh = fresh();
  if (Fresh != m_WasFresh)
    m_Log.write(Fresh ? "leader-regained" : "leader-lost",
                {{"policy", m_Policy.version}});
  m_WasFresh = Fresh;
  wire::EntryWatchRequest Request;
  Request.entry = m_Options.m_Entry;
  Request.sequence = ++m_Sequence;
  Request.policyVersion = m_Policy.version;
  m_SentAt[m_Sequence] = m_Options.m_Now();
  std::weak_ptr<Impl> Weak = weak_from_this();
  m_LeaderClient->callOnce(
      wire::Method::ENTRY_WATCH, net::encodeStruct(Request),
      m_Options.m_Timeout,
      [](std::string_view Body) -> absl::StatusOr<LeaderClient::ReplyHeader> {
        absl::StatusOr<wire::EntryWatchReply> Reply =
            net::decodeAs<wire::EntryWatchReply>(Body);
        if (!Reply.ok())
          return Reply.status();
        return LeaderClient::ReplyHeader{Reply->isLeader,
                                         std::move(Reply->group)};
      },
      [Weak](const LeaderCallResult &Answer) {
        if (auto Self = Weak.lock())
          Self->onAnswer(Answer);
      });
}

void PolicyWatch::Impl::onAnswer(const LeaderCallResult &Answer) {
  absl::StatusOr<wire::EntryWatchReply> Reply =
      Answer.m_Status.ok() ? net::decodeAs<wire::EntryWatchReply>(Answer.m_Body)
                           : Answer.m_Status;
  if (!Reply.ok() || !Reply->isLeader) {
    requestAfter(m_Options.m_RetryDelay);
    return;
  }
  applyReply(*std::move(Reply));
  requestAfter(Duration(0));
}

void PolicyWatch::Impl::applyReply(wire::EntryWatchReply Reply) {
  const auto Sent = m_SentAt.find(Reply.confirmedSequence);
  if (Sent != m_SentAt.end()) {
    m_ConfirmedAt = std::max(m_ConfirmedAt, Sent->second);
    m_SentAt.erase(m_SentAt.begin(), Sent);
  }
  m_Pending.clear();
  for (const wire::QueuePending &Each : Reply.pending)
    m_Pending[Each.queue] = Each.pending;
  if (!Reply.policyChanged || Reply.policy.version <= m_Policy.version)
    return;
  m_Policy = std::move(Reply.policy);
  m_Log.write("policy-taken", {{"version", m_Policy.version}});
}

void PolicyWatch::Impl::requestAfter(Duration Pause) {
  m_Timer.expires_after(Pause);
  std::weak_ptr<Impl> Weak = weak_from_this();
  m_Timer.async_wait([Weak](boost::system::error_code Error) {
    auto Self = Weak.lock();
    if (!Error && Self)
      Self->request();
  });
}

PolicyWatch::PolicyWatch(boost::asio::io_context &Io,
                         PolicyWatchOptions Options,
                         std::shared_ptr<LeaderClient> Client,
                         log::EventLog &Log)
    : m_Impl(std::make_shared<Impl>(Io, std::move(Options), std::move(Client),
                                    Log)) {}
PolicyWatch::~PolicyWatch() = default;

void PolicyWatch::start() { m_Impl->request(); }

bool PolicyWatch::fresh() const { return m_Impl->fresh(); }

TimePoint PolicyWatch::confirmedAt() const { return m_Impl->m_ConfirmedAt; }

const wire::PolicyDocument &PolicyWatch::policy() const {
  return m_Impl->m_Policy;
}

int64_t PolicyWatch::pendingOf(const std::string &Queue) const {
  const auto It = m_Impl->m_Pending.find(Queue);
  return It == m_Impl->m_Pending.end() ? 0 : It->second;
}

} // namespace anvil::node::internal
