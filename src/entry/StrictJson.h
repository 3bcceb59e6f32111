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

/// The first error in a JSON document.
struct JsonProblem {
  /// Path such as "per_task.cores"; empty for the whole document.
  std::string m_Field;
  /// Empty if there is no error.
  std::string m_Message;
};

/// Parses a JSON object and rejects duplicate keys at any depth.
/// \returns false and fills \p Problem if the text is not such an object.
bool parseStrictObject(std::string_view Text, boost::json::object &Object,
                       JsonProblem &Problem);

/// Reads the members of a JSON object by type and rejects unknown members.
///
/// Usage: call a read function for each known member, then finish(). A read
/// function leaves its value unchanged if the member is absent. Only the first
/// error is kept; after it the read functions do nothing.
class ObjectReader {
public:
  ObjectReader(const boost::json::object &Object, std::string Prefix,
               JsonProblem &Problem)
      : m_Object(Object), m_Prefix(std::move(Prefix)), m_Problem(Problem) {}

  void readString(std::string_view Name, std::string &Value, size_t MinLength,
                  size_t MaxLength);
  void readInteger(std::string_view Name, int64_t &Value, int64_t Min,
                   int64_t Max);
  void readBool(std::string_view Name, bool &Value);
  /// Reads one of \p Names and stores its index in \p Position.
  void readEnum(std::string_view Name,
                const std::vector<std::string_view> &Names, size_t &Position);
  /// Returns a nested object, or null if it is absent or of another type.
  const boost::json::object *readObject(std::string_view Name);
  /// Reports an error if the member is absent.
  void require(std::string_view Name);
  /// Reports an error if the object has a member that was not read.
  void finish();
  bool failed() const { return !m_Problem.m_Message.empty(); }

private:
  const boost::json::value *find(std::string_view Name);
  void fail(std::string_view Name, std::string Message);

  const boost::json::object &m_Object;
  std::string m_Prefix;
  JsonProblem &m_Problem;
  std::set<std::string, std::less<>> m_RequestedKeys;
};

} // namespace anvil::entry

#endif // ANVIL_ENTRY_STRICTJSON_H
