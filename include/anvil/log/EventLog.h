#ifndef ANVIL_LOG_EVENTLOG_H
#define ANVIL_LOG_EVENTLOG_H

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <variant>

#include "anvil/base/Time.h"

namespace anvil::log {

/// One named value of a log line.
struct Field {
  using Value = std::variant<std::string_view, int64_t, double, bool>;

  std::string_view m_Name;
  Value m_Value;

  Field(std::string_view Name, std::string_view Text)
      : m_Name(Name), m_Value(Text) {}
  Field(std::string_view Name, const std::string &Text)
      : m_Name(Name), m_Value(std::string_view(Text)) {}
  Field(std::string_view Name, const char *Text)
      : m_Name(Name), m_Value(std::string_view(Text)) {}
  Field(std::string_view Name, bool Flag) : m_Name(Name), m_Value(Flag) {}
  Field(std::string_view Name, double Number) : m_Name(Name), m_Value(Number) {}
  Field(std::string_view Name, int64_t Number)
      : m_Name(Name), m_Value(Number) {}
  Field(std::string_view Name, int32_t Number)
      : m_Name(Name), m_Value(int64_t{Number}) {}
  Field(std::string_view Name, uint64_t Number)
      : m_Name(Name), m_Value(static_cast<int64_t>(Number)) {}
};

/// Settings of an EventLog.
struct EventLogOptions {
  /// Name of the process, part of each line.
  std::string m_Process;
  /// Lines of one kind that are written in a second; a burst may be twice as
  /// long. The number of those left out is in the next line of the kind.
  int64_t m_LinesPerSecond = 200;
  std::function<TimePoint()> m_Now;           ///< Monotonic clock.
  std::function<int64_t()> m_WallClockMicros; ///< For people only.
  /// Takes one line with its end; returns false if it was lost. It must not
  /// block.
  std::function<bool(std::string_view Line)> m_Write;
};

/// Counts of an EventLog since its start.
struct EventLogCounters {
  int64_t m_Written = 0;
  int64_t m_Suppressed = 0; ///< Over the rate of their kind.
  int64_t m_Lost = 0;       ///< The receiver did not take them.
};

/// Writes structured log lines: one JSON object each, with the time, the
/// process, the kind of event and its fields.
///
/// It never blocks and never grows: a line that can't be written is lost and
/// counted, and each kind has a rate. Usage:
///
///     Log.write("job-accepted", {{"job", Id}, {"queue", Queue}});
///
/// Not thread safe.
class EventLog {
public:
  explicit EventLog(EventLogOptions Options);

  void write(std::string_view Kind, std::initializer_list<Field> Fields);
  const EventLogCounters &counters() const { return m_Counters; }
  /// Calls \p Visit for each kind of event with the number of its lines,
  /// written or not.
  void countsByKind(const std::function<void(std::string_view Kind,
                                             int64_t Count)> &Visit) const;

private:
  struct Rate {
    int64_t m_Count = 0;
    double m_Tokens = 0;
    TimePoint m_At;
    int64_t m_Suppressed = 0;
  };

  bool admit(Rate &Of);

  EventLogOptions m_Options;
  std::map<std::string, Rate, std::less<>> m_Rates;
  EventLogCounters m_Counters;
  int64_t m_LostSinceLine = 0;
};

/// Returns a receiver that writes to standard output without blocking. A reader
/// that does not keep up loses lines.
std::function<bool(std::string_view)> standardOutput();

} // namespace anvil::log

#endif // ANVIL_LOG_EVENTLOG_H
