#include "StrictJson.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include <boost/json/basic_parser_impl.hpp>
#include <boost/json/parse.hpp>

#include "anvil/base/Port.h"

namespace anvil::entry {

namespace {

namespace json = boost::json;

constexpr size_t MaxDepth = 16;

/// A handler of the Boost.JSON parser that stops at a key that its object
/// already has.
struct DuplicateKeyHandler {
  // Boost.JSON prescribes the names of the bounds and of the functions.
  // NOLINTBEGIN(readability-identifier-naming)
  static constexpr size_t max_object_size = 10000;
  static constexpr size_t max_array_size = 100000;
  static constexpr size_t max_key_size = 1u << 16;
  static constexpr size_t max_string_size = 1u << 20;

  struct ObjectLevel {
    std::set<std::string> m_Keys;
    std::string m_Key; ///< The key whose value is being read.
  };

  bool on_document_begin(json::error_code &) { return true; }
  bool on_document_end(json::error_code &) { return true; }
  bool on_array_begin(json::error_code &) { return true; }
  bool on_array_end(size_t, json::error_code &) { return true; }
  bool on_object_begin(json::error_code &) {
    m_Levels.emplace_back();
    return true;
  }
  bool on_object_end(size_t, json::error_code &) {
    m_Levels.pop_back();
    return true;
  }
  bool on_string_part(json::string_view, size_t, json::error_code &) {
    return true;
  }
  bool on_string(json::string_view, size_t, json::error_code &) { return true; }
  bool on_key_part(json::string_view Part, size_t, json::error_code &) {
    m_PartialKey.append(Part.data(), Part.size());
    return true;
  }
  bool on_key(json::string_view Part, size_t, json::error_code &Error) {
    m_PartialKey.append(Part.data(), Part.size());
    ObjectLevel &Top = m_Levels.back();
    Top.m_Key = std::exchange(m_PartialKey, {});
    if (Top.m_Keys.insert(Top.m_Key).second)
      return true;
    m_Duplicate = path();
    Error = json::error::extra_data;
    return false;
  }
  bool on_number_part(json::string_view, json::error_code &) { return true; }
  bool on_int64(int64_t, json::string_view, json::error_code &) { return true; }
  bool on_uint64(uint64_t, json::string_view, json::error_code &) {
    return true;
  }
  bool on_double(double, json::string_view, json::error_code &) { return true; }
  bool on_bool(bool, json::error_code &) { return true; }
  bool on_null(json::error_code &) { return true; }
  bool on_comment_part(json::string_view, json::error_code &) { return true; }
  bool on_comment(json::string_view, json::error_code &) { return true; }
  // NOLINTEND(readability-identifier-naming)

  std::string path() const {
    std::vector<std::string> Parts;
    for (const ObjectLevel &Level : m_Levels)
      Parts.push_back(Level.m_Key);
    return absl::StrJoin(Parts, ".");
  }

  std::vector<ObjectLevel> m_Levels;
  std::string m_PartialKey;
  std::string m_Duplicate;
};

json::parse_options parseOptions() {
  json::parse_options Options;
  Options.max_depth = MaxDepth;
  return Options;
}

} // namespace

bool parseStrictObject(std::string_view Text, json::object &Object,
                       JsonProblem &Problem) {
  json::basic_parser<DuplicateKeyHandler> Parser(parseOptions());
  json::error_code Error;
  const size_t ParsedBytes =
      Parser.write_some(false, Text.data(), Text.size(), Error);
  if (!Parser.handler().m_Duplicate.empty()) {
    Problem = {Parser.handler().m_Duplicate, "the key appears twice"};
    return false;
  }
  json::value Document;
  if (!Error)
    Document = json::parse(json::string_view(Text.data(), Text.size()), Error,
                           {}, parseOptions());
  if (Error) {
    Problem = {"", absl::StrCat("not valid JSON near byte ", ParsedBytes, ": ",
                                Error.message())};
    return false;
  }
  if (!Document.is_object()) {
    Problem = {"", "must be a JSON object"};
    return false;
  }
  Object = std::move(Document.as_object());
  return true;
}

void ObjectReader::fail(std::string_view Name, std::string Message) {
  if (!failed())
    m_Problem = {m_Prefix + std::string(Name), std::move(Message)};
}

const json::value *ObjectReader::find(std::string_view Name) {
  m_RequestedKeys.emplace(Name);
  if (failed())
    return nullptr;
  return m_Object.if_contains(json::string_view(Name.data(), Name.size()));
}

void ObjectReader::readString(std::string_view Name, std::string &Value,
                              size_t MinLength, size_t MaxLength) {
  const json::value *Found = find(Name);
  if (Found == nullptr)
    return;
  if (!Found->is_string())
    return fail(Name, "must be a string");
  const json::string &Text = Found->get_string();
  if (Text.size() < MinLength || Text.size() > MaxLength)
    return fail(Name, absl::StrCat("must have ", MinLength, " to ", MaxLength,
                                   " bytes"));
  Value.assign(Text.data(), Text.size());
}

void ObjectReader::readInteger(std::string_view Name, int64_t &Value,
                               int64_t Min, int64_t Max) {
  const json::value *Found = find(Name);
  if (Found == nullptr)
    return;
  const std::string Message =
      absl::StrCat("must be a whole number from ", Min, " to ", Max);
  if (!Found->is_int64() || Found->get_int64() < Min ||
      Found->get_int64() > Max)
    return fail(Name, Message);
  Value = Found->get_int64();
}

void ObjectReader::readBool(std::string_view Name, bool &Value) {
  const json::value *Found = find(Name);
  if (Found == nullptr)
    return;
  if (!Found->is_bool())
    return fail(Name, "must be true or false");
  Value = Found->get_bool();
}

void ObjectReader::readEnum(std::string_view Name,
                            const std::vector<std::string_view> &Names,
                            size_t &Position) {
  std::string Text;
  const json::value *Found = find(Name);
  if (Found == nullptr)
    return;
  if (Found->is_string())
    Text.assign(Found->get_string().data(), Found->get_string().size());
  const auto Match = std::find(Names.begin(), Names.end(), Text);
  if (Match != Names.end()) {
    Position = static_cast<size_t>(Match - Names.begin());
    return;
  }
  std::vector<std::string> Allowed(Names.begin(), Names.end());
  fail(Name, absl::StrCat("must be one of ", absl::StrJoin(Allowed, ", ")));
}

const json::object *ObjectReader::readObject(std::string_view Name) {
  const json::value *Found = find(Name);
  if (Found == nullptr)
    return nullptr;
  if (!Found->is_object())
    fail(Name, "must be an object");
  return Found->if_object();
}

void ObjectReader::require(std::string_view Name) {
  if (find(Name) == nullptr)
    fail(Name, "is required");
}

void ObjectReader::finish() {
  for (const auto &Member : m_Object) {
    const std::string_view Name(Member.key().data(), Member.key().size());
    if (!m_RequestedKeys.contains(Name))
      return fail(Name, "is not a known field");
  }
}

} // namespace anvil::entry
