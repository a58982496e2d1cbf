#include "heatherlever/membership_message.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace heatherlever {
namespace {

MembershipMessage FullMessage() {
  MembershipMessage message;
  message.kind = MembershipMessage::Kind::kVersions;
  message.sender = "suva-1";
  message.incarnation = 17;
  message.sequence = 1'000'000'000'000;
  message.neighbor = true;
  message.target = "nadi-2";
  message.members_digest = UINT64_MAX;
  message.entries_digest = 3;
  message.members = {{"suva-2",
                      "viti-east",
                      "a",
                      "127.0.0.9",
                      65'535,
                      {4, 2, MemberState::kLeaving}}};
  message.entries = {{"config", 8, std::string("\0\xff", 2), true}};
  message.lists_members = true;
  message.lists_entries = true;
  message.member_versions = {{"x", {1, 0, MemberState::kDead}}};
  message.entry_versions = {{"load", 5}};
  message.wanted_members = {"y", "z"};
  message.wanted_entries = {"epoch"};
  return message;
}

TEST(MembershipMessageTest, RoundTripsEveryField) {
  const std::string bytes = EncodeMembershipMessage(FullMessage());
  const auto decoded = DecodeMembershipMessage(bytes);
  ASSERT_TRUE(decoded.ok()) << decoded.status();
  EXPECT_EQ(EncodeMembershipMessage(*decoded), bytes);
  EXPECT_EQ(decoded->entries[0].payload, std::string("\0\xff", 2));
  EXPECT_TRUE(decoded->members[0].version ==
              (MemberVersion{4, 2, MemberState::kLeaving}));
  EXPECT_EQ(decoded->wanted_members, (std::vector<std::string>{"y", "z"}));
}

TEST(MembershipMessageTest, RejectsEveryTruncation) {
  const std::string bytes = EncodeMembershipMessage(FullMessage());
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    EXPECT_FALSE(DecodeMembershipMessage(bytes.substr(0, size)).ok()) << size;
  }
}

RC_GTEST_PROP(MembershipMessageTest, SurvivesDamagedBytes, ()) {
  std::string bytes = EncodeMembershipMessage(FullMessage());
  const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
  bytes[at] = *rc::gen::arbitrary<char>();
  // Either a message or an error, but no crash.
  const auto decoded = DecodeMembershipMessage(bytes);
  RC_ASSERT(decoded.ok() ||
            decoded.status().code() == absl::StatusCode::kInvalidArgument);
}

}  // namespace
}  // namespace heatherlever
