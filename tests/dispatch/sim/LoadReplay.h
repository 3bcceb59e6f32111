#ifndef ANVIL_TESTS_DISPATCH_SIM_LOADREPLAY_H
#define ANVIL_TESTS_DISPATCH_SIM_LOADREPLAY_H

#include <functional>
#include <span>
#include <string_view>
#include <vector>

#include "DeploymentProfile.h"

namespace anvil::sim {

/// A load under which placement is judged: arrivals, bursts and faults.
struct LoadPattern {
  std::string_view m_Name;
  /// Factor on the arrival rates of the deployment profile.
  double m_Load = 1;
  std::vector<Burst> m_Bursts;
  /// Schedules faults within the given span; may be empty.
  std::function<void(SimCluster &, Duration)> m_Faults;
  /// Sets the speeds that the workers keep; the usual ones if empty.
  std::function<void(SimCluster &)> m_Speeds = nullptr;
  /// Share of the tasks of all kinds that are stragglers.
  double m_StragglerShare = 0;
};

/// Returns the patterns by which placement is judged; the one without bursts
/// and faults is first.
std::span<const LoadPattern> loadPatterns();

/// Returns the pattern of that name, or null.
const LoadPattern *loadPatternNamed(std::string_view Name);

/// Results of one or more replays.
struct ReplayMetrics {
  /// Share of the total value of all jobs that callers got, overall and by
  /// kind.
  double m_ValueShare = 0;
  std::vector<double> m_ValueShareByKind;
  /// The same share by workspace, in the order of the profile.
  std::vector<double> m_ValueShareByWorkspace;
  /// The same share over the worst quarter of all spans of four seconds.
  double m_WorstValueShare = 0;
  /// Core seconds of work that was lost, per replay.
  double m_LostCoreSeconds = 0;
  /// Runs that were started, per replay.
  double m_Starts = 0;
};

/// Receives what happens in a replay, for people.
struct ReplayHooks {
  /// Called for each job that missed its objective; may be empty.
  std::function<void(uint64_t Seed, const JobResult &Late, Duration Objective)>
      m_OnLate;
  /// Called for each event; may be empty.
  std::function<void(TimePoint, const std::string &)> m_Trace;
};

/// Replays \p Count seeds of a pattern, beginning with \p First, and returns
/// the means.
ReplayMetrics replayLoad(const DeploymentProfile &Profile,
                         const LoadPattern &Pattern, uint64_t First,
                         uint64_t Count, const ReplayHooks &Hooks = {});

} // namespace anvil::sim

#endif // ANVIL_TESTS_DISPATCH_SIM_LOADREPLAY_H
