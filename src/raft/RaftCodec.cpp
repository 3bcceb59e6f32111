#include "anvil/raft/RaftCodec.h"

#include <limits>
#include <optional>
#include <type_traits>
#include <utility>

#include "absl/strings/str_cat.h"

#include "anvil/raft/RaftError.h"

namespace anvil::raft {

namespace {

constexpr uint8_t MaxVarintBytes = 10;

class Writer {
public:
  Writer() { byte(CodecVersion); }

  void byte(uint8_t Value) { m_Bytes.push_back(static_cast<char>(Value)); }

  void field(const char *, const uint64_t &Value) {
    uint64_t Remaining = Value;
    while (Remaining >= 0x80) {
      byte(static_cast<uint8_t>(Remaining | 0x80));
      Remaining >>= 7;
    }
    byte(static_cast<uint8_t>(Remaining));
  }
  void field(const char *, const bool &Value) { byte(Value ? 1 : 0); }
  void field(const char *Name, const ReplicaId &Id) {
    field(Name, static_cast<uint64_t>(Id.value()));
  }
  void field(const char *, const EntryKind &Kind) {
    byte(static_cast<uint8_t>(Kind));
  }
  void field(const char *Name, const std::string &Value) {
    field(Name, static_cast<uint64_t>(Value.size()));
    m_Bytes += Value;
  }
  template <typename T>
  void list(const char *Name, const std::vector<T> &Values) {
    field(Name, static_cast<uint64_t>(Values.size()));
    for (const T &Value : Values)
      fields(*this, Name, Value);
  }

  std::string take() { return std::move(m_Bytes); }

private:
  std::string m_Bytes;
};

/// Reads fields in order and keeps the first error. Reads after an error leave
/// the output unchanged.
class Reader {
public:
  explicit Reader(std::string_view Bytes) : m_Bytes(Bytes) {
    const uint8_t Version = byte("version");
    if (ok() && Version != CodecVersion)
      fail("version", absl::StrCat("unsupported version ", Version,
                                   ", expected ", CodecVersion));
  }

  bool ok() const { return m_Error.ok(); }

  void fail(const char *Field, std::string_view Reason) {
    if (ok()) {
      m_Error = makeLayerError(absl::StatusCode::kInvalidArgument,
                               RaftErrc::BadEncoding,
                               absl::StrCat("field ", Field, " at offset ",
                                            m_Position, ": ", toAbsl(Reason)));
    }
  }

  uint8_t byte(const char *Field) {
    if (!ok())
      return 0;
    if (m_Position == m_Bytes.size()) {
      fail(Field, "input ends early");
      return 0;
    }
    return static_cast<uint8_t>(m_Bytes[m_Position++]);
  }

  void field(const char *Name, uint64_t &Value) {
    uint64_t Result = 0;
    for (uint8_t I = 0; I < MaxVarintBytes; ++I) {
      const uint8_t Next = byte(Name);
      if (!ok())
        return;
      if (I + 1 == MaxVarintBytes && Next > 1)
        return fail(Name, "integer exceeds 64 bits");
      Result |= static_cast<uint64_t>(Next & 0x7f) << (7 * I);
      if ((Next & 0x80) != 0)
        continue;
      if (Next == 0 && I > 0)
        return fail(Name, "integer is not in its shortest form");
      Value = Result;
      return;
    }
  }
  void field(const char *Name, bool &Value) {
    const uint8_t Byte = byte(Name);
    if (Byte > 1)
      return fail(Name, "flag is neither 0 nor 1");
    Value = Byte == 1;
  }
  void field(const char *Name, ReplicaId &Id) {
    uint64_t Value = 0;
    field(Name, Value);
    if (Value > static_cast<uint64_t>(std::numeric_limits<int64_t>::max()))
      return fail(Name, "replica id out of range");
    Id = ReplicaId(static_cast<int64_t>(Value));
  }
  void field(const char *Name, EntryKind &Kind) {
    const uint8_t Byte = byte(Name);
    if (Byte < static_cast<uint8_t>(EntryKind::Command) ||
        Byte > static_cast<uint8_t>(EntryKind::Membership))
      return fail(Name, absl::StrCat("unknown entry kind ", Byte));
    Kind = static_cast<EntryKind>(Byte);
  }
  void field(const char *Name, std::string &Value) {
    const size_t Size = count(Name);
    if (!ok())
      return;
    Value.assign(m_Bytes.substr(m_Position, Size));
    m_Position += Size;
  }
  template <typename T> void list(const char *Name, std::vector<T> &Values) {
    const size_t Size = count(Name);
    for (size_t I = 0; I < Size && ok(); ++I) {
      T Value{};
      fields(*this, Name, Value);
      Values.push_back(std::move(Value));
    }
  }

