#include "anvil/metrics/Registry.h"

#include <boost/test/unit_test.hpp>

namespace anvil::metrics {
namespace {

constexpr Metric Calls{"anvil_calls_total", "Calls."};
constexpr Metric CallTime{"anvil_call_seconds", "Time to an answer."};

bool hasLine(const std::string &Text, std::string_view Line) {
  return Text.find(std::string(Line) + "\n") != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RegistryTest)

// Guards against values with different labels being added up in one series.
BOOST_AUTO_TEST_CASE(CountsEachSetOfLabelsSeparately) {
  Registry Metrics;
  Metrics.count(Calls, {{"outcome", "ok"}});
  Metrics.count(Calls, {{"outcome", "ok"}}, 2);
  Metrics.count(Calls, {{"outcome", "refused"}});
  const std::string Text = Metrics.text();
  BOOST_TEST(hasLine(Text, "# TYPE anvil_calls_total counter"), Text);
  BOOST_TEST(hasLine(Text, "anvil_calls_total{outcome=\"ok\"} 3"), Text);
  BOOST_TEST(hasLine(Text, "anvil_calls_total{outcome=\"refused\"} 1"), Text);
}

// Guards against buckets that are not cumulative, and against a duration equal
// to a bound or above the last one being counted in a wrong bucket.
BOOST_AUTO_TEST_CASE(WritesCumulativeBuckets) {
  Registry Metrics;
  for (const int Millis : {1, 2, 3, 30'000})
    Metrics.observe(CallTime, {{"call", "submit"}},
                    std::chrono::milliseconds(Millis));
  const std::string Text = Metrics.text();
  const std::string Bucket = "anvil_call_seconds_bucket{call=\"submit\",le=";
  BOOST_TEST(hasLine(Text, Bucket + "\"0.002\"} 2"), Text);
  BOOST_TEST(hasLine(Text, Bucket + "\"0.005\"} 3"), Text);
  BOOST_TEST(hasLine(Text, Bucket + "\"10\"} 3"), Text);
  BOOST_TEST(hasLine(Text, Bucket + "\"+Inf\"} 4"), Text);
  BOOST_TEST(hasLine(Text, "anvil_call_seconds_count{call=\"submit\"} 4"),
             Text);
}

// Guards against unbounded memory when callers send ever new texts that become
// label values.
BOOST_AUTO_TEST_CASE(DropsSeriesOverTheLimit) {
  Registry Metrics;
  for (int I = 0; I < 600; ++I)
    Metrics.count(Calls, {{"outcome", std::to_string(I)}});
  Metrics.count(Calls, {{"outcome", "0"}});
  const std::string Text = Metrics.text();
  BOOST_TEST(hasLine(Text, "anvil_calls_total{outcome=\"0\"} 2"));
  BOOST_TEST(hasLine(Text, "anvil_metrics_dropped_total 88"));
}

// Guards against gauges that are read once and keep their first value.
BOOST_AUTO_TEST_CASE(ReadsGaugesAtEachCallOfText) {
  Registry Metrics;
  int Value = 1;
  Metrics.addReader([&](PrometheusText &Writer) {
    Writer.gauge("anvil_leads", "Leads.");
    Writer.sample(Value);
  });
  BOOST_TEST(hasLine(Metrics.text(), "anvil_leads 1"));
  Value = 0;
  BOOST_TEST(hasLine(Metrics.text(), "anvil_leads 0"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::metrics
