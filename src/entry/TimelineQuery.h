#ifndef ANVIL_ENTRY_TIMELINEQUERY_H
#define ANVIL_ENTRY_TIMELINEQUERY_H

#include <string>
#include <string_view>

#include "anvil/net/Http.h"
#include "anvil/timeline/Timeline.h"

namespace anvil::entry {

/// The parameters of `GET /v1/timeline`.
struct TimelineQuery {
  timeline::Filter m_Filter;
  /// The filter as `key=value` pairs separated by `&`, for the query to
  /// control.
  std::string m_Argument;
  /// The response is plain text instead of JSON.
  bool m_AsText = false;
};

/// Reads the query string of a request.
/// \returns false and stores the invalid key in \p Field.
bool readTimelineQuery(std::string_view Query, TimelineQuery &Result,
                       std::string &Field);

/// Returns the response with the events of this entry and, if \p ControlJson is
/// a timeline in JSON, the events of control.
///
/// Otherwise the response has the header `Anvil-Partial: true`.
net::HttpResponse renderTimeline(const TimelineQuery &Query,
                                 const timeline::Recorder &EntryEvents,
                                 std::string_view ControlJson);

} // namespace anvil::entry

#endif // ANVIL_ENTRY_TIMELINEQUERY_H
