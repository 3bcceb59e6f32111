#ifndef ANVIL_CHART_STANDARDCHARTS_H
#define ANVIL_CHART_STANDARDCHARTS_H

#include <string_view>

#include "absl/status/statusor.h"

#include "anvil/chart/StateChart.h"

namespace anvil::chart {

/// Parses a chart from YAML text; errors give \p Origin as the file name.
///
/// Keys: `chart`, `initial`, `final`, `required`, `states`; each state has `on`
/// (event: target) and `ignore`. Unknown and duplicate keys are
/// InvalidArgument errors with file and line. StateChart::create()
/// checks the states and transitions.
absl::StatusOr<ChartDefinition> parseChart(std::string_view Yaml,
                                           std::string_view Origin);

/// Parses and checks charts/\p Name.yaml, which is embedded in the program at
/// build time. \returns NotFound if no such chart is embedded.
absl::StatusOr<StateChart> standardChart(std::string_view Name);

namespace internal {
/// Returns the text of charts/\p Name.yaml, or an empty view if there is no
/// such chart.
std::string_view embeddedChartText(std::string_view Name);
} // namespace internal

} // namespace anvil::chart

#endif // ANVIL_CHART_STANDARDCHARTS_H
