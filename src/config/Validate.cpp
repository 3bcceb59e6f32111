#include "anvil/config/Config.h"

#include <algorithm>
#include <array>
#include <set>

#include "absl/strings/str_cat.h"

#include "anvil/base/Port.h"

namespace anvil::config {

namespace {

constexpr size_t MaxNameLength = 63;

bool isValidName(const std::string &Text) {
  const auto Allowed = [](char Character) {
    return (Character >= 'a' && Character <= 'z') ||
           (Character >= 'A' && Character <= 'Z') ||
           (Character >= '0' && Character <= '9') || Character == '-' ||
           Character == '_' || Character == '.';
  };
  return !Text.empty() && Text.size() <= MaxNameLength &&
         std::all_of(Text.begin(), Text.end(), Allowed);
}

Amount sum(const Amount &Left, const Amount &Right) {
  return {Left.m_Accelerators + Right.m_Accelerators,
          Left.m_Cores + Right.m_Cores, Left.m_MemoryGib + Right.m_MemoryGib};
}

Amount times(const Amount &Each, int64_t Count) {
  return {Each.m_Accelerators * Count, Each.m_Cores * Count,
          Each.m_MemoryGib * Count};
}

bool fits(const Amount &Needed, const Amount &Available) {
  return Needed.m_Accelerators <= Available.m_Accelerators &&
         Needed.m_Cores <= Available.m_Cores &&
         Needed.m_MemoryGib <= Available.m_MemoryGib;
}

// Describes the shortage, such as "8 accelerators and 16 cores".
std::string describeShortage(const Amount &Needed, const Amount &Available) {
  std::string Text;
  const auto AddUnit = [&Text](int64_t Amount, const char *Unit) {
    if (Amount > 0)
      absl::StrAppend(&Text, Text.empty() ? "" : " and ", Amount, " ", Unit);
  };
  AddUnit(Needed.m_Accelerators - Available.m_Accelerators, "accelerators");
  AddUnit(Needed.m_Cores - Available.m_Cores, "cores");
  AddUnit(Needed.m_MemoryGib - Available.m_MemoryGib, "GiB of memory");
  return Text;
}

class Validator {
public:
  explicit Validator(const Document &Doc) : m_Doc(Doc) {}

  std::vector<Issue> run() {
    checkName("environment", m_Doc.m_Environment);
    checkNames("availability_zones", m_Doc.m_Zones);
    checkNames("workspaces", m_Doc.m_Workspaces);
    checkNames("services", m_Doc.m_Services);
    for (size_t I = 0; I < m_Doc.m_Zones.size(); ++I)
      checkName(absl::StrCat("availability_zones[", I, "].region"),
                m_Doc.m_Zones[I].m_Region);
    for (size_t I = 0; I < m_Doc.m_Workspaces.size(); ++I)
      checkWorkspace(absl::StrCat("workspaces[", I, "]"),
                     m_Doc.m_Workspaces[I]);
    for (size_t I = 0; I < m_Doc.m_Services.size(); ++I)
      checkNames(absl::StrCat("services[", I, "].classes"),
                 m_Doc.m_Services[I].m_Classes);
    checkCapacity();
    return std::move(m_Issues);
  }

private:
  void addIssue(std::string Field, Rule Broken, std::string Message) {
    m_Issues.push_back({"", 0, std::move(Field), Broken, std::move(Message)});
  }

  void checkName(const std::string &Field, const std::string &Name) {
    if (!isValidName(Name)) {
      addIssue(
          Field, Rule::BadName,
          absl::StrCat(
              "\"", Name.substr(0, MaxNameLength),
              "\" is not a name of 1 to 63 letters, digits, '-', '_' or '.'"));
    }
  }

  template <typename Entry>
  void checkNames(const std::string &List, const std::vector<Entry> &Entries) {
    std::set<std::string> Seen;
    for (size_t I = 0; I < Entries.size(); ++I) {
      const std::string Field = absl::StrCat(List, "[", I, "].name");
      checkName(Field, Entries[I].m_Name);
      if (!Seen.insert(Entries[I].m_Name).second)
        addIssue(Field, Rule::DuplicateName,
                 absl::StrCat("\"", Entries[I].m_Name, "\" is already used in ",
                              List));
    }
  }

