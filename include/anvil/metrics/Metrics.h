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

/// Running quantiles of a time, in constant memory.
///
/// The quantiles 0.5, 0.9, 0.99 and 0.999 are exact for the first 16 times and
/// from then on estimated over all times since the start with the P-square
/// algorithm.
class TimeSummary {
public:
  TimeSummary();
  ~TimeSummary();
  TimeSummary(TimeSummary &&) noexcept;
  TimeSummary &operator=(TimeSummary &&) noexcept;

  void add(Duration Value);

  /// One estimated quantile.
  struct Quantile {
    double m_Share = 0;   ///< Between 0 and 1.
    double m_Seconds = 0; ///< 0 while there are no times.
  };
  std::vector<Quantile> quantiles() const;
  int64_t count() const;
  /// Returns the sum of all times in seconds.
  double sumSeconds() const;
  double maxSeconds() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

/// One label of a sample.
struct Label {
  std::string_view m_Name;
  std::string_view m_Value;
};

/// Writes metrics in the Prometheus text format, version 0.0.4.
///
/// Usage: for each metric call one of the heads, then its samples, then take
/// text().
class PrometheusText {
public:
  /// Starts a metric that only grows.
  void counter(std::string_view Name, std::string_view Help) {
    head(Name, Help, "counter");
  }
  /// Starts a metric that goes up and down.
  void gauge(std::string_view Name, std::string_view Help) {
    head(Name, Help, "gauge");
  }
  /// Starts a metric of type histogram, to be filled by buckets().
  void histogram(std::string_view Name, std::string_view Help) {
    head(Name, Help, "histogram");
  }
  /// Adds one series of the histogram that was started last. \p Counts has one
  /// more entry than \p Bounds, for values above all of them.
  void buckets(std::span<const double> Bounds, std::span<const int64_t> Counts,
               double Sum, const std::vector<Label> &Labels);
  /// Adds a value of the metric that was started last.
  void sample(double Value, const std::vector<Label> &Labels = {});
  /// Writes a whole metric of type summary without labels.
  void summary(std::string_view Name, std::string_view Help,
               const TimeSummary &Times);

  const std::string &text() const { return m_Text; }

private:
  void head(std::string_view Name, std::string_view Help,
            std::string_view Type);
  void line(std::string_view Name, double Value,
            const std::vector<Label> &Labels);

  std::string m_Name;
  std::string m_Text;
};

/// Content type of the Prometheus text format.
inline constexpr std::string_view PrometheusContentType =
    "text/plain; version=0.0.4; charset=utf-8";

} // namespace anvil::metrics

#endif // ANVIL_METRICS_METRICS_H
