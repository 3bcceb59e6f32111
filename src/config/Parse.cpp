#include "anvil/config/Config.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <optional>
#include <set>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "yaml-cpp/yaml.h"

#include "Canonical.h"
#include "anvil/base/Port.h"

namespace anvil::config {

namespace {

// Largest list lengths. They also prevent YAML aliases from expanding a small
// text into a huge document.
constexpr size_t MaxZones = 64;
constexpr size_t MaxWorkerGroups = 256;
constexpr size_t MaxWorkspaces = 1'000;
constexpr size_t MaxGuarantees = 64;
constexpr size_t MaxServices = 256;
constexpr size_t MaxClasses = 32;

// Largest amounts; products with counts stay far below the range of int64_t.
// The longest deadline is one day.
constexpr int64_t MaxAmount = 10'000'000;
constexpr int64_t MaxCount = 100'000;
constexpr int64_t MaxDeadlineMs = 86'400'000;

struct Range {
  int64_t m_Min = 0;
  int64_t m_Max = MaxAmount;
};

// Converts YAML nodes to a Document. Records each issue and continues with a
// default value.
class DocumentReader {
public:
  explicit DocumentReader(std::string_view File) : m_File(File) {}

  ParseResult read(const YAML::Node &Root) {
    if (checkMap(Root, "",
                 {"environment", "version", "availability_zones", "workspaces",
                  "services", "limits"})) {
      Document &Doc = m_Result.m_Document;
      Doc.m_Environment = readText(Root, "", "environment");
      Doc.m_Version = readNumber(Root, "", "version", {1, INT64_MAX});
      readList(Root, "", "availability_zones", MaxZones, true,
               [&](const YAML::Node &Node, const std::string &Path) {
                 Doc.m_Zones.push_back(readZone(Node, Path));
               });
      readList(Root, "", "workspaces", MaxWorkspaces, true,
               [&](const YAML::Node &Node, const std::string &Path) {
                 Doc.m_Workspaces.push_back(readWorkspace(Node, Path));
               });
      readList(Root, "", "services", MaxServices, true,
               [&](const YAML::Node &Node, const std::string &Path) {
                 Doc.m_Services.push_back(readService(Node, Path));
               });
      readLimits(Root);
      addValidationIssues();
    }
    std::stable_sort(m_Result.m_Issues.begin(), m_Result.m_Issues.end(),
                     [](const Issue &Left, const Issue &Right) {
                       return Left.m_Line < Right.m_Line;
                     });
    return std::move(m_Result);
  }

  void addIssue(int Line, std::string Field, Rule Broken, std::string Message) {
    m_Result.m_Issues.push_back(
        {m_File, Line, std::move(Field), Broken, std::move(Message)});
  }

  ParseResult takeResult() { return std::move(m_Result); }

private:
  static int lineOf(const YAML::Node &Node) { return Node.Mark().line + 1; }

  static std::string join(const std::string &Path, const std::string &Key) {
    return Path.empty() ? Key : absl::StrCat(Path, ".", Key);
  }

  // Also records the lines of all fields, so that issues of validation have
  // one.
  bool checkMap(const YAML::Node &Node, const std::string &Path,
                const std::vector<std::string> &Allowed) {
    m_Lines[Path] = lineOf(Node);
    if (!Node.IsMap()) {
      addIssue(lineOf(Node), Path, Rule::WrongType, "must be a mapping");
      return false;
    }
    std::set<std::string> Seen;
    for (const auto &Entry : Node) {
      const std::string Key =
          Entry.first.IsScalar() ? Entry.first.Scalar() : "?";
      const int Line = lineOf(Entry.first);
      if (!Seen.insert(Key).second) {
        addIssue(Line, join(Path, Key), Rule::DuplicateField, "appears twice");
      } else if (std::find(Allowed.begin(), Allowed.end(), Key) ==
                 Allowed.end()) {
        addIssue(Line, join(Path, Key), Rule::UnknownField,
                 absl::StrCat("is unknown; allowed are ",
                              absl::StrJoin(Allowed, ", ")));
      }
      m_Lines.emplace(join(Path, Key), Line);
    }
    return true;
  }

