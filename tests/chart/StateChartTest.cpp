#include "anvil/chart/StateChart.h"

#include <array>
#include <functional>
#include <string>

#include <boost/test/unit_test.hpp>

#include "anvil/base/Port.h"
#include "anvil/chart/StandardCharts.h"

namespace {

using namespace anvil::chart;

ChartDefinition doorChart() {
  ChartDefinition Chart;
  Chart.m_Name = "door";
  Chart.m_Initial = "open";
  Chart.m_Final = {"gone"};
  Chart.m_Required = {"shut", "remove"};
  Chart.m_States = {{"open", {{"shut", "closed"}, {"remove", "gone"}}, {}},
                    {"closed", {{"remove", "gone"}}, {"shut"}}};
  return Chart;
}

struct FaultCase {
  const char *m_Description;
  std::function<void(ChartDefinition &)> m_Mutate;
  const char *m_Expected;
};

enum class DoorState { Gone, Open, Closed };
enum class DoorEvent { Remove, Shut };

} // namespace

BOOST_AUTO_TEST_SUITE(StateChartTest)

// Guards against accepting a chart with a state that is unreachable, cannot
// reach a final state or leaves a required event open, and against an error
// message that does not tell where the fault is.
BOOST_AUTO_TEST_CASE(EachFaultIsNamedWithChartAndState) {
  const std::vector<FaultCase> Cases = {
      {"unreachable state",
       [](auto &Chart) {
         Chart.m_States.push_back({"ajar", {{"remove", "gone"}}, {"shut"}});
       },
       "chart door: state ajar: cannot be reached from the initial state"},
      {"required event not handled",
       [](auto &Chart) { Chart.m_States[1].m_Ignored.clear(); },
       "chart door: state closed: neither handles nor ignores required event "
       "shut"},
      {"required event handled nowhere",
       [](auto &Chart) {
         Chart.m_States[0].m_Transitions[0].m_Event = "close";
       },
       "chart door: required event shut is handled by no state"},
      {"unknown target",
       [](auto &Chart) {
         Chart.m_States[0].m_Transitions[0].m_Target = "cloesd";
       },
       "chart door: state open: event shut leads to unknown state cloesd"},
      {"no path to a final state",
       [](auto &Chart) {
         Chart.m_States[1] = {"closed", {{"remove", "closed"}}, {"shut"}};
       },
       "chart door: state closed: cannot reach a final state"},
      {"unknown initial state", [](auto &Chart) { Chart.m_Initial = "opne"; },
       "chart door: initial state opne is unknown"},
      {"no final state", [](auto &Chart) { Chart.m_Final.clear(); },
       "chart door: has no final state"},
      {"event handled twice",
       [](auto &Chart) {
         Chart.m_States[0].m_Transitions.push_back({"shut", "open"});
       },
       "chart door: state open: handles event shut twice"},
      {"state defined twice",
       [](auto &Chart) { Chart.m_States.push_back(Chart.m_States[1]); },
       "chart door: state closed: is defined twice"},
      {"event handled and ignored",
       [](auto &Chart) { Chart.m_States[0].m_Ignored = {"shut"}; },
       "chart door: state open: both handles and ignores event shut"},
      {"ignored event is not required",
       [](auto &Chart) { Chart.m_States[1].m_Ignored.push_back("knock"); },
       "chart door: state closed: ignores event knock, which is not a required "
       "event"},
      {"final state with transitions",
       [](auto &Chart) { Chart.m_Final.push_back("closed"); },
       "chart door: state closed: is final but has transitions"},
  };
  for (const FaultCase &Case : Cases) {
    BOOST_TEST_CONTEXT(Case.m_Description) {
      ChartDefinition Chart = doorChart();
      Case.m_Mutate(Chart);
      const absl::Status Status = StateChart::create(Chart).status();
      const std::string Message(Status.message());
      BOOST_TEST(Message.find(Case.m_Expected) != std::string::npos,
                 "got: " << Message);
    }
  }
}

// Guards against a check that stops at the first fault, so that the author of a
// chart has to correct one fault to see the next.
BOOST_AUTO_TEST_CASE(AllFaultsAreReportedTogether) {
  ChartDefinition Chart = doorChart();
  Chart.m_States[0].m_Transitions[0].m_Target = "cloesd";
  Chart.m_States[1].m_Ignored.clear();
  const std::string Message(StateChart::create(Chart).status().message());
  BOOST_TEST(Message.find("unknown state cloesd") != std::string::npos,
             Message);
  BOOST_TEST(Message.find("required event shut") != std::string::npos, Message);
}

