#include "Workload.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace anvil::bench {

namespace {

constexpr double Hour = 3600;

Duration spanOf(double Seconds) {
  return Duration(static_cast<int64_t>(Seconds * 1e6));
}

/// Random draws by formulas of our own, since the distributions of the standard
/// library differ between versions.
class Draw {
public:
  explicit Draw(uint64_t Seed) : m_Engine(Seed) {}
  double uniform() {
    return (static_cast<double>(m_Engine() >> 11) + 0.5) * 0x1.0p-53;
  }
  double exponential(double Mean) { return -Mean * std::log(uniform()); }
  double normal() {
    return std::sqrt(-2 * std::log(uniform())) * std::cos(2 * M_PI * uniform());
  }
  double logNormal(double Median, double Sigma) {
    return Median * std::exp(Sigma * normal());
  }
  template <typename T> T pick(std::initializer_list<T> Values) {
    return *(
        Values.begin() +
        static_cast<ptrdiff_t>(uniform() * static_cast<double>(Values.size())));
  }

private:
  std::mt19937_64 m_Engine;
};

/// One kind of jobs with its arrival process.
struct Stream {
  std::string m_Workspace{};
  std::string m_Name{};
  Urgency m_Urgency = Urgency::Batch;
  /// Mean number of jobs per hour between the two hours of the day.
  double m_PerHour = 0;
  double m_From = 0;
  double m_To = 24;
  std::vector<int32_t> m_Tasks{1};
  Resources m_PerTask{};
  double m_MedianSeconds = 0;
  double m_Sigma = 0.5;
  double m_MaxSeconds = 8 * Hour;
  double m_DeadlineSeconds = 0;
  bool m_Idempotent = true;
  bool m_Checkpointable = false;
  Adjacency m_Adjacency = Adjacency::Any;
  /// Spread of the logarithm of declared / actual run time.
  double m_DeclaredSigma = 0.7;
  /// Jobs that arrive at the same instant.
  int m_Burst = 1;
};

void addStream(Table &Target, const Stream &Source, Draw &Random) {
  // Users of one kind of work misjudge in the same direction.
  const double Bias = std::exp(0.5 * Random.normal());
  double At = Source.m_From * Hour;
  while (true) {
    At += Random.exponential(Hour * Source.m_Burst / Source.m_PerHour);
    if (At >= Source.m_To * Hour)
      return;
    for (int I = 0; I < Source.m_Burst; ++I) {
      Arrival Job;
      Job.m_At = TimePoint(spanOf(At));
      Job.m_RunTime = spanOf(
          std::clamp(Random.logNormal(Source.m_MedianSeconds, Source.m_Sigma),
                     1.0, Source.m_MaxSeconds));
      JobSpec &Spec = Job.m_Spec;
      Spec.m_Workspace = WorkspaceId(Source.m_Workspace);
      Spec.m_Name = Source.m_Name;
      Spec.m_Tasks = Source.m_Tasks[static_cast<size_t>(
          Random.uniform() * static_cast<double>(Source.m_Tasks.size()))];
      Spec.m_PerTask = Source.m_PerTask;
      Spec.m_Adjacency = Source.m_Adjacency;
      Spec.m_Urgency = Source.m_Urgency;
      Spec.m_Deadline = spanOf(Source.m_DeadlineSeconds);
      Spec.m_Idempotent = Source.m_Idempotent;
      Spec.m_Checkpointable = Source.m_Checkpointable;
      const double Error =
          Bias * std::exp(Source.m_DeclaredSigma * Random.normal());
      Spec.m_DeclaredRunTime =
          spanOf(static_cast<double>(Job.m_RunTime.count()) / 1e6 * Error);
      Target.m_Jobs.push_back(Job);
    }
  }
}

void sortJobs(Table &Target) {
  std::stable_sort(
      Target.m_Jobs.begin(), Target.m_Jobs.end(),
      [](const Arrival &A, const Arrival &B) { return A.m_At < B.m_At; });
}

/// Scales the run times of the batch jobs so that the accelerator-time asked
/// for is \p Load of what the fleet has within \p Hours.
void scaleToLoad(Table &Target, double Load, double Hours) {
  double Capacity = 0;
  for (const WorkerUp &Each : Target.m_Workers)
    Capacity +=
        static_cast<double>(Each.m_Capacity.m_Accelerators) * Hours * Hour;
  double Batch = 0;
  double Others = 0;
  for (const Arrival &Each : Target.m_Jobs) {
    const double Work =
        static_cast<double>(Each.m_Spec.m_PerTask.m_Accelerators *
                            Each.m_Spec.m_Tasks) *
        static_cast<double>(Each.m_RunTime.count()) / 1e6;
    (Each.m_Spec.m_Urgency == Urgency::Batch ? Batch : Others) += Work;
  }
  const double Factor = (Load * Capacity - Others) / Batch;
  for (Arrival &Each : Target.m_Jobs) {
    if (Each.m_Spec.m_Urgency != Urgency::Batch ||
        Each.m_Spec.m_PerTask.m_Accelerators == 0)
      continue;
    Each.m_RunTime =
        spanOf(static_cast<double>(Each.m_RunTime.count()) / 1e6 * Factor);
    Each.m_Spec.m_DeclaredRunTime =
        spanOf(static_cast<double>(Each.m_Spec.m_DeclaredRunTime.count()) /
               1e6 * Factor);
  }
  Target.m_Load = Load;
}

std::vector<WorkerUp> smallFleet(const std::vector<std::string> &Zones,
                                 Resources Capacity) {
  std::vector<WorkerUp> Result;
  for (int I = 0; I < 10; ++I) {
    const std::string &Zone = Zones[static_cast<size_t>(I / 3) % Zones.size()];
    Result.push_back({VmId(absl::StrCat("worker-", I)),
                      AvailabilityZoneId(Zone),
                      RackId(absl::StrCat(Zone, "-rack-", I / 3)), Capacity});
  }
  return Result;
}

WorkspaceConfig workspace(const std::string &Name, Resources Shape,
                          Adjacency Place, int32_t Count) {
  return {WorkspaceId(Name), {}, {{Name + "-shape", Shape, Place, Count}}};
}

} // namespace

