#include "Canonical.h"

#include <array>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "xxhash.h"

#include "anvil/base/Port.h"

namespace anvil::config {

namespace internal {

std::string_view nameOf(Adjacency Value) {
  constexpr std::array<std::string_view, 3> Names = {"any", "rack", "vm"};
  return Names.at(static_cast<size_t>(Value));
}

std::string_view nameOf(Urgency Value) {
  constexpr std::array<std::string_view, 4> Names = {"urgent", "working-day",
                                                     "batch", "overnight"};
  return Names.at(static_cast<size_t>(Value));
}

std::string canonicalText(const Amount &Part) {
  return absl::StrCat("accelerators=", Part.m_Accelerators,
                      " cores=", Part.m_Cores,
                      " memory_gib=", Part.m_MemoryGib);
}

std::string canonicalText(const Zone &Part) {
  std::vector<std::string> Groups;
  for (const WorkerGroup &Group : Part.m_Workers) {
    Groups.push_back(absl::StrCat(" workers(count=", Group.m_Count, " ",
                                  canonicalText(Group.m_Each),
                                  " per_rack=", Group.m_PerRack, ")"));
  }
  std::sort(Groups.begin(), Groups.end());
  std::string Text = absl::StrCat("region=", Part.m_Region);
  for (const std::string &Group : Groups)
    Text += Group;
  return Text;
}

std::string canonicalText(const Guarantee &Part) {
  return absl::StrCat(canonicalText(Part.m_Shape),
                      " adjacency=", toAbsl(nameOf(Part.m_Adjacency)),
                      " count=", Part.m_Count);
}

std::string canonicalText(const RequestClass &Part) {
  return absl::StrCat("urgency=", toAbsl(nameOf(Part.m_Urgency)),
                      " deadline_ms=", Part.m_DeadlineMs,
                      " idempotent=", Part.m_Idempotent ? "true" : "false",
                      " queue_limit=", Part.m_QueueLimit);
}

std::string canonicalText(const Service &Part) {
  return absl::StrCat("slots=", Part.m_Slots,
                      " connections=", Part.m_Connections);
}

std::string canonicalText(const Limits &Part) {
  return absl::StrCat(
      "live_jobs=", Part.m_LiveJobs, " gang_size=", Part.m_GangSize,
      " payload_kib=", Part.m_PayloadKib, " lease_ms=", Part.m_LeaseMs,
      " claims=", Part.m_Claims, " claim_mib=", Part.m_ClaimMib,
      " claim_retention_s=", Part.m_ClaimRetentionS);
}

} // namespace internal

std::string canonicalForm(const Document &Doc) {
  using internal::canonicalText;
  using internal::sortedByName;
  std::string Text;
  for (const Zone *Each : sortedByName(Doc.m_Zones))
    absl::StrAppend(&Text, "zone ", Each->m_Name, " ", canonicalText(*Each),
                    "\n");
  for (const Workspace *Each : sortedByName(Doc.m_Workspaces)) {
    absl::StrAppend(&Text, "workspace ", Each->m_Name, " ",
                    canonicalText(Each->m_Quota), "\n");
    for (const Guarantee *Inner : sortedByName(Each->m_Guarantees))
      absl::StrAppend(&Text, "guarantee ", Inner->m_Name, " ",
                      canonicalText(*Inner), "\n");
  }
  for (const Service *Each : sortedByName(Doc.m_Services)) {
    absl::StrAppend(&Text, "service ", Each->m_Name, " ", canonicalText(*Each),
                    "\n");
    for (const RequestClass *Inner : sortedByName(Each->m_Classes))
      absl::StrAppend(&Text, "class ", Inner->m_Name, " ",
                      canonicalText(*Inner), "\n");
  }
  absl::StrAppend(&Text, "limits ", canonicalText(Doc.m_Limits), "\n");
  return Text;
}

std::string contentDigest(const Document &Doc) {
  const std::string Text = canonicalForm(Doc);
  const XXH128_hash_t Hash = XXH3_128bits(Text.data(), Text.size());
  return absl::StrFormat("%016x%016x", Hash.high64, Hash.low64);
}

} // namespace anvil::config
