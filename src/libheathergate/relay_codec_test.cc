#include "libheathergate/relay_codec.h"

#include <gtest/gtest.h>

namespace heathergate {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(RelayCodecTest, AnswersKeepTheirNewsAndTheColdTimeLeft) {
  RelayResponse answer;
  answer.incarnation = "one";
  answer.registration_version = 7;
  answer.age = milliseconds(300);
  answer.host_count = 22;
  answer.servers_sequence = 3;
  heathersteer::BackendServer server;
  server.id = "i-1";
  server.cold_until = seconds(13);
  answer.servers = {.full = false, .changed = {server}, .removed = {"i-2"}};
  answer.operator_state.emplace().document = "{\"version\":7}";
  answer.caller_endpoints = {"10.0.0.1:80"};
  const auto decoded =
      DecodeResponse(EncodeResponse(answer, seconds(10)), seconds(500));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->age, milliseconds(300));
  EXPECT_FALSE(decoded->servers->full);
  EXPECT_EQ(decoded->servers->changed.front().cold_until, seconds(503));
  EXPECT_EQ(decoded->servers->removed, std::vector<std::string>{"i-2"});
  EXPECT_EQ(*decoded->operator_state, *answer.operator_state);
  EXPECT_EQ(*decoded->caller_endpoints, *answer.caller_endpoints);
}

TEST(RelayCodecTest, PartsWithoutNewsStayAbsent) {
  const auto decoded =
      DecodeResponse(EncodeResponse(RelayResponse{}, seconds(1)), seconds(1));
  ASSERT_TRUE(decoded);
  EXPECT_FALSE(decoded->servers);
  EXPECT_FALSE(decoded->operator_state);
  EXPECT_FALSE(decoded->caller_endpoints);
}

TEST(RelayCodecTest, InquiriesKeepAgeAndVersion) {
  const auto decoded = DecodeQuery(EncodeQuery({.list_age = seconds(12),
                                                .list_digest = UINT64_MAX,
                                                .operator_version = 60}));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->list_age, seconds(12));
  EXPECT_EQ(decoded->list_digest, UINT64_MAX);
  EXPECT_EQ(decoded->operator_version, 60U);
}

TEST(RelayCodecTest, ForeignTextsAreNothing) {
  EXPECT_FALSE(DecodeResponse("{\"instance\":1}", seconds(1)));
  EXPECT_FALSE(DecodeResponse("{", seconds(1)));
  EXPECT_FALSE(DecodeRequest("[]"));
  EXPECT_FALSE(DecodeQuery("{\"list_age_us\":\"1\"}"));
}

}  // namespace
}  // namespace heathergate
