#ifndef ANVIL_METRICS_REGISTRY_H
#define ANVIL_METRICS_REGISTRY_H

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "anvil/base/Time.h"
#include "anvil/metrics/Metrics.h"

namespace anvil::metrics {

/// Definition of a metric. Both texts must outlive the registry, as string
/// literals do.
struct Metric {
  std::string_view m_Name; ///< Such as "anvil_calls_total".
  std::string_view m_Help; ///< A short sentence on what it measures.
};

/// Upper bounds of the buckets of a latency histogram, in seconds: from the
/// delay within an availability zone to the longest time that a caller waits. A
/// further bucket takes longer times.
inline constexpr std::array<double, 12> LatencyBounds = {
    0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10};

/// Counters and latency histograms of one process.
///
/// The number of series is limited. Values of further series are dropped and
/// counted in "anvil_metrics_dropped_total". Usage:
///
///     constexpr Metric Calls{"anvil_call_seconds", "Time to an answer."};
///     Metrics.observe(Calls, {{"call", "submit"}}, Elapsed);
///
/// Not thread safe.
class Registry {
public:
  /// Writes metrics whose values are read at each call of text().
  using Reader = std::function<void(PrometheusText &)>;

  /// Adds \p Increment to the counter with these labels.
  void count(const Metric &Definition, const std::vector<Label> &Labels,
             int64_t Increment = 1);
  /// Adds a duration to the histogram with these labels.
  void observe(const Metric &Definition, const std::vector<Label> &Labels,
               Duration Elapsed);
  /// Adds a function that text() calls to write further metrics.
  void addReader(Reader Callback) { m_Readers.push_back(std::move(Callback)); }

  /// Returns all metrics in the Prometheus text format.
  std::string text() const;

private:
  struct Histogram {
    // Number of durations in each bucket, not cumulative; the last bucket is
    // above all bounds.
    std::array<int64_t, LatencyBounds.size() + 1> m_Counts{};
    double m_SumSeconds = 0;
  };
  template <typename Value> struct Family {
    std::string_view m_Help;
    // By label names and values.
    std::map<std::vector<std::pair<std::string, std::string>>, Value> m_Series;
  };
  template <typename Value>
  using Families = std::map<std::string_view, Family<Value>>;

  // Returns the series with these labels, which is added if it is new, or null
  // if the limit on series is reached.
  template <typename Value>
  Value *findOrAddSeries(Families<Value> &AllFamilies, const Metric &Definition,
                         const std::vector<Label> &Labels);

  Families<int64_t> m_Counters;
  Families<Histogram> m_Histograms;
  std::vector<Reader> m_Readers;
  size_t m_SeriesCount = 0;
  int64_t m_Dropped = 0;
};

} // namespace anvil::metrics

#endif // ANVIL_METRICS_REGISTRY_H