  YAML::Node requiredField(const YAML::Node &Map, const std::string &Path,
                           const std::string &Key) {
    YAML::Node Node = Map[Key];
    if (!Node)
      addIssue(lineOf(Map), join(Path, Key), Rule::MissingField, "is missing");
    return Node;
  }

  std::string readText(const YAML::Node &Map, const std::string &Path,
                       const std::string &Key) {
    const YAML::Node Node = requiredField(Map, Path, Key);
    if (!Node)
      return {};
    if (Node.IsScalar())
      return Node.Scalar();
    addIssue(lineOf(Node), join(Path, Key), Rule::WrongType, "must be a text");
    return {};
  }

  int64_t readNumber(const YAML::Node &Map, const std::string &Path,
                     const std::string &Key, Range Allowed,
                     std::optional<int64_t> Default = std::nullopt) {
    if (Default && !Map[Key])
      return *Default;
    const YAML::Node Node = requiredField(Map, Path, Key);
    if (!Node)
      return Allowed.m_Min;
    int64_t Value = 0;
    const std::string Digits = Node.IsScalar() ? Node.Scalar() : "";
    const char *End = Digits.data() + Digits.size();
    const auto [Stop, Error] = std::from_chars(Digits.data(), End, Value);
    // A quoted scalar has the tag "!" and is a text, not a number.
    if (Stop != End || Digits.empty() || Error == std::errc::invalid_argument ||
        Node.Tag() == "!") {
      addIssue(lineOf(Node), join(Path, Key), Rule::WrongType,
               "must be a whole number");
      return Allowed.m_Min;
    }
    if (Error == std::errc::result_out_of_range || Value < Allowed.m_Min ||
        Value > Allowed.m_Max) {
      addIssue(lineOf(Node), join(Path, Key), Rule::OutOfRange,
               absl::StrCat(Digits.substr(0, 20), " is not between ",
                            Allowed.m_Min, " and ", Allowed.m_Max));
      return Allowed.m_Min;
    }
    return Value;
  }

  bool readBoolean(const YAML::Node &Map, const std::string &Path,
                   const std::string &Key) {
    const YAML::Node Node = requiredField(Map, Path, Key);
    if (!Node)
      return false;
    const std::string Value =
        Node.IsScalar() && Node.Tag() != "!" ? Node.Scalar() : "";
    if (Value != "true" && Value != "false")
      addIssue(lineOf(Node), join(Path, Key), Rule::WrongType,
               "must be true or false");
    return Value == "true";
  }

  template <typename Enum, size_t Count>
  Enum readEnum(const YAML::Node &Map, const std::string &Path,
                const std::string &Key, const std::array<Enum, Count> &Values) {
    const YAML::Node Node = requiredField(Map, Path, Key);
    if (!Node)
      return Values[0];
    std::vector<std::string> Names;
    for (const Enum Value : Values) {
      Names.emplace_back(internal::nameOf(Value));
      if (Node.IsScalar() && Node.Scalar() == Names.back())
        return Value;
    }
    addIssue(lineOf(Node), join(Path, Key), Rule::UnknownValue,
             absl::StrCat("must be one of ", absl::StrJoin(Names, ", ")));
    return Values[0];
  }

  template <typename ReadEntry>
  void readList(const YAML::Node &Map, const std::string &Path,
                const std::string &Key, size_t MaxEntries, bool Required,
                ReadEntry Read) {
    const std::string Field = join(Path, Key);
    const YAML::Node List = Required ? requiredField(Map, Path, Key) : Map[Key];
    if (!List)
      return;
    if (!List.IsSequence())
      return addIssue(lineOf(List), Field, Rule::WrongType, "must be a list");
    if (List.size() > MaxEntries) {
      return addIssue(lineOf(List), Field, Rule::TooManyEntries,
                      absl::StrCat("has ", List.size(), " entries, more than ",
                                   MaxEntries));
    }
    for (size_t I = 0; I < List.size(); ++I)
      Read(List[I], absl::StrCat(Field, "[", I, "]"));
  }

