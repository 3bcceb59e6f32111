#include "anvil/log/EventLog.h"

#include <algorithm>
#include <cerrno>
#include <fcntl.h>
#include <unistd.h>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace anvil::log {

namespace {

// A pipe takes a line up to this size whole or not at all (POSIX PIPE_BUF).
constexpr size_t MaxLineBytes = 4096;

boost::json::string_view viewOf(std::string_view Text) {
  return {Text.data(), Text.size()};
}

boost::json::value valueOf(const Field &Each) {
  return std::visit(
      [](const auto &Value) -> boost::json::value {
        using Type = std::decay_t<decltype(Value)>;
        if constexpr (std::is_same_v<Type, std::string_view>)
          return boost::json::value(viewOf(Value));
        else
          return boost::json::value(Value);
      },
      Each.m_Value);
}

} // namespace

EventLog::EventLog(EventLogOptions Options) : m_Options(std::move(Options)) {}

// A token bucket for each kind of line.
bool EventLog::admit(Rate &Of) {
  const TimePoint Now = m_Options.m_Now();
  const auto PerSecond = static_cast<double>(m_Options.m_LinesPerSecond);
  const double Burst = 2 * PerSecond;
  if (Of.m_At == TimePoint())
    Of.m_Tokens = Burst;
  else
    Of.m_Tokens +=
        std::chrono::duration<double>(Now - Of.m_At).count() * PerSecond;
  Of.m_Tokens = std::min(Of.m_Tokens, Burst);
  Of.m_At = Now;
  if (Of.m_Tokens < 1) {
    ++Of.m_Suppressed;
    ++m_Counters.m_Suppressed;
    return false;
  }
  Of.m_Tokens -= 1;
  return true;
}

void EventLog::write(std::string_view Kind,
                     std::initializer_list<Field> Fields) {
  auto It = m_Rates.find(Kind);
  if (It == m_Rates.end())
    It = m_Rates.emplace(std::string(Kind), Rate()).first;
  Rate &Of = It->second;
  ++Of.m_Count;
  if (!admit(Of))
    return;
  boost::json::object Line;
  Line["at_us"] = m_Options.m_WallClockMicros();
  Line["process"] = m_Options.m_Process;
  Line["event"] = viewOf(Kind);
  for (const Field &Each : Fields)
    Line[viewOf(Each.m_Name)] = valueOf(Each);
  if (Of.m_Suppressed > 0)
    Line["suppressed"] = std::exchange(Of.m_Suppressed, 0);
  if (m_LostSinceLine > 0)
    Line["lost"] = m_LostSinceLine;
  std::string Text = boost::json::serialize(Line);
  if (Text.size() >= MaxLineBytes)
    Text = boost::json::serialize(
        boost::json::object({{"at_us", m_Options.m_WallClockMicros()},
                             {"process", m_Options.m_Process},
                             {"event", viewOf(Kind)},
                             {"too_long", Text.size()}}));
  Text.push_back('\n');
  if (m_Options.m_Write(Text)) {
    ++m_Counters.m_Written;
    m_LostSinceLine = 0;
  } else {
    ++m_Counters.m_Lost;
    ++m_LostSinceLine;
  }
}

void EventLog::countsByKind(
    const std::function<void(std::string_view, int64_t)> &Visit) const {
  for (const auto &[Kind, Of] : m_Rates)
    Visit(Kind, Of.m_Count);
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
