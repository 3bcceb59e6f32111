#include "LeaderDuties.h"

#include <algorithm>

#include <glog/logging.h>

#include "AgentSessions.h"

namespace anvil::control::internal {

namespace {

constexpr Duration ExpiryInterval = std::chrono::seconds(1);
constexpr Duration ClaimExpiryInterval = std::chrono::minutes(1);
constexpr int64_t MicrosPerSecond = 1'000'000;
/// Time that an agent may take to stop a task whose lease has expired.
constexpr Duration TaskStopTimeout = std::chrono::seconds(5);
/// The clock rates of two VMs differ by at most 10%.
constexpr int64_t ClockRateDivisor = 10;

} // namespace

LeaderDuties::LeaderDuties(SchedulerDriver::ProposeHook Propose,
                           std::function<int64_t()> WallClockMicros)
    : m_Propose(Propose), m_WallClockMicros(std::move(WallClockMicros)),
      m_Scheduler(std::move(Propose)) {}

absl::Status LeaderDuties::begin(const state::ClusterState &State,
                                 TimePoint Now) {
  m_Detector = member::FailureDetector({});
  m_LostSince.clear();
  m_BeganAt = Now;
  m_LastExpiry = Now;
  m_LastClaimExpiry = Now;
  State.forEachTarget([&](const state::TargetView &Target) {
    if (Target.m_Phase == state::VmPhase::Up ||
        Target.m_Phase == state::VmPhase::Draining)
      m_Detector.watch(VmId(Target.m_Info.vm), Now);
  });
  return m_Scheduler.begin(State, Now, m_WallClockMicros());
}

void LeaderDuties::end() { m_Scheduler.end(); }

void LeaderDuties::recordHeartbeats(std::span<const std::string> Vms,
                                    TimePoint Now) {
  for (const std::string &Vm : Vms)
    m_Detector.recordHeartbeat(VmId(Vm), Now);
}

void LeaderDuties::onStateEvent(const state::StateEvent &Event, TimePoint Now) {
  if (!active())
    return;
  if (const auto *Up = std::get_if<state::TargetUp>(&Event)) {
    m_Detector.forget(Up->m_Vm);
    m_Detector.watch(Up->m_Vm, Now);
  } else if (const auto *Lost = std::get_if<state::TargetLost>(&Event)) {
    m_LostSince[Lost->m_Vm] = Now;
  } else if (const auto *Removed = std::get_if<state::TargetRemoved>(&Event)) {
    m_Detector.forget(Removed->m_Vm);
    m_LostSince.erase(Removed->m_Vm);
  }
  m_Scheduler.onStateEvent(Event);
}

void LeaderDuties::onApplied(const state::ClusterState &State, TimePoint Now) {
  m_Scheduler.flush(State, Now);
}

void LeaderDuties::tick(const state::ClusterState &State, TimePoint Now) {
  if (!active())
    return;
  m_Scheduler.tick(State, Now);
  if (Now - m_LastExpiry < ExpiryInterval)
    return;
  m_LastExpiry = Now;
  declareLost(State, Now);
  expireLeases(State, Now);
  expireClaims(State, Now);
}

// A later tick repeats a refused proposal for as long as the state requires it.
void LeaderDuties::proposeIgnoringRefusal(wire::Command Command) {
  m_Propose(std::move(Command), [](const wire::CommandResult &) {});
}

void LeaderDuties::declareLost(const state::ClusterState &State,
                               TimePoint Now) {
  for (const VmId &Vm : m_Detector.tick(Now)) {
    const std::optional<state::TargetView> Target = State.target(Vm);
    if (!Target)
      continue;
    // Watches the VM again, so that a proposal lost in a leader change is
    // repeated.
    m_Detector.watch(Vm, Now);
    if (Target->m_Phase == state::VmPhase::Lost)
      continue;
    LOG(WARNING) << "member: no heartbeat, declaring lost vm=" << Vm;
    wire::Command Command;
    Command.__isset.loseTarget = true;
    Command.loseTarget.vm = Vm.str();
    Command.loseTarget.incarnation = Target->m_Info.incarnation;
    Command.loseTarget.reason = "no heartbeat for 10 s";
    proposeIgnoringRefusal(std::move(Command));
  }
}

// The timestamp of the loss comes from the clock of the leader that proposed
// it, and the commit may be later. So this leader also waits for the whole
// lease on its own clock: replicas may have renewed the lease until their last
// read became stale.
void LeaderDuties::expireLeases(const state::ClusterState &State,
                                TimePoint Now) {
  for (const wire::ExpireLeases &Expired :
       State.expiredLeases(m_WallClockMicros())) {
    const std::optional<state::JobView> Job = State.job(JobId(Expired.jobId));
    if (!Job)
      continue;
    const Duration Lease = std::chrono::milliseconds(Job->m_Spec.leaseMs);
    const Duration Wait =
        Lease + Lease / ClockRateDivisor + ReadValidity + TaskStopTimeout;
    const bool Waited = std::all_of(
        Expired.taskIndexes.begin(), Expired.taskIndexes.end(),
        [&](int32_t Index) {
          const state::MemberView *Member = findMember(*Job, Index);
          const auto Since =
              Member ? m_LostSince.find(Member->m_Vm) : m_LostSince.end();
          return Now -
                     (Since == m_LostSince.end() ? m_BeganAt : Since->second) >=
                 Wait;
        });
    if (!Waited)
      continue;
    wire::Command Command;
    Command.__isset.expireLeases = true;
    Command.expireLeases = Expired;
    proposeIgnoringRefusal(std::move(Command));
  }
}

void LeaderDuties::expireClaims(const state::ClusterState &State,
                                TimePoint Now) {
  const state::Counters Counters = State.counters();
  if (Now - m_LastClaimExpiry < ClaimExpiryInterval ||
      Counters.m_Claims == Counters.m_OpenClaims)
    return;
  m_LastClaimExpiry = Now;
  const config::Document *Document = State.document();
  const int64_t RetentionS = Document ? Document->m_Limits.m_ClaimRetentionS
                                      : config::Limits{}.m_ClaimRetentionS;
  wire::Command Command;
  Command.__isset.expireClaims = true;
  Command.expireClaims.closedBeforeUs =
      m_WallClockMicros() - RetentionS * MicrosPerSecond;
  proposeIgnoringRefusal(std::move(Command));
}

} // namespace anvil::control::internal
