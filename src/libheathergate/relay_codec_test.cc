#include "libheathergate/relay_codec.h"

#include <gtest/gtest.h>

#include <climits>
#include <string>

namespace heathergate {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(RelayCodecTest, ResponseRoundTripKeepsUpdatesAndRemainingColdTime) {
  RelayResponse response;
  response.incarnation = "one";
  response.registration_version = {.timeline = 2, .number = 7};
  response.registration_lost = true;
  response.timeline = 3;
  response.age = milliseconds(300);
  response.host_count = 22;
  response.servers_sequence = 3;
  heathersteer::BackendServer server;
  server.id = "i-1";
  server.cold_until = seconds(13);
  server.report_sequence = 5;
  server.succeeds_ms = 11;
  response.servers = {.full = false, .changed = {server}, .removed = {"i-2"}};
  response.operator_state = {.version = {.timeline = 3, .number = 60},
                             .document = "{\"version\":7}",
                             .document_version = 7,
                             .evacuated = {"north-a"}};
  response.document_delta = {
      .base_version = 6, .digest = UINT64_MAX, .pieces = {{0, 5, "x\"}"}}};
  response.caller_endpoints = {"10.0.0.1:80"};
  response.limits = {.hosts = 4,
                     .reports = {{.server_id = "i-1",
                                  .started_ms = 9,
                                  .limit = 8.5,
                                  .observed_at = seconds(8),
                                  .demand = 0.25},
                                 {.server_id = "i-2"}}};
  const auto decoded =
      DecodeResponse(EncodeResponse(response, seconds(10)), seconds(500));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->age, milliseconds(300));
  EXPECT_FALSE(decoded->servers->full);
  EXPECT_EQ(decoded->servers->changed.front().cold_until, seconds(503));
  EXPECT_EQ(decoded->servers->changed.front().report_sequence, 5);
  EXPECT_EQ(decoded->servers->changed.front().succeeds_ms, 11);
  EXPECT_EQ(decoded->registration_version, response.registration_version);
  EXPECT_TRUE(decoded->registration_lost);
  EXPECT_EQ(decoded->timeline, 3U);
  EXPECT_EQ(decoded->servers->removed, std::vector<std::string>{"i-2"});
  EXPECT_EQ(*decoded->operator_state, *response.operator_state);
  EXPECT_EQ(*decoded->document_delta, *response.document_delta);
  EXPECT_EQ(*decoded->caller_endpoints, *response.caller_endpoints);
  EXPECT_EQ(decoded->limits->hosts, 4);
  const heathersteer::LimitReport& report = decoded->limits->reports.front();
  EXPECT_EQ(report.server_id, "i-1");
  EXPECT_EQ(report.started_ms, 9);
  EXPECT_EQ(report.limit, 8.5);
  EXPECT_EQ(report.observed_at, seconds(498));
  EXPECT_EQ(report.demand, 0.25);
  EXPECT_EQ(decoded->limits->reports.back().observed_at, seconds(0));
}

// The sums with the local time overflowed, and a time after now stays newer
// than all that follow.
TEST(RelayCodecTest, AgesThatNoEventCanHaveAreBounded) {
  for (const char* age : {"-9223372036854775808", "9223372036854775807",
                          "9223372036854775808", "18446744073709551615"}) {
    const std::string text =
        std::string(R"({"domain":"d","needs_suspects":true,"suspects":[[1,)") +
        age + ",[[7," + age +
        R"(]]]],"limits":{"hosts":2147483647,"servers":)" +
        R"([["i-1",9,8.5,)" + age + ",1]]}}";
    const auto decoded = DecodeDomainReport(text, seconds(500));
    ASSERT_TRUE(decoded) << text;
    for (const heatherlever::Instant at :
         {decoded->suspects.front().cleared_at,
          decoded->suspects.front().crashes.front().at,
          decoded->limits->reports.front().observed_at}) {
      EXPECT_GE(at, seconds(0)) << text;
      EXPECT_LE(at, seconds(500)) << text;
    }
    EXPECT_LT(decoded->limits->hosts, INT_MAX / 2);
  }
}

// Larger numbers were converted to others.
TEST(RelayCodecTest, NumbersBeyondAnIntAreBoundedOrRefused) {
  const auto report = [](const std::string& hosts, const std::string& age) {
    return DecodeDomainReport(
        R"({"domain":"d","needs_suspects":true,"suspects":[[1,)" + age +
            R"(,[]]],"limits":{"hosts":)" + hosts + R"(,"servers":[]}})",
        seconds(500));
  };
  const auto decoded = report("4294967297", "1");
  ASSERT_TRUE(decoded);
  EXPECT_GT(decoded->limits->hosts, 1000);
  EXPECT_FALSE(report("1e300", "1"));
  EXPECT_FALSE(report("1", "1e300"));
}

