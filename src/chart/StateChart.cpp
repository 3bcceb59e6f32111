#include "anvil/chart/StateChart.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

#include "anvil/base/Port.h"

namespace anvil::chart {

namespace {

std::optional<int16_t> indexOf(const std::vector<std::string> &Names,
                               std::string_view Name) {
  const auto Found = std::find(Names.begin(), Names.end(), Name);
  if (Found == Names.end())
    return std::nullopt;
  return static_cast<int16_t>(Found - Names.begin());
}

bool contains(const std::vector<std::string> &Names, std::string_view Name) {
  return std::find(Names.begin(), Names.end(), Name) != Names.end();
}

void addOnce(std::vector<std::string> &Names, const std::string &Name) {
  if (!contains(Names, Name))
    Names.push_back(Name);
}

// Collects all faults of one definition, so that the author of a chart sees
// them in one run.
class DefinitionChecker {
public:
  explicit DefinitionChecker(const ChartDefinition &Definition)
      : m_Definition(Definition) {
    for (const StateDefinition &State : Definition.m_States)
      m_Names.push_back(State.m_Name);
    for (const std::string &Final : Definition.m_Final)
      addOnce(m_Names, Final);
  }

  const std::vector<std::string> &stateNames() const { return m_Names; }

  absl::Status check() {
    checkNames();
    for (const StateDefinition &State : m_Definition.m_States)
      checkState(State);
    checkRequiredEventsAreHandled();
    if (m_Faults.empty())
      checkReachability();
    if (m_Faults.empty())
      return absl::OkStatus();
    return absl::InvalidArgumentError(absl::StrJoin(m_Faults, "; "));
  }

private:
  void addFault(const std::string &Text) {
    m_Faults.push_back(absl::StrCat("chart ", m_Definition.m_Name, ": ", Text));
  }

  void addStateFault(const std::string &State, const std::string &Text) {
    addFault(absl::StrCat("state ", State, ": ", Text));
  }

  void checkNames() {
    std::vector<std::string> Seen;
    for (const StateDefinition &State : m_Definition.m_States) {
      if (contains(Seen, State.m_Name))
        addStateFault(State.m_Name, "is defined twice");
      Seen.push_back(State.m_Name);
    }
    if (!contains(m_Names, m_Definition.m_Initial))
      addFault(absl::StrCat("initial state ", m_Definition.m_Initial,
                            " is unknown"));
    if (m_Definition.m_Final.empty())
      addFault("has no final state");
  }

  void checkState(const StateDefinition &State) {
    const bool IsFinal = contains(m_Definition.m_Final, State.m_Name);
    std::vector<std::string> Handled;
    for (const TransitionDefinition &Transition : State.m_Transitions) {
      if (contains(Handled, Transition.m_Event))
        addStateFault(State.m_Name, absl::StrCat("handles event ",
                                                 Transition.m_Event, " twice"));
      Handled.push_back(Transition.m_Event);
      if (!contains(m_Names, Transition.m_Target)) {
        addStateFault(State.m_Name, absl::StrCat("event ", Transition.m_Event,
                                                 " leads to unknown state ",
                                                 Transition.m_Target));
      }
    }
    if (IsFinal && !State.m_Transitions.empty())
      addStateFault(State.m_Name, "is final but has transitions");
    if (!IsFinal)
      checkRequiredEvents(State, Handled);
  }

  void checkRequiredEvents(const StateDefinition &State,
                           const std::vector<std::string> &Handled) {
    for (const std::string &Event : State.m_Ignored) {
      if (contains(Handled, Event))
        addStateFault(State.m_Name,
                      absl::StrCat("both handles and ignores event ", Event));
      if (!contains(m_Definition.m_Required, Event))
        addStateFault(State.m_Name,
                      absl::StrCat("ignores event ", Event,
                                   ", which is not a required event"));
    }
    for (const std::string &Event : m_Definition.m_Required) {
      if (!contains(Handled, Event) && !contains(State.m_Ignored, Event))
        addStateFault(
            State.m_Name,
            absl::StrCat("neither handles nor ignores required event ", Event));
    }
  }

