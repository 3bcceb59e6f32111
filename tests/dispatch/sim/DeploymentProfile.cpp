#include "DeploymentProfile.h"

#include <algorithm>
#include <cmath>

namespace anvil::sim {

namespace {

wire::ResourceAmounts amounts(int32_t MilliCores, int32_t MemoryMib,
                              int32_t Accelerators) {
  wire::ResourceAmounts Result;
  Result.milliCores = MilliCores;
  Result.memoryMib = MemoryMib;
  Result.accelerators = Accelerators;
  return Result;
}

// Draws from a log-normal distribution with a mean and a relative spread.
double draw(Random &Rng, double Mean, double Spread, double Max) {
  if (Spread <= 0)
    return std::min(Mean, Max);
  const double Sigma = std::sqrt(std::log(1 + Spread * Spread));
  const double Normal = std::sqrt(-2 * std::log(1 - Rng.unit())) *
                        std::cos(2 * 3.141592653589793 * Rng.unit());
  return std::min(Max, Mean * std::exp(Sigma * Normal - Sigma * Sigma / 2));
}

Duration durationOf(double Seconds) {
  return Duration(std::llround(Seconds * 1e6));
}

double secondsOf(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

bool isWithin(const Burst &Value, Duration SubmitAfter) {
  return SubmitAfter >= Value.m_StartAfter &&
         SubmitAfter < Value.m_StartAfter + Value.m_Duration;
}

JobPlan makeJob(Random &Rng, const JobKind &Kind,
                const DeploymentProfile &Profile, Duration SubmitAfter,
                int Number) {
  JobPlan Plan;
  Plan.m_SubmitAfter = SubmitAfter;
  Plan.m_Id = "j" + std::to_string(Number);
  Plan.m_Queue = Kind.m_Queue;
  Plan.m_Workspace = Profile.m_Workspaces[static_cast<size_t>(
      Rng.below(static_cast<int64_t>(Profile.m_Workspaces.size())))];
  const auto Steps = static_cast<int32_t>(
      std::max(1.0, std::round(draw(Rng, Kind.m_MeanSteps, 0.4, 3))));
  double Work = 0;
  for (int32_t Step = 0; Step < Steps; ++Step) {
    wire::StepSpec Spec;
    Spec.tasks = static_cast<int32_t>(std::max(
        1.0, std::round(draw(Rng, Kind.m_MeanTasks, 0.8, Kind.m_MaxTasks))));
    Spec.perTask = Kind.m_PerTask;
    Spec.perTask.accelerators = Kind.m_Accelerators[static_cast<size_t>(
        Rng.below(static_cast<int64_t>(Kind.m_Accelerators.size())))];
    Spec.gang = Spec.tasks > 1 && Rng.chance(Kind.m_GangShare);
    Spec.rackLocal = Spec.gang && Rng.chance(Kind.m_RackLocalShare);
    Spec.checkpointing = Rng.chance(Kind.m_CheckpointShare);
    if (Step > 0)
      Spec.dependsOn.push_back(Step - 1);
    const double Mean = draw(Rng, Kind.m_MeanWorkSeconds, Kind.m_WorkSpread,
                             Kind.m_MaxWorkSeconds);
    Spec.estimateMs =
        std::llround(1000 * draw(Rng, Mean, Kind.m_EstimateSpread, 10 * Mean));
    std::vector<Duration> Tasks;
    const double GangWork = draw(Rng, Mean, Kind.m_TaskWorkSpread, 3 * Mean);
    for (int32_t I = 0; I < Spec.tasks; ++I) {
      double Each = Spec.gang
                        ? GangWork
                        : draw(Rng, Mean, Kind.m_TaskWorkSpread, 3 * Mean);
      // Without stragglers nothing is drawn, so that the jobs of a seed stay
      // the same.
      if (Kind.m_StragglerShare > 0 && Rng.chance(Kind.m_StragglerShare))
        Each *= Kind.m_StragglerFactor;
      Tasks.push_back(durationOf(Each));
      Work += Each * (Spec.perTask.milliCores / 1000.0 +
                      8.0 * Spec.perTask.accelerators);
    }
    Plan.m_Work.push_back(std::move(Tasks));
    Plan.m_Spec.steps.push_back(std::move(Spec));
  }
  Plan.m_FailShare = Kind.m_FailShare;
  if (Rng.chance(Kind.m_CancelShare))
    Plan.m_CancelAfter =
        Rng.between(std::chrono::milliseconds(200), std::chrono::seconds(8));
  const double MeanWork = Kind.m_MeanSteps * Kind.m_MeanTasks *
                          Kind.m_MeanWorkSeconds *
                          (Kind.m_PerTask.milliCores / 1000.0 + 8.0 * 3);
  Plan.m_Weight = Kind.m_Value * std::min(4.0, 0.3 + 0.7 * Work / MeanWork);
  Plan.m_LateWeight = Kind.m_LateValueShare;
  return Plan;
}

} // namespace

DeploymentProfile sizingProfile() {
  DeploymentProfile Result;
  Result.m_Capacity = amounts(64000, 262144, 8);
  JobKind Batch;
  Batch.m_Queue = "batch";
  Batch.m_PerSecond = 0.324;
  Batch.m_PerTask = amounts(26000, 140000, 0);
  Batch.m_Accelerators = {1, 2, 4, 8, 8};
  Batch.m_GangShare = 0.9;
  Batch.m_RackLocalShare = 0.6;
  Batch.m_CheckpointShare = 0.45;
  Batch.m_CancelShare = 0.05;
  JobKind Quote;
  Quote.m_Queue = "quote";
  Quote.m_Priority = 0;
  Quote.m_PerSecond = 0.371;
  Quote.m_MeanTasks = 3.4;
  Quote.m_MaxTasks = 21;
  Quote.m_PerTask = amounts(7500, 39000, 0);
  Quote.m_Accelerators = {1, 2, 4, 8, 8};
  Quote.m_MeanWorkSeconds = 2.5;
  Quote.m_WorkSpread = 0.5;
  Quote.m_MaxWorkSeconds = 8;
  Quote.m_GangShare = 0.6;
  Quote.m_RackLocalShare = 0.8;
  Quote.m_FailShare = 0.02;
  Quote.m_Value = 4;
  Quote.m_LateValueShare = 0.2;
  Quote.m_SlackFactor = 1.5;
  Quote.m_LatencyTargetMs = 250;
  JobKind Recon;
  Recon.m_Queue = "recon";
  Recon.m_Priority = 2;
  Recon.m_PerSecond = 0.157;
  Recon.m_MeanSteps = 1.3;
  Recon.m_MeanTasks = 9.2;
  Recon.m_MaxTasks = 55;
  Recon.m_PerTask = amounts(5600, 16000, 0);
  Recon.m_MeanWorkSeconds = 7.6;
  Recon.m_TaskWorkSpread = 0.15;
  Recon.m_EstimateSpread = 0.9;
  Recon.m_CheckpointShare = 0.45;
  Recon.m_CancelShare = 0.15;
  Recon.m_Value = 1;
  Recon.m_LatencyTargetMs = 3000;
  Recon.m_MaxAttempts = 2;
  Result.m_Kinds = {Batch, Quote, Recon};
  return Result;
}

DeploymentProfile reorderProfile() {
  DeploymentProfile Result = sizingProfile();
  Result.m_Capacity = amounts(128000, 524288, 8);
  Result.m_Zones = 4;
  JobKind &Batch = Result.m_Kinds[0];
  Batch.m_PerSecond = 0.286;
  Batch.m_PerTask = amounts(52000, 210000, 0);
  Batch.m_MeanWorkSeconds = 11;
  Batch.m_EstimateSpread = 0.9;
  Batch.m_FailShare = 0.02;
  Batch.m_LateValueShare = 0.1;
  Batch.m_MaxAttempts = 2;
  JobKind &Check = Result.m_Kinds[1];
  Check.m_PerSecond = 0.3;
  Check.m_MeanTasks = 3;
  Check.m_PerTask = amounts(15000, 61000, 0);
  Check.m_EstimateSpread = 0.2;
  Check.m_MaxAttempts = 2;
  JobKind &Proof = Result.m_Kinds[2];
  Proof.m_PerSecond = 0.216;
  Proof.m_PerTask = amounts(11000, 33000, 0);
  Proof.m_MeanWorkSeconds = 6.1;
  Proof.m_EstimateSpread = 0.2;
  Proof.m_FailShare = 0.05;
  Proof.m_LateValueShare = 0.1;
  Proof.m_MaxAttempts = 4;
  return Result;
}

DeploymentProfile largeSizingProfile() {
  DeploymentProfile Result = sizingProfile();
  Result.m_Workers = 160;
  Result.m_Zones = 5;
  Result.m_WorkersPerRack = 8;
  Result.m_Workspaces.clear();
  for (int I = 0; I < 24; ++I)
    Result.m_Workspaces.push_back("w" + std::to_string(I));
  Result.m_Guaranteed.assign(Result.m_Workspaces.size(), 32);
  JobKind &Batch = Result.m_Kinds[0];
  Batch.m_PerSecond = 1.08;
  Batch.m_MeanTasks = 13;
  Batch.m_MaxTasks = 76;
  Batch.m_PerTask = amounts(26000, 75000, 0);
  Batch.m_MeanWorkSeconds = 6.8;
  Batch.m_TaskWorkSpread = 0.15;
  Batch.m_EstimateSpread = 0.9;
  Batch.m_GangShare = 1;
  Batch.m_MaxAttempts = 3;
  JobKind &Quote = Result.m_Kinds[1];
  Quote.m_PerSecond = 2.75;
  Quote.m_MeanTasks = 5.3;
  Quote.m_MaxTasks = 32;
  Quote.m_PerTask = amounts(7500, 31000, 0);
  Quote.m_EstimateSpread = 0.9;
  Quote.m_GangShare = 1;
  Quote.m_FailShare = 0.05;
  JobKind &Recon = Result.m_Kinds[2];
  Recon.m_PerSecond = 1.05;
  Recon.m_MeanTasks = 38;
  Recon.m_MaxTasks = 230;
  Recon.m_MeanWorkSeconds = 6.1;
  Recon.m_EstimateSpread = 0.2;
  Recon.m_FailShare = 0.02;
  Recon.m_MaxAttempts = 3;
  return Result;
}

wire::PolicyDocument policyOf(const DeploymentProfile &Profile) {
  wire::PolicyDocument Policy;
  Policy.version = 1;
  wire::ServicePolicy Service;
  Service.name = "desk";
  Policy.services.push_back(Service);
  for (const JobKind &Kind : Profile.m_Kinds) {
    wire::QueuePolicy Queue;
    Queue.name = Kind.m_Queue;
    Queue.host = "host";
    Queue.pathPrefix = "/" + Kind.m_Queue + "/";
    Queue.serviceName = "desk";
    Queue.priority = Kind.m_Priority;
    Queue.timeoutMs = 3000;
    Queue.latencyTargetMs = Kind.m_LatencyTargetMs;
    Queue.maxAttempts = Kind.m_MaxAttempts;
    Queue.slackFactor = Kind.m_SlackFactor;
    Policy.queues.push_back(Queue);
  }
  for (size_t I = 0; I < Profile.m_Workspaces.size(); ++I) {
    wire::WorkspacePolicy Workspace;
    Workspace.name = Profile.m_Workspaces[I];
    Workspace.keys = {"key-" + Workspace.name};
    Workspace.guaranteed.accelerators = Profile.m_Guaranteed[I];
    Policy.workspaces.push_back(Workspace);
  }
  return Policy;
}

std::vector<wire::WorkerInfo> fleetOf(const DeploymentProfile &Profile) {
  std::vector<wire::WorkerInfo> Fleet;
  std::vector<int32_t> InZone(static_cast<size_t>(Profile.m_Zones), 0);
  for (int32_t I = 0; I < Profile.m_Workers; ++I) {
    const int32_t Zone = I % Profile.m_Zones;
    const int32_t Rack =
        InZone[static_cast<size_t>(Zone)]++ / Profile.m_WorkersPerRack;
    wire::WorkerInfo Info;
    Info.incarnation.id = "worker-" + std::to_string(I);
    Info.incarnation.startedAtMs = 1;
    Info.serviceName = "desk";
    Info.availabilityZone = "zone-" + std::to_string(Zone);
    Info.rack = "r" + std::to_string(Zone) + "-" + std::to_string(Rack);
    Info.labels = {"a", Info.rack};
    Info.capacity = Profile.m_Capacity;
    Fleet.push_back(std::move(Info));
  }
  return Fleet;
}

void addArrivals(SimCluster &Cluster, const DeploymentProfile &Profile,
                 Duration Span, double Load, const std::vector<Burst> &Bursts) {
  int Number = 0;
  const Duration Slice = std::chrono::milliseconds(100);
  for (Duration SubmitAfter{0}; SubmitAfter < Span; SubmitAfter += Slice)
    for (size_t Kind = 0; Kind < Profile.m_Kinds.size(); ++Kind) {
      double Rate = Profile.m_Kinds[Kind].m_PerSecond * Load;
      for (const Burst &Each : Bursts)
        if (Each.m_Workspace.empty() && Each.m_Kind == Kind &&
            isWithin(Each, SubmitAfter))
          Rate *= Each.m_Factor;
      const double Expected = Rate * secondsOf(Slice);
      if (Cluster.random().chance(Expected))
        Cluster.add(makeJob(Cluster.random(), Profile.m_Kinds[Kind], Profile,
                            SubmitAfter, ++Number));
    }
  // Drawn after all other arrivals, which are thus the same as without them.
  for (const Burst &Each : Bursts)
    for (Duration SubmitAfter{0}; SubmitAfter < Span; SubmitAfter += Slice) {
      if (Each.m_Workspace.empty() || !isWithin(Each, SubmitAfter))
        continue;
      const JobKind &Kind = Profile.m_Kinds[Each.m_Kind];
      if (!Cluster.random().chance((Each.m_Factor - 1) * Kind.m_PerSecond *
                                   Load * secondsOf(Slice)))
        continue;
      JobPlan Plan =
          makeJob(Cluster.random(), Kind, Profile, SubmitAfter, ++Number);
      Plan.m_Workspace = Each.m_Workspace;
      Cluster.add(std::move(Plan));
    }
}

JobPlan plainJob(const std::string &Id, const std::string &Queue,
                 Duration SubmitAfter, const wire::StepSpec &Step,
                 Duration Work) {
  JobPlan Plan;
  Plan.m_Id = Id;
  Plan.m_Queue = Queue;
  Plan.m_Workspace = "w0";
  Plan.m_SubmitAfter = SubmitAfter;
  Plan.m_Spec.steps = {Step};
  Plan.m_Spec.steps[0].estimateMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(Work).count();
  Plan.m_Work = {std::vector<Duration>(static_cast<size_t>(Step.tasks), Work)};
  return Plan;
}

wire::StepSpec plainStep(int32_t Tasks, int32_t Accelerators) {
  wire::StepSpec Step;
  Step.tasks = Tasks;
  Step.perTask = amounts(1000, 0, Accelerators);
  return Step;
}

wire::PolicyDocument smallPolicy() { return policyOf(sizingProfile()); }

std::vector<wire::WorkerInfo> smallFleet() {
  DeploymentProfile Small = sizingProfile();
  Small.m_Workers = 6;
  return fleetOf(Small);
}

void addMixedJobs(SimCluster &Cluster, Duration Span, double PerSecond) {
  // Limits gangs to what the small fleet can run whole.
  DeploymentProfile Small = sizingProfile();
  for (JobKind &Kind : Small.m_Kinds)
    Kind.m_MaxTasks = std::min(Kind.m_MaxTasks, 6.0);
  addArrivals(Cluster, Small, Span, PerSecond / 0.85, {});
}

} // namespace anvil::sim