TEST(RelayCodecTest, SuspectsRoundTripKeepsAges) {
  DomainReport report;
  report.domain = "north-a";
  report.suspects = {{.fingerprint = UINT64_MAX,
                      .crashes = {{7, seconds(6)}, {8, seconds(9)}},
                      .cleared_at = seconds(5)},
                     {.fingerprint = 2, .crashes = {}, .cleared_at = {}}};
  report.needs_suspects = true;
  const auto decoded =
      DecodeDomainReport(EncodeDomainReport(report, seconds(10)), seconds(500));
  ASSERT_TRUE(decoded);
  EXPECT_FALSE(decoded->limits);
  EXPECT_TRUE(decoded->needs_suspects);
  ASSERT_EQ(decoded->suspects.size(), 2U);
  const heathersteer::CrashSuspect& suspect = decoded->suspects.front();
  EXPECT_EQ(suspect.fingerprint, UINT64_MAX);
  EXPECT_EQ(suspect.cleared_at, seconds(495));
  ASSERT_EQ(suspect.crashes.size(), 2U);
  EXPECT_EQ(suspect.crashes.back().incarnation, 8U);
  EXPECT_EQ(suspect.crashes.back().at, seconds(499));
  EXPECT_EQ(decoded->suspects.back().cleared_at, seconds(0));
}

// A host of an earlier build passes on every key of the store as an id.
TEST(RelayCodecTest, ServersWithIdsThatNoFieldCarriesAreLeftOut) {
  RelayResponse response;
  response.servers.emplace();
  for (const char* id : {"i-1", "i-1\n", "i-1\r\nX: y", "", "i 1"}) {
    response.servers->changed.emplace_back().id = id;
  }
  const auto decoded =
      DecodeResponse(EncodeResponse(response, seconds(1)), seconds(1));
  ASSERT_TRUE(decoded);
  ASSERT_EQ(decoded->servers->changed.size(), 2U);
  EXPECT_EQ(decoded->servers->changed.front().id, "i-1");
  EXPECT_EQ(decoded->servers->changed.back().id, "i 1");
}

// As build f42e1d9 writes it, and reads it.
TEST(RelayCodecTest, ServersOfEarlierBuildsHaveNoStartThatTheySucceed) {
  const std::string server =
      R"({"address":"127.0.0.1","cold_us":0,"domain":"d-a","draining":true,)"
      R"("id":"i-1","port":80,"region":"r","report":5,"service":"s",)"
      R"("slots":3,"started_ms":9})";
  const std::string text =
      R"({"age_us":0,"hosts":2,"instance":"one","joined":[1,2],)"
      R"("live_sequence":0,"lost":false,"operator_sequence":0,)"
      R"("same_list":false,"servers":{"changed":[)" +
      server + R"(],"removed":[],"whole":true},"servers_sequence":0,)" +
      R"("suspects_sequence":0,"timeline":1})";
  const auto decoded = DecodeResponse(text, seconds(1));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->servers->changed.front().report_sequence, 5);
  EXPECT_EQ(decoded->servers->changed.front().succeeds_ms, 0);
  EXPECT_EQ(EncodeResponse(*decoded, seconds(1)), text);
}

TEST(RelayCodecTest, PartsWithoutUpdateStayAbsent) {
  const auto decoded =
      DecodeResponse(EncodeResponse(RelayResponse{}, seconds(1)), seconds(1));
  ASSERT_TRUE(decoded);
  EXPECT_FALSE(decoded->servers);
  EXPECT_FALSE(decoded->operator_state);
  EXPECT_FALSE(decoded->caller_endpoints);
  EXPECT_FALSE(decoded->limits);
}

TEST(RelayCodecTest, QueryRoundTripKeepsAgeDigestAndVersion) {
  const auto decoded = DecodeQuery(EncodeQuery({.list_age = seconds(12),
                                                .list_digest = UINT64_MAX,
                                                .operator_version = {2, 60},
                                                .document_version = 9}));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->list_age, seconds(12));
  EXPECT_EQ(decoded->list_digest, UINT64_MAX);
  EXPECT_EQ(decoded->operator_version, (heathersteer::StoreVersion{2, 60}));
  EXPECT_EQ(decoded->document_version, 9U);
}

TEST(RelayCodecTest, MalformedTextDecodesToNothing) {
  EXPECT_FALSE(DecodeResponse("{\"instance\":1}", seconds(1)));
  EXPECT_FALSE(DecodeResponse("{", seconds(1)));
  EXPECT_FALSE(DecodeRequest("[]", heatherlever::Instant(0)));
  EXPECT_FALSE(DecodeDomainReport("{\"domain\":\"a\"}", seconds(1)));
  EXPECT_FALSE(DecodeQuery("{\"list_age_us\":\"1\"}"));
}

}  // namespace
}  // namespace heathergate