Table malabarToday(uint64_t Seed, double Load) {
  Table Result;
  Result.m_Name = absl::StrFormat("malabar-%.2f", Load);
  Result.m_Seed = Seed;
  Result.m_Workers =
      smallFleet({"kochi", "alappuzha", "kollam"}, {8, 64, 256 * Gib});
  Result.m_Workspaces = {
      workspace("quotes", {2, 16, 32 * Gib}, Adjacency::Vm, 6),
      workspace("sieve", {8, 64, 256 * Gib}, Adjacency::Vm, 1),
      workspace("ledger", {4, 32, 64 * Gib}, Adjacency::Vm, 2),
      workspace("research", {8, 64, 256 * Gib}, Adjacency::Vm, 2)};
  Draw Random(Seed);
  addStream(Result,
            {"quotes",
             "dealer-quote",
             Urgency::WorkingDay,
             60,
             9,
             18,
             {1},
             {1, 4, 8 * Gib},
             25,
             0.5,
             300,
             180},
            Random);
  addStream(Result,
            {"quotes",
             "urgent-quote",
             Urgency::Urgent,
             4,
             0,
             24,
             {1, 2},
             {1, 4, 8 * Gib},
             40,
             0.5,
             300,
             300},
            Random);
  addStream(Result,
            {"sieve",
             "sieve-report",
             Urgency::Batch,
             50,
             0,
             24,
             {1, 1, 2, 4},
             {1, 4, 16 * Gib},
             500,
             0.9,
             3 * Hour,
             0,
             true,
             false,
             Adjacency::Any,
             0.9,
             5},
            Random);
  addStream(Result,
            {"ledger",
             "reconciliation",
             Urgency::Overnight,
             3,
             19,
             24,
             {1},
             {4, 16, 32 * Gib},
             1200,
             0.4,
             2 * Hour,
             12 * Hour,
             false,
             false},
            Random);
  addStream(Result,
            {"research",
             "training",
             Urgency::Batch,
             1.1,
             0,
             22,
             {4, 8, 16, 24},
             {1, 6, 24 * Gib},
             4000,
             1.0,
             8 * Hour,
             0,
             true,
             true,
             Adjacency::Rack,
             1.0},
            Random);
  sortJobs(Result);
  scaleToLoad(Result, Load, 24);
  Result.m_Faulty = {VmId("worker-4")};
  Result.m_RepairedAt = TimePoint(spanOf(6 * Hour));
  Result.m_Horizon = TimePoint(spanOf(60 * Hour));
  return Result;
}

