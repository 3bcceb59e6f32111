#include "anvil/chart/StandardCharts.h"

#include <algorithm>
#include <array>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "yaml-cpp/yaml.h"

#include "anvil/base/Port.h"

namespace anvil::chart {

namespace {

// Converts YAML nodes to a ChartDefinition; m_Status holds the first error.
class ChartReader {
public:
  explicit ChartReader(std::string_view Origin) : m_Origin(Origin) {}

  absl::StatusOr<ChartDefinition> read(const YAML::Node &Root) {
    checkKeys(Root, {"chart", "initial", "final", "required", "states"});
    ChartDefinition Chart;
    if (m_Status.ok()) {
      Chart.m_Name = readName(Root["chart"], Root, "chart");
      Chart.m_Initial = readName(Root["initial"], Root, "initial");
      Chart.m_Final = readNames(Root["final"], Root, "final");
      Chart.m_Required = readNames(Root["required"], Root, "required");
      readStates(Root["states"], Root, Chart);
    }
    if (!m_Status.ok())
      return m_Status;
    return Chart;
  }

private:
  void fail(const YAML::Node &Location, const std::string &Text) {
    if (m_Status.ok())
      m_Status = absl::InvalidArgumentError(
          absl::StrCat(m_Origin, ":", Location.Mark().line + 1, ": ", Text));
  }

  void checkKeys(const YAML::Node &Map,
                 const std::vector<std::string> &Allowed) {
    if (!Map.IsMap())
      return fail(Map, "expected a mapping");
    std::set<std::string> Seen;
    for (const auto &Entry : Map) {
      const std::string Key = Entry.first.Scalar();
      if (!Seen.insert(Key).second)
        fail(Entry.first, absl::StrCat("key ", Key, " appears twice"));
      if (!Allowed.empty() &&
          std::find(Allowed.begin(), Allowed.end(), Key) == Allowed.end())
        fail(Entry.first, absl::StrCat("key ", Key, " is unknown"));
    }
  }

  std::string readName(const YAML::Node &Node, const YAML::Node &Parent,
                       const std::string &Key) {
    if (Node && Node.IsScalar())
      return Node.Scalar();
    fail(Node ? Node : Parent, absl::StrCat("key ", Key, " must be a name"));
    return {};
  }

  std::vector<std::string> readNames(const YAML::Node &Node,
                                     const YAML::Node &Parent,
                                     const std::string &Key) {
    std::vector<std::string> Names;
    if (!Node)
      return Names;
    if (!Node.IsSequence()) {
      fail(Node, absl::StrCat("key ", Key, " must be a list of names"));
      return Names;
    }
    for (const YAML::Node &Item : Node)
      Names.push_back(readName(Item, Parent, Key));
    return Names;
  }

  void readStates(const YAML::Node &Node, const YAML::Node &Parent,
                  ChartDefinition &Chart) {
    if (!Node)
      return fail(Parent, "key states is missing");
    checkKeys(Node, {});
    if (!m_Status.ok())
      return;
    for (const auto &Entry : Node)
      Chart.m_States.push_back(readState(Entry.first.Scalar(), Entry.second));
  }

  StateDefinition readState(const std::string &Name, const YAML::Node &Node) {
    StateDefinition State;
    State.m_Name = Name;
    checkKeys(Node, {"on", "ignore"});
    if (!m_Status.ok())
      return State;
    State.m_Ignored = readNames(Node["ignore"], Node, "ignore");
    const YAML::Node Transitions = Node["on"];
    if (!Transitions)
      return State;
    checkKeys(Transitions, {});
    if (!m_Status.ok())
      return State;
    for (const auto &Entry : Transitions)
      State.m_Transitions.push_back(
          {Entry.first.Scalar(),
           readName(Entry.second, Transitions, Entry.first.Scalar())});
    return State;
  }

  std::string m_Origin;
  absl::Status m_Status;
};

} // namespace

absl::StatusOr<ChartDefinition> parseChart(std::string_view Yaml,
                                           std::string_view Origin) {
  try {
    return ChartReader(Origin).read(YAML::Load(std::string(Yaml)));
  } catch (const YAML::Exception &Error) {
    return absl::InvalidArgumentError(absl::StrCat(
        toAbsl(Origin), ":", Error.mark.line + 1, ": ", Error.msg));
  }
}

absl::StatusOr<StateChart> standardChart(std::string_view Name) {
  const std::string_view Text = internal::embeddedChartText(Name);
  if (Text.empty())
    return absl::NotFoundError(absl::StrCat(
        "chart ", toAbsl(Name), " is not embedded in this program"));
  absl::StatusOr<ChartDefinition> Definition =
      parseChart(Text, absl::StrCat("charts/", toAbsl(Name), ".yaml"));
  if (!Definition.ok())
    return Definition.status();
  return StateChart::create(*Definition);
}

} // namespace anvil::chart
