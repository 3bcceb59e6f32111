#ifndef ANVIL_CONFIG_CONFIG_H
#define ANVIL_CONFIG_CONFIG_H

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "anvil/config/Document.h"

namespace anvil::config {

/// Rule that a document can violate.
enum class Rule {
  Syntax,
  DocumentTooLarge,
  MissingField,
  UnknownField,
  DuplicateField,
  WrongType,
  OutOfRange,
  BadName,
  UnknownValue,
  TooManyEntries,
  DuplicateName,
  GuaranteeExceedsQuota,
  GuaranteeExceedsCapacity,
  GuaranteeFitsNoWorker
};

/// Returns the name of a rule as it appears in errors, such as "unknown-field".
std::string_view nameOf(Rule Broken);

/// One violation of a rule in a document.
struct Issue {
  std::string m_File;
  /// Counted from 1; 0 if the document was not read from text.
  int m_Line = 0;
  /// Path such as `workspaces[1].guarantees[0].count`; empty for the whole
  /// document.
  std::string m_Field;
  Rule m_Rule = Rule::Syntax;
  std::string m_Message;
};

/// Returns `file:line: field: message [rule]`.
std::string toString(const Issue &Fault);

/// A parsed document and all issues found in it. m_Document is usable only if
/// m_Issues is empty.
struct ParseResult {
  Document m_Document;
  std::vector<Issue> m_Issues;

  /// Returns true if the document may be applied.
  bool ok() const { return m_Issues.empty(); }
};

/// Largest accepted document in bytes.
///
/// Every replica parses the document while it applies the command, which takes
/// about 0.4 us per byte and must stay well below the 500 ms without messages
/// after which an election starts. A document with 200 workspaces of one
/// guarantee each has 37 KiB.
inline constexpr size_t MaxDocumentBytes = 256 << 10;

/// Parses and validates \p Yaml and reports all issues at once, ordered by
/// line. \p File is the file name in the issues.
ParseResult parseDocument(std::string_view Yaml, std::string_view File);

/// Checks the rules that concern values: names, quotas, guarantees and
/// capacity. The issues have no file and no line.
std::vector<Issue> validate(const Document &Doc);

/// Returns a text that is equal for documents of equal meaning.
///
/// It is independent of comments, key order and the order of named entries. It
/// omits `environment` and `version`, so that a document keeps its digest when
/// it is promoted from the trial environment.
std::string canonicalForm(const Document &Doc);

/// Returns the xxHash3 128-bit digest of canonicalForm() as 32 hexadecimal
/// digits.
std::string contentDigest(const Document &Doc);

/// Kind of a difference between two documents.
enum class ChangeKind {
  ZoneAdded,
  ZoneRemoved,
  ZoneChanged,
  WorkspaceAdded,
  WorkspaceRemoved,
  QuotaChanged,
  GuaranteeAdded,
  GuaranteeRemoved,
  GuaranteeChanged,
  ServiceAdded,
  ServiceRemoved,
  ServiceChanged,
  ClassAdded,
  ClassRemoved,
  ClassChanged,
  LimitsChanged
};

/// One difference between two documents; m_Name is `owner/name` for guarantees
/// and classes.
struct Change {
  ChangeKind m_Kind = ChangeKind::LimitsChanged;
  std::string m_Name;
  /// Canonical text before and after; empty for an added or removed entry.
  std::string m_Before;
  std::string m_After;
};

/// Returns the differences from \p Old to \p New, ordered by section and name;
/// empty exactly if the digests are equal.
std::vector<Change> diff(const Document &Old, const Document &New);

/// Returns the total resources of all declared workers.
Amount declaredCapacity(const Document &Doc);

} // namespace anvil::config

#endif // ANVIL_CONFIG_CONFIG_H
