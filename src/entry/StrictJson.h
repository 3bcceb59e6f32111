#ifndef ANVIL_ENTRY_STRICTJSON_H
#define ANVIL_ENTRY_STRICTJSON_H

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include <boost/json/object.hpp>

namespace anvil::entry {

/// What is wrong with a JSON document.
struct JsonProblem {
  std::string
      m_Field; ///< Path such as "per_task.cores"; empty for the whole document.
  std::string m_Message;
};

/// Parses a JSON object and refuses duplicate keys at any depth.
/// \returns false and fills \p Problem if the text is not such an object.
bool parseStrictObject(std::string_view Text, boost::json::object &Into,
                       JsonProblem &Problem);

/// Reads the members of a JSON object by type, and finds members that nobody
/// asked for.
///
/// Usage: call the readers for all known members, then finish(). Only the first
/// problem is kept; after it the readers do nothing.
class ObjectReader {
public:
  ObjectReader(const boost::json::object &Object, std::string Prefix,
               JsonProblem &Problem)
      : m_Object(Object), m_Prefix(std::move(Prefix)), m_Problem(Problem) {}

  void text(std::string_view Name, std::string &Value, size_t MinLength,
            size_t MaxLength);
  void integer(std::string_view Name, int64_t &Value, int64_t Min, int64_t Max);
  void flag(std::string_view Name, bool &Value);
  /// Reads one of \p Words and stores its position.
  void word(std::string_view Name, const std::vector<std::string_view> &Words,
            size_t &Position);
  /// Returns a nested object, or null if there is none.
  const boost::json::object *object(std::string_view Name);
  /// Reports a missing member.
  void require(std::string_view Name);
  /// Reports a member that no reader asked for.
  void finish();
  bool failed() const { return !m_Problem.m_Message.empty(); }

private:
  const boost::json::value *find(std::string_view Name);
  void fail(std::string_view Name, std::string Message);

  const boost::json::object &m_Object;
  std::string m_Prefix;
  JsonProblem &m_Problem;
  std::set<std::string, std::less<>> m_Known;
};

} // namespace anvil::entry

#endif // ANVIL_ENTRY_STRICTJSON_H
