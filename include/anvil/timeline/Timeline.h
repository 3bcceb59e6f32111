#ifndef ANVIL_TIMELINE_TIMELINE_H
#define ANVIL_TIMELINE_TIMELINE_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

#include "anvil/timeline/HybridClock.h"

namespace anvil::timeline {

/// Objects that an event concerns. A field is empty if there is none.
struct Subject {
  std::string m_Job{};
  std::string m_Request{};
  std::string m_Vm{};
  std::string m_Workspace{};
  std::string m_AvailabilityZone{};
};

/// One event of one process.
struct Event {
  HybridTime m_At{};
  std::string m_Process{};
  int64_t m_Sequence = 0; ///< Rises by 1 with each event of the process.
  /// Index in the replicated log of a change that every replica records, or 0
  /// for an event that only one process records.
  int64_t m_LogIndex = 0;
  /// Component and event, such as "agent.request-started".
  std::string m_Kind{};
  Subject m_Subject{};
  std::string m_Text{}; ///< One short sentence.
};

/// Selects events. An empty field matches each event.
struct Filter {
  Subject m_Subject{};
  /// Microseconds since the Unix epoch; both ends are included.
  int64_t m_FromUs = 0;
  int64_t m_ToUs = INT64_MAX;
  size_t m_Limit = 1000; ///< Only the newest matching events.
};

/// Stores the newest events of one process.
///
/// Usage: call record() for each event and select() to answer a query. At
/// capacity the oldest event is dropped and counted.
class Recorder {
public:
  /// \param Process name of the process in merged timelines.
  /// \param Capacity largest number of stored events.
  /// \param WallClockMicros microseconds since the Unix epoch.
  Recorder(std::string_view Process, size_t Capacity,
           std::function<int64_t()> WallClockMicros);

  /// Stamps and stores an event. For \p LogIndex see Event::m_LogIndex.
  void record(std::string_view Kind, Subject EventSubject,
              std::string_view Text, int64_t LogIndex = 0);
  /// Returns the events that match, oldest first.
  std::vector<Event> select(const Filter &Wanted) const;
  /// Returns the clock that stamps the events.
  HybridClock &clock() { return m_Clock; }
  /// Returns how many events were dropped since the start.
  int64_t dropped() const { return m_Dropped; }
  const std::string &process() const { return m_Process; }

private:
  std::string m_Process;
  size_t m_Capacity;
  std::function<int64_t()> m_WallClockMicros;
  HybridClock m_Clock;
  std::deque<Event> m_Events;
  int64_t m_NextSequence = 1;
  int64_t m_Dropped = 0;
};

/// Merges the events of several processes in the order of their time stamps and
/// keeps the newest \p Limit of them.
///
/// An event that occurs in several sources appears once. So does a change of
/// the replicated state, which every replica records: the event of the
/// replica with the earliest stamp is kept.
std::vector<Event> merge(std::span<const std::vector<Event>> Sources,
                         size_t Limit);

/// Returns true if the event matches all fields of the filter but its limit.
bool matches(const Event &Candidate, const Filter &Wanted);

/// Parses a filter from `key=value` pairs joined by '&': job, request, vm,
/// workspace, zone, limit. Other keys and a limit that is not a number are
/// ignored, since the entry has already checked them.
Filter parseFilter(std::string_view Query);

/// Returns events as the text of a JSON array with one object for each event.
std::string toJson(std::span<const Event> Events);

/// Parses the output of toJson(). \returns InvalidArgument if the text is not a
/// JSON array of objects; missing fields are left empty or 0.
absl::StatusOr<std::vector<Event>> fromJson(std::string_view Json);

/// Returns events as text with one line for each: time of day (UTC), process,
/// kind, subject and sentence.
std::string toText(std::span<const Event> Events);

} // namespace anvil::timeline

#endif // ANVIL_TIMELINE_TIMELINE_H