Table swanbourneToday(uint64_t Seed, double Load) {
  Table Result;
  Result.m_Name = absl::StrFormat("swanbourne-%.2f", Load);
  Result.m_Seed = Seed;
  Result.m_Workers = smallFleet({"welshpool", "osborne", "canning", "bunbury"},
                                {8, 128, 512 * Gib});
  Result.m_Workspaces = {
      workspace("reorders", {4, 32, 64 * Gib}, Adjacency::Vm, 4),
      workspace("proofs", {8, 128, 512 * Gib}, Adjacency::Vm, 1),
      workspace("bank", {8, 64, 128 * Gib}, Adjacency::Vm, 1),
      workspace("analysis", {8, 128, 512 * Gib}, Adjacency::Vm, 1)};
  Draw Random(Seed);
  addStream(Result,
            {"reorders",
             "reorder",
             Urgency::WorkingDay,
             80,
             6,
             20,
             {1},
             {1, 4, 8 * Gib},
             30,
             0.4,
             300,
             600,
             false,
             false},
            Random);
  addStream(Result,
            {"reorders",
             "range-check",
             Urgency::Urgent,
             40,
             0,
             24,
             {1},
             {1, 2, 4 * Gib},
             10,
             0.4,
             60,
             60},
            Random);
  addStream(Result,
            {"proofs",
             "proof",
             Urgency::Batch,
             60,
             0,
             24,
             {1, 2, 2},
             {1, 8, 16 * Gib},
             400,
             0.8,
             3 * Hour,
             0,
             true,
             false,
             Adjacency::Any,
             0.8,
             6},
            Random);
  addStream(Result,
            {"bank",
             "bank-file",
             Urgency::Overnight,
             0.8,
             20,
             24,
             {1},
             {8, 64, 128 * Gib},
             4500,
             0.2,
             2 * Hour,
             6 * Hour,
             false,
             true,
             Adjacency::Vm,
             0.3},
            Random);
  addStream(Result,
            {"analysis",
             "analysis",
             Urgency::Batch,
             1.4,
             0,
             23,
             {4, 8, 16, 24},
             {1, 10, 40 * Gib},
             3600,
             1.0,
             8 * Hour,
             0,
             true,
             true,
             Adjacency::Rack,
             1.0},
            Random);
  sortJobs(Result);
  scaleToLoad(Result, Load, 24);
  Result.m_Outage = {AvailabilityZoneId("osborne"),
                     TimePoint(spanOf(21.5 * Hour)), spanOf(60),
                     TimePoint(spanOf(22.5 * Hour))};
  Result.m_Horizon = TimePoint(spanOf(60 * Hour));
  return Result;
}

std::vector<WorkerUp> fullFleet(int Divisor) {
  std::vector<WorkerUp> Result;
  constexpr int Workers = 8300;
  constexpr int Zones = 6;
  constexpr int RackSize = 10;
  const int Count = Workers / Divisor;
  for (int I = 0; I < Count; ++I) {
    // Racks are uniform: of 83 racks in a group, 15 with 8 accelerators a
    // worker, 15 with 2, the rest without.
    const int Rack = I / RackSize;
    const int Kind = Rack * 37 % 83;
    const int Accelerators = Kind < 15 ? 8 : (Kind < 30 ? 2 : 0);
    const int Zone = Rack % Zones;
    Result.push_back({VmId(absl::StrCat("vm-", I)),
                      AvailabilityZoneId(absl::StrCat("zone-", Zone)),
                      RackId(absl::StrCat("rack-", Rack)),
                      {Accelerators, 64, 256 * Gib}});
  }
  return Result;
}

Table fullSize(uint64_t Seed, double Load) {
  Table Result;
  Result.m_Name = absl::StrFormat("full-%.2f", Load);
  Result.m_Seed = Seed;
  Result.m_Workers = fullFleet(1);
  constexpr int Teams = 200;
  constexpr double Hours = 10;
  for (int I = 0; I < Teams; ++I) {
    Result.m_Workspaces.push_back(workspace(
        absl::StrCat("team-", I), {8, 64, 256 * Gib}, Adjacency::Vm, 3));
    Result.m_Workspaces.back().m_Quota = {2400, 0, 0};
  }
  Draw Random(Seed);
  for (int I = 0; I < Teams; ++I) {
    const std::string Name = absl::StrCat("team-", I);
    addStream(Result,
              {Name,
               "service",
               Urgency::Batch,
               13.0 / 24,
               0,
               Hours,
               {64, 128, 256, 256},
               {0, 2, 3 * Gib},
               14000,
               0.7,
               9 * Hour,
               0,
               true,
               I % 2 == 0},
              Random);
    addStream(Result,
              {Name,
               "training",
               Urgency::Batch,
               7.0 / 24,
               0,
               Hours,
               {8, 16, 32, 64, 128, 256},
               {1, 6, 24 * Gib},
               9000,
               0.9,
               9 * Hour,
               0,
               true,
               true,
               Adjacency::Rack,
               1.0},
              Random);
    addStream(Result,
              {Name,
               "interactive",
               Urgency::Urgent,
               1.0 / 24,
               0,
               Hours,
               {1, 2, 4},
               {1, 4, 8 * Gib},
               300,
               0.7,
               Hour},
              Random);
    addStream(Result,
              {Name,
               "overnight",
               Urgency::Overnight,
               2.0 / 24,
               0,
               Hours,
               {1, 4, 8},
               {1, 4, 8 * Gib},
               3000,
               0.7,
               4 * Hour,
               20 * Hour,
               false,
               false},
              Random);
  }
  sortJobs(Result);
  scaleToLoad(Result, Load, Hours);
  Result.m_Outage = {AvailabilityZoneId("zone-2"), TimePoint(spanOf(6 * Hour)),
                     spanOf(60), TimePoint(spanOf(7 * Hour))};
  Result.m_Horizon = TimePoint(spanOf(40 * Hour));
  return Result;
}

