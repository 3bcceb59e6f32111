#include "StateTimeline.h"

#include "absl/strings/str_cat.h"

namespace anvil::control::internal {

namespace {

std::string toString(std::string_view Text) { return std::string(Text); }

// Records one state event with its kind, subject and text.
struct StateEventRecorder {
  const state::ClusterState &m_State;
  int64_t m_Index;
  timeline::Recorder &m_Recorder;

  void record(std::string_view Kind, timeline::Subject Subject,
              std::string_view Text) const {
    m_Recorder.record(Kind, std::move(Subject), Text, m_Index);
  }

  timeline::Subject jobSubject(JobId Job) const {
    timeline::Subject Subject;
    Subject.m_Job = absl::StrCat(Job.value());
    if (const std::optional<state::JobView> View = m_State.job(Job))
      Subject.m_Workspace = View->m_Spec.workspace;
    return Subject;
  }

  timeline::Subject vmSubject(const VmId &Vm) const {
    timeline::Subject Subject;
    Subject.m_Vm = Vm.str();
    if (const std::optional<state::TargetView> View = m_State.target(Vm))
      Subject.m_AvailabilityZone = View->m_Info.availabilityZone;
    return Subject;
  }

  void operator()(const state::JobSubmitted &Event) const {
    record("state.job-submitted", jobSubject(Event.m_Job),
           "The job was accepted and waits.");
  }
  void operator()(const state::JobPhaseChanged &Event) const {
    record("state.job-phase", jobSubject(Event.m_Job),
           absl::StrCat("The job is ", toString(state::nameOf(Event.m_Phase)),
                        Event.m_Reason.empty() ? "" : ": ", Event.m_Reason,
                        "."));
  }
  void operator()(const state::JobEnded &Event) const {
    record("state.job-ended", jobSubject(Event.m_Job),
           absl::StrCat("The job ended ",
                        toString(state::nameOf(Event.m_Phase)), ": ",
                        Event.m_Reason, "."));
  }
  void operator()(const state::JobThrottled &Event) const {
    record("state.job-throttled", jobSubject(Event.m_Job),
           "The job was asked to use less.");
  }
  void operator()(const state::TaskReported &Event) const {
    timeline::Subject Subject = jobSubject(Event.m_Job);
    Subject.m_Vm = Event.m_Vm.str();
    record("state.task", std::move(Subject),
           absl::StrCat("Task ", Event.m_TaskIndex, " is ",
                        toString(state::nameOf(Event.m_Phase)),
                        Event.m_Failed ? " after a failure." : "."));
  }
  void operator()(const state::TaskReleased &) const {}
  void operator()(const state::TargetUp &Event) const {
    record("state.target-up", vmSubject(Event.m_Vm),
           absl::StrCat("Incarnation ", Event.m_Incarnation, " is up."));
  }
  void operator()(const state::TargetLost &Event) const {
    record("state.target-lost", vmSubject(Event.m_Vm),
           absl::StrCat("Incarnation ", Event.m_Incarnation,
                        " is lost: ", Event.m_Reason, "."));
  }
  void operator()(const state::TargetDrained &Event) const {
    record("state.target-drained", vmSubject(Event.m_Vm),
           Event.m_Draining ? "The target is leaving." : "The target stays.");
  }
  void operator()(const state::WorkerQuarantined &Event) const {
    record("state.worker-quarantined", vmSubject(Event.m_Vm),
           absl::StrCat(Event.m_Quarantined ? "The worker is in quarantine: "
                                            : "The worker is back in use: ",
                        Event.m_Reason, "."));
  }
  void operator()(const state::TargetRemoved &Event) const {
    record("state.target-removed", vmSubject(Event.m_Vm),
           "The lost target was forgotten.");
  }
  void operator()(const state::ZoneChanged &Event) const {
    timeline::Subject Subject;
    Subject.m_AvailabilityZone = Event.m_Zone.str();
    record("state.zone", std::move(Subject),
           Event.m_InService ? "The availability zone is in service."
                             : "The availability zone was withdrawn.");
  }
  void operator()(const state::ConfigChanged &Event) const {
    record("state.config", {},
           absl::StrCat("Configuration version ", Event.m_Version,
                        " was accepted."));
  }
  void operator()(const state::ClaimChanged &Event) const {
    timeline::Subject Subject;
    Subject.m_Request = Event.m_ClaimId;
    record("state.claim", std::move(Subject),
           Event.m_Open ? "The claim was granted." : "The claim was closed.");
  }
};

} // namespace

void recordStateEvent(const state::StateEvent &Event, int64_t Index,
                      const state::ClusterState &State,
                      timeline::Recorder &Recorder) {
  std::visit(StateEventRecorder{State, Index, Recorder}, Event);
}

} // namespace anvil::control::internal
