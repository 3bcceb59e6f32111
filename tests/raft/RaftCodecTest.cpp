#include "anvil/raft/RaftCodec.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "anvil/raft/RaftError.h"

namespace anvil::raft {

namespace {

std::vector<RaftMessage> allMessages() {
  const Membership Members{{ReplicaId(1), ReplicaId(2)}, {ReplicaId(300)}};
  const LogEntry Command{7, 3, EntryKind::Command, std::string("a\0b", 3), {}};
  const LogEntry Change{8, 3, EntryKind::Membership, "", Members};
  const std::vector<RaftMessage::Body> Bodies = {
      VoteRequest{9, 8, 7, true, false},
      VoteResponse{9, false, true},
      AppendRequest{
          6, 2, 5, {Command, Change, {9, 4, EntryKind::Noop, "", {}}}},
      AppendResponse{false, 0, 12, 11, 2},
      HeartbeatRequest{5, 77},
      HeartbeatResponse{77},
      SnapshotChunk{{5, 2, Members}, 128, 300, std::string(100, 'z')},
      SnapshotChunkResponse{5, 228},
      ReadIndexRequest{~0ULL},
      ReadIndexResponse{~0ULL, true, 1ULL << 40},
      TimeoutNow{},
  };
  std::vector<RaftMessage> Messages;
  Messages.reserve(Bodies.size());
  for (const RaftMessage::Body &Body : Bodies)
    Messages.push_back({ReplicaId(1), ReplicaId(2), 9, Body});
  return Messages;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RaftCodecTest)

// Guards against a field that is skipped or is decoded in another order than it
// is encoded.
BOOST_AUTO_TEST_CASE(EveryMessageSurvivesTheRoundTrip) {
  BOOST_TEST(allMessages().size() == std::variant_size_v<RaftMessage::Body>);
  for (const RaftMessage &Message : allMessages()) {
    const absl::StatusOr<RaftMessage> Decoded =
        decodeMessage(encodeMessage(Message));
    BOOST_TEST_REQUIRE(Decoded.ok(), Decoded.status());
    BOOST_TEST((*Decoded == Message), "type " << Message.m_Body.index());
  }
}

// Guards against accepting a message that is truncated or has trailing bytes.
BOOST_AUTO_TEST_CASE(EveryTruncationAndExtensionIsRefused) {
  for (const RaftMessage &Message : allMessages()) {
    const std::string Bytes = encodeMessage(Message);
    for (size_t Size = 0; Size < Bytes.size(); ++Size)
      BOOST_TEST(!decodeMessage(std::string_view(Bytes).substr(0, Size)).ok(),
                 "size " << Size);
    BOOST_TEST(!decodeMessage(Bytes + '\0').ok());
  }
}

// Guards against values with ambiguous encodings and lengths that would exhaust
// memory.
BOOST_AUTO_TEST_CASE(BadInputIsRefusedWithTheFieldAndTheReason) {
  struct Case {
    std::string m_Bytes;
    std::string m_Error;
  };
  const std::vector<Case> Cases = {
      {std::string("\x02\x0b\x01\x02\x09", 5),
       "field version at offset 1: unsupported version 2, expected 1"},
      {std::string("\x01\x0c\x01\x02\x09", 5),
       "field type at offset 2: unknown message type 12"},
      {std::string("\x01\x00\x01\x02\x09", 5),
       "field type at offset 2: unknown message type 0"},
      {std::string("\x01\x0b\x81\x00\x02\x09", 6),
       "field from at offset 4: integer is not in its shortest form"},
      {"\x01\x0b\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01\x02\x09",
       "field from at offset 12: replica id out of range"},
      {"\x01\x0b\x01\xff\xff\xff\xff\xff\xff\xff\xff\xff\x02\x09",
       "field to at offset 13: integer exceeds 64 bits"},
      {std::string("\x01\x02\x01\x02\x09\x09\x02\x01", 8),
       "field pre_vote at offset 7: flag is neither 0 nor 1"},
      {std::string("\x01\x03\x01\x02\x09\x01\x01\x01\xff\x01\x01", 11),
       "field entries at offset 10: length 255 exceeds the remaining 1 bytes"},
      {std::string("\x01\x03\x01\x02\x09\x01\x01\x01\x01\x02\x01\x04\x00", 13),
       "field kind at offset 12: unknown entry kind 4"},
      {std::string("\x01\x0b\x01\x02\x09\x00", 6),
       "field end at offset 5: 1 trailing bytes"},
  };
  for (const Case &Item : Cases) {
    const absl::Status Error = decodeMessage(Item.m_Bytes).status();
    BOOST_TEST(Error.message() == "raft: " + Item.m_Error);
    BOOST_TEST((layerErrorOf<RaftErrc>(Error) == RaftErrc::BadEncoding));
  }
}

// Guards against records on disk that can't be decoded after they were written.
BOOST_AUTO_TEST_CASE(EntriesAndHardStateSurviveTheRoundTrip) {
  const LogEntry Entry{
      7, 3, EntryKind::Membership, "", {{ReplicaId(1)}, {ReplicaId(4)}}};
  const SnapshotMeta Meta{9, 4, Entry.m_Members};
  const HardState Hard{12, ReplicaId(3)};
  BOOST_TEST((decodeEntry(encodeEntry(Entry)).value() == Entry));
  BOOST_TEST((decodeSnapshotMeta(encodeSnapshotMeta(Meta)).value() == Meta));
  BOOST_TEST((decodeHardState(encodeHardState(Hard)).value() == Hard));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::raft