  Amount readAmount(const YAML::Node &Map, const std::string &Path) {
    Amount Value;
    Value.m_Accelerators = readNumber(Map, Path, "accelerators", {});
    Value.m_Cores = readNumber(Map, Path, "cores", {});
    Value.m_MemoryGib = readNumber(Map, Path, "memory_gib", {});
    return Value;
  }

  Zone readZone(const YAML::Node &Node, const std::string &Path) {
    Zone Value;
    if (!checkMap(Node, Path, {"name", "region", "workers"}))
      return Value;
    Value.m_Name = readText(Node, Path, "name");
    Value.m_Region = readText(Node, Path, "region");
    readList(
        Node, Path, "workers", MaxWorkerGroups, false,
        [&](const YAML::Node &Entry, const std::string &Field) {
          if (!checkMap(
                  Entry, Field,
                  {"count", "accelerators", "cores", "memory_gib", "per_rack"}))
            return;
          WorkerGroup Group;
          Group.m_Count = readNumber(Entry, Field, "count", {1, MaxCount});
          Group.m_Each = readAmount(Entry, Field);
          Group.m_PerRack = readNumber(Entry, Field, "per_rack", {1, MaxCount});
          Value.m_Workers.push_back(Group);
        });
    return Value;
  }

  Workspace readWorkspace(const YAML::Node &Node, const std::string &Path) {
    Workspace Value;
    if (!checkMap(Node, Path, {"name", "quota", "guarantees"}))
      return Value;
    Value.m_Name = readText(Node, Path, "name");
    if (const YAML::Node Quota = requiredField(Node, Path, "quota");
        Quota && checkMap(Quota, Path + ".quota",
                          {"accelerators", "cores", "memory_gib"}))
      Value.m_Quota = readAmount(Quota, Path + ".quota");
    readList(Node, Path, "guarantees", MaxGuarantees, false,
             [&](const YAML::Node &Entry, const std::string &Field) {
               if (!checkMap(Entry, Field,
                             {"name", "accelerators", "cores", "memory_gib",
                              "adjacency", "count"}))
                 return;
               Guarantee Shape;
               Shape.m_Name = readText(Entry, Field, "name");
               Shape.m_Shape = readAmount(Entry, Field);
               Shape.m_Adjacency = readEnum(
                   Entry, Field, "adjacency",
                   std::array{Adjacency::Any, Adjacency::Rack, Adjacency::Vm});
               Shape.m_Count = readNumber(Entry, Field, "count", {1, MaxCount});
               Value.m_Guarantees.push_back(Shape);
             });
    return Value;
  }

