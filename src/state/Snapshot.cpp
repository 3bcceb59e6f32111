#include "Snapshot.h"

#include <cstring>
#include <limits>

#include "absl/strings/str_cat.h"
#include "thrift/TConfiguration.h"
#include "thrift/protocol/TCompactProtocol.h"
#include "thrift/transport/TBufferTransports.h"
#include "xxhash.h"

#include "anvil/config/Config.h"
#include "state_constants.h"

namespace anvil::state::internal {

namespace {

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

constexpr std::string_view Magic = "ANVLSTAT";
// The magic, the format version and the checksum precede the records.
constexpr size_t VersionOffset = Magic.size();
constexpr size_t ChecksumOffset = VersionOffset + sizeof(uint32_t);
constexpr size_t RecordsOffset = ChecksumOffset + sizeof(uint64_t);

void appendLittleEndian(std::string &Out, uint64_t Value, size_t Bytes) {
  for (size_t I = 0; I < Bytes; ++I)
    Out.push_back(static_cast<char>(Value >> (8 * I)));
}

uint64_t readLittleEndian(std::string_view Bytes) {
  uint64_t Value = 0;
  for (size_t I = Bytes.size(); I > 0; --I)
    Value = Value << 8 | static_cast<uint8_t>(Bytes[I - 1]);
  return Value;
}

record::Header makeHeader(const StateData &Data) {
  record::Header Header;
  Header.appliedIndex = Data.m_AppliedIndex;
  Header.routeVersion = Data.m_RouteVersion;
  Header.totals = Data.m_Totals;
  Header.document = Data.m_DocumentText;
  Header.configVersions = static_cast<int64_t>(Data.m_ConfigVersions.size());
  Header.zones = static_cast<int64_t>(Data.m_Zones.size());
  Header.targets = static_cast<int64_t>(Data.m_Targets.size());
  Header.submissions = static_cast<int64_t>(Data.m_Submissions.size());
  Header.jobs = static_cast<int64_t>(Data.m_Jobs.size());
  Header.claims = static_cast<int64_t>(Data.m_Claims.size());
  return Header;
}

// Reads the records and rebuilds the derived members of StateData. Throws a
// Thrift exception if the bytes cannot be decoded.
class SnapshotReader {
public:
  SnapshotReader(StateData &Data, TCompactProtocol &Protocol)
      : m_Data(Data), m_Protocol(Protocol) {}

  absl::Status read() {
    record::Header Header;
    Header.read(&m_Protocol);
    m_Data.m_AppliedIndex = Header.appliedIndex;
    m_Data.m_RouteVersion = Header.routeVersion;
    m_Data.m_Totals = Header.totals;
    m_Data.m_DocumentText = std::move(Header.document);
    readRecords<record::ConfigVersion>(
        Header.configVersions, [&](record::ConfigVersion &&Each) {
          const int64_t Version = Each.version;
          m_Data.m_ConfigVersions.emplace(Version, std::move(Each));
        });
    readRecords<record::Zone>(Header.zones, [&](record::Zone &&Each) {
      ensureZone(m_Data, Each.name).m_Record = Each;
    });
    readRecords<record::Target>(Header.targets, [&](record::Target &&Each) {
      addTarget(std::move(Each));
    });
    readRecords<record::Submission>(
        Header.submissions,
        [&](record::Submission &&Each) { addSubmission(std::move(Each)); });
    readRecords<record::Job>(
        Header.jobs, [&](record::Job &&Each) { addJob(std::move(Each)); });
    readRecords<record::Claim>(Header.claims, [&](record::Claim &&Each) {
      addClaim(std::move(Each));
    });
    readDocument();
    return m_Status;
  }

private:
  template <typename Record, typename Add>
  void readRecords(int64_t Count, Add Insert) {
    for (int64_t I = 0; I < Count && m_Status.ok(); ++I) {
      Record Next;
      Next.read(&m_Protocol);
      Insert(std::move(Next));
    }
  }

  void fail(const std::string &Text) {
    m_Status = absl::DataLossError(absl::StrCat("snapshot: ", Text));
  }

  void addTarget(record::Target &&Record) {
    ++ensureZone(m_Data, Record.info.availabilityZone).m_Targets;
    if (Record.lostIndex != 0)
      m_Data.m_LostTargetsByIndex.emplace(Record.lostIndex, Record.info.vm);
    Target &Added = m_Data.m_Targets[Record.info.vm];
    Added.m_Record = std::move(Record);
  }

  void addSubmission(record::Submission &&Record) {
    m_Data.m_SubmissionsByIndex.emplace(Record.index, Record.key);
    const std::string Key = Record.key;
    m_Data.m_Submissions.emplace(Key, std::move(Record));
  }

  void addJob(record::Job &&Record) {
    const int64_t Id = Record.id;
    Job &Added = m_Data.m_Jobs[Id];
    Added.m_Record = std::move(Record);
    m_Data.m_PayloadBytes +=
        static_cast<int64_t>(Added.m_Record.spec.payload.size());
    if (m_Data.m_Charts.m_Job.isFinal(Added.phase())) {
      m_Data.m_EndedJobsByIndex.emplace(Added.m_Record.endedIndex, Id);
    } else {
      m_Data.m_LiveJobs.insert(Id);
    }
    for (size_t Task = 0; Task < Added.m_Record.members.size(); ++Task)
      addMember(Added, Task);
    if (Added.count(TaskPhase::Lost) > 0)
      m_Data.m_JobsWithLostMembers.insert(Id);
  }

