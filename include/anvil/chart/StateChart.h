#ifndef ANVIL_CHART_STATECHART_H
#define ANVIL_CHART_STATECHART_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace anvil::chart {

/// One transition of a state, named as in the chart file.
struct TransitionDefinition {
  std::string m_Event;
  std::string m_Target;
};

/// One state of a chart.
struct StateDefinition {
  std::string m_Name;
  std::vector<TransitionDefinition> m_Transitions;
  /// Required events that this state ignores on purpose.
  std::vector<std::string> m_Ignored;
};

/// A chart as written, before it is checked.
struct ChartDefinition {
  std::string m_Name;
  std::string m_Initial;
  /// Final states have no transitions and need no entry in m_States.
  std::vector<std::string> m_Final;
  /// Events that every state that is not final must handle or ignore.
  std::vector<std::string> m_Required;
  std::vector<StateDefinition> m_States;
};

/// Number of a state or an event in its chart.
using StateIndex = int16_t;
using EventIndex = int16_t;

/// Checked chart with numbered states and events.
///
/// Usage: create() it from a definition, resolve names once with stateNamed()
/// and eventNamed(), then call next(), which is one array access. Enumerations
/// are bound to a chart with BoundChart.
class StateChart {
public:
  /// Checks \p Definition; an InvalidArgument error lists every fault with the
  /// names of the chart and the state.
  static absl::StatusOr<StateChart> create(const ChartDefinition &Definition);

  /// Returns the name that errors and charts/ use.
  const std::string &name() const { return m_Name; }

  /// Returns the state in which everything starts.
  StateIndex initial() const { return m_Initial; }

  /// Returns the state after \p Event in \p From, or nothing if the state
  /// ignores the event.
  std::optional<StateIndex> next(StateIndex From, EventIndex Event) const {
    const StateIndex Target =
        m_Next[static_cast<size_t>(From) * m_Events.size() +
               static_cast<size_t>(Event)];
    return Target < 0 ? std::nullopt : std::optional<StateIndex>(Target);
  }

  /// Returns true if no event leaves \p State.
  bool isFinal(StateIndex State) const {
    return m_IsFinal[static_cast<size_t>(State)];
  }

  /// Returns the number of a name, or nothing if the chart has no such state or
  /// event.
  std::optional<StateIndex> stateNamed(std::string_view Name) const;
  std::optional<EventIndex> eventNamed(std::string_view Name) const;

  /// Return the names by number.
  const std::vector<std::string> &states() const { return m_States; }
  const std::vector<std::string> &events() const { return m_Events; }

private:
  StateChart() = default;

  std::string m_Name;
  std::vector<std::string> m_States;
  std::vector<std::string> m_Events;
  std::vector<StateIndex> m_Next;
  std::vector<bool> m_IsFinal;
  StateIndex m_Initial = 0;
};

namespace internal {
/// Maps enumerators to chart numbers; an error if the names and the chart
/// differ in either direction.
absl::StatusOr<std::vector<int16_t>>
bindNames(std::string_view Chart, std::string_view Kind,
          std::span<const std::string_view> EnumeratorNames,
          const std::vector<std::string> &ChartNames);
} // namespace internal

/// Chart whose states and events are enumerations that count up from 0.
///
/// Usage: `auto Bound = BoundChart<Phase, Event>::create(Chart, PhaseNames,
/// EventNames);` with the names in the order of the enumerators; then
/// `Bound->next(Phase::Queued, Event::Place)`.
template <typename State, typename Event> class BoundChart {
public:
  /// Binds \p Chart; an error names the state or event that only the chart or
  /// only the enumeration has.
  static absl::StatusOr<BoundChart>
  create(const StateChart &Chart, std::span<const std::string_view> StateNames,
         std::span<const std::string_view> EventNames) {
    auto States =
        internal::bindNames(Chart.name(), "state", StateNames, Chart.states());
    if (!States.ok())
      return States.status();
    auto Events =
        internal::bindNames(Chart.name(), "event", EventNames, Chart.events());
    if (!Events.ok())
      return Events.status();
    return BoundChart(Chart, *States, *Events);
  }

  /// Returns the state after \p On in \p From, or nothing if the state ignores
  /// the event.
  std::optional<State> next(State From, Event On) const {
    const int16_t Target = m_Next[static_cast<size_t>(From) * m_EventCount +
                                  static_cast<size_t>(On)];
    return Target < 0 ? std::nullopt
                      : std::optional<State>(static_cast<State>(Target));
  }

  /// Returns the state in which everything starts.
  State initial() const { return m_Initial; }

  /// Returns true if no event leaves \p Of.
  bool isFinal(State Of) const { return m_IsFinal[static_cast<size_t>(Of)]; }

private:
  BoundChart(const StateChart &Chart, const std::vector<int16_t> &States,
             const std::vector<int16_t> &Events)
      : m_EventCount(Events.size()), m_IsFinal(States.size()) {
    std::vector<int16_t> EnumeratorOf(States.size());
    for (size_t I = 0; I < States.size(); ++I) {
      EnumeratorOf[static_cast<size_t>(States[I])] = static_cast<int16_t>(I);
      m_IsFinal[I] = Chart.isFinal(States[I]);
    }
    for (const StateIndex From : States) {
      for (const EventIndex On : Events) {
        const std::optional<StateIndex> To = Chart.next(From, On);
        m_Next.push_back(To ? EnumeratorOf[static_cast<size_t>(*To)]
                            : static_cast<int16_t>(-1));
      }
    }
    m_Initial =
        static_cast<State>(EnumeratorOf[static_cast<size_t>(Chart.initial())]);
  }

  size_t m_EventCount = 0;
  std::vector<int16_t> m_Next;
  std::vector<bool> m_IsFinal;
  State m_Initial{};
};

} // namespace anvil::chart

#endif // ANVIL_CHART_STATECHART_H