  Service readService(const YAML::Node &Node, const std::string &Path) {
    Service Value;
    if (!checkMap(Node, Path, {"name", "slots", "connections", "classes"}))
      return Value;
    Value.m_Name = readText(Node, Path, "name");
    Value.m_Slots = readNumber(Node, Path, "slots", {1, 1'000});
    Value.m_Connections = readNumber(Node, Path, "connections", {1, 100'000});
    readList(Node, Path, "classes", MaxClasses, true,
             [&](const YAML::Node &Entry, const std::string &Field) {
               if (!checkMap(Entry, Field,
                             {"name", "urgency", "deadline_ms", "idempotent",
                              "queue_limit"}))
                 return;
               RequestClass Class;
               Class.m_Name = readText(Entry, Field, "name");
               Class.m_Urgency =
                   readEnum(Entry, Field, "urgency",
                            std::array{Urgency::Urgent, Urgency::WorkingDay,
                                       Urgency::Batch, Urgency::Overnight});
               Class.m_DeadlineMs =
                   readNumber(Entry, Field, "deadline_ms", {1, MaxDeadlineMs});
               Class.m_Idempotent = readBoolean(Entry, Field, "idempotent");
               Class.m_QueueLimit =
                   readNumber(Entry, Field, "queue_limit", {1, 100'000});
               Value.m_Classes.push_back(Class);
             });
    return Value;
  }

  void readLimits(const YAML::Node &Root) {
    const YAML::Node Node = Root["limits"];
    if (!Node || !checkMap(Node, "limits",
                           {"live_jobs", "gang_size", "payload_kib", "lease_ms",
                            "claims", "claim_mib", "claim_retention_s"}))
      return;
    Limits &Value = m_Result.m_Document.m_Limits;
    Value.m_LiveJobs = readNumber(Node, "limits", "live_jobs", {1, 1'000'000},
                                  Value.m_LiveJobs);
    Value.m_GangSize =
        readNumber(Node, "limits", "gang_size", {1, 256}, Value.m_GangSize);
    Value.m_PayloadKib = readNumber(Node, "limits", "payload_kib", {1, 1'024},
                                    Value.m_PayloadKib);
    Value.m_LeaseMs = readNumber(Node, "limits", "lease_ms",
                                 {10'000, 7'200'000}, Value.m_LeaseMs);
    Value.m_Claims =
        readNumber(Node, "limits", "claims", {1, 1'000'000}, Value.m_Claims);
    Value.m_ClaimMib =
        readNumber(Node, "limits", "claim_mib", {1, 1'024}, Value.m_ClaimMib);
    Value.m_ClaimRetentionS =
        readNumber(Node, "limits", "claim_retention_s", {60, 2'592'000},
                   Value.m_ClaimRetentionS);
  }

  // Returns whether an issue was found while reading \p Section, so that checks
  // of its values would only repeat it.
  bool hasIssueIn(const std::string &Section, size_t ReadIssueCount) const {
    return std::any_of(m_Result.m_Issues.begin(),
                       m_Result.m_Issues.begin() +
                           static_cast<ptrdiff_t>(ReadIssueCount),
                       [&](const Issue &Fault) {
                         return absl::StartsWith(Fault.m_Field, Section);
                       });
  }

  void addValidationIssues() {
    const size_t ReadIssueCount = m_Result.m_Issues.size();
    for (Issue &Fault : validate(m_Result.m_Document)) {
      const bool ComparesAmounts = Fault.m_Rule >= Rule::GuaranteeExceedsQuota;
      if (ComparesAmounts && (hasIssueIn("workspaces", ReadIssueCount) ||
                              hasIssueIn("availability_zones", ReadIssueCount)))
        continue;
      if (hasIssueIn(Fault.m_Field, ReadIssueCount))
        continue;
      const auto Line = m_Lines.find(Fault.m_Field);
      addIssue(Line == m_Lines.end() ? 0 : Line->second,
               std::move(Fault.m_Field), Fault.m_Rule,
               std::move(Fault.m_Message));
    }
  }

  std::string m_File;
  std::map<std::string, int> m_Lines;
  ParseResult m_Result;
};

} // namespace

ParseResult parseDocument(std::string_view Yaml, std::string_view File) {
  DocumentReader Reader(File);
  if (Yaml.size() > MaxDocumentBytes) {
    Reader.addIssue(1, "", Rule::DocumentTooLarge,
                    absl::StrCat("has ", Yaml.size(), " bytes, more than ",
                                 MaxDocumentBytes));
    return Reader.takeResult();
  }
  try {
    const std::vector<YAML::Node> Documents = YAML::LoadAll(std::string(Yaml));
    if (Documents.size() == 1)
      return Reader.read(Documents[0]);
    Reader.addIssue(1, "", Rule::Syntax,
                    absl::StrCat("has ", Documents.size(),
                                 " YAML documents instead of one"));
  } catch (const YAML::Exception &Error) {
    Reader.addIssue(Error.mark.line + 1, "", Rule::Syntax, Error.msg);
  }
  return Reader.takeResult();
}

} // namespace anvil::config
