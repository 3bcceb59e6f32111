#include "HttpText.h"

#include <algorithm>
#include <cctype>

namespace anvil::entry {

namespace {
constexpr size_t MaxNameLength = 64;
} // namespace

std::string_view outcomeName(wire::Outcome::type Outcome) {
  switch (Outcome) {
  case wire::Outcome::COMPLETED:
    return "completed";
  case wire::Outcome::NOT_RUN:
    return "not-run";
  default:
    return "unknown";
  }
}

void setOutcome(net::HttpResponse &Response, wire::Outcome::type Outcome) {
  Response.m_Fields.push_back(
      {std::string(OutcomeField), std::string(outcomeName(Outcome))});
}

void setRetryAfter(net::HttpResponse &Response, Duration After) {
  const int64_t Seconds =
      std::max<int64_t>(1, (After.count() + 999999) / 1000000);
  Response.m_Fields.push_back({"Retry-After", std::to_string(Seconds)});
}

std::vector<std::string_view> splitPath(std::string_view Path) {
  std::vector<std::string_view> Parts;
  while (!Path.empty()) {
    Path.remove_prefix(1);
    const size_t End = std::min(Path.find('/'), Path.size());
    Parts.push_back(Path.substr(0, End));
    Path.remove_prefix(End);
  }
  return Parts;
}

bool isName(std::string_view Text) {
  const auto Allowed = [](char Char) {
    return std::isalnum(static_cast<unsigned char>(Char)) != 0 || Char == '-' ||
           Char == '_' || Char == '.';
  };
  return !Text.empty() && Text.size() <= MaxNameLength &&
         std::all_of(Text.begin(), Text.end(), Allowed);
}

bool isVisibleAscii(std::string_view Text, size_t MaxLength) {
  const auto Visible = [](char Char) { return Char > 0x20 && Char < 0x7f; };
  return !Text.empty() && Text.size() <= MaxLength &&
         std::all_of(Text.begin(), Text.end(), Visible);
}

std::optional<std::string> queryValue(std::string_view Query,
                                      std::string_view Name) {
  while (!Query.empty()) {
    const size_t End = std::min(Query.find('&'), Query.size());
    const std::string_view Pair = Query.substr(0, End);
    Query.remove_prefix(std::min(End + 1, Query.size()));
    const size_t Equals = std::min(Pair.find('='), Pair.size());
    if (Pair.substr(0, Equals) == Name)
      return std::string(Pair.substr(std::min(Equals + 1, Pair.size())));
  }
  return std::nullopt;
}

bool readSingleField(const net::HttpRequest &Request, std::string_view Name,
                     std::string &Value) {
  Value = std::string(Request.field(Name).value_or(""));
  return Request.fieldCount(Name) <= 1;
}

} // namespace anvil::entry