  void checkRequiredEventsAreHandled() {
    for (const std::string &Event : m_Definition.m_Required) {
      const bool IsHandled =
          std::any_of(m_Definition.m_States.begin(),
                      m_Definition.m_States.end(), [&](const auto &State) {
                        return std::any_of(State.m_Transitions.begin(),
                                           State.m_Transitions.end(),
                                           [&](const auto &Transition) {
                                             return Transition.m_Event == Event;
                                           });
                      });
      if (!IsHandled)
        addFault(
            absl::StrCat("required event ", Event, " is handled by no state"));
    }
  }

  // Adds every state that is reachable from the given ones or, if Backwards is
  // set, every state from which one of them is reachable.
  void addConnectedStates(std::vector<std::string> &Connected,
                          bool Backwards) const {
    for (size_t PreviousSize = 0; PreviousSize != Connected.size();) {
      PreviousSize = Connected.size();
      for (const StateDefinition &State : m_Definition.m_States) {
        for (const TransitionDefinition &Transition : State.m_Transitions) {
          const std::string &Source =
              Backwards ? Transition.m_Target : State.m_Name;
          const std::string &Destination =
              Backwards ? State.m_Name : Transition.m_Target;
          if (contains(Connected, Source))
            addOnce(Connected, Destination);
        }
      }
    }
  }

  void checkReachability() {
    std::vector<std::string> Reachable{m_Definition.m_Initial};
    addConnectedStates(Reachable, false);
    std::vector<std::string> Terminating = m_Definition.m_Final;
    addConnectedStates(Terminating, true);
    for (const std::string &Name : m_Names) {
      if (!contains(Reachable, Name))
        addStateFault(Name, "cannot be reached from the initial state");
      if (!contains(Terminating, Name))
        addStateFault(Name, "cannot reach a final state");
    }
  }

  const ChartDefinition &m_Definition;
  std::vector<std::string> m_Names;
  std::vector<std::string> m_Faults;
};

} // namespace

absl::StatusOr<StateChart>
StateChart::create(const ChartDefinition &Definition) {
  DefinitionChecker Checker(Definition);
  if (absl::Status Status = Checker.check(); !Status.ok())
    return Status;

  StateChart Chart;
  Chart.m_Name = Definition.m_Name;
  Chart.m_States = Checker.stateNames();
  for (const StateDefinition &State : Definition.m_States) {
    for (const TransitionDefinition &Transition : State.m_Transitions)
      addOnce(Chart.m_Events, Transition.m_Event);
  }
  Chart.m_Next.assign(Chart.m_States.size() * Chart.m_Events.size(), -1);
  for (const StateDefinition &State : Definition.m_States) {
    const auto Row = static_cast<size_t>(*Chart.stateNamed(State.m_Name)) *
                     Chart.m_Events.size();
    for (const TransitionDefinition &Transition : State.m_Transitions) {
      Chart.m_Next[Row +
                   static_cast<size_t>(*Chart.eventNamed(Transition.m_Event))] =
          *Chart.stateNamed(Transition.m_Target);
    }
  }
  for (const std::string &Name : Chart.m_States)
    Chart.m_IsFinal.push_back(contains(Definition.m_Final, Name));
  Chart.m_Initial = *Chart.stateNamed(Definition.m_Initial);
  return Chart;
}

std::optional<StateIndex> StateChart::stateNamed(std::string_view Name) const {
  return indexOf(m_States, Name);
}

std::optional<EventIndex> StateChart::eventNamed(std::string_view Name) const {
  return indexOf(m_Events, Name);
}

absl::StatusOr<std::vector<int16_t>>
internal::bindNames(std::string_view Chart, std::string_view Kind,
                    std::span<const std::string_view> EnumeratorNames,
                    const std::vector<std::string> &ChartNames) {
  const std::string Prefix =
      absl::StrCat("chart ", toAbsl(Chart), ": ", toAbsl(Kind), " ");
  std::vector<int16_t> Indexes;
  for (const std::string_view Name : EnumeratorNames) {
    const std::optional<int16_t> Index = indexOf(ChartNames, Name);
    if (!Index)
      return absl::InvalidArgumentError(
          absl::StrCat(Prefix, toAbsl(Name), " is missing from the chart"));
    Indexes.push_back(*Index);
  }
  for (const std::string &Name : ChartNames) {
    if (std::find(EnumeratorNames.begin(), EnumeratorNames.end(), Name) ==
        EnumeratorNames.end())
      return absl::InvalidArgumentError(
          absl::StrCat(Prefix, Name, " is unknown to the program"));
  }
  return Indexes;
}

} // namespace anvil::chart
