#include "anvil/route/Router.h"

#include <algorithm>

#include "RouterImpl.h"

namespace anvil::route {

using internal::Phase;
using internal::Service;

namespace {

constexpr size_t MaxKeyLength = 255;

bool isVisible(char Character) { return Character > 0x20 && Character < 0x7f; }

bool validKey(const std::string &Key) {
  return Key.size() <= MaxKeyLength &&
         std::all_of(Key.begin(), Key.end(), isVisible);
}

const wire::ServiceClass *findClass(const wire::ServiceConfig &Config,
                                    const std::string &Name) {
  if (Name.empty() && Config.classes.size() == 1)
    return &Config.classes.front();
  const std::string Wanted = Name.empty() ? "default" : Name;
  for (const wire::ServiceClass &Class : Config.classes) {
    if (Class.name == Wanted)
      return &Class;
  }
  return nullptr;
}

int urgencyRank(wire::Urgency::type Urgency) {
  return std::clamp(static_cast<int>(Urgency) - 1, 0, 3);
}

constexpr std::array<RefusalText, RefusalReasonCount> RefusalTexts = {{
    {RefusalReason::UnknownService, 404, "unknown-service",
     "the service is not in the configuration", "service"},
    {RefusalReason::UnknownWorkspace, 400, "unknown-workspace",
     "name a configured workspace", "Anvil-Workspace"},
    {RefusalReason::UnknownClass, 400, "unknown-class",
     "name a class of the service", "Anvil-Class"},
    {RefusalReason::KeyRequired, 400, "key-required",
     "the class is not idempotent and needs a key", "Idempotency-Key"},
    {RefusalReason::KeyInvalid, 400, "key-invalid",
     "the key must be up to 255 visible characters", "Idempotency-Key"},
    {RefusalReason::KeyConflict, 409, "key-conflict",
     "the key belongs to a different request", "Idempotency-Key"},
    {RefusalReason::ShuttingDown, 503, "shutting-down",
     "this entry is shutting down", ""},
    {RefusalReason::ControlSilent, 503, "control-silent",
     "no fresh answer from control", ""},
    {RefusalReason::EntryFull, 503, "entry-full",
     "the entry holds as many requests as it may", ""},
    {RefusalReason::QueueFull, 503, "queue-full",
     "the queue of the class is full", ""},
    {RefusalReason::NoTarget, 503, "no-target",
     "the service has no usable target", ""},
    {RefusalReason::DeadlinePassed, 503, "deadline-passed",
     "the deadline passed in the queue", ""},
    {RefusalReason::TargetsBusy, 503, "targets-busy",
     "the agents refused the request", ""},
    {RefusalReason::NotSent, 503, "not-sent", "no agent could be reached", ""},
    {RefusalReason::ClaimsFull, 429, "claims-full",
     "the limit of claims is reached", ""},
    {RefusalReason::ClaimRefused, 503, "claim-refused",
     "control refused the claim", ""},
}};

} // namespace

const RefusalText &refusalText(RefusalReason Reason) {
  return RefusalTexts[static_cast<size_t>(Reason)];
}

Router::Router(RouterOptions Options)
    : m_Impl(std::make_unique<Impl>(std::move(Options))) {}
Router::~Router() = default;
Router::Router(Router &&) noexcept = default;
Router &Router::operator=(Router &&) noexcept = default;

std::vector<RouterAction> Router::step(RouterEvent Event, TimePoint Now) {
  m_Impl->m_Now = Now;
  std::visit(
      [this](auto &&Alternative) {
        m_Impl->on(std::forward<decltype(Alternative)>(Alternative));
      },
      std::move(Event));
  return std::exchange(m_Impl->m_Actions, {});
}

const RouterCounters &Router::counters() const { return m_Impl->m_Counters; }

bool Router::ready(TimePoint Now) const {
  m_Impl->m_Now = Now;
  return m_Impl->hasFreshRead() && m_Impl->m_Configured &&
         !m_Impl->m_ShuttingDown;
}

void Router::Impl::on(const RoutesChanged &Event) {
  m_Targets.replace(Event.m_Routes);
  dispatchAllQueued();
}

void Router::Impl::on(ConfigChanged Event) {
  m_Configured = true;
  m_Workspaces = {Event.m_Workspaces.begin(), Event.m_Workspaces.end()};
  for (auto &[Name, State] : m_Services)
    State.m_Configured = false;
  for (wire::ServiceConfig &Config : Event.m_Services) {
    Service &State = m_Services[Config.name];
    State.m_Configured = true;
    State.m_Config = std::move(Config);
  }
  // The queue of a removed service is kept until its requests have ended.
  std::erase_if(m_Services, [](const auto &Item) {
    return !Item.second.m_Configured && Item.second.m_Queue.empty();
  });
  dispatchAllQueued();
}

void Router::Impl::on(FreshRead Event) {
  if (!m_FreshReadAt || *m_FreshReadAt < Event.m_AskedAt)
    m_FreshReadAt = Event.m_AskedAt;
}

void Router::Impl::on(ShutdownStarted) { m_ShuttingDown = true; }

bool Router::Impl::hasFreshRead() const {
  return m_FreshReadAt && m_Now - *m_FreshReadAt <= m_Options.m_MaxReadAge;
}

void Router::Impl::on(RequestArrived Event) {
  ++m_Counters.m_Requests;
  wire::ServiceClass Class;
  std::optional<RefusalReason> Reason = admit(Event, Class);
  if (!Reason)
    Reason = checkRoom(Event, Class);
  if (Reason) {
    const bool Transient = refusalText(*Reason).m_Status == 503;
    const auto Wait = Duration(static_cast<int64_t>(m_RecentQueueTimeUs));
    const std::optional<Duration> RetryAfter =
        Transient ? std::optional(spreadRetryAfter(Wait)) : std::nullopt;
    return refuse(Event.m_Id, *Reason, "", RetryAfter);
  }
  m_Budget.recordRequest(m_Now);
  const std::string ServiceName = Event.m_Service;
  enqueue(addRequest(std::move(Event), std::move(Class)));
  dispatchQueued(ServiceName);
}

std::optional<RefusalReason>
Router::Impl::admit(const RequestArrived &Call,
                    wire::ServiceClass &Class) const {
  if (m_ShuttingDown)
    return RefusalReason::ShuttingDown;
  if (!hasFreshRead() || !m_Configured)
    return RefusalReason::ControlSilent;
  const auto Found = m_Services.find(Call.m_Service);
  if (Found == m_Services.end() || !Found->second.m_Configured)
    return RefusalReason::UnknownService;
  if (!m_Workspaces.contains(Call.m_Workspace))
    return RefusalReason::UnknownWorkspace;
  const wire::ServiceClass *Chosen =
      findClass(Found->second.m_Config, Call.m_Class);
  if (Chosen == nullptr)
    return RefusalReason::UnknownClass;
  Class = *Chosen;
  if (!Class.idempotent && Call.m_Key.empty())
    return RefusalReason::KeyRequired;
  if (!validKey(Call.m_Key))
    return RefusalReason::KeyInvalid;
  return std::nullopt;
}

std::optional<RefusalReason>
Router::Impl::checkRoom(const RequestArrived &Call,
                        const wire::ServiceClass &Class) const {
  if (m_Requests.size() >= m_Options.m_MaxRequests ||
      m_Counters.m_Bytes + Call.m_Body.size() > m_Options.m_MaxBytes)
    return RefusalReason::EntryFull;
  if (!m_Targets.anyUsable(Call.m_Service))
    return RefusalReason::NoTarget;
  const Service &State = m_Services.at(Call.m_Service);
  const auto Queued = State.m_QueuedByClass.find(Class.name);
  const size_t Limit = Class.queueLimit > 0
                           ? static_cast<size_t>(Class.queueLimit)
                           : m_Options.m_DefaultQueueLimit;
  if (Queued != State.m_QueuedByClass.end() && Queued->second >= Limit)
    return RefusalReason::QueueFull;
  return std::nullopt;
}

internal::Request &Router::Impl::addRequest(RequestArrived Call,
                                            wire::ServiceClass Class) {
  Duration Limit = Class.deadlineMs > 0
                       ? std::chrono::milliseconds(Class.deadlineMs)
                       : m_Options.m_DefaultDeadline;
  if (Call.m_Timeout)
    Limit = std::min(Limit, *Call.m_Timeout);
  Request &Request = m_Requests[Call.m_Id.value()];
  Request.m_ArrivedAt = m_Now;
  Request.m_Deadline = m_Now + Limit;
  Request.m_QueueKey =
      m_Now + urgencyRank(Class.urgency) * m_Options.m_AgingInterval;
  if (!Class.idempotent) {
    Request.m_ClaimId =
        Call.m_Workspace + "/" + Call.m_Service + "/" + Call.m_Key;
    Request.m_Digest = requestDigest(Call);
  }
  Request.m_Class = std::move(Class);
  Request.m_Call = std::move(Call);
  Request.m_WakeAt = Request.m_Deadline;
  m_WakeTimes.emplace(Request.m_WakeAt, Request.m_Call.m_Id.value());
  m_Counters.m_InProgress = m_Requests.size();
  m_Counters.m_Bytes += Request.m_Call.m_Body.size();
  return Request;
}

void Router::Impl::setPhase(Request &Request, Phase Next, TimePoint WakeAt) {
  Request.m_Phase = Next;
  m_WakeTimes.erase({Request.m_WakeAt, Request.m_Call.m_Id.value()});
  Request.m_WakeAt = WakeAt;
  m_WakeTimes.emplace(WakeAt, Request.m_Call.m_Id.value());
}

void Router::Impl::enqueue(Request &Request) {
  setPhase(Request, Phase::Queued, Request.m_Deadline);
  Service &State = m_Services[Request.m_Call.m_Service];
  State.m_Queue.emplace(
      std::pair(Request.m_QueueKey, Request.m_Call.m_Id.value()),
      Request.m_Call.m_Id);
  ++State.m_QueuedByClass[Request.m_Class.name];
  ++m_Counters.m_Queued;
}

void Router::Impl::dequeue(Request &Request) {
  Service &State = m_Services[Request.m_Call.m_Service];
  if (State.m_Queue.erase({Request.m_QueueKey, Request.m_Call.m_Id.value()}) ==
      0)
    return;
  const auto Count = State.m_QueuedByClass.find(Request.m_Class.name);
  if (--Count->second == 0)
    State.m_QueuedByClass.erase(Count);
  --m_Counters.m_Queued;
}

void Router::Impl::dispatchQueued(const std::string &ServiceName) {
  const auto Found = m_Services.find(ServiceName);
  if (Found == m_Services.end() || !hasFreshRead())
    return;
  Service &State = Found->second;
  while (!State.m_Queue.empty()) {
    Request &Request = m_Requests.at(State.m_Queue.begin()->second.value());
    const internal::TargetPtr Chosen =
        m_Targets.choose(ServiceName, Request.m_TriedVms, m_Now);
    if (!Chosen)
      return;
    dequeue(Request);
    start(Request, Chosen);
  }
}

void Router::Impl::dispatchAllQueued() {
  for (auto &[Name, State] : m_Services)
    dispatchQueued(Name);
}

void Router::Impl::on(Tick) {
  while (!m_WakeTimes.empty() && m_WakeTimes.begin()->first <= m_Now)
    onWakeTime(m_Requests.at(m_WakeTimes.begin()->second));
  while (!m_OrphanedClaims.empty() &&
         m_OrphanedClaims.begin()->first <= m_Now) {
    const int64_t Id = m_OrphanedClaims.begin()->second;
    m_OrphanedClaims.erase(m_OrphanedClaims.begin());
    const internal::ClaimCall &Call = m_ClaimCalls.at(Id);
    m_Actions.emplace_back(OpenClaimAction{ClaimCallId(Id), Call.m_Claim,
                                           m_Options.m_ClaimTimeout,
                                           Call.m_TraceId});
  }
  if (!hasFreshRead())
    refuseQueuedWithoutControl();
  dispatchAllQueued();
}

void Router::Impl::refuseQueuedWithoutControl() {
  for (auto &[Name, State] : m_Services) {
    while (!State.m_Queue.empty()) {
      Request &Request = m_Requests.at(State.m_Queue.begin()->second.value());
      giveUp(Request, RefusalReason::ControlSilent, "",
             spreadRetryAfter(Duration(0)));
    }
  }
}

void Router::Impl::onWakeTime(Request &Request) {
  const bool Expired = m_Now >= Request.m_Deadline;
  switch (Request.m_Phase) {
  case Phase::Queued:
    return giveUp(Request, RefusalReason::DeadlinePassed, "",
                  spreadRetryAfter(m_Now - Request.m_ArrivedAt));
  case Phase::ClaimWait:
    if (!Expired)
      return pollClaim(Request);
    if (Request.m_RepeatClaim)
      keepOrphanedClaim({Request.m_Call.m_Id, Request.m_LastClaim,
                         Request.m_Call.m_TraceId, true, TimePoint{}});
    [[fallthrough]];
  case Phase::Claiming:
    return giveUp(Request, RefusalReason::ControlSilent,
                  "the claim was not answered in time",
                  spreadRetryAfter(Duration(0)));
  case Phase::Running:
    return answerUnknown(Request,
                         "the agent did not answer before the deadline");
  }
}

} // namespace anvil::route
