#include "anvil/metrics/Metrics.h"

#include <boost/test/unit_test.hpp>

namespace {
using namespace anvil;
} // namespace

BOOST_AUTO_TEST_SUITE(MetricsTest)

// Guards against text that a Prometheus server can't parse, such as an
// unescaped quote in a label value.
BOOST_AUTO_TEST_CASE(WritesThePrometheusTextFormat) {
  metrics::PrometheusText Writer;
  Writer.counter("anvil_refused_total", "Refused requests.");
  Writer.sample(3, {{"reason", "queue_full"}});
  Writer.sample(1, {{"reason", "a\"b\\c\nd"}, {"class", "x"}});
  Writer.gauge("anvil_load", "Load.");
  Writer.sample(0.25);

  BOOST_TEST(
      Writer.text() ==
      "# HELP anvil_refused_total Refused requests.\n"
      "# TYPE anvil_refused_total counter\n"
      "anvil_refused_total{reason=\"queue_full\"} 3\n"
      "anvil_refused_total{reason=\"a\\\"b\\\\c\\nd\",class=\"x\"} 1\n"
      "# HELP anvil_load Load.\n# TYPE anvil_load gauge\nanvil_load 0.25\n");
}

// Guards against quantiles in another unit or order than documented. Durations
// of 1 to 1000 ms in a scattered order have known quantiles.
BOOST_AUTO_TEST_CASE(EstimatesQuantiles) {
  metrics::TimeSummary Times;
  BOOST_TEST(Times.quantiles()[0].m_Seconds == 0);
  metrics::TimeSummary Few;
  for (const int Millis : {30, 10, 20})
    Few.add(std::chrono::milliseconds(Millis));
  BOOST_TEST(Few.quantiles()[0].m_Seconds == 0.02,
             boost::test_tools::tolerance(1e-9));
  BOOST_TEST(Few.quantiles()[3].m_Seconds == 0.03,
             boost::test_tools::tolerance(1e-9));
  for (int64_t Index = 0; Index < 1000; ++Index)
    Times.add(std::chrono::milliseconds(1 + (Index * 617) % 1000));

  BOOST_TEST(Times.count() == 1000);
  BOOST_TEST(Times.sumSeconds() == 500.5, boost::test_tools::tolerance(1e-9));
  for (const metrics::TimeSummary::Quantile &Each : Times.quantiles())
    BOOST_TEST(Each.m_Seconds == Each.m_Share,
               boost::test_tools::tolerance(0.02));
}

BOOST_AUTO_TEST_SUITE_END()
