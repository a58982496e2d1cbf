#include "libheathergate/load_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <nlohmann/json.hpp>

#include <string>

namespace heathergate {
namespace {

using Reports = heathersteer::LoadBoard::Reports;

TEST(LoadCodecTest, KeepsReportsAndAnEmptyDatagram) {
  for (const Reports& reports : {Reports{{"i-1", 0}, {"i-2", 17}}, Reports{}}) {
    const auto decoded = DecodeLoads(EncodeLoads(reports));
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(*decoded, reports);
  }
}

TEST(LoadCodecTest, RefusesWhatIsNoCountOfRequests) {
  const auto refuses = [](const nlohmann::json& value) {
    return !DecodeLoads(nlohmann::json::to_cbor(value)).has_value();
  };
  EXPECT_TRUE(refuses({{"i-1", -1}}));
  EXPECT_TRUE(refuses({{"i-1", "3"}}));
  EXPECT_TRUE(refuses({{"i-1", 1e9}}));
  EXPECT_TRUE(refuses({{"i-1", 4'000'000'000U}}));
  EXPECT_TRUE(refuses({1, 2}));
}

RC_GTEST_PROP(LoadCodecFuzzTest, AnyBytesAreDecodedOrRefused, ()) {
  const auto bytes = *rc::gen::arbitrary<std::vector<std::uint8_t>>();
  const auto decoded = DecodeLoads(bytes);
  if (decoded) {
    RC_ASSERT(DecodeLoads(EncodeLoads(*decoded)) == decoded);
  }
}

}  // namespace
}  // namespace heathergate
