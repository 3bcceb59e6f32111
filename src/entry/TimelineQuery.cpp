#include "TimelineQuery.h"

#include <array>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include "HttpText.h"
#include "anvil/base/Port.h"

namespace anvil::entry {

namespace {

constexpr int64_t MaxEvents = 1000;

/// One key of the query and the field of the filter that it sets.
struct SubjectKey {
  std::string_view m_Name;
  std::string timeline::Subject::*m_Member;
};

constexpr std::array<SubjectKey, 5> SubjectKeys = {
    {{"job", &timeline::Subject::m_Job},
     {"request", &timeline::Subject::m_Request},
     {"vm", &timeline::Subject::m_Vm},
     {"workspace", &timeline::Subject::m_Workspace},
     {"zone", &timeline::Subject::m_AvailabilityZone}}};

void append(std::string &Argument, std::string_view Key,
            std::string_view Value) {
  absl::StrAppend(&Argument, Argument.empty() ? "" : "&", toAbsl(Key), "=",
                  toAbsl(Value));
}

} // namespace

bool readTimelineQuery(std::string_view Query, TimelineQuery &Into,
                       std::string &Field) {
  for (const SubjectKey &Each : SubjectKeys) {
    const std::optional<std::string> Value = queryValue(Query, Each.m_Name);
    if (!Value)
      continue;
    Into.m_Filter.m_Subject.*Each.m_Member = *Value;
    append(Into.m_Argument, Each.m_Name, *Value);
  }
  if (const std::optional<std::string> Limit = queryValue(Query, "limit")) {
    int64_t Count = 0;
    Field = "limit";
    if (!absl::SimpleAtoi(*Limit, &Count) || Count < 1 || Count > MaxEvents)
      return false;
    Into.m_Filter.m_Limit = static_cast<size_t>(Count);
    append(Into.m_Argument, "limit", *Limit);
  }
  const std::string Format = queryValue(Query, "format").value_or("json");
  Field = "format";
  Into.m_Text = Format == "text";
  return Into.m_Text || Format == "json";
}

net::HttpResponse renderTimeline(const TimelineQuery &Query,
                                 const timeline::Recorder &Own,
                                 std::string_view Control) {
  std::vector<std::vector<timeline::Event>> Sources = {
      Own.select(Query.m_Filter)};
  absl::StatusOr<std::vector<timeline::Event>> Others =
      timeline::fromJson(Control);
  if (Others.ok())
    Sources.push_back(std::move(*Others));
  const std::vector<timeline::Event> Events =
      timeline::merge(Sources, Query.m_Filter.m_Limit);
  net::HttpResponse Response;
  Response.m_Body =
      Query.m_Text ? timeline::toText(Events) : timeline::toJson(Events);
  if (Query.m_Text)
    Response.m_ContentType = "text/plain; charset=utf-8";
  if (!Others.ok())
    Response.m_Fields.push_back({"Anvil-Partial", "true"});
  setOutcome(Response, wire::Outcome::COMPLETED);
  return Response;
}

} // namespace anvil::entry
