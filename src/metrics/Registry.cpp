#include "anvil/metrics/Registry.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace anvil::metrics {

namespace {

// Each call, outcome and event makes a series; a process has below a hundred.
constexpr size_t MaxSeries = 512;

std::vector<Label>
viewOf(const std::vector<std::pair<std::string, std::string>> &Labels) {
  std::vector<Label> Result;
  Result.reserve(Labels.size());
  for (const auto &[Name, Value] : Labels)
    Result.push_back({Name, Value});
  return Result;
}

} // namespace

template <typename Value>
Value *Registry::find(Families<Value> &In, const Metric &Of,
                      const std::vector<Label> &Labels) {
  Family<Value> &To = In[Of.m_Name];
  To.m_Help = Of.m_Help;
  std::vector<std::pair<std::string, std::string>> Key;
  Key.reserve(Labels.size());
  for (const Label &Each : Labels)
    Key.emplace_back(Each.m_Name, Each.m_Value);
  const auto Known = To.m_Series.find(Key);
  if (Known != To.m_Series.end())
    return &Known->second;
  if (m_SeriesCount >= MaxSeries) {
    ++m_Dropped;
    return nullptr;
  }
  ++m_SeriesCount;
  return &To.m_Series[std::move(Key)];
}

void Registry::count(const Metric &Of, const std::vector<Label> &Labels,
                     int64_t By) {
  if (int64_t *Counter = find(m_Counters, Of, Labels))
    *Counter += By;
}

void Registry::observe(const Metric &Of, const std::vector<Label> &Labels,
                       Duration Value) {
  Histogram *To = find(m_Histograms, Of, Labels);
  if (!To)
    return;
  const double Seconds = std::chrono::duration<double>(Value).count();
  const auto Bound =
      std::lower_bound(LatencyBounds.begin(), LatencyBounds.end(), Seconds);
  ++To->m_Counts[static_cast<size_t>(Bound - LatencyBounds.begin())];
  To->m_SumSeconds += Seconds;
}

std::string Registry::text() const {
  PrometheusText Writer;
  for (const auto &[Name, Of] : m_Counters) {
    Writer.counter(Name, Of.m_Help);
    for (const auto &[Labels, Count] : Of.m_Series)
      Writer.sample(static_cast<double>(Count), viewOf(Labels));
  }
  for (const auto &[Name, Of] : m_Histograms) {
    Writer.histogram(Name, Of.m_Help);
    for (const auto &[Labels, Times] : Of.m_Series)
      Writer.buckets(LatencyBounds, Times.m_Counts, Times.m_SumSeconds,
                     viewOf(Labels));
  }
  Writer.counter("anvil_metrics_dropped_total",
                 "Values of series over the bound of their number.");
  Writer.sample(static_cast<double>(m_Dropped));
  for (const Reader &Read : m_Readers)
    Read(Writer);
  return Writer.text();
}

} // namespace anvil::metrics