  void addMember(Job &Owner, size_t Task) {
    const record::Member &Member = Owner.m_Record.members[Task];
    if (Member.phase < 0 || static_cast<size_t>(Member.phase) >= TaskPhaseCount)
      return fail("a task has an unknown phase");
    ++Owner.m_Counts[static_cast<size_t>(phaseOf(Member))];
    if (phaseOf(Member) == TaskPhase::Released)
      return;
    Target *Holder = m_Data.findTarget(Member.vm);
    if (Holder == nullptr)
      return fail(absl::StrCat("job ", Owner.m_Record.id,
                               " has a task on unknown VM ", Member.vm));
    // Jobs are read in key order, so the list stays sorted.
    Holder->m_Members.push_back(
        {Owner.m_Record.id, static_cast<int32_t>(Task)});
    Holder->m_Used.add(Owner.m_Record.spec.perTask, 1);
    m_Data.m_UsageByWorkspace[Owner.m_Record.spec.workspace].add(
        Owner.m_Record.spec.perTask, 1);
  }

  void addClaim(record::Claim &&Record) {
    m_Data.m_ClaimBytes += bytesOf(Record);
    const std::string Id = Record.claimId;
    record::Claim &Added =
        m_Data.m_Claims.emplace(Id, std::move(Record)).first->second;
    if (!Added.open) {
      m_Data.m_ClosedClaimsByTime.insert({Added.closedAtUs, &Added.claimId});
      return;
    }
    Target *Holder = m_Data.findTarget(Added.vm);
    if (Holder == nullptr)
      return fail(
          absl::StrCat("claim ", Id, " is open on unknown VM ", Added.vm));
    Holder->m_OpenClaims.insert(Id);
  }

  void readDocument() {
    if (m_Data.m_DocumentText.empty() || !m_Status.ok())
      return;
    config::ParseResult Parsed =
        config::parseDocument(m_Data.m_DocumentText, "snapshot");
    if (!Parsed.ok())
      return fail(absl::StrCat("the configuration is refused: ",
                               config::toString(Parsed.m_Issues.front())));
    m_Data.m_Document = std::move(Parsed.m_Document);
  }

  StateData &m_Data;
  TCompactProtocol &m_Protocol;
  absl::Status m_Status;
};

absl::Status checkEnvelope(std::string_view Bytes) {
  if (Bytes.size() < RecordsOffset || Bytes.substr(0, Magic.size()) != Magic)
    return absl::DataLossError("snapshot: not a snapshot of the cluster state");
  const uint64_t Version =
      readLittleEndian(Bytes.substr(VersionOffset, sizeof(uint32_t)));
  const auto SupportedVersion =
      static_cast<uint64_t>(record::g_state_constants.SNAPSHOT_VERSION);
  if (Version != SupportedVersion) {
    return absl::FailedPreconditionError(
        absl::StrCat("snapshot: format version ", Version,
                     " is unknown, this program reads ", SupportedVersion));
  }
  const std::string_view Records = Bytes.substr(RecordsOffset);
  if (readLittleEndian(Bytes.substr(ChecksumOffset, sizeof(uint64_t))) !=
      XXH3_64bits(Records.data(), Records.size()))
    return absl::DataLossError("snapshot: the checksum does not match");
  return absl::OkStatus();
}

} // namespace

std::string writeSnapshot(const StateData &Data) {
  const auto Buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocol Protocol(Buffer);
  makeHeader(Data).write(&Protocol);
  for (const auto &[Version, Each] : Data.m_ConfigVersions)
    Each.write(&Protocol);
  for (const auto &[Name, Each] : Data.m_Zones)
    Each.m_Record.write(&Protocol);
  for (const auto &[Vm, Each] : Data.m_Targets)
    Each.m_Record.write(&Protocol);
  for (const auto &[Key, Each] : Data.m_Submissions)
    Each.write(&Protocol);
  for (const auto &[Id, Each] : Data.m_Jobs)
    Each.m_Record.write(&Protocol);
  for (const auto &[Id, Each] : Data.m_Claims)
    Each.write(&Protocol);

  uint8_t *Records = nullptr;
  uint32_t Size = 0;
  Buffer->getBuffer(&Records, &Size);
  std::string Bytes;
  Bytes.reserve(RecordsOffset + Size);
  Bytes.append(Magic);
  appendLittleEndian(
      Bytes, static_cast<uint64_t>(record::g_state_constants.SNAPSHOT_VERSION),
      sizeof(uint32_t));
  appendLittleEndian(Bytes, XXH3_64bits(Records, Size), sizeof(uint64_t));
  Bytes.append(reinterpret_cast<const char *>(Records), Size);
  return Bytes;
}

absl::StatusOr<std::unique_ptr<StateData>> readSnapshot(std::string_view Bytes,
                                                        Charts BoundCharts) {
  if (absl::Status Status = checkEnvelope(Bytes); !Status.ok())
    return Status;
  const std::string_view Records = Bytes.substr(RecordsOffset);
  // The default message limit of Thrift, 100 MB, is below the size of a full
  // state.
  const auto Configuration =
      std::make_shared<TConfiguration>(std::numeric_limits<int>::max());
  const auto Buffer = std::make_shared<TMemoryBuffer>(
      reinterpret_cast<uint8_t *>(const_cast<char *>(Records.data())),
      static_cast<uint32_t>(Records.size()), TMemoryBuffer::OBSERVE,
      Configuration);
  TCompactProtocol Protocol(Buffer);
  auto Data = std::make_unique<StateData>(std::move(BoundCharts));
  try {
    if (absl::Status Status = SnapshotReader(*Data, Protocol).read();
        !Status.ok())
      return Status;
  } catch (const std::exception &Error) {
    return absl::DataLossError(absl::StrCat("snapshot: ", Error.what()));
  }
  return Data;
}

} // namespace anvil::state::internal
