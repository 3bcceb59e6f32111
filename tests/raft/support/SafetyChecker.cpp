#include "raft/support/SafetyChecker.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

#include "anvil/raft/RaftCodec.h"

namespace anvil::raft::sim {

namespace {

uint64_t hashBytes(std::string_view Bytes, uint64_t Hash) {
  for (const char Byte : Bytes)
    Hash = (Hash ^ static_cast<uint8_t>(Byte)) * 0x100000001b3ULL;
  return Hash;
}

uint64_t hashEntry(const LogEntry &Entry, uint64_t Hash) {
  return hashBytes(encodeEntry(Entry), Hash);
}

} // namespace

RegisterState applyEntry(RegisterState State, const LogEntry &Entry) {
  State.m_Index = Entry.m_Index;
  if (Entry.m_Kind == EntryKind::Command)
    State.m_Value = std::stoull(Entry.m_Data);
  State.m_Hash = hashEntry(Entry, State.m_Hash + 1);
  return State;
}

void SafetyChecker::fail(std::string Text) {
  if (!m_Failure)
    m_Failure = std::move(Text);
}

void SafetyChecker::onLeader(ReplicaId Id, TermNumber Term,
                             const Raft &Replica) {
  const auto [Known, IsNew] = m_Leaders.emplace(Term, Id);
  if (Known->second != Id)
    fail(absl::StrCat("election safety: term ", Term, " has leaders ",
                      Known->second.value(), " and ", Id.value()));
  if (!IsNew)
    return;
  const RaftStatus Status = Replica.status();
  for (LogIndex Index = Status.m_FirstIndex; Index <= m_Applied.size();
       ++Index) {
    if (Replica.termAt(Index) != m_Applied[Index - 1].m_Term) {
      fail(absl::StrCat("leader completeness: leader ", Id.value(), " of term ",
                        Term, " lacks the committed entry ", Index));
    }
  }
}

void SafetyChecker::onAppend(ReplicaId Id, const LogEntry &Entry,
                             TermNumber PrevTerm) {
  const KnownEntry Current{PrevTerm, hashEntry(Entry, 0)};
  const auto [Known, IsNew] =
      m_KnownEntries.emplace(std::pair(Entry.m_Index, Entry.m_Term), Current);
  if (Known->second.m_PrevTerm != Current.m_PrevTerm ||
      Known->second.m_Hash != Current.m_Hash) {
    fail(absl::StrCat("log matching: replica ", Id.value(),
                      " appends another entry at index ", Entry.m_Index,
                      " term ", Entry.m_Term));
  }
}

void SafetyChecker::onApply(ReplicaId Id, const LogEntry &Entry,
                            const RegisterState &After) {
  if (Entry.m_Index > m_Applied.size() + 1)
    return fail(absl::StrCat("state-machine safety: replica ", Id.value(),
                             " skips to index ", Entry.m_Index));
  if (Entry.m_Index <= m_Applied.size()) {
    const AppliedEntry &Known = m_Applied[Entry.m_Index - 1];
    if (Known.m_Term != Entry.m_Term || Known.m_After != After) {
      fail(absl::StrCat("state-machine safety: replica ", Id.value(),
                        " applies another entry at index ", Entry.m_Index));
    }
    return;
  }
  m_Applied.push_back({Entry.m_Term, After});
  if (Entry.m_Kind != EntryKind::Command)
    return;
  const uint64_t Context = std::stoull(Entry.m_Data);
  m_WriteIndex[Context] = Entry.m_Index;
  if (m_RefusedWrites.contains(Context))
    fail(absl::StrCat("write ", Context,
                      " took effect after it was reported as refused"));
}

void SafetyChecker::onRestore(ReplicaId Id, const RegisterState &State) {
  if (State.m_Index > m_Applied.size() ||
      (State.m_Index > 0 && m_Applied[State.m_Index - 1].m_After != State))
    fail(absl::StrCat("replica ", Id.value(),
                      " restores a wrong state at index ", State.m_Index));
}

void SafetyChecker::onInvoke(uint64_t Context) {
  m_MinPositions[Context] = m_MaxObserved;
}

void SafetyChecker::onWriteDone(uint64_t Context, LogIndex Index) {
  const auto Known = m_WriteIndex.find(Context);
  if (Known == m_WriteIndex.end() || Known->second != Index)
    return fail(absl::StrCat("write ", Context, " was acknowledged at index ",
                             Index, " but is not committed there"));
  finishOperation(Context, Index, /*IsWrite=*/true);
}

void SafetyChecker::onWriteRefused(uint64_t Context) {
  m_RefusedWrites.insert(Context);
  if (m_WriteIndex.contains(Context))
    fail(absl::StrCat("write ", Context,
                      " was reported as refused after it took effect"));
}

void SafetyChecker::onReadDone(uint64_t Context, const RegisterState &Seen) {
  const auto Write = m_WriteIndex.find(Seen.m_Value);
  finishOperation(Context, Write == m_WriteIndex.end() ? 0 : Write->second,
                  /*IsWrite=*/false);
}

/// Checks the real-time order. Values are unique and the log orders the writes,
/// so the history is linearizable if no operation has a log position before one
/// that was observed by an operation that finished before it started.
void SafetyChecker::finishOperation(uint64_t Context, LogIndex Position,
                                    bool IsWrite) {
  const auto MinPosition = m_MinPositions.find(Context);
  if (MinPosition == m_MinPositions.end())
    return;
  const bool TooOld = IsWrite ? Position <= MinPosition->second
                              : Position < MinPosition->second;
  if (TooOld) {
    fail(absl::StrCat("linearizability: ", IsWrite ? "write " : "read ",
                      Context, " has position ", Position,
                      " but started after position ", MinPosition->second,
                      " was observed"));
  }
  m_MaxObserved = std::max(m_MaxObserved, Position);
  m_MinPositions.erase(MinPosition);
  ++m_Completed;
}

} // namespace anvil::raft::sim
