#ifndef ANVIL_TESTS_DISPATCH_SIM_LOADREPLAY_H
#define ANVIL_TESTS_DISPATCH_SIM_LOADREPLAY_H

#include <functional>
#include <span>
#include <string_view>
#include <vector>

#include "Sheets.h"

namespace anvil::sim {

/// A load under which placement is judged: arrivals, bursts and faults.
struct LoadPattern {
  std::string_view m_Name;
  /// Times as many arrivals as the sheet says.
  double m_Load = 1;
  std::vector<Burst> m_Bursts;
  /// Schedules faults in the given span; may be empty.
  std::function<void(World &, Duration)> m_Faults;
};

/// The patterns that placement is judged by, calm first.
std::span<const LoadPattern> loadPatterns();

/// Returns the pattern of that name, or null.
const LoadPattern *loadPatternNamed(std::string_view Name);

/// What callers got in one or more replays.
struct ReplayFigures {
  /// Weighted share of what callers could get, of all jobs and by kind.
  double m_Worth = 0;
  std::vector<double> m_WorthByKind;
  /// The same share of the worst quarter of all spans of four seconds.
  double m_WorstSpans = 0;
  /// Core seconds that were worked and not kept, a replay.
  double m_LostCoreSeconds = 0;
  /// Runs that were started, a replay.
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

/// Plays \p Count seeds from \p First of a pattern and returns the means.
ReplayFigures replayLoad(const Sheet &Of, const LoadPattern &Pattern,
                         uint64_t First, uint64_t Count,
                         const ReplayHooks &Hooks = {});

} // namespace anvil::sim

#endif // ANVIL_TESTS_DISPATCH_SIM_LOADREPLAY_H
