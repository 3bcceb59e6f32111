#include "anvil/metrics/Metrics.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace anvil::metrics {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 4> QuantileRanks = {0.5, 0.9, 0.99, 0.999};
// The P-square estimate starts once it has two markers for each quantile; until
// then the durations themselves are stored.
constexpr size_t MaxExactTimes = 16;

using Accumulator = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max,
                       acc::tag::extended_p_square_quantile>>;

std::string formatNumber(double Value) {
  std::array<char, 40> Text{};
  const bool Whole = std::floor(Value) == Value && std::abs(Value) < 1e15;
  std::snprintf(Text.data(), Text.size(), Whole ? "%.0f" : "%.9g", Value);
  return Text.data();
}

std::string escapeLabelValue(std::string_view Value) {
  std::string Result;
  for (const char C : Value) {
    if (C == '\\' || C == '"')
      Result += '\\';
    if (C == '\n')
      Result += "\\n";
    else
      Result += C;
  }
  return Result;
}

} // namespace

struct TimeSummary::Impl {
  Accumulator m_Times{acc::extended_p_square_probabilities = QuantileRanks};
  std::vector<double> m_FirstTimes;

  double quantile(double Rank) const {
    if (acc::count(m_Times) > MaxExactTimes)
      return acc::quantile(m_Times, acc::quantile_probability = Rank);
    if (m_FirstTimes.empty())
      return 0;
    std::vector<double> Sorted = m_FirstTimes;
    std::sort(Sorted.begin(), Sorted.end());
    return Sorted[static_cast<size_t>(Rank *
                                      static_cast<double>(Sorted.size()))];
  }
};

TimeSummary::TimeSummary() : m_Impl(std::make_unique<Impl>()) {}
TimeSummary::~TimeSummary() = default;
TimeSummary::TimeSummary(TimeSummary &&) noexcept = default;
TimeSummary &TimeSummary::operator=(TimeSummary &&) noexcept = default;

void TimeSummary::add(Duration Value) {
  const double Seconds = 1e-6 * static_cast<double>(Value.count());
  m_Impl->m_Times(Seconds);
  if (m_Impl->m_FirstTimes.size() < MaxExactTimes)
    m_Impl->m_FirstTimes.push_back(Seconds);
}

std::vector<TimeSummary::Quantile> TimeSummary::quantiles() const {
  std::vector<Quantile> Result;
  Result.reserve(QuantileRanks.size());
  for (const double Rank : QuantileRanks)
    Result.push_back({Rank, m_Impl->quantile(Rank)});
  return Result;
}

int64_t TimeSummary::count() const {
  return static_cast<int64_t>(acc::count(m_Impl->m_Times));
}

double TimeSummary::sumSeconds() const { return acc::sum(m_Impl->m_Times); }

double TimeSummary::maxSeconds() const {
  return count() > 0 ? acc::max(m_Impl->m_Times) : 0;
}

void PrometheusText::writeHeader(std::string_view Name, std::string_view Help,
                                 std::string_view Type) {
  m_Name = Name;
  m_Text.append("# HELP ").append(Name).append(" ").append(Help).append("\n");
  m_Text.append("# TYPE ").append(Name).append(" ").append(Type).append("\n");
}

void PrometheusText::writeLine(std::string_view Name, double Value,
                               const std::vector<Label> &Labels) {
  m_Text.append(Name);
  for (size_t Index = 0; Index < Labels.size(); ++Index) {
    m_Text.append(Index == 0 ? "{" : ",").append(Labels[Index].m_Name);
    m_Text.append("=\"")
        .append(escapeLabelValue(Labels[Index].m_Value))
        .append("\"");
  }
  m_Text.append(Labels.empty() ? " " : "} ")
      .append(formatNumber(Value))
      .append("\n");
}

void PrometheusText::sample(double Value, const std::vector<Label> &Labels) {
  writeLine(m_Name, Value, Labels);
}

void PrometheusText::buckets(std::span<const double> Bounds,
                             std::span<const int64_t> Counts, double Sum,
                             const std::vector<Label> &Labels) {
  int64_t Total = 0;
  for (size_t I = 0; I < Counts.size(); ++I) {
    Total += Counts[I];
    const std::string Bound =
        I < Bounds.size() ? formatNumber(Bounds[I]) : "+Inf";
    std::vector<Label> WithBound = Labels;
    WithBound.push_back({"le", Bound});
    writeLine(m_Name + "_bucket", static_cast<double>(Total), WithBound);
  }
  writeLine(m_Name + "_sum", Sum, Labels);
  writeLine(m_Name + "_count", static_cast<double>(Total), Labels);
}

void PrometheusText::summary(std::string_view Name, std::string_view Help,
                             const TimeSummary &Times) {
  writeHeader(Name, Help, "summary");
  for (const TimeSummary::Quantile &Each : Times.quantiles())
    writeLine(Name, Each.m_Seconds, {{"quantile", formatNumber(Each.m_Share)}});
  writeLine(m_Name + "_sum", Times.sumSeconds(), {});
  writeLine(m_Name + "_count", static_cast<double>(Times.count()), {});
}

} // namespace anvil::metrics
