#ifndef ANVIL_METRICS_METRICS_H
#define ANVIL_METRICS_METRICS_H

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "anvil/base/Time.h"

namespace anvil::metrics {

/// Quantiles, count, sum and maximum of durations, in constant memory.
///
/// The quantiles 0.5, 0.9, 0.99 and 0.999 are exact for up to 16 durations.
/// From then on the P-square algorithm estimates them over all durations added
/// so far.
class TimeSummary {
public:
  TimeSummary();
  ~TimeSummary();
  TimeSummary(TimeSummary &&) noexcept;
  TimeSummary &operator=(TimeSummary &&) noexcept;

  void add(Duration Value);

  /// One quantile, exact or estimated.
  struct Quantile {
    double m_Share = 0;   ///< Rank, between 0 and 1.
    double m_Seconds = 0; ///< 0 if no duration was added.
  };
  /// Returns the four quantiles in ascending order.
  std::vector<Quantile> quantiles() const;
  int64_t count() const;
  /// Returns the sum of all durations in seconds.
  double sumSeconds() const;
  /// Returns the longest duration in seconds, or 0 if none was added.
  double maxSeconds() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

/// One label of a sample. The value is escaped when it is written; the name
/// must be a valid label name.
struct Label {
  std::string_view m_Name;
  std::string_view m_Value;
};

/// Writes metrics in the Prometheus text format, version 0.0.4.
///
/// Usage: start each metric with counter(), gauge() or histogram() and add its
/// values with sample() or buckets(); summary() writes a whole metric. text()
/// returns the result.
class PrometheusText {
public:
  /// Starts a metric of type counter, whose values never decrease.
  void counter(std::string_view Name, std::string_view Help) {
    writeHeader(Name, Help, "counter");
  }
  /// Starts a metric of type gauge.
  void gauge(std::string_view Name, std::string_view Help) {
    writeHeader(Name, Help, "gauge");
  }
  /// Starts a metric of type histogram; buckets() adds its series.
  void histogram(std::string_view Name, std::string_view Help) {
    writeHeader(Name, Help, "histogram");
  }
  /// Adds one series to the histogram that was started last. \p Bounds are the
  /// upper bounds of the buckets in ascending order. \p Counts has the number
  /// of values in each bucket, not cumulative; its additional last item is for
  /// values above all bounds. \p Sum is the sum of all values.
  void buckets(std::span<const double> Bounds, std::span<const int64_t> Counts,
               double Sum, const std::vector<Label> &Labels);
  /// Adds a value to the counter or gauge that was started last.
  void sample(double Value, const std::vector<Label> &Labels = {});
  /// Writes a whole metric of type summary without labels.
  void summary(std::string_view Name, std::string_view Help,
               const TimeSummary &Times);

  /// Returns all that was written so far.
  const std::string &text() const { return m_Text; }

private:
  void writeHeader(std::string_view Name, std::string_view Help,
                   std::string_view Type);
  void writeLine(std::string_view Name, double Value,
                 const std::vector<Label> &Labels);

  std::string m_Name; // Of the metric that was started last.
  std::string m_Text;
};

/// Content type of the Prometheus text format.
inline constexpr std::string_view PrometheusContentType =
    "text/plain; version=0.0.4; charset=utf-8";

} // namespace anvil::metrics

#endif // ANVIL_METRICS_METRICS_H
