#ifndef ANVIL_TESTS_DISPATCH_SIM_DEPLOYMENTPROFILE_H
#define ANVIL_TESTS_DISPATCH_SIM_DEPLOYMENTPROFILE_H

#include <string>
#include <vector>

#include "SimCluster.h"

namespace anvil::sim {

/// One kind of request: how often it arrives and what its jobs look like.
struct JobKind {
  std::string m_Queue;
  int32_t m_Priority = 1;
  double m_PerSecond = 0.3;
  double m_MeanSteps = 1;
  double m_MeanTasks = 1.5;
  double m_MaxTasks = 9;
  wire::ResourceAmounts m_PerTask;
  std::vector<int32_t> m_Accelerators{1};
  double m_MeanWorkSeconds = 8.5;
  double m_WorkSpread = 0.3;
  double m_MaxWorkSeconds = 11;
  /// Spread of the work of the tasks of one step.
  double m_TaskWorkSpread = 0.3;
  /// Spread of the declared run time around the actual work.
  double m_EstimateSpread = 0.5;
  double m_GangShare = 0;
  double m_RackLocalShare = 0;
  double m_CheckpointShare = 0;
  double m_CancelShare = 0;
  double m_FailShare = 0.005;
  /// Share of the tasks that need m_StragglerFactor times their usual work.
  double m_StragglerShare = 0;
  double m_StragglerFactor = 7;
  double m_Value = 3;
  double m_LateValueShare = 0.5; ///< Of the value, for a late end.
  double m_SlackFactor = 3;
  int64_t m_LatencyTargetMs = 1000;
  int32_t m_MaxAttempts = 4;
};

/// Workers of a deployment and the kinds of requests that it gets.
struct DeploymentProfile {
  std::vector<JobKind> m_Kinds;
  wire::ResourceAmounts m_Capacity;
  int32_t m_Workers = 11;
  int32_t m_Zones = 3;
  int32_t m_WorkersPerRack = 3;
  std::vector<std::string> m_Workspaces{"w0", "w1", "w2", "w3"};
  /// Accelerators that each workspace is guaranteed.
  std::vector<int32_t> m_Guaranteed{16, 16, 12, 10};
};

/// The profiles of two users' deployments.
DeploymentProfile sizingProfile();
DeploymentProfile reorderProfile();
/// The sizing deployment with 160 workers, wider steps and more workspaces.
DeploymentProfile largeSizingProfile();

wire::PolicyDocument policyOf(const DeploymentProfile &Profile);
std::vector<wire::WorkerInfo> fleetOf(const DeploymentProfile &Profile);

/// A burst of one kind of request.
struct Burst {
  size_t m_Kind = 0;
  double m_Factor = 2.6;
  Duration m_StartAfter{0};
  Duration m_Duration{0};
  /// The only workspace that sends the additional requests; all of them if
  /// empty.
  std::string m_Workspace = {};
};

/// Adds the arrivals of the profile within \p Span, at \p Load times its rates.
void addArrivals(SimCluster &Cluster, const DeploymentProfile &Profile,
                 Duration Span, double Load, const std::vector<Burst> &Bursts);

/// Returns a job of one step of independent tasks, each with the given work,
/// which is also the estimate of the step.
JobPlan plainJob(const std::string &Id, const std::string &Queue,
                 Duration SubmitAfter, const wire::StepSpec &Step,
                 Duration Work);

/// Returns a step of independent tasks that need little besides accelerators.
wire::StepSpec plainStep(int32_t Tasks, int32_t Accelerators);

/// A deployment of six workers, for tests of invariants rather than of
/// placement quality.
wire::PolicyDocument smallPolicy();
std::vector<wire::WorkerInfo> smallFleet();
void addMixedJobs(SimCluster &Cluster, Duration Span, double PerSecond);

} // namespace anvil::sim

#endif // ANVIL_TESTS_DISPATCH_SIM_DEPLOYMENTPROFILE_H
