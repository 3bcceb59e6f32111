#include <array>
#include <cstdio>
#include <ctime>

#include <boost/json.hpp>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include "anvil/base/Port.h"
#include "anvil/timeline/Timeline.h"

namespace anvil::timeline {

namespace json = boost::json;

namespace {

constexpr int64_t MicrosPerSecond = 1'000'000;

struct SubjectField {
  const char *m_Name;
  std::string Subject::*m_Member;
};

constexpr std::array<SubjectField, 5> SubjectFields = {
    {{"job", &Subject::m_Job},
     {"request", &Subject::m_Request},
     {"vm", &Subject::m_Vm},
     {"workspace", &Subject::m_Workspace},
     {"zone", &Subject::m_AvailabilityZone}}};

json::object toJsonObject(const Event &Source) {
  json::object Object;
  Object["at_us"] = Source.m_At.m_WallUs;
  Object["logical"] = Source.m_At.m_Logical;
  Object["process"] = Source.m_Process;
  Object["sequence"] = Source.m_Sequence;
  if (Source.m_LogIndex != 0)
    Object["log_index"] = Source.m_LogIndex;
  Object["kind"] = Source.m_Kind;
  for (const SubjectField &Field : SubjectFields)
    if (const std::string &Value = Source.m_Subject.*Field.m_Member;
        !Value.empty())
      Object[Field.m_Name] = Value;
  Object["text"] = Source.m_Text;
  return Object;
}

std::string stringField(const json::object &Object, std::string_view Name) {
  const json::value *Value = Object.if_contains(Name);
  return Value && Value->is_string() ? std::string(Value->as_string())
                                     : std::string();
}

int64_t integerField(const json::object &Object, std::string_view Name) {
  const json::value *Value = Object.if_contains(Name);
  return Value && Value->is_int64() ? Value->as_int64() : 0;
}

Event parseEvent(const json::object &Object) {
  Event Result;
  Result.m_At = {integerField(Object, "at_us"),
                 static_cast<int32_t>(integerField(Object, "logical"))};
  Result.m_Process = stringField(Object, "process");
  Result.m_Sequence = integerField(Object, "sequence");
  Result.m_LogIndex = integerField(Object, "log_index");
  Result.m_Kind = stringField(Object, "kind");
  Result.m_Text = stringField(Object, "text");
  for (const SubjectField &Field : SubjectFields)
    Result.m_Subject.*Field.m_Member = stringField(Object, Field.m_Name);
  return Result;
}

std::string formatTimeOfDay(int64_t WallUs) {
  const time_t Seconds = WallUs / MicrosPerSecond;
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  std::array<char, 48> Text{};
  std::snprintf(Text.data(), Text.size(), "%02d:%02d:%02d.%06d", Parts.tm_hour,
                Parts.tm_min, Parts.tm_sec,
                static_cast<int>(WallUs % MicrosPerSecond));
  return Text.data();
}

} // namespace

Filter parseFilter(std::string_view Query) {
  Filter Wanted;
  for (absl::string_view Part :
       absl::StrSplit(toAbsl(Query), '&', absl::SkipEmpty())) {
    const std::pair<std::string, std::string> Pair =
        absl::StrSplit(Part, absl::MaxSplits('=', 1));
    for (const SubjectField &Field : SubjectFields)
      if (Pair.first == Field.m_Name)
        Wanted.m_Subject.*Field.m_Member = Pair.second;
    uint64_t Limit = 0;
    if (Pair.first == "limit" && absl::SimpleAtoi(Pair.second, &Limit))
      Wanted.m_Limit = Limit;
  }
  return Wanted;
}

std::string toJson(std::span<const Event> Events) {
  json::array Array;
  for (const Event &Each : Events)
    Array.push_back(toJsonObject(Each));
  return json::serialize(Array);
}

absl::StatusOr<std::vector<Event>> fromJson(std::string_view Json) {
  boost::system::error_code Error;
  const json::value Value =
      json::parse(json::string_view(Json.data(), Json.size()), Error);
  if (Error || !Value.is_array())
    return absl::InvalidArgumentError("timeline: not a JSON array of events");
  std::vector<Event> Events;
  for (const json::value &Each : Value.as_array()) {
    if (!Each.is_object())
      return absl::InvalidArgumentError(
          "timeline: an event is not a JSON object");
    Events.push_back(parseEvent(Each.as_object()));
  }
  return Events;
}

std::string toText(std::span<const Event> Events) {
  std::string Text;
  for (const Event &Each : Events) {
    absl::StrAppend(&Text, formatTimeOfDay(Each.m_At.m_WallUs), " ",
                    Each.m_Process, " ", Each.m_Kind);
    for (const SubjectField &Field : SubjectFields)
      if (const std::string &Value = Each.m_Subject.*Field.m_Member;
          !Value.empty())
        absl::StrAppend(&Text, " ", Field.m_Name, "=", Value);
    absl::StrAppend(&Text, ": ", Each.m_Text, "\n");
  }
  return Text;
}

} // namespace anvil::timeline
