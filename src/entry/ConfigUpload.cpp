#include "ConfigUpload.h"

#include "absl/strings/str_cat.h"

#include "anvil/config/Config.h"

namespace anvil::entry {

bool readConfigUpload(std::string_view Document, wire::ApplyConfig &Command,
                      JsonProblem &Problem) {
  const config::ParseResult Parsed =
      config::parseDocument(Document, "document");
  if (!Parsed.ok()) {
    std::string Messages;
    for (const config::Issue &Issue : Parsed.m_Issues)
      absl::StrAppend(&Messages, Messages.empty() ? "" : "; ",
                      config::toString(Issue));
    const std::string &Field = Parsed.m_Issues.front().m_Field;
    Problem = {Field.empty() ? "document" : Field, std::move(Messages)};
    return false;
  }
  Command.version = Parsed.m_Document.m_Version;
  Command.environment = Parsed.m_Document.m_Environment;
  Command.document = Document;
  Command.digest = config::contentDigest(Parsed.m_Document);
  return true;
}

} // namespace anvil::entry
