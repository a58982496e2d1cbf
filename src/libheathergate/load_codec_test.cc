#include "libheathergate/load_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

namespace heathergate {
namespace {

using heathersteer::LoadBoard;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr heatherlever::Instant kNow = seconds(100);

TEST(LoadCodecTest, KeepsReportsWithTheirAges) {
  const LoadDatagram datagram{
      true, {{"i-1", {0, kNow}}, {"i-2", {17, kNow - milliseconds(250)}}}};
  const auto decoded = DecodeLoads(EncodeLoads(datagram, kNow), seconds(7));
  ASSERT_TRUE(decoded.has_value());
  EXPECT_TRUE(decoded->to_leader);
  EXPECT_EQ(decoded->reports,
            (LoadBoard::Reports{{"i-1", {0, seconds(7)}},
                                {"i-2", {17, milliseconds(6750)}}}));
}

TEST(LoadCodecTest, AnEmptyDatagramIsOne) {
  const auto decoded = DecodeLoads(EncodeLoads({}, kNow), kNow);
  ASSERT_TRUE(decoded.has_value());
  EXPECT_FALSE(decoded->to_leader);
  EXPECT_TRUE(decoded->reports.empty());
}

TEST(LoadCodecTest, AReportThatGoesRoundEndsWithinASecond) {
  LoadDatagram datagram{true, {{"i-1", {63, kNow}}}};
  heatherlever::Instant now = kNow;
  int rounds = 0;
  for (; !datagram.reports.empty() && rounds < 100; ++rounds) {
    const auto bytes = EncodeLoads(datagram, now);
    now += milliseconds(100);
    // The next host decodes later than the last one encoded.
    datagram = *DecodeLoads(bytes, now - milliseconds(100));
  }
  EXPECT_LE(rounds, 11);
}

TEST(LoadCodecTest, RefusesWhatIsNoReport) {
  const auto refuses = [](nlohmann::json reports) {
    const auto bytes = nlohmann::json::to_cbor(
        {{"to_leader", true}, {"reports", std::move(reports)}});
    return !DecodeLoads(bytes, kNow).has_value();
  };
  EXPECT_FALSE(refuses({{"i-1", {1, 2}}}));
  EXPECT_TRUE(refuses({{"i-1", {-1, 0}}}));
  EXPECT_TRUE(refuses({{"i-1", {1}}}));
  EXPECT_TRUE(refuses({{"i-1", 3}}));
  EXPECT_TRUE(refuses({{"i-1", {4'000'000'000U, 0}}}));
  EXPECT_TRUE(refuses("i-1"));
}

RC_GTEST_PROP(LoadCodecFuzzTest, AnyBytesAreDecodedOrRefused, ()) {
  const auto bytes = *rc::gen::arbitrary<std::vector<std::uint8_t>>();
  const auto decoded = DecodeLoads(bytes, kNow);
  if (decoded) {
    const auto again = DecodeLoads(EncodeLoads(*decoded, kNow), kNow);
    RC_ASSERT(again.has_value());
    RC_ASSERT(again->reports == decoded->reports);
  }
}

}  // namespace
}  // namespace heathergate
