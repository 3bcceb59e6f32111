#include "Report.h"

#include <cstdio>
#include <fstream>

#include <boost/json.hpp>

#include "absl/strings/str_format.h"

namespace anvil::bench {

namespace {

constexpr const char *ClassNames[UrgencyCount] = {"urgent", "working-day",
                                                  "batch", "overnight"};

void printPolicy(const std::string &Name, const TableFigures &Table,
                 const Figures &Each) {
  absl::PrintF(
      "  %-10s mean %8.1f s  x bound %6.2f  unfinished %d  given up %d\n", Name,
      Each.m_MeanCompletion, Each.m_MeanCompletion / Table.m_Bound,
      Each.m_Unfinished, Each.m_GivenUp);
  for (int Class = 0; Class < UrgencyCount; ++Class) {
    const ClassFigures &Figure = Each.m_Classes[Class];
    if (Figure.m_Jobs > 0)
      absl::PrintF("    %-12s n %5d  mean %8.1f  p50 %8.1f  p99 %9.1f  late "
                   "%6.3f%%  start p99 %8.1f\n",
                   ClassNames[Class], Figure.m_Jobs, Figure.m_Mean,
                   Figure.m_Median, Figure.m_P99, 100 * Figure.m_LateShare,
                   Figure.m_StartP99);
  }
  absl::PrintF("    unusable free accelerators for gangs of 8 / 64 / 256: "
               "%.1f%% / %.1f%% / %.1f%%\n",
               100 * Each.m_Fragmentation[0], 100 * Each.m_Fragmentation[1],
               100 * Each.m_Fragmentation[2]);
  absl::PrintF(
      "    accelerators idle while more are asked for than exist: %.1f%%\n",
      100 * Each.m_IdleWhileShort);
  if (Each.m_OutageAllowed > 0)
    absl::PrintF(
        "    zone outage: work %.2f%% of what the remaining capacity allows\n",
        100 * Each.m_OutageWork / Each.m_OutageAllowed);
  absl::PrintF("    lost work %.2f%%  reclaims %d (p50 %.2f s, p99 %.2f s)  "
               "guarantee claims %d broken %d\n",
               100 * Each.m_LostWork / Each.m_Work, Each.m_Reclaims,
               Each.m_ReclaimP50, Each.m_ReclaimP99, Each.m_GuaranteeClaims,
               Each.m_GuaranteeBreaks);
  absl::PrintF("    partial gangs %d  doubled %d  starts in a withdrawn zone "
               "%d  over capacity %d  quarantines %d\n",
               Each.m_PartialGangs, Each.m_Doubled, Each.m_StartsWithdrawn,
               Each.m_OverCapacity, Each.m_Quarantines);
}

void printTarget(const std::string &Name, double Value, double Target,
                 bool AtMost, const char *Unit) {
  const bool Met = AtMost ? Value <= Target : Value >= Target;
  if (Met)
    absl::PrintF("  met     %-58s %10.3f %s (target %s %g)\n", Name, Value,
                 Unit, AtMost ? "<=" : ">=", Target);
  else
    absl::PrintF("  MISSED  %-58s %10.3f %s (target %s %g, missed by %.3f)\n",
                 Name, Value, Unit, AtMost ? "<=" : ">=", Target,
                 AtMost ? Value - Target : Target - Value);
}

void printTargets(const TableFigures &Table) {
  const Figures &Ours = Table.m_Policies[0];
  const std::string Name =
      absl::StrFormat("%s/%d", Table.m_Table, Table.m_Seed);
  const double MostPossible =
      Table.m_Policies[1].m_MeanCompletion / Table.m_Bound;
  if (MostPossible < 2)
    absl::PrintF("  note    %s: no schedule can be more than %.2f times better "
                 "than fcfs here\n",
                 Name, MostPossible);
  printTarget(Name + ": times better than fcfs",
              Table.m_Policies[1].m_MeanCompletion / Ours.m_MeanCompletion, 2,
              false, "x");
  printTarget(Name + ": times better than fcfs-skip",
              Table.m_Policies[2].m_MeanCompletion / Ours.m_MeanCompletion, 2,
              false, "x");
  printTarget(Name + ": mean completion over bound",
              Ours.m_MeanCompletion / Table.m_Bound, 1.25, true, "x");
  if (Ours.m_Classes[0].m_Jobs > 0)
    printTarget(Name + ": urgent start p99", Ours.m_Classes[0].m_StartP99, 5.5,
                true, "s");
  if (Ours.m_Classes[1].m_Jobs > 0)
    printTarget(Name + ": late working-day jobs",
                100 * Ours.m_Classes[1].m_LateShare, 0.1, true, "%");
  if (Ours.m_OutageAllowed > 0)
    printTarget(Name + ": work while a zone leaves and returns",
                100 * Ours.m_OutageWork / Ours.m_OutageAllowed, 95, false, "%");
  printTarget(Name + ": broken guarantees",
              static_cast<double>(Ours.m_GuaranteeBreaks), 0, true, "");
  printTarget(Name + ": partial gangs",
              static_cast<double>(Ours.m_PartialGangs), 0, true, "");
  printTarget(Name + ": doubled non-idempotent jobs",
              static_cast<double>(Ours.m_Doubled), 0, true, "");
  printTarget(Name + ": starts in a withdrawn zone",
              static_cast<double>(Ours.m_StartsWithdrawn), 0, true, "");
}

void printCost(const std::vector<CostFigures> &Sizes) {
  absl::PrintF("\ndecision cost, one core; times in ms\n  %7s %6s %7s %8s %8s "
               "%9s %8s %8s %8s %9s %9s %8s %13s %7s\n",
               "workers", "accel", "tasks", "p50", "p99", "scans/dec",
               "backlog", "p50", "p99", "scans/dec", "withdraw", "lost",
               "cancel", "MB");
  for (const CostFigures &Each : Sizes)
    absl::PrintF("  %7d %6d %7d %8.3f %8.3f %9.0f %8d %8.3f %8.3f %9.0f %9.1f "
                 "%8.1f %7.1f/%5d %7.2f\n",
                 Each.m_Workers, Each.m_Accelerators, Each.m_Tasks,
                 Each.m_DecisionP50, Each.m_DecisionP99,
                 Each.m_ScansPerDecision, Each.m_Backlog, Each.m_BacklogP50,
                 Each.m_BacklogP99, Each.m_BacklogScans, Each.m_ZoneWithdrawn,
                 Each.m_ZoneLost, Each.m_CancelWave, Each.m_Cancelled,
                 Each.m_StateMegabytes);
  absl::PrintF("  slope %25.2f %8.2f %9.2f %17.2f %8.2f %9.2f %9.2f %8.2f "
               "%7.2f %13.2f\n",
               slopeOf(Sizes, &CostFigures::m_DecisionP50),
               slopeOf(Sizes, &CostFigures::m_DecisionP99),
               slopeOf(Sizes, &CostFigures::m_ScansPerDecision),
               slopeOf(Sizes, &CostFigures::m_BacklogP50),
               slopeOf(Sizes, &CostFigures::m_BacklogP99),
               slopeOf(Sizes, &CostFigures::m_BacklogScans),
               slopeOf(Sizes, &CostFigures::m_ZoneWithdrawn),
               slopeOf(Sizes, &CostFigures::m_ZoneLost),
               slopeOf(Sizes, &CostFigures::m_CancelWave),
               slopeOf(Sizes, &CostFigures::m_StateMegabytes));
}

boost::json::object jsonOf(const Figures &Each) {
  boost::json::object Result;
  for (int Class = 0; Class < UrgencyCount; ++Class) {
    const ClassFigures &Figure = Each.m_Classes[Class];
    Result[ClassNames[Class]] = {
        {"jobs", Figure.m_Jobs},           {"finished", Figure.m_Finished},
        {"mean_s", Figure.m_Mean},         {"p50_s", Figure.m_Median},
        {"p99_s", Figure.m_P99},           {"late_share", Figure.m_LateShare},
        {"start_p99_s", Figure.m_StartP99}};
  }
  Result["mean_completion_s"] = Each.m_MeanCompletion;
  Result["unfinished"] = Each.m_Unfinished;
  Result["given_up"] = Each.m_GivenUp;
  Result["unusable_free_share"] = {Each.m_Fragmentation[0],
                                   Each.m_Fragmentation[1],
                                   Each.m_Fragmentation[2]};
  Result["idle_while_short_share"] = Each.m_IdleWhileShort;
  Result["work_acc_s"] = Each.m_Work;
  Result["lost_work_acc_s"] = Each.m_LostWork;
  Result["outage_work_acc_s"] = Each.m_OutageWork;
  Result["outage_allowed_acc_s"] = Each.m_OutageAllowed;
  Result["reclaims"] = Each.m_Reclaims;
  Result["reclaim_p50_s"] = Each.m_ReclaimP50;
  Result["reclaim_p99_s"] = Each.m_ReclaimP99;
  Result["guarantee_claims"] = Each.m_GuaranteeClaims;
  Result["guarantee_breaks"] = Each.m_GuaranteeBreaks;
  Result["partial_gangs"] = Each.m_PartialGangs;
  Result["doubled"] = Each.m_Doubled;
  Result["starts_withdrawn"] = Each.m_StartsWithdrawn;
  Result["over_capacity"] = Each.m_OverCapacity;
  Result["quarantines"] = Each.m_Quarantines;
  return Result;
}

} // namespace

void printReport(const std::vector<TableFigures> &Tables,
                 const std::vector<CostFigures> &Sizes) {
  for (const TableFigures &Table : Tables) {
    absl::PrintF(
        "\n%s seed %d, load %.2f, bound on the mean completion time %.1f s\n",
        Table.m_Table, Table.m_Seed, Table.m_Load, Table.m_Bound);
    for (size_t I = 0; I < Table.m_Policies.size(); ++I)
      printPolicy(PolicyNames[I], Table, Table.m_Policies[I]);
  }
  if (!Sizes.empty())
    printCost(Sizes);
  absl::PrintF("\ntargets\n");
  for (const TableFigures &Table : Tables)
    printTargets(Table);
  if (Sizes.empty())
    return;
  const CostFigures &Full = Sizes.back();
  printTarget("cost: decision p99 at full size", Full.m_DecisionP99, 10, true,
              "ms");
  printTarget("cost: decision p99 at full size with a backlog",
              Full.m_BacklogP99, 10, true, "ms");
  printTarget("cost: reaction to a withdrawn zone", Full.m_ZoneWithdrawn, 500,
              true, "ms");
  printTarget("cost: reaction to a lost zone", Full.m_ZoneLost, 500, true,
              "ms");
  printTarget("cost: wave of cancellations", Full.m_CancelWave, 1000, true,
              "ms");
  // n log n between the smallest and the largest size has about this slope.
  constexpr double NLogNSlope = 1.14;
  printTarget("cost: slope of scans per decision",
              slopeOf(Sizes, &CostFigures::m_ScansPerDecision), NLogNSlope,
              true, "");
  printTarget("cost: slope of decision p99",
              slopeOf(Sizes, &CostFigures::m_DecisionP99), NLogNSlope, true,
              "");
  printTarget("cost: slope of the wave of cancellations",
              slopeOf(Sizes, &CostFigures::m_CancelWave), NLogNSlope, true, "");
  printTarget("cost: slope of the reaction to a withdrawn zone",
              slopeOf(Sizes, &CostFigures::m_ZoneWithdrawn), NLogNSlope, true,
              "");
  printTarget("cost: slope of the reaction to a lost zone",
              slopeOf(Sizes, &CostFigures::m_ZoneLost), NLogNSlope, true, "");
  printTarget("cost: state", Full.m_StateMegabytes, 256, true, "MB");
}

bool writeJson(const std::string &Path, const std::vector<TableFigures> &Tables,
               const std::vector<CostFigures> &Sizes) {
  boost::json::array TableArray;
  for (const TableFigures &Table : Tables) {
    boost::json::object Policies;
    for (size_t I = 0; I < Table.m_Policies.size(); ++I)
      Policies[PolicyNames[I]] = jsonOf(Table.m_Policies[I]);
    TableArray.push_back({{"table", Table.m_Table},
                          {"seed", Table.m_Seed},
                          {"load", Table.m_Load},
                          {"bound_mean_completion_s", Table.m_Bound},
                          {"policies", Policies}});
  }
  boost::json::array CostArray;
  for (const CostFigures &Each : Sizes)
    CostArray.push_back({{"workers", Each.m_Workers},
                         {"accelerators", Each.m_Accelerators},
                         {"tasks", Each.m_Tasks},
                         {"decision_p50_ms", Each.m_DecisionP50},
                         {"decision_p99_ms", Each.m_DecisionP99},
                         {"scans_per_decision", Each.m_ScansPerDecision},
                         {"backlog", Each.m_Backlog},
                         {"backlog_p50_ms", Each.m_BacklogP50},
                         {"backlog_p99_ms", Each.m_BacklogP99},
                         {"backlog_scans_per_decision", Each.m_BacklogScans},
                         {"zone_scans", Each.m_ZoneScans},
                         {"zone_withdrawn_ms", Each.m_ZoneWithdrawn},
                         {"zone_lost_ms", Each.m_ZoneLost},
                         {"cancel_wave_ms", Each.m_CancelWave},
                         {"cancelled", Each.m_Cancelled},
                         {"state_mb", Each.m_StateMegabytes}});
  std::ofstream Out(Path);
  Out << boost::json::serialize(
             boost::json::object{{"tables", TableArray}, {"cost", CostArray}})
      << "\n";
  return Out.good();
}

} // namespace anvil::bench
