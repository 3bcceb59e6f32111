#include "anvil/config/Config.h"

#include <algorithm>
#include <fstream>
#include <sstream>

#include <boost/test/unit_test.hpp>

namespace {

using namespace anvil::config;

std::string readSample(const std::string &Name) {
  std::ifstream File(std::string(ANVIL_SOURCE_DIR) + "/samples/" + Name);
  std::stringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

std::string replaceOnce(std::string Text, const std::string &Pattern,
                        const std::string &Replacement) {
  const size_t Position = Text.find(Pattern);
  BOOST_REQUIRE_MESSAGE(Position != std::string::npos,
                        "not in the sample: " << Pattern);
  return Text.replace(Position, Pattern.size(), Replacement);
}

std::string joinIssues(const std::vector<Issue> &Issues) {
  std::string Text;
  for (const Issue &Each : Issues)
    Text += toString(Each) + "\n";
  return Text;
}

const std::string SmallDocument = R"(environment: trial
version: 3
availability_zones:
  - name: kochi
    region: kerala
    workers: [{count: 2, accelerators: 8, cores: 64, memory_gib: 256, per_rack: 2}]
workspaces:
  - name: sieving
    quota: {accelerators: 16, cores: 128, memory_gib: 512}
    guarantees:
      - {name: grading, accelerators: 8, cores: 64, memory_gib: 256, adjacency: vm, count: 1}
services:
  - name: shellgrit
    slots: 8
    connections: 64
    classes:
      - {name: quote, urgency: working-day, deadline_ms: 2000, idempotent: true, queue_limit: 200}
)";

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigTest)

// Guards against samples that fail validation, or whose size differs from that
// of the real deployments.
BOOST_AUTO_TEST_CASE(SamplesAreValidAndHaveTheExpectedSizes) {
  const ParseResult Malabar =
      parseDocument(readSample("malabar.yaml"), "malabar.yaml");
  BOOST_TEST(Malabar.ok(), joinIssues(Malabar.m_Issues));
  BOOST_TEST(Malabar.m_Document.m_Zones.size() == 3U);
  BOOST_TEST((declaredCapacity(Malabar.m_Document) == Amount{80, 640, 2560}));
  const ParseResult Swanbourne =
      parseDocument(readSample("swanbourne.yaml"), "swanbourne.yaml");
  BOOST_TEST(Swanbourne.ok(), joinIssues(Swanbourne.m_Issues));
  BOOST_TEST(Swanbourne.m_Document.m_Zones.size() == 4U);
  BOOST_TEST(
      (declaredCapacity(Swanbourne.m_Document) == Amount{80, 1280, 5120}));
}

