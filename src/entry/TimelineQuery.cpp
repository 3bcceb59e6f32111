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

/// A key of the query string and the member of the filter that it sets.
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

void appendArgument(std::string &Argument, std::string_view Key,
                    std::string_view Value) {
  absl::StrAppend(&Argument, Argument.empty() ? "" : "&", toAbsl(Key), "=",
                  toAbsl(Value));
}

} // namespace

bool readTimelineQuery(std::string_view Query, TimelineQuery &Result,
                       std::string &Field) {
  for (const SubjectKey &Key : SubjectKeys) {
    const std::optional<std::string> Value = queryValue(Query, Key.m_Name);
    if (!Value)
      continue;
    Result.m_Filter.m_Subject.*Key.m_Member = *Value;
    appendArgument(Result.m_Argument, Key.m_Name, *Value);
  }
  if (const std::optional<std::string> Limit = queryValue(Query, "limit")) {
    int64_t Count = 0;
    Field = "limit";
    if (!absl::SimpleAtoi(*Limit, &Count) || Count < 1 || Count > MaxEvents)
      return false;
    Result.m_Filter.m_Limit = static_cast<size_t>(Count);
    appendArgument(Result.m_Argument, "limit", *Limit);
  }
  const std::string Format = queryValue(Query, "format").value_or("json");
  Field = "format";
  Result.m_AsText = Format == "text";
  return Result.m_AsText || Format == "json";
}

net::HttpResponse renderTimeline(const TimelineQuery &Query,
                                 const timeline::Recorder &EntryEvents,
                                 std::string_view ControlJson) {
  std::vector<std::vector<timeline::Event>> Sources = {
      EntryEvents.select(Query.m_Filter)};
  absl::StatusOr<std::vector<timeline::Event>> ControlEvents =
      timeline::fromJson(ControlJson);
  if (ControlEvents.ok())
    Sources.push_back(std::move(*ControlEvents));
  const std::vector<timeline::Event> Events =
      timeline::merge(Sources, Query.m_Filter.m_Limit);
  net::HttpResponse Response;
  Response.m_Body =
      Query.m_AsText ? timeline::toText(Events) : timeline::toJson(Events);
  if (Query.m_AsText)
    Response.m_ContentType = "text/plain; charset=utf-8";
  if (!ControlEvents.ok())
    Response.m_Fields.push_back({"Anvil-Partial", "true"});
  setOutcome(Response, wire::Outcome::COMPLETED);
  return Response;
}

} // namespace anvil::entry
