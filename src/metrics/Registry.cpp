#include "anvil/metrics/Registry.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace anvil::metrics {

namespace {

// Each combination of call, outcome and event is a series; a process has fewer
// than 100.
constexpr size_t MaxSeries = 512;

std::vector<Label>
toLabels(const std::vector<std::pair<std::string, std::string>> &Labels) {
  std::vector<Label> Result;
  Result.reserve(Labels.size());
  for (const auto &[Name, Value] : Labels)
    Result.push_back({Name, Value});
  return Result;
}

} // namespace

template <typename Value>
Value *Registry::findOrAddSeries(Families<Value> &AllFamilies,
                                 const Metric &Definition,
                                 const std::vector<Label> &Labels) {
  Family<Value> &MetricFamily = AllFamilies[Definition.m_Name];
  MetricFamily.m_Help = Definition.m_Help;
  std::vector<std::pair<std::string, std::string>> Key;
  Key.reserve(Labels.size());
  for (const Label &Each : Labels)
    Key.emplace_back(Each.m_Name, Each.m_Value);
  const auto Existing = MetricFamily.m_Series.find(Key);
  if (Existing != MetricFamily.m_Series.end())
    return &Existing->second;
  if (m_SeriesCount >= MaxSeries) {
    ++m_Dropped;
    return nullptr;
  }
  ++m_SeriesCount;
  return &MetricFamily.m_Series[std::move(Key)];
}

void Registry::count(const Metric &Definition, const std::vector<Label> &Labels,
                     int64_t Increment) {
  if (int64_t *Counter = findOrAddSeries(m_Counters, Definition, Labels))
    *Counter += Increment;
}

void Registry::observe(const Metric &Definition,
                       const std::vector<Label> &Labels, Duration Elapsed) {
  Histogram *Series = findOrAddSeries(m_Histograms, Definition, Labels);
  if (!Series)
    return;
  const double Seconds = std::chrono::duration<double>(Elapsed).count();
  const auto Bound =
      std::lower_bound(LatencyBounds.begin(), LatencyBounds.end(), Seconds);
  ++Series->m_Counts[static_cast<size_t>(Bound - LatencyBounds.begin())];
  Series->m_SumSeconds += Seconds;
}

std::string Registry::text() const {
  PrometheusText Writer;
  for (const auto &[Name, MetricFamily] : m_Counters) {
    Writer.counter(Name, MetricFamily.m_Help);
    for (const auto &[Labels, Count] : MetricFamily.m_Series)
      Writer.sample(static_cast<double>(Count), toLabels(Labels));
  }
  for (const auto &[Name, MetricFamily] : m_Histograms) {
    Writer.histogram(Name, MetricFamily.m_Help);
    for (const auto &[Labels, Times] : MetricFamily.m_Series)
      Writer.buckets(LatencyBounds, Times.m_Counts, Times.m_SumSeconds,
                     toLabels(Labels));
  }
  Writer.counter("anvil_metrics_dropped_total",
                 "Values of series over the bound of their number.");
  Writer.sample(static_cast<double>(m_Dropped));
  for (const Reader &Callback : m_Readers)
    Callback(Writer);
  return Writer.text();
}

} // namespace anvil::metrics