// Guards against an invalid document that is accepted, and against an issue
// without the file, line, field or rule.
BOOST_AUTO_TEST_CASE(EachIssueNamesFileLineFieldAndRule) {
  struct Case {
    const char *m_Pattern;
    const char *m_Replacement;
    const char *m_Expected;
  };
  const std::vector<Case> Cases = {
      {"version: 3", "version: 3\nversion: 4",
       "f:3: version: appears twice [duplicate-field]"},
      {"version: 3", "version: 3\nverison: 4",
       "f:3: verison: is unknown; allowed are environment, version, "
       "availability_zones, workspaces, services, limits "
       "[unknown-field]"},
      {"version: 3", "version: three",
       "f:2: version: must be a whole number [wrong-type]"},
      {"version: 3", "version: \"3\"",
       "f:2: version: must be a whole number [wrong-type]"},
      {"version: 3", "version: 3.5",
       "f:2: version: must be a whole number [wrong-type]"},
      {"version: 3", "version: 0",
       "f:2: version: 0 is not between 1 and 9223372036854775807 "
       "[out-of-range]"},
      {"version: 3", "version: 99999999999999999999",
       "f:2: version: 99999999999999999999 is not between 1 and "
       "9223372036854775807 [out-of-range]"},
      {"environment: trial\n", "",
       "f:1: environment: is missing [missing-field]"},
      {"environment: trial", "environment: [trial]",
       "f:1: environment: must be a text [wrong-type]"},
      {"environment: trial", "environment: try it",
       "f:1: environment: \"try it\" is not a name of 1 to 63 letters, digits, "
       "'-', '_' or '.' [bad-name]"},
      {"count: 2", "count: 0",
       "f:6: availability_zones[0].workers[0].count: 0 is not between 1 and "
       "100000 "
       "[out-of-range]"},
      {", per_rack: 2", "",
       "f:6: availability_zones[0].workers[0].per_rack: is missing "
       "[missing-field]"},
      {"adjacency: vm", "adjacency: near",
       "f:11: workspaces[0].guarantees[0].adjacency: must be one of any, rack, "
       "vm [unknown-value]"},
      {"count: 1}", "count: 3}",
       "f:10: workspaces[0].guarantees: guarantees exceed the quota of "
       "workspace sieving by 8 accelerators and 64 "
       "cores and 256 GiB of memory [guarantee-exceeds-quota]"},
      {"count: 2", "count: 1", ""}, // One worker still holds the guarantee.
      {"{count: 2, accelerators: 8", "{count: 2, accelerators: 3",
       "f:7: workspaces: guarantees of all workspaces exceed the declared "
       "capacity by 2 accelerators "
       "[guarantee-exceeds-capacity]"},
      {"{count: 2, accelerators: 8", "{count: 4, accelerators: 4",
       "f:11: workspaces[0].guarantees[0]: shape grading fits into no declared "
       "worker [guarantee-fits-no-worker]"},
      {"idempotent: true", "idempotent: yes",
       "f:17: services[0].classes[0].idempotent: must be true or false "
       "[wrong-type]"},
      {"services:\n  - name: shellgrit",
       "services:\n  - {}\n  - name: shellgrit",
       "f:13: services[0].classes: is missing [missing-field]"},
      {"  - name: sieving",
       "  - {name: sieving, quota: {accelerators: 1, cores: 1, memory_gib: "
       "1}}\n  - name: sieving",
       "f:9: workspaces[1].name: \"sieving\" is already used in workspaces "
       "[duplicate-name]"},
      {"workspaces:\n", "limits: {gang_size: 257}\nworkspaces:\n",
       "f:7: limits.gang_size: 257 is not between 1 and 256 [out-of-range]"},
      {"environment: trial", "environment: [", "[syntax]"},
      {"environment: trial", "environment: trial\n---\na: b\n---",
       "has 3 YAML documents instead of one [syntax]"},
  };
  for (const Case &Each : Cases) {
    const ParseResult Result = parseDocument(
        replaceOnce(SmallDocument, Each.m_Pattern, Each.m_Replacement), "f");
    const std::string Found = joinIssues(Result.m_Issues);
    BOOST_TEST_CONTEXT(Each.m_Pattern << " -> " << Each.m_Replacement) {
      if (std::string(Each.m_Expected).empty()) {
        BOOST_TEST(Found.empty(), Found);
      } else {
        BOOST_TEST(Found.find(Each.m_Expected) != std::string::npos,
                   "expected " << Each.m_Expected << " got " << Found);
      }
    }
  }
}

// Guards against a parser that reports only the first issue, so that operators
// find the others one at a time.
BOOST_AUTO_TEST_CASE(ReportsAllIssuesOrderedByLine) {
  std::string Text = replaceOnce(SmallDocument, "version: 3", "version: x");
  Text = replaceOnce(Text, "region: kerala", "regoin: kerala");
  Text = replaceOnce(Text, "slots: 8", "slots: -1");
  const ParseResult Result = parseDocument(Text, "f");
  std::vector<int> Lines;
  for (const Issue &Each : Result.m_Issues)
    Lines.push_back(Each.m_Line);
  // The misspelt region is both unknown and missing.
  BOOST_TEST(Lines == (std::vector<int>{2, 4, 5, 14}),
             boost::test_tools::per_element());
}

