#include "StateTimeline.h"

#include "absl/strings/str_cat.h"

namespace anvil::control::internal {

namespace {

std::string text(std::string_view Text) { return std::string(Text); }

// Turns one change into kind, subject and sentence.
struct Describe {
  const state::ClusterState &m_State;
  int64_t m_Index;
  timeline::Recorder &m_Recorder;

  void record(std::string_view Kind, timeline::Subject About,
              std::string_view Text) const {
    m_Recorder.record(Kind, std::move(About), Text, m_Index);
  }

  timeline::Subject job(JobId Job) const {
    timeline::Subject About;
    About.m_Job = absl::StrCat(Job.value());
    if (const std::optional<state::JobView> View = m_State.job(Job))
      About.m_Workspace = View->m_Spec.workspace;
    return About;
  }

  timeline::Subject vm(const VmId &Vm) const {
    timeline::Subject About;
    About.m_Vm = Vm.str();
    if (const std::optional<state::TargetView> View = m_State.target(Vm))
      About.m_AvailabilityZone = View->m_Info.availabilityZone;
    return About;
  }

  void operator()(const state::JobSubmitted &Event) const {
    record("state.job-submitted", job(Event.m_Job),
           "The job was accepted and waits.");
  }
  void operator()(const state::JobPhaseChanged &Event) const {
    record("state.job-phase", job(Event.m_Job),
           absl::StrCat("The job is ", text(state::nameOf(Event.m_Phase)),
                        Event.m_Reason.empty() ? "" : ": ", Event.m_Reason,
                        "."));
  }
  void operator()(const state::JobEnded &Event) const {
    record("state.job-ended", job(Event.m_Job),
           absl::StrCat("The job ended ", text(state::nameOf(Event.m_Phase)),
                        ": ", Event.m_Reason, "."));
  }
  void operator()(const state::JobThrottled &Event) const {
    record("state.job-throttled", job(Event.m_Job),
           "The job was asked to use less.");
  }
  void operator()(const state::TaskReported &Event) const {
    timeline::Subject About = job(Event.m_Job);
    About.m_Vm = Event.m_Vm.str();
    record("state.task", std::move(About),
           absl::StrCat("Task ", Event.m_TaskIndex, " is ",
                        text(state::nameOf(Event.m_Phase)),
                        Event.m_Failed ? " after a failure." : "."));
  }
  void operator()(const state::TaskReleased &) const {}
  void operator()(const state::TargetUp &Event) const {
    record("state.target-up", vm(Event.m_Vm),
           absl::StrCat("Incarnation ", Event.m_Incarnation, " is up."));
  }
  void operator()(const state::TargetLost &Event) const {
    record("state.target-lost", vm(Event.m_Vm),
           absl::StrCat("Incarnation ", Event.m_Incarnation,
                        " is lost: ", Event.m_Reason, "."));
  }
  void operator()(const state::TargetDrained &Event) const {
    record("state.target-drained", vm(Event.m_Vm),
           Event.m_Draining ? "The target is leaving." : "The target stays.");
  }
  void operator()(const state::WorkerQuarantined &Event) const {
    record("state.worker-quarantined", vm(Event.m_Vm),
           absl::StrCat(Event.m_Quarantined ? "The worker is in quarantine: "
                                            : "The worker is back in use: ",
                        Event.m_Reason, "."));
  }
  void operator()(const state::TargetRemoved &Event) const {
    record("state.target-removed", vm(Event.m_Vm),
           "The lost target was forgotten.");
  }
  void operator()(const state::ZoneChanged &Event) const {
    timeline::Subject About;
    About.m_AvailabilityZone = Event.m_Zone.str();
    record("state.zone", std::move(About),
           Event.m_InService ? "The availability zone is in service."
                             : "The availability zone was withdrawn.");
  }
  void operator()(const state::ConfigChanged &Event) const {
    record("state.config", {},
           absl::StrCat("Configuration version ", Event.m_Version,
                        " was accepted."));
  }
  void operator()(const state::ClaimChanged &Event) const {
    timeline::Subject About;
    About.m_Request = Event.m_ClaimId;
    record("state.claim", std::move(About),
           Event.m_Open ? "The claim was granted." : "The claim was closed.");
  }
};

} // namespace

void recordStateEvent(const state::StateEvent &Event, int64_t Index,
                      const state::ClusterState &State,
                      timeline::Recorder &Recorder) {
  std::visit(Describe{State, Index, Recorder}, Event);
}

} // namespace anvil::control::internal