// Guards against transitions that differ from the chart, and against an ignored
// event that changes the state.
BOOST_AUTO_TEST_CASE(FollowsTransitionsAndIgnoresOtherEvents) {
  const absl::StatusOr<StateChart> Chart = StateChart::create(doorChart());
  BOOST_REQUIRE(Chart.ok());
  const StateIndex Open = *Chart->stateNamed("open");
  const StateIndex Closed = *Chart->stateNamed("closed");
  const EventIndex Shut = *Chart->eventNamed("shut");
  BOOST_TEST(Chart->initial() == Open);
  BOOST_TEST((Chart->next(Open, Shut) == Closed));
  BOOST_TEST(!Chart->next(Closed, Shut).has_value());
  BOOST_TEST(Chart->isFinal(*Chart->stateNamed("gone")));
  BOOST_TEST(!Chart->eventNamed("knock").has_value());
}

// Guards against enumerators that are matched with the chart by position: in
// another order than the chart's they would stand for the wrong states.
BOOST_AUTO_TEST_CASE(BindsEnumeratorsByNameInAnyOrder) {
  const absl::StatusOr<StateChart> Chart = StateChart::create(doorChart());
  const std::array<std::string_view, 3> States = {"gone", "open", "closed"};
  const std::array<std::string_view, 2> Events = {"remove", "shut"};
  const auto Bound =
      BoundChart<DoorState, DoorEvent>::create(*Chart, States, Events);
  BOOST_REQUIRE(Bound.ok());
  BOOST_TEST((Bound->initial() == DoorState::Open));
  BOOST_TEST(
      (Bound->next(DoorState::Open, DoorEvent::Shut) == DoorState::Closed));
  BOOST_TEST(
      (Bound->next(DoorState::Closed, DoorEvent::Remove) == DoorState::Gone));
  BOOST_TEST(!Bound->next(DoorState::Gone, DoorEvent::Remove).has_value());
  BOOST_TEST(Bound->isFinal(DoorState::Gone));

  const auto Missing = BoundChart<DoorState, DoorEvent>::create(
      *Chart, std::span(States).first(2), Events);
  BOOST_TEST(Missing.status().message() ==
             "chart door: state closed is unknown to the program");
  const std::array<std::string_view, 2> Misspelt = {"remove", "slam"};
  const auto Unknown =
      BoundChart<DoorState, DoorEvent>::create(*Chart, States, Misspelt);
  BOOST_TEST(Unknown.status().message() ==
             "chart door: event slam is missing from the chart");
}

// Guards against an embedded chart that fails its checks when a program starts.
BOOST_AUTO_TEST_CASE(StandardChartsPassTheChecks) {
  for (const std::string Name : {"job", "task", "minion", "vm", "zone"}) {
    const absl::StatusOr<StateChart> Chart = standardChart(Name);
    BOOST_TEST(Chart.ok(), Name << ": " << Chart.status());
    if (Chart.ok())
      BOOST_TEST(Chart->name() == Name);
  }
  BOOST_TEST(standardChart("nothing").status().message() ==
             "chart nothing is not embedded in this program");
}

// Guards against mistakes in a chart file, such as a misspelt key, being
// accepted and ignored.
BOOST_AUTO_TEST_CASE(ParseErrorsNameFileAndLine) {
  struct Case {
    const char *m_Yaml;
    const char *m_Expected;
  };
  const std::vector<Case> Cases = {
      {"chart: a\nchart: b\n", "x.yaml:2: key chart appears twice"},
      {"chart: a\ninital: b\n", "x.yaml:2: key inital is unknown"},
      {"chart: a\ninitial: [b]\n", "x.yaml:2: key initial must be a name"},
      {"chart: a\ninitial: b\nfinal: c\nstates: {}\n",
       "x.yaml:3: key final must be a list of names"},
      {"chart: a\ninitial: b\nstates:\n  b: {on: {x: b, x: c}}\n",
       "x.yaml:4: key x appears twice"},
      {"chart: a\ninitial: b\nstates:\n  b:\n    at: {x: b}\n",
       "x.yaml:5: key at is unknown"},
      {"chart: [\n", "x.yaml:2: end of sequence flow not found"},
  };
  for (const Case &Each : Cases)
    BOOST_TEST(
        anvil::fromAbsl(parseChart(Each.m_Yaml, "x.yaml").status().message()) ==
        Each.m_Expected);
}

BOOST_AUTO_TEST_SUITE_END()
