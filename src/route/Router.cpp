#include "anvil/route/Router.h"

#include <algorithm>

#include "RouterImpl.h"

namespace anvil::route {

using internal::Phase;
using internal::Service;

namespace {

constexpr size_t MaxKeyLength = 255;

bool isVisible(char C) { return C > 0x20 && C < 0x7f; }

bool validKey(const std::string &Key) {
  return Key.size() <= MaxKeyLength &&
         std::all_of(Key.begin(), Key.end(), isVisible);
}

const wire::ServiceClass *findClass(const wire::ServiceConfig &Config,
                                    const std::string &Name) {
  if (Name.empty() && Config.classes.size() == 1)
    return &Config.classes.front();
  const std::string Wanted = Name.empty() ? "default" : Name;
  for (const wire::ServiceClass &Each : Config.classes) {
    if (Each.name == Wanted)
      return &Each;
  }
  return nullptr;
}

int urgencyRank(wire::Urgency::type Urgency) {
  return std::clamp(static_cast<int>(Urgency) - 1, 0, 3);
}

constexpr std::array<RefusalText, RefusalReasonCount> Texts = {{
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
  return Texts[static_cast<size_t>(Reason)];
}

Router::Router(RouterOptions Options)
    : m_Impl(std::make_unique<Impl>(std::move(Options))) {}
Router::~Router() = default;
Router::Router(Router &&) noexcept = default;
Router &Router::operator=(Router &&) noexcept = default;

std::vector<RouterAction> Router::step(RouterEvent Event, TimePoint Now) {
  m_Impl->m_Now = Now;
  std::visit(
      [this](auto &&Each) { m_Impl->on(std::forward<decltype(Each)>(Each)); },
      std::move(Event));
  return std::exchange(m_Impl->m_Actions, {});
}

const RouterCounters &Router::counters() const { return m_Impl->m_Counters; }

bool Router::ready(TimePoint Now) const {
  m_Impl->m_Now = Now;
  return m_Impl->fresh() && m_Impl->m_Configured && !m_Impl->m_Closing;
}

void Router::Impl::on(const RoutesChanged &Event) {
  m_Targets.replace(Event.m_Routes);
  pumpAll();
}

void Router::Impl::on(ConfigChanged Event) {
  m_Configured = true;
  m_Workspaces = {Event.m_Workspaces.begin(), Event.m_Workspaces.end()};
  for (auto &[Name, Each] : m_Services)
    Each.m_Configured = false;
  for (wire::ServiceConfig &Config : Event.m_Services) {
    Service &Each = m_Services[Config.name];
    Each.m_Configured = true;
    Each.m_Config = std::move(Config);
  }
  // Requests of a service that was removed keep their queue until they end.
  std::erase_if(m_Services, [](const auto &Each) {
    return !Each.second.m_Configured && Each.second.m_Queue.empty();
  });
  pumpAll();
}

void Router::Impl::on(FreshRead Event) {
  if (!m_FreshAt || *m_FreshAt < Event.m_AskedAt)
    m_FreshAt = Event.m_AskedAt;
}

void Router::Impl::on(ShutdownStarted) { m_Closing = true; }

bool Router::Impl::fresh() const {
  return m_FreshAt && m_Now - *m_FreshAt <= m_Options.m_FreshLimit;
}

void Router::Impl::on(RequestArrived Event) {
  ++m_Counters.m_Requests;
  wire::ServiceClass Class;
  std::optional<RefusalReason> Reason = admit(Event, Class);
  if (!Reason)
    Reason = checkRoom(Event, Class);
  if (Reason) {
    const bool Transient = refusalText(*Reason).m_Status == 503;
    const auto Wait = Duration(static_cast<int64_t>(m_RecentWaitUs));
    const std::optional<Duration> RetryAfter =
        Transient ? std::optional(spreadRetryAfter(Wait)) : std::nullopt;
    return refuse(Event.m_Id, *Reason, "", RetryAfter);
  }
  m_Budget.noteRequest(m_Now);
  const std::string ServiceName = Event.m_Service;
  enqueue(insert(std::move(Event), std::move(Class)));
  pump(ServiceName);
}

std::optional<RefusalReason>
Router::Impl::admit(const RequestArrived &Call,
                    wire::ServiceClass &Class) const {
  if (m_Closing)
    return RefusalReason::ShuttingDown;
  if (!fresh() || !m_Configured)
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
  const Service &Its = m_Services.at(Call.m_Service);
  const auto Queued = Its.m_QueuedByClass.find(Class.name);
  const size_t Limit = Class.queueLimit > 0
                           ? static_cast<size_t>(Class.queueLimit)
                           : m_Options.m_DefaultQueueLimit;
  if (Queued != Its.m_QueuedByClass.end() && Queued->second >= Limit)
    return RefusalReason::QueueFull;
  return std::nullopt;
}

internal::Request &Router::Impl::insert(RequestArrived Call,
                                        wire::ServiceClass Class) {
  Duration Limit = Class.deadlineMs > 0
                       ? std::chrono::milliseconds(Class.deadlineMs)
                       : m_Options.m_DefaultDeadline;
  if (Call.m_Timeout)
    Limit = std::min(Limit, *Call.m_Timeout);
  Request &Each = m_Requests[Call.m_Id.value()];
  Each.m_ArrivedAt = m_Now;
  Each.m_Deadline = m_Now + Limit;
  Each.m_QueueKey = m_Now + urgencyRank(Class.urgency) * m_Options.m_AgeStep;
  if (!Class.idempotent) {
    Each.m_ClaimId = Call.m_Workspace + "/" + Call.m_Service + "/" + Call.m_Key;
    Each.m_Digest = requestDigest(Call);
  }
  Each.m_Class = std::move(Class);
  Each.m_Call = std::move(Call);
  Each.m_WakeAt = Each.m_Deadline;
  m_Wakes.emplace(Each.m_WakeAt, Each.m_Call.m_Id.value());
  m_Counters.m_InProgress = m_Requests.size();
  m_Counters.m_Bytes += Each.m_Call.m_Body.size();
  return Each;
}

void Router::Impl::setPhase(Request &Each, Phase Next, TimePoint WakeAt) {
  Each.m_Phase = Next;
  m_Wakes.erase({Each.m_WakeAt, Each.m_Call.m_Id.value()});
  Each.m_WakeAt = WakeAt;
  m_Wakes.emplace(WakeAt, Each.m_Call.m_Id.value());
}

void Router::Impl::enqueue(Request &Each) {
  setPhase(Each, Phase::Queued, Each.m_Deadline);
  Service &Its = m_Services[Each.m_Call.m_Service];
  Its.m_Queue.emplace(std::pair(Each.m_QueueKey, Each.m_Call.m_Id.value()),
                      Each.m_Call.m_Id);
  ++Its.m_QueuedByClass[Each.m_Class.name];
  ++m_Counters.m_Queued;
}

void Router::Impl::dequeue(Request &Each) {
  Service &Its = m_Services[Each.m_Call.m_Service];
  if (Its.m_Queue.erase({Each.m_QueueKey, Each.m_Call.m_Id.value()}) == 0)
    return;
  const auto Count = Its.m_QueuedByClass.find(Each.m_Class.name);
  if (--Count->second == 0)
    Its.m_QueuedByClass.erase(Count);
  --m_Counters.m_Queued;
}

void Router::Impl::pump(const std::string &ServiceName) {
  const auto Found = m_Services.find(ServiceName);
  if (Found == m_Services.end() || !fresh())
    return;
  Service &Its = Found->second;
  while (!Its.m_Queue.empty()) {
    Request &Each = m_Requests.at(Its.m_Queue.begin()->second.value());
    const internal::TargetPtr Chosen =
        m_Targets.choose(ServiceName, Each.m_Tried, m_Now);
    if (!Chosen)
      return;
    dequeue(Each);
    start(Each, Chosen);
  }
}

void Router::Impl::pumpAll() {
  for (auto &[Name, Each] : m_Services)
    pump(Name);
}

void Router::Impl::on(Tick) {
  while (!m_Wakes.empty() && m_Wakes.begin()->first <= m_Now)
    wake(m_Requests.at(m_Wakes.begin()->second));
  while (!m_Orphans.empty() && m_Orphans.begin()->first <= m_Now) {
    const int64_t Id = m_Orphans.begin()->second;
    m_Orphans.erase(m_Orphans.begin());
    const internal::ClaimCall &Call = m_ClaimCalls.at(Id);
    m_Actions.emplace_back(OpenClaimAction{ClaimCallId(Id), Call.m_Claim,
                                           m_Options.m_ClaimTimeout,
                                           Call.m_TraceId});
  }
  if (!fresh())
    refuseQueuedWithoutControl();
  pumpAll();
}

void Router::Impl::refuseQueuedWithoutControl() {
  for (auto &[Name, Its] : m_Services) {
    while (!Its.m_Queue.empty()) {
      Request &Each = m_Requests.at(Its.m_Queue.begin()->second.value());
      giveUp(Each, RefusalReason::ControlSilent, "",
             spreadRetryAfter(Duration(0)));
    }
  }
}

void Router::Impl::wake(Request &Each) {
  const bool Expired = m_Now >= Each.m_Deadline;
  switch (Each.m_Phase) {
  case Phase::Queued:
    return giveUp(Each, RefusalReason::DeadlinePassed, "",
                  spreadRetryAfter(m_Now - Each.m_ArrivedAt));
  case Phase::ClaimWait:
    if (!Expired)
      return pollClaim(Each);
    if (Each.m_RepeatClaim)
      keepOrphan({Each.m_Call.m_Id, Each.m_LastClaim, Each.m_Call.m_TraceId,
                  true, TimePoint{}});
    [[fallthrough]];
  case Phase::Claiming:
    return giveUp(Each, RefusalReason::ControlSilent,
                  "the claim was not answered in time",
                  spreadRetryAfter(Duration(0)));
  case Phase::Running:
    return answerUnknown(Each, "the agent did not answer before the deadline");
  }
}

} // namespace anvil::route
