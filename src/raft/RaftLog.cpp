#include "raft/RaftLog.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

#include "anvil/raft/RaftError.h"

namespace anvil::raft::internal {

namespace {

absl::Status badState(std::string_view Text) {
  return makeLayerError(absl::StatusCode::kDataLoss,
                        RaftErrc::BadPersistentState, Text);
}

absl::Status checkOrder(const std::vector<LogEntry> &Entries) {
  if (!Entries.empty() && Entries.front().m_Index == 0)
    return badState("log starts at index 0");
  for (size_t I = 1; I < Entries.size(); ++I) {
    if (Entries[I].m_Index != Entries[I - 1].m_Index + 1)
      return badState(absl::StrCat("log continues with index ",
                                   Entries[I].m_Index, " after ",
                                   Entries[I - 1].m_Index));
    if (Entries[I].m_Term < Entries[I - 1].m_Term)
      return badState(
          absl::StrCat("term decreases at index ", Entries[I].m_Index));
  }
  return absl::OkStatus();
}

/// Returns whether an installed snapshot superseded the entries: they end
/// before it or conflict with it.
bool supersededBy(const SnapshotMeta &Base,
                  const std::vector<LogEntry> &Entries) {
  if (Entries.back().m_Index < Base.m_Index)
    return true;
  if (Entries.front().m_Index > Base.m_Index)
    return false;
  return Entries[Base.m_Index - Entries.front().m_Index].m_Term != Base.m_Term;
}

} // namespace

absl::StatusOr<RaftLog> RaftLog::create(const SnapshotMeta &Base,
                                        std::vector<LogEntry> Entries) {
  if (absl::Status Error = checkOrder(Entries); !Error.ok())
    return Error;
  RaftLog Log(Base);
  if (Entries.empty() || supersededBy(Base, Entries))
    return Log;
  if (Entries.front().m_Index > Base.m_Index + 1) {
    return badState(absl::StrCat("log starts at index ",
                                 Entries.front().m_Index,
                                 " but the snapshot ends at ", Base.m_Index));
  }
  for (LogEntry &Entry : Entries) {
    if (Entry.m_Index > Base.m_Index)
      Log.append(std::move(Entry));
  }
  return Log;
}

std::optional<TermNumber> RaftLog::termAt(LogIndex Index) const {
  if (Index < m_BaseIndex || Index > lastIndex())
    return std::nullopt;
  return Index == m_BaseIndex ? m_BaseTerm : at(Index).m_Term;
}

std::vector<LogEntry> RaftLog::slice(LogIndex First, uint64_t MaxEntries,
                                     uint64_t MaxBytes) const {
  std::vector<LogEntry> Result;
  uint64_t Bytes = 0;
  for (LogIndex Index = First;
       Index <= lastIndex() && Result.size() < MaxEntries; ++Index) {
    Bytes += at(Index).m_Data.size();
    if (!Result.empty() && Bytes > MaxBytes)
      break;
    Result.push_back(at(Index));
  }
  return Result;
}

LogIndex RaftLog::lastIndexWithTermUpTo(LogIndex Index, TermNumber Term) const {
  LogIndex Result = std::min(Index, lastIndex());
  while (Result > m_BaseIndex && at(Result).m_Term > Term)
    --Result;
  return std::max(Result, m_BaseIndex);
}

void RaftLog::append(LogEntry Entry) {
  if (Entry.m_Kind == EntryKind::Membership)
    m_Memberships.push_back({Entry.m_Index, Entry.m_Members});
  m_Entries.push_back(std::move(Entry));
}

void RaftLog::truncateFrom(LogIndex First) {
  m_Entries.resize(First - m_BaseIndex - 1);
  while (m_Memberships.size() > 1 && m_Memberships.back().m_Index >= First)
    m_Memberships.pop_back();
}

void RaftLog::compactTo(LogIndex Index) {
  m_BaseTerm = *termAt(Index);
  m_Entries.erase(m_Entries.begin(),
                  m_Entries.begin() +
                      static_cast<std::ptrdiff_t>(Index - m_BaseIndex));
  m_BaseIndex = Index;
  while (m_Memberships.size() > 1 && m_Memberships[1].m_Index <= Index)
    m_Memberships.erase(m_Memberships.begin());
}

void RaftLog::reset(const SnapshotMeta &Base) {
  m_BaseIndex = Base.m_Index;
  m_BaseTerm = Base.m_Term;
  m_Entries.clear();
  m_Memberships.assign(1, {Base.m_Index, Base.m_Members});
}

const Membership &RaftLog::membershipAt(LogIndex Index) const {
  auto Record = m_Memberships.rbegin();
  while (std::next(Record) != m_Memberships.rend() && Record->m_Index > Index)
    ++Record;
  return Record->m_Members;
}

} // namespace anvil::raft::internal
