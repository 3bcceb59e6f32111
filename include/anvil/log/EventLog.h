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

/// One named value of a log line. Texts are not copied: they must outlive the
/// call of EventLog::write().
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
  /// Name of the process, written to each line.
  std::string m_Process;
  /// Rate limit of each kind of event, in lines per second; a burst may have
  /// twice as many lines. The next line of the kind gives the number of
  /// suppressed lines.
  int64_t m_LinesPerSecond = 200;
  std::function<TimePoint()> m_Now; ///< Monotonic clock.
  std::function<int64_t()>
      m_WallClockMicros; ///< Since the Unix epoch; for readers only.
  /// Writes one line, given with its newline; returns false if the line was
  /// lost. Must not block.
  std::function<bool(std::string_view Line)> m_Write;
};

/// Counts of an EventLog since its start.
struct EventLogCounters {
  int64_t m_Written = 0;
  int64_t m_Suppressed = 0; ///< Above the rate limit of their kind.
  int64_t m_Lost = 0;       ///< m_Write returned false.
};

/// Writes structured log lines: one JSON object each, with the time, the
/// process, the kind of event and its fields.
///
/// It neither blocks nor buffers lines: a line that can't be written is lost
/// and counted, and each kind of event has a rate limit. Usage:
///
///     Log.write("job-accepted", {{"job", Id}, {"queue", Queue}});
///
/// Not thread safe.
class EventLog {
public:
  explicit EventLog(EventLogOptions Options);

  /// Writes one line unless it is above the rate limit of \p Kind. A line of
  /// 4096 bytes or more is replaced by a short one that gives its length.
  void write(std::string_view Kind, std::initializer_list<Field> Fields);
  const EventLogCounters &counters() const { return m_Counters; }
  /// Calls \p Visit for each kind of event with the number of its lines,
  /// including suppressed and lost ones.
  void countsByKind(const std::function<void(std::string_view Kind,
                                             int64_t Count)> &Visit) const;

private:
  struct KindState {
    int64_t m_Count = 0;
    double m_Tokens = 0;
    TimePoint m_RefilledAt;
    int64_t m_Suppressed = 0;
  };

  bool consumeToken(KindState &State);

  EventLogOptions m_Options;
  std::map<std::string, KindState, std::less<>> m_Kinds;
  EventLogCounters m_Counters;
  int64_t m_LostSinceWrite = 0;
};

/// Returns a function for EventLogOptions::m_Write and puts standard output
/// into non-blocking mode. Lines are lost while the reader of standard output
/// does not keep up.
std::function<bool(std::string_view)> standardOutput();

} // namespace anvil::log

#endif // ANVIL_LOG_EVENTLOG_H