namespace {

/// Share of the fleet that can work from an instant on.
struct Speed {
  double m_From = 0;
  double m_Share = 1;
};

/// Returns the shares over time, less the zone that is away and the workers
/// that fail every task.
std::vector<Speed> speedsOf(const Table &Source, int64_t Resources::*Part) {
  double Total = 0;
  double Away = 0;
  double Faulty = 0;
  for (const WorkerUp &Each : Source.m_Workers) {
    const auto Amount = static_cast<double>(Each.m_Capacity.*Part);
    Total += Amount;
    if (Source.m_Outage && Each.m_Zone == Source.m_Outage->m_Zone)
      Away += Amount;
    if (std::find(Source.m_Faulty.begin(), Source.m_Faulty.end(), Each.m_Vm) !=
        Source.m_Faulty.end())
      Faulty += Amount;
  }
  auto At = [](TimePoint Time) {
    return static_cast<double>(Time.time_since_epoch().count()) / 1e6;
  };
  std::vector<Speed> Result = {{0, 1 - Faulty / Total}};
  if (Faulty > 0)
    Result.push_back({At(Source.m_RepairedAt), 1});
  if (Source.m_Outage) {
    Result.push_back({At(Source.m_Outage->m_At + Source.m_Outage->m_Notice),
                      1 - Away / Total});
    Result.push_back({At(Source.m_Outage->m_Back), 1});
  }
  return Result;
}

/// Returns the sum of completion times, in seconds, of shortest remaining work
/// first on one preemptible server.
double sharedServerSum(std::vector<std::pair<double, double>> Jobs,
                       const std::vector<Speed> &Speeds) {
  std::sort(Jobs.begin(), Jobs.end());
  std::priority_queue<double, std::vector<double>, std::greater<>> Rest;
  double Now = 0;
  double Sum = 0;
  size_t Phase = 0;
  // Each unit of time costs as much as there are jobs in the system.
  auto Advance = [&](double Until) {
    while (!Rest.empty() && Now < Until) {
      while (Phase + 1 < Speeds.size() && Speeds[Phase + 1].m_From <= Now)
        ++Phase;
      const double Share = Speeds[Phase].m_Share;
      double Span = std::min(Rest.top() / Share, Until - Now);
      if (Phase + 1 < Speeds.size())
        Span = std::min(Span, Speeds[Phase + 1].m_From - Now);
      Sum += Span * static_cast<double>(Rest.size());
      const double Left = Rest.top() - Span * Share;
      Rest.pop();
      Now += Span;
      if (Left > 1e-9)
        Rest.push(Left);
    }
    Now = std::max(Now, Until);
  };
  for (const auto &[At, Work] : Jobs) {
    Advance(At);
    Rest.push(Work);
  }
  while (!Rest.empty())
    Advance(Now + Hour);
  return Sum;
}

} // namespace

double completionBound(const Table &Source, Duration StartOverhead) {
  Resources Capacity;
  for (const WorkerUp &Each : Source.m_Workers) {
    Capacity.m_Accelerators += Each.m_Capacity.m_Accelerators;
    Capacity.m_Cores += Each.m_Capacity.m_Cores;
  }
  double Total = 0;
  for (const bool WithAccelerators : {true, false}) {
    std::vector<std::pair<double, double>> Jobs;
    double RunTimes = 0;
    for (const Arrival &Each : Source.m_Jobs) {
      const Resources &PerTask = Each.m_Spec.m_PerTask;
      if ((PerTask.m_Accelerators > 0) != WithAccelerators)
        continue;
      const double Seconds =
          static_cast<double>((Each.m_RunTime + StartOverhead).count()) / 1e6;
      const double Share =
          WithAccelerators ? static_cast<double>(PerTask.m_Accelerators) /
                                 static_cast<double>(Capacity.m_Accelerators)
                           : static_cast<double>(PerTask.m_Cores) /
                                 static_cast<double>(Capacity.m_Cores);
      Jobs.emplace_back(
          static_cast<double>(Each.m_At.time_since_epoch().count()) / 1e6,
          Seconds * Share * Each.m_Spec.m_Tasks);
      RunTimes += Seconds;
    }
    Total += std::max(
        RunTimes,
        sharedServerSum(std::move(Jobs),
                        speedsOf(Source, WithAccelerators
                                             ? &Resources::m_Accelerators
                                             : &Resources::m_Cores)));
  }
  return Total / static_cast<double>(Source.m_Jobs.size());
}

} // namespace anvil::bench
