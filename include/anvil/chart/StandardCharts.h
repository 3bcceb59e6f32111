#ifndef ANVIL_CHART_STANDARDCHARTS_H
#define ANVIL_CHART_STANDARDCHARTS_H

#include <string_view>

#include "absl/status/statusor.h"

#include "anvil/chart/StateChart.h"

namespace anvil::chart {

/// Reads a chart from YAML text; \p Origin names the file in errors.
///
/// Keys: `chart`, `initial`, `final`, `required`, `states`; each state has `on`
/// (event: target) and `ignore`. Unknown and duplicate keys are errors with
/// file and line.
absl::StatusOr<ChartDefinition> parseChart(std::string_view Yaml,
                                           std::string_view Origin);

/// Reads and checks charts/\p Name.yaml as it was when the program was built.
absl::StatusOr<StateChart> standardChart(std::string_view Name);

namespace internal {
/// Returns the text of charts/\p Name.yaml, or an empty view if there is no
/// such chart.
std::string_view embeddedChartText(std::string_view Name);
} // namespace internal

} // namespace anvil::chart

#endif // ANVIL_CHART_STANDARDCHARTS_H
