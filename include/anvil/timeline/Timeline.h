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

/// What an event is about. Empty fields do not apply.
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
  int64_t m_Sequence = 0; ///< Rises by one for each event of the process.
  /// Position in the replicated log for changes that every replica records; 0
  /// for events of one process only.
  int64_t m_LogIndex = 0;
  std::string m_Kind{}; ///< Part and event, e.g. "agent.request-started".
  Subject m_Subject{};
  std::string m_Text{}; ///< One short sentence.
};

/// Selects events; empty fields select all.
struct Filter {
  Subject m_Subject{};
  int64_t m_FromUs = 0;
  int64_t m_ToUs = INT64_MAX;
  size_t m_Limit = 1000; ///< The newest events that match are kept.
};

/// Keeps the newest events of one process.
///
/// Usage: record() as things happen, select() to answer a query. When the ring
/// is full the oldest event is dropped and counted.
class Recorder {
public:
  /// \param Process name of the process in merged time lines.
  /// \param WallClockMicros microseconds since the Unix epoch.
  Recorder(std::string_view Process, size_t Capacity,
           std::function<int64_t()> WallClockMicros);

  /// Stamps and stores an event.
  void record(std::string_view Kind, Subject About, std::string_view Text,
              int64_t LogIndex = 0);
  /// Returns the events that match, oldest first.
  std::vector<Event> select(const Filter &Wanted) const;
  HybridClock &clock() { return m_Clock; }
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

/// Joins the events of several processes in the order of their stamps.
///
/// Changes of the replicated state, which every replica records, appear once,
/// from the replica that saw them first.
std::vector<Event> merge(std::span<const std::vector<Event>> Sources,
                         size_t Limit);

/// Returns true if the event matches.
bool matches(const Event &Candidate, const Filter &Wanted);

/// Reads a filter from `key=value` pairs joined by '&': job, request, vm,
/// workspace, zone, limit. Other keys and values that are no numbers are
/// ignored, since the entry has checked them.
Filter parseFilter(std::string_view Argument);

/// Returns events as JSON text: an array of objects.
std::string toJson(std::span<const Event> Events);

/// Parses what toJson() wrote. \returns kInvalidArgument for other text.
absl::StatusOr<std::vector<Event>> fromJson(std::string_view Json);

/// Returns events as text, one a line: time (UTC), process, kind, subject,
/// sentence.
std::string toText(std::span<const Event> Events);

} // namespace anvil::timeline

#endif // ANVIL_TIMELINE_TIMELINE_H
