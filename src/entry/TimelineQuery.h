#ifndef ANVIL_ENTRY_TIMELINEQUERY_H
#define ANVIL_ENTRY_TIMELINEQUERY_H

#include <string>
#include <string_view>

#include "anvil/net/Http.h"
#include "anvil/timeline/Timeline.h"

namespace anvil::entry {

/// What a caller of `GET /v1/timeline` asks for.
struct TimelineQuery {
  timeline::Filter m_Filter;
  std::string m_Argument; ///< The filter as `key=value` pairs for control.
  bool m_Text = false;    ///< `format=text` in place of JSON.
};

/// Reads the query of a request.
/// \returns false and names the wrong key in \p Field.
bool readTimelineQuery(std::string_view Query, TimelineQuery &Into,
                       std::string &Field);

/// Returns the response with the events of this entry and, if \p Control is the
/// text of a time line, those of control.
///
/// Without control's events the response has `Anvil-Partial: true`.
net::HttpResponse renderTimeline(const TimelineQuery &Query,
                                 const timeline::Recorder &Own,
                                 std::string_view Control);

} // namespace anvil::entry

#endif // ANVIL_ENTRY_TIMELINEQUERY_H