  absl::Status finish() {
    if (ok() && m_Position != m_Bytes.size())
      fail("end", absl::StrCat(m_Bytes.size() - m_Position, " trailing bytes"));
    return m_Error;
  }

private:
  /// Reads a length. Every element takes at least one byte, so a length above
  /// the number of remaining bytes is invalid.
  size_t count(const char *Name) {
    uint64_t Size = 0;
    field(Name, Size);
    if (ok() && Size > m_Bytes.size() - m_Position)
      fail(Name, absl::StrCat("length ", Size, " exceeds the remaining ",
                              m_Bytes.size() - m_Position, " bytes"));
    return ok() ? static_cast<size_t>(Size) : 0;
  }

  std::string_view m_Bytes;
  size_t m_Position = 0;
  absl::Status m_Error;
};

// Each fields() function lists the fields of one struct for the writer and the
// reader; T is const for the writer.
template <typename T, typename U>
concept IsType = std::is_same_v<std::remove_const_t<T>, U>;

template <typename Io, IsType<ReplicaId> T>
void fields(Io &Stream, const char *Name, T &Value) {
  Stream.field(Name, Value);
}

template <typename Io, IsType<Membership> T>
void fields(Io &Stream, const char *, T &Value) {
  Stream.list("voters", Value.m_Voters);
  Stream.list("learners", Value.m_Learners);
}

template <typename Io, IsType<LogEntry> T>
void fields(Io &Stream, const char *, T &Value) {
  Stream.field("index", Value.m_Index);
  Stream.field("term", Value.m_Term);
  Stream.field("kind", Value.m_Kind);
  if (Value.m_Kind == EntryKind::Membership) {
    fields(Stream, "members", Value.m_Members);
  } else {
    Stream.field("data", Value.m_Data);
  }
}

template <typename Io, IsType<HardState> T>
void fields(Io &Stream, const char *, T &Value) {
  Stream.field("term", Value.m_Term);
  Stream.field("voted_for", Value.m_VotedFor);
}

template <typename Io, IsType<SnapshotMeta> T>
void fields(Io &Stream, const char *, T &Value) {
  Stream.field("snapshot_index", Value.m_Index);
  Stream.field("snapshot_term", Value.m_Term);
  fields(Stream, "members", Value.m_Members);
}

template <typename Io, IsType<VoteRequest> T>
void fields(Io &Stream, const char *, T &Value) {
  Stream.field("election_term", Value.m_ElectionTerm);
  Stream.field("last_index", Value.m_LastIndex);
  Stream.field("last_term", Value.m_LastTerm);
  Stream.field("pre_vote", Value.m_PreVote);
  Stream.field("transfer", Value.m_Transfer);
}

template <typename Io, IsType<VoteResponse> T>
void fields(Io &Stream, const char *, T &Value) {
  Stream.field("election_term", Value.m_ElectionTerm);
  Stream.field("pre_vote", Value.m_PreVote);
  Stream.field("granted", Value.m_Granted);
}

template <typename Io, IsType<AppendRequest> T>
void fields(Io &Stream, const char *, T &Value) {
  Stream.field("prev_index", Value.m_PrevIndex);
  Stream.field("prev_term", Value.m_PrevTerm);
  Stream.field("commit", Value.m_Commit);
  Stream.list("entries", Value.m_Entries);
}

template <typename Io, IsType<AppendResponse> T>
void fields(Io &Stream, const char *, T &Value) {
  Stream.field("success", Value.m_Success);
  Stream.field("match", Value.m_Match);
  Stream.field("rejected_prev", Value.m_RejectedPrev);
  Stream.field("hint_index", Value.m_HintIndex);
  Stream.field("hint_term", Value.m_HintTerm);
}

template <typename Io, IsType<HeartbeatRequest> T>
void fields(Io &Stream, const char *, T &Value) {
  Stream.field("commit", Value.m_Commit);
  Stream.field("round", Value.m_Round);
}

template <typename Io, IsType<HeartbeatResponse> T>
void fields(Io &Stream, const char *, T &Value) {
  Stream.field("round", Value.m_Round);
}

template <typename Io, IsType<SnapshotChunk> T>
void fields(Io &Stream, const char *Name, T &Value) {
  fields(Stream, Name, Value.m_Meta);
  Stream.field("offset", Value.m_Offset);
  Stream.field("total_size", Value.m_TotalSize);
  Stream.field("data", Value.m_Data);
}

template <typename Io, IsType<SnapshotChunkResponse> T>
void fields(Io &Stream, const char *, T &Value) {
  Stream.field("snapshot_index", Value.m_SnapshotIndex);
  Stream.field("next_offset", Value.m_NextOffset);
}

template <typename Io, IsType<ReadIndexRequest> T>
void fields(Io &Stream, const char *, T &Value) {
  Stream.field("read_id", Value.m_ReadId);
}

template <typename Io, IsType<ReadIndexResponse> T>
void fields(Io &Stream, const char *, T &Value) {
  Stream.field("read_id", Value.m_ReadId);
  Stream.field("confirmed", Value.m_Confirmed);
  Stream.field("index", Value.m_Index);
}

template <typename Io, IsType<TimeoutNow> T>
void fields(Io &, const char *, T &) {}

template <typename T> std::string encodeValue(const T &Value) {
  Writer Output;
  fields(Output, "", Value);
  return Output.take();
}

template <typename T> absl::StatusOr<T> decodeValue(std::string_view Bytes) {
  Reader Input(Bytes);
  T Value{};
  fields(Input, "", Value);
  if (absl::Status Error = Input.finish(); !Error.ok())
    return Error;
  return Value;
}

/// Sets \p Body to an empty body of the alternative number \p Type. Returns
/// false if there is no such alternative.
template <size_t I = 0> bool emptyBody(size_t Type, RaftMessage::Body &Body) {
  if constexpr (I < std::variant_size_v<RaftMessage::Body>) {
    if (Type != I)
      return emptyBody<I + 1>(Type, Body);
    Body.emplace<I>();
    return true;
  }
  return false;
}

} // namespace

std::string encodeMessage(const RaftMessage &Message) {
  Writer Output;
  // Type numbers start at 1, in the order of the alternatives of
  // RaftMessage::Body.
  Output.byte(static_cast<uint8_t>(Message.m_Body.index() + 1));
  Output.field("from", Message.m_From);
  Output.field("to", Message.m_To);
  Output.field("term", Message.m_Term);
  std::visit([&Output](const auto &Body) { fields(Output, "", Body); },
             Message.m_Body);
  return Output.take();
}

absl::StatusOr<RaftMessage> decodeMessage(std::string_view Bytes) {
  Reader Input(Bytes);
  RaftMessage Message;
  const uint8_t Type = Input.byte("type");
  if (Input.ok() && (Type == 0 || !emptyBody(Type - 1, Message.m_Body)))
    Input.fail("type", absl::StrCat("unknown message type ", Type));
  Input.field("from", Message.m_From);
  Input.field("to", Message.m_To);
  Input.field("term", Message.m_Term);
  if (Input.ok())
    std::visit([&Input](auto &Body) { fields(Input, "", Body); },
               Message.m_Body);
  if (absl::Status Error = Input.finish(); !Error.ok())
    return Error;
  return Message;
}

std::string encodeEntry(const LogEntry &Entry) { return encodeValue(Entry); }
absl::StatusOr<LogEntry> decodeEntry(std::string_view Bytes) {
  return decodeValue<LogEntry>(Bytes);
}

std::string encodeHardState(const HardState &Hard) { return encodeValue(Hard); }
absl::StatusOr<HardState> decodeHardState(std::string_view Bytes) {
  return decodeValue<HardState>(Bytes);
}

std::string encodeSnapshotMeta(const SnapshotMeta &Meta) {
  return encodeValue(Meta);
}
absl::StatusOr<SnapshotMeta> decodeSnapshotMeta(std::string_view Bytes) {
  return decodeValue<SnapshotMeta>(Bytes);
}

} // namespace anvil::raft
