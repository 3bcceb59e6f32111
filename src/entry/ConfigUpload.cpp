#include "ConfigUpload.h"

#include "absl/strings/str_cat.h"

#include "anvil/config/Config.h"

namespace anvil::entry {

bool readConfigUpload(std::string_view Document, wire::ApplyConfig &Into,
                      JsonProblem &Problem) {
  const config::ParseResult Parsed =
      config::parseDocument(Document, "document");
  if (!Parsed.ok()) {
    std::string Faults;
    for (const config::Issue &Each : Parsed.m_Issues)
      absl::StrAppend(&Faults, Faults.empty() ? "" : "; ",
                      config::toString(Each));
    const std::string &Field = Parsed.m_Issues.front().m_Field;
    Problem = {Field.empty() ? "document" : Field, std::move(Faults)};
    return false;
  }
  Into.version = Parsed.m_Document.m_Version;
  Into.environment = Parsed.m_Document.m_Environment;
  Into.document = Document;
  Into.digest = config::contentDigest(Parsed.m_Document);
  return true;
}

} // namespace anvil::entry