  void checkWorkspace(const std::string &Field, const Workspace &Space) {
    checkNames(Field + ".guarantees", Space.m_Guarantees);
    Amount Guaranteed;
    for (size_t I = 0; I < Space.m_Guarantees.size(); ++I) {
      const Guarantee &Each = Space.m_Guarantees[I];
      Guaranteed = sum(Guaranteed, times(Each.m_Shape, Each.m_Count));
      checkShape(absl::StrCat(Field, ".guarantees[", I, "]"), Each);
    }
    if (!fits(Guaranteed, Space.m_Quota)) {
      addIssue(Field + ".guarantees", Rule::GuaranteeExceedsQuota,
               absl::StrCat("guarantees exceed the quota of workspace ",
                            Space.m_Name, " by ",
                            describeShortage(Guaranteed, Space.m_Quota)));
    }
  }

  // A shape with adjacency must fit into one worker or one rack; otherwise no
  // placement can satisfy it.
  void checkShape(const std::string &Field, const Guarantee &Shape) {
    if (Shape.m_Adjacency == Adjacency::Any)
      return;
    const bool OneVm = Shape.m_Adjacency == Adjacency::Vm;
    for (const Zone &Each : m_Doc.m_Zones) {
      for (const WorkerGroup &Group : Each.m_Workers) {
        const int64_t Workers =
            OneVm ? 1 : std::min(Group.m_PerRack, Group.m_Count);
        if (fits(Shape.m_Shape, times(Group.m_Each, Workers)))
          return;
      }
    }
    addIssue(Field, Rule::GuaranteeFitsNoWorker,
             absl::StrCat("shape ", Shape.m_Name, " fits into no declared ",
                          OneVm ? "worker" : "rack"));
  }

  void checkCapacity() {
    Amount Guaranteed;
    for (const Workspace &Space : m_Doc.m_Workspaces) {
      for (const Guarantee &Each : Space.m_Guarantees)
        Guaranteed = sum(Guaranteed, times(Each.m_Shape, Each.m_Count));
    }
    const Amount Declared = declaredCapacity(m_Doc);
    if (!fits(Guaranteed, Declared)) {
      addIssue(
          "workspaces", Rule::GuaranteeExceedsCapacity,
          absl::StrCat(
              "guarantees of all workspaces exceed the declared capacity by ",
              describeShortage(Guaranteed, Declared)));
    }
  }

  const Document &m_Doc;
  std::vector<Issue> m_Issues;
};

template <typename Entry>
const Entry *findNamed(const std::vector<Entry> &Entries,
                       const std::string &Name) {
  const auto Found =
      std::find_if(Entries.begin(), Entries.end(),
                   [&](const Entry &Each) { return Each.m_Name == Name; });
  return Found == Entries.end() ? nullptr : &*Found;
}

} // namespace

std::vector<Issue> validate(const Document &Doc) {
  return Validator(Doc).run();
}

Amount declaredCapacity(const Document &Doc) {
  Amount Total;
  for (const Zone &Each : Doc.m_Zones) {
    for (const WorkerGroup &Group : Each.m_Workers)
      Total = sum(Total, times(Group.m_Each, Group.m_Count));
  }
  return Total;
}

const Workspace *findWorkspace(const Document &Doc, const std::string &Name) {
  return findNamed(Doc.m_Workspaces, Name);
}

const Service *findService(const Document &Doc, const std::string &Name) {
  return findNamed(Doc.m_Services, Name);
}

std::string_view nameOf(Rule Broken) {
  constexpr std::array<std::string_view, 14> Names = {
      "syntax",
      "document-too-large",
      "missing-field",
      "unknown-field",
      "duplicate-field",
      "wrong-type",
      "out-of-range",
      "bad-name",
      "unknown-value",
      "too-many-entries",
      "duplicate-name",
      "guarantee-exceeds-quota",
      "guarantee-exceeds-capacity",
      "guarantee-fits-no-worker"};
  return Names.at(static_cast<size_t>(Broken));
}

std::string toString(const Issue &Fault) {
  return absl::StrCat(Fault.m_File, ":", Fault.m_Line, ": ",
                      Fault.m_Field.empty() ? "document" : Fault.m_Field, ": ",
                      Fault.m_Message, " [", toAbsl(nameOf(Fault.m_Rule)), "]");
}

} // namespace anvil::config
