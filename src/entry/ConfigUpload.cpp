#include "ConfigUpload.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include <xxhash.h>
#include <yaml-cpp/yaml.h>

namespace anvil::entry {

namespace {

std::string digestOf(std::string_view Text) {
  const XXH128_hash_t Hash = XXH3_128bits(Text.data(), Text.size());
  return absl::StrCat(absl::Hex(Hash.high64, absl::kZeroPad16), absl::Hex(Hash.low64, absl::kZeroPad16));
}

std::string scalarOf(const YAML::Node &Document, const char *Name) {
  const YAML::Node Found = Document[Name];
  return Found && Found.IsScalar() ? Found.Scalar() : "";
}

} // namespace

bool readConfigUpload(std::string_view Document, wire::ApplyConfig &Into, JsonProblem &Problem) {
  YAML::Node Root;
  try {
    Root = YAML::Load(std::string(Document));
  } catch (const YAML::Exception &Error) {
    Problem = {"document", absl::StrCat("not valid YAML in line ", Error.mark.line + 1, ": ", Error.msg)};
    return false;
  }
  if (!Root.IsMap()) {
    Problem = {"document", "must be a YAML mapping"};
    return false;
  }
  if (!absl::SimpleAtoi(scalarOf(Root, "version"), &Into.version) || Into.version < 1) {
    Problem = {"version", "must be a whole number from 1"};
    return false;
  }
  Into.environment = scalarOf(Root, "environment");
  if (Into.environment.empty()) {
    Problem = {"environment", "is required"};
    return false;
  }
  Into.document = Document;
  Into.digest = digestOf(Document);
  return true;
}

} // namespace anvil::entry
