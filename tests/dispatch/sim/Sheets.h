#ifndef ANVIL_TESTS_DISPATCH_SIM_SHEETS_H
#define ANVIL_TESTS_DISPATCH_SIM_SHEETS_H

#include <string>
#include <vector>

#include "World.h"

namespace anvil::sim {

/// One kind of request: how often it comes and what its jobs look like.
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
  double m_Uneven = 0.3;
  /// Spread of the declared run time around the work.
  double m_EstimateSpread = 0.5;
  double m_GangShare = 0;
  double m_RackShare = 0;
  double m_CheckpointShare = 0;
  double m_CancelShare = 0;
  double m_FailShare = 0.005;
  double m_Worth = 3;
  double m_LateShare = 0.5; ///< Of the worth.
  double m_SlackFactor = 3;
  int64_t m_AimMs = 1000;
  int32_t m_MaxAttempts = 4;
};

/// A deployment's workers and kinds of requests.
struct Sheet {
  std::vector<JobKind> m_Kinds;
  wire::ResourceAmounts m_Capacity;
  int32_t m_Workers = 11;
  int32_t m_Zones = 3;
  int32_t m_PerRack = 3;
  std::vector<std::string> m_Workspaces{"w0", "w1", "w2", "w3"};
  /// Accelerators that each workspace is guaranteed.
  std::vector<int32_t> m_Guaranteed{16, 16, 12, 10};
};

/// The sheets of the two users.
Sheet sizingSheet();
Sheet reorderSheet();

wire::PolicyDocument policyOf(const Sheet &Of);
std::vector<wire::WorkerInfo> fleetOf(const Sheet &Of);

/// A burst of one kind of request.
struct Burst {
  size_t m_Kind = 0;
  double m_Factor = 2.6;
  Duration m_From{0};
  Duration m_For{0};
};

/// Adds the arrivals of \p Span seconds, \p Load times as many as the sheet
/// says.
void addArrivals(World &To, const Sheet &Of, Duration Span, double Load,
                 const std::vector<Burst> &Bursts);

/// A job of one step of independent tasks, each with the given work, which it
/// declares as its estimate.
JobPlan plainJob(const std::string &Id, const std::string &Queue, Duration At,
                 const wire::StepSpec &Step, Duration Work);

/// A step of independent tasks that take little but accelerators.
wire::StepSpec plainStep(int32_t Tasks, int32_t Accelerators);

/// A deployment of six workers, for tests of promises rather than of worth.
wire::PolicyDocument smallPolicy();
std::vector<wire::WorkerInfo> smallFleet();
void addMixedJobs(World &To, Duration Span, double PerSecond);

} // namespace anvil::sim

#endif // ANVIL_TESTS_DISPATCH_SIM_SHEETS_H
