#include "anvil/log/EventLog.h"

#include <algorithm>
#include <cerrno>
#include <fcntl.h>
#include <unistd.h>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace anvil::log {

namespace {

// A non-blocking write of at most this size to a pipe is done in whole or not
// at all (POSIX PIPE_BUF).
constexpr size_t MaxLineBytes = 4096;

boost::json::string_view toJsonView(std::string_view Text) {
  return {Text.data(), Text.size()};
}

boost::json::value toJsonValue(const Field &Source) {
  return std::visit(
      [](const auto &Value) -> boost::json::value {
        using Type = std::decay_t<decltype(Value)>;
        if constexpr (std::is_same_v<Type, std::string_view>)
          return boost::json::value(toJsonView(Value));
        else
          return boost::json::value(Value);
      },
      Source.m_Value);
}

} // namespace

EventLog::EventLog(EventLogOptions Options) : m_Options(std::move(Options)) {}

// Takes a token from the token bucket of the kind; returns false and counts the
// line as suppressed if the bucket is empty.
bool EventLog::consumeToken(KindState &State) {
  const TimePoint Now = m_Options.m_Now();
  const auto PerSecond = static_cast<double>(m_Options.m_LinesPerSecond);
  const double Burst = 2 * PerSecond;
  if (State.m_RefilledAt == TimePoint())
    State.m_Tokens = Burst;
  else
    State.m_Tokens +=
        std::chrono::duration<double>(Now - State.m_RefilledAt).count() *
        PerSecond;
  State.m_Tokens = std::min(State.m_Tokens, Burst);
  State.m_RefilledAt = Now;
  if (State.m_Tokens < 1) {
    ++State.m_Suppressed;
    ++m_Counters.m_Suppressed;
    return false;
  }
  State.m_Tokens -= 1;
  return true;
}

void EventLog::write(std::string_view Kind,
                     std::initializer_list<Field> Fields) {
  auto It = m_Kinds.find(Kind);
  if (It == m_Kinds.end())
    It = m_Kinds.emplace(std::string(Kind), KindState()).first;
  KindState &State = It->second;
  ++State.m_Count;
  if (!consumeToken(State))
    return;
  boost::json::object Line;
  Line["at_us"] = m_Options.m_WallClockMicros();
  Line["process"] = m_Options.m_Process;
  Line["event"] = toJsonView(Kind);
  for (const Field &Each : Fields)
    Line[toJsonView(Each.m_Name)] = toJsonValue(Each);
  if (State.m_Suppressed > 0)
    Line["suppressed"] = std::exchange(State.m_Suppressed, 0);
  if (m_LostSinceWrite > 0)
    Line["lost"] = m_LostSinceWrite;
  std::string Text = boost::json::serialize(Line);
  if (Text.size() >= MaxLineBytes)
    Text = boost::json::serialize(
        boost::json::object({{"at_us", m_Options.m_WallClockMicros()},
                             {"process", m_Options.m_Process},
                             {"event", toJsonView(Kind)},
                             {"too_long", Text.size()}}));
  Text.push_back('\n');
  if (m_Options.m_Write(Text)) {
    ++m_Counters.m_Written;
    m_LostSinceWrite = 0;
  } else {
    ++m_Counters.m_Lost;
    ++m_LostSinceWrite;
  }
}

void EventLog::countsByKind(
    const std::function<void(std::string_view, int64_t)> &Visit) const {
  for (const auto &[Kind, State] : m_Kinds)
    Visit(Kind, State.m_Count);
}

std::function<bool(std::string_view)> standardOutput() {
  const int Flags = ::fcntl(STDOUT_FILENO, F_GETFL);
  if (Flags >= 0)
    ::fcntl(STDOUT_FILENO, F_SETFL, Flags | O_NONBLOCK);
  return [](std::string_view Line) {
    ssize_t Count = 0;
    do
      Count = ::write(STDOUT_FILENO, Line.data(), Line.size());
    while (Count < 0 && errno == EINTR);
    return Count == static_cast<ssize_t>(Line.size());
  };
}

} // namespace anvil::log