// Guards against documents that cost the replicas much memory or time: large
// ones, deeply nested ones and ones that repeat an alias.
BOOST_AUTO_TEST_CASE(RefusesDocumentsThatAreTooLargeOrExpand) {
  const ParseResult Large =
      parseDocument(std::string(MaxDocumentBytes + 1, ' '), "f");
  BOOST_TEST(joinIssues(Large.m_Issues).find("[document-too-large]") !=
             std::string::npos);
  const ParseResult Deep = parseDocument(std::string(200'000, '['), "f");
  BOOST_TEST(joinIssues(Deep.m_Issues).find("[syntax]") != std::string::npos);
  std::string Many = "environment: a\nversion: 1\navailability_zones: [&z "
                     "{name: a, region: b}";
  for (int I = 0; I < 1'000; ++I)
    Many += ", *z";
  Many += "]\nworkspaces: []\nservices: []\n";
  BOOST_TEST(joinIssues(parseDocument(Many, "f").m_Issues)
                 .find("has 1001 entries, more than 64") != std::string::npos);
}

// Guards against digests that depend on the formatting, or that miss a change
// of content.
BOOST_AUTO_TEST_CASE(DigestDependsOnContentOnly) {
  const std::string Digest =
      contentDigest(parseDocument(SmallDocument, "f").m_Document);
  BOOST_TEST(Digest.size() == 32U);
  const std::string Reordered = replaceOnce("# note\n" + SmallDocument,
                                            "{name: grading, accelerators: 8,",
                                            "{accelerators: 8, name: grading,");
  BOOST_TEST(contentDigest(parseDocument(Reordered, "f").m_Document) == Digest);
  const std::string Promoted =
      replaceOnce(replaceOnce(SmallDocument, "trial", "production"),
                  "version: 3", "version: 9");
  BOOST_TEST(contentDigest(parseDocument(Promoted, "f").m_Document) == Digest);
  const std::vector<std::pair<std::string, std::string>> Changes = {
      {"kochi", "kollam"},
      {"per_rack: 2", "per_rack: 1"},
      {"quota: {accelerators: 16", "quota: {accelerators: 17"},
      {"adjacency: vm", "adjacency: any"},
      {"slots: 8", "slots: 9"},
      {"deadline_ms: 2000", "deadline_ms: 2001"},
      {"idempotent: true", "idempotent: false"},
      {"queue_limit: 200", "queue_limit: 201"}};
  for (const auto &[Pattern, Replacement] : Changes) {
    const ParseResult Changed =
        parseDocument(replaceOnce(SmallDocument, Pattern, Replacement), "f");
    BOOST_TEST(Changed.ok(), joinIssues(Changed.m_Issues));
    BOOST_TEST(contentDigest(Changed.m_Document) != Digest,
               "not in the digest: " << Replacement);
    BOOST_TEST(
        diff(parseDocument(SmallDocument, "f").m_Document, Changed.m_Document)
                .size() >= 1U,
        "not in the diff: " << Replacement);
  }
}

// Guards against a diff that omits a change or lists one that did not happen,
// so that the scheduler or an entry acts on wrong changes.
BOOST_AUTO_TEST_CASE(DiffListsTypedChanges) {
  const Document Old = parseDocument(SmallDocument, "f").m_Document;
  BOOST_TEST(diff(Old, Old).empty());
  Document New = Old;
  New.m_Zones.push_back({"kollam", "kerala", {}});
  New.m_Workspaces[0].m_Quota.m_Cores = 256;
  New.m_Workspaces[0].m_Guarantees[0].m_Name = "drying";
  New.m_Workspaces.push_back(
      {"pricing", {}, {{"quotes", {1, 1, 1}, Adjacency::Any, 2}}});
  New.m_Services[0].m_Classes[0].m_DeadlineMs = 1'500;
  New.m_Limits.m_Claims = 5;
  std::vector<std::pair<ChangeKind, std::string>> Found;
  for (const Change &Each : diff(Old, New))
    Found.emplace_back(Each.m_Kind, Each.m_Name);
  const std::vector<std::pair<ChangeKind, std::string>> Expected = {
      {ChangeKind::ZoneAdded, "kollam"},
      {ChangeKind::WorkspaceAdded, "pricing"},
      {ChangeKind::GuaranteeAdded, "pricing/quotes"},
      {ChangeKind::QuotaChanged, "sieving"},
      {ChangeKind::GuaranteeAdded, "sieving/drying"},
      {ChangeKind::GuaranteeRemoved, "sieving/grading"},
      {ChangeKind::ClassChanged, "shellgrit/quote"},
      {ChangeKind::LimitsChanged, "limits"}};
  BOOST_TEST((Found == Expected));
  BOOST_TEST(diff(Old, New)[3].m_Before ==
             "accelerators=16 cores=128 memory_gib=512");
  BOOST_TEST(diff(Old, New)[3].m_After ==
             "accelerators=16 cores=256 memory_gib=512");
}

BOOST_AUTO_TEST_SUITE_END()
