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

/// One transition of a state. The names are those of the chart file.
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

/// Unchecked chart, as parsed from its file.
struct ChartDefinition {
  std::string m_Name;
  std::string m_Initial;
  /// Final states have no transitions and need no entry in m_States.
  std::vector<std::string> m_Final;
  /// Events that every state that is not final must handle or ignore.
  std::vector<std::string> m_Required;
  std::vector<StateDefinition> m_States;
};

/// Index of a state or an event in its chart, counted from 0.
using StateIndex = int16_t;
using EventIndex = int16_t;

/// Checked state machine whose states and events are numbered from 0.
///
/// Usage: create() it from a definition, resolve names once with stateNamed()
/// and eventNamed(), then call next(), which is one array access. BoundChart
/// takes enumerators instead of indexes.
class StateChart {
public:
  /// Checks \p Definition; an InvalidArgument error lists every fault with the
  /// names of the chart and the state.
  static absl::StatusOr<StateChart> create(const ChartDefinition &Definition);

  /// Returns the name that error messages and the file in charts/ use.
  const std::string &name() const { return m_Name; }

  /// Returns the state that an object has before its first event.
  StateIndex initial() const { return m_Initial; }

  /// Returns the state that follows \p Current on \p Event, or nothing if
  /// \p Current has no transition for the event.
  std::optional<StateIndex> next(StateIndex Current, EventIndex Event) const {
    const StateIndex Target =
        m_Next[static_cast<size_t>(Current) * m_Events.size() +
               static_cast<size_t>(Event)];
    return Target < 0 ? std::nullopt : std::optional<StateIndex>(Target);
  }

  /// Returns true if the chart lists \p State as final; it has no transitions.
  bool isFinal(StateIndex State) const {
    return m_IsFinal[static_cast<size_t>(State)];
  }

  /// Returns the index of a name, or nothing if the chart has no such state or
  /// event.
  std::optional<StateIndex> stateNamed(std::string_view Name) const;
  std::optional<EventIndex> eventNamed(std::string_view Name) const;

  /// Return the names by index.
  const std::vector<std::string> &states() const { return m_States; }
  const std::vector<std::string> &events() const { return m_Events; }

private:
  StateChart() = default;

  std::string m_Name;
  std::vector<std::string> m_States;
  std::vector<std::string> m_Events;
  // One row for each state with the target state of each event; -1 if the
  // state has no transition for the event.
  std::vector<StateIndex> m_Next;
  std::vector<bool> m_IsFinal;
  StateIndex m_Initial = 0;
};

namespace internal {
/// Returns the chart index of each enumerator. \returns InvalidArgument if the
/// chart lacks an enumerator or the enumeration lacks a name of the chart.
/// \p Kind is "state" or "event" and appears in the error message.
absl::StatusOr<std::vector<int16_t>>
bindNames(std::string_view Chart, std::string_view Kind,
          std::span<const std::string_view> EnumeratorNames,
          const std::vector<std::string> &ChartNames);
} // namespace internal

/// Chart whose states and events are enumerations, each with consecutive values
/// from 0.
///
/// Usage: `auto Bound = BoundChart<Phase, Event>::create(Chart, PhaseNames,
/// EventNames);` with the names in the order of the enumerators; then
/// `Bound->next(Phase::Queued, Event::Place)`.
template <typename State, typename Event> class BoundChart {
public:
  /// Matches the names with those of \p Chart. \returns InvalidArgument with
  /// the state or event that only the chart or only the enumeration has.
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

  /// Returns the state that follows \p Current on \p Trigger, or nothing if
  /// \p Current has no transition for the event.
  std::optional<State> next(State Current, Event Trigger) const {
    const int16_t Target = m_Next[static_cast<size_t>(Current) * m_EventCount +
                                  static_cast<size_t>(Trigger)];
    return Target < 0 ? std::nullopt
                      : std::optional<State>(static_cast<State>(Target));
  }

  /// Returns the state that an object has before its first event.
  State initial() const { return m_Initial; }

  /// Returns true if the chart lists \p Candidate as final.
  bool isFinal(State Candidate) const {
    return m_IsFinal[static_cast<size_t>(Candidate)];
  }

private:
  BoundChart(const StateChart &Chart, const std::vector<int16_t> &States,
             const std::vector<int16_t> &Events)
      : m_EventCount(Events.size()), m_IsFinal(States.size()) {
    // Enumerator by chart index.
    std::vector<int16_t> EnumeratorOf(States.size());
    for (size_t I = 0; I < States.size(); ++I) {
      EnumeratorOf[static_cast<size_t>(States[I])] = static_cast<int16_t>(I);
      m_IsFinal[I] = Chart.isFinal(States[I]);
    }
    for (const StateIndex Source : States) {
      for (const EventIndex Trigger : Events) {
        const std::optional<StateIndex> Target = Chart.next(Source, Trigger);
        m_Next.push_back(Target ? EnumeratorOf[static_cast<size_t>(*Target)]
                                : static_cast<int16_t>(-1));
      }
    }
    m_Initial =
        static_cast<State>(EnumeratorOf[static_cast<size_t>(Chart.initial())]);
  }

  size_t m_EventCount = 0;
  // As in StateChart, but by enumerators.
  std::vector<int16_t> m_Next;
  std::vector<bool> m_IsFinal;
  State m_Initial{};
};

} // namespace anvil::chart

#endif // ANVIL_CHART_STATECHART_H
