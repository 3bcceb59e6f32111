#include "Canonical.h"

#include "absl/strings/str_cat.h"

namespace anvil::config {

namespace {

using internal::canonicalText;
using internal::sortedByName;

// Calls Both for each name in both lists, and Removed or Added for each name in
// only one of them, in name order.
template <typename Entry, typename OnAdded, typename OnRemoved, typename OnBoth>
void mergeByName(const std::vector<Entry> &Old, const std::vector<Entry> &New,
                 OnAdded Added, OnRemoved Removed, OnBoth Both) {
  const auto Before = sortedByName(Old);
  const auto After = sortedByName(New);
  auto Left = Before.begin();
  auto Right = After.begin();
  while (Left != Before.end() || Right != After.end()) {
    if (Right == After.end() ||
        (Left != Before.end() && (*Left)->m_Name < (*Right)->m_Name)) {
      Removed(**Left++);
    } else if (Left == Before.end() || (*Right)->m_Name < (*Left)->m_Name) {
      Added(**Right++);
    } else {
      Both(**Left++, **Right++);
    }
  }
}

class DiffBuilder {
public:
  std::vector<Change> run(const Document &Old, const Document &New) {
    diffNamed(Old.m_Zones, New.m_Zones, "",
              {ChangeKind::ZoneAdded, ChangeKind::ZoneRemoved,
               ChangeKind::ZoneChanged});
    diffWorkspaces(Old, New);
    diffServices(Old, New);
    const std::string Before = canonicalText(Old.m_Limits);
    const std::string After = canonicalText(New.m_Limits);
    if (Before != After)
      m_Changes.push_back({ChangeKind::LimitsChanged, "limits", Before, After});
    return std::move(m_Changes);
  }

private:
  struct ChangeKinds {
    ChangeKind m_Added;
    ChangeKind m_Removed;
    ChangeKind m_Changed;
  };

  static constexpr ChangeKinds GuaranteeKinds = {ChangeKind::GuaranteeAdded,
                                                 ChangeKind::GuaranteeRemoved,
                                                 ChangeKind::GuaranteeChanged};
  static constexpr ChangeKinds ClassKinds = {ChangeKind::ClassAdded,
                                             ChangeKind::ClassRemoved,
                                             ChangeKind::ClassChanged};

  template <typename Entry>
  void diffNamed(const std::vector<Entry> &Old, const std::vector<Entry> &New,
                 const std::string &Prefix, ChangeKinds Kinds) {
    mergeByName(
        Old, New,
        [&](const Entry &Added) {
          m_Changes.push_back(
              {Kinds.m_Added, Prefix + Added.m_Name, "", canonicalText(Added)});
        },
        [&](const Entry &Removed) {
          m_Changes.push_back({Kinds.m_Removed, Prefix + Removed.m_Name,
                               canonicalText(Removed), ""});
        },
        [&](const Entry &Before, const Entry &After) {
          if (canonicalText(Before) != canonicalText(After))
            m_Changes.push_back({Kinds.m_Changed, Prefix + After.m_Name,
                                 canonicalText(Before), canonicalText(After)});
        });
  }

  void diffWorkspaces(const Document &Old, const Document &New) {
    mergeByName(
        Old.m_Workspaces, New.m_Workspaces,
        [&](const Workspace &Added) {
          m_Changes.push_back({ChangeKind::WorkspaceAdded, Added.m_Name, "",
                               canonicalText(Added.m_Quota)});
          diffNamed({}, Added.m_Guarantees, Added.m_Name + "/", GuaranteeKinds);
        },
        [&](const Workspace &Removed) {
          m_Changes.push_back({ChangeKind::WorkspaceRemoved, Removed.m_Name,
                               canonicalText(Removed.m_Quota), ""});
        },
        [&](const Workspace &Before, const Workspace &After) {
          if (Before.m_Quota != After.m_Quota) {
            m_Changes.push_back({ChangeKind::QuotaChanged, After.m_Name,
                                 canonicalText(Before.m_Quota),
                                 canonicalText(After.m_Quota)});
          }
          diffNamed(Before.m_Guarantees, After.m_Guarantees, After.m_Name + "/",
                    GuaranteeKinds);
        });
  }

  void diffServices(const Document &Old, const Document &New) {
    diffNamed(Old.m_Services, New.m_Services, "",
              {ChangeKind::ServiceAdded, ChangeKind::ServiceRemoved,
               ChangeKind::ServiceChanged});
    mergeByName(
        Old.m_Services, New.m_Services,
        [&](const Service &Added) {
          diffNamed({}, Added.m_Classes, Added.m_Name + "/", ClassKinds);
        },
        [](const Service &) {},
        [&](const Service &Before, const Service &After) {
          diffNamed(Before.m_Classes, After.m_Classes, After.m_Name + "/",
                    ClassKinds);
        });
  }

  std::vector<Change> m_Changes;
};

} // namespace

std::vector<Change> diff(const Document &Old, const Document &New) {
  return DiffBuilder().run(Old, New);
}

} // namespace anvil::config
