#include "heatherlever/deployment_loader.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "heatherlever/deployment_spec.h"

namespace heatherlever {
namespace {

std::string Example(const std::string& name) {
  std::ifstream file(std::string(HEATHER_SOURCE_DIR) + "/examples/" + name +
                     "/deployment.yaml");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string Replaced(std::string text,
                     const std::string& from,
                     const std::string& to) {
  const std::size_t at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}

TEST(DeploymentLoaderTest, ReadsVatuwaqaWithTheSizesOfToday) {
  const auto spec = LoadDeployment(Example("vatuwaqa"), "deployment.yaml");
  ASSERT_TRUE(spec.ok()) << spec.status();
  EXPECT_EQ(spec->regions.size(), 3u);
  EXPECT_EQ(spec->backends.size(), 16u + 12u + 12u);
}

TEST(DeploymentLoaderTest, ReadsPragovaWithTheSizesOfToday) {
  const auto spec = LoadDeployment(Example("pragova"), "deployment.yaml");
  ASSERT_TRUE(spec.ok()) << spec.status();
  EXPECT_EQ(spec->backends.size(), 18u + 12u + 12u);
}

struct BadInput {
  const char* from;
  const char* to;
  const char* expected;
};

class DeploymentLoaderBadInputTest : public testing::TestWithParam<BadInput> {};

TEST_P(DeploymentLoaderBadInputTest, NamesLineAndCause) {
  const BadInput& input = GetParam();
  const auto spec = LoadDeployment(
      Replaced(Example("vatuwaqa"), input.from, input.to), "deployment.yaml");
  ASSERT_FALSE(spec.ok());
  const std::string message(spec.status().message());
  EXPECT_NE(message.find("deployment.yaml:"), std::string::npos) << message;
  EXPECT_NE(message.find(input.expected), std::string::npos) << message;
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    DeploymentLoaderBadInputTest,
    testing::Values(
        BadInput{"max_shift:", "max_shif:", "key 'max_shift' is missing"},
        BadInput{"idempotent:", "idempotnt:", "did you mean 'idempotent'?"},
        BadInput{"rank: first", "rank: frist", "did you mean 'first'?"},
        BadInput{"delay: 12ms", "delay: 12", "duration with its unit"},
        BadInput{"capacity: 4000Mbit/s", "capacity: 4000", "unit Mbit/s"},
        BadInput{"max_shift: 40%", "max_shift: 140%", "from 0% to 100%"},
        BadInput{"max_shift: 40%", "max_shift: 40%\n    max_shift: 50%",
                 "key 'max_shift' is given twice"},
        BadInput{"slots: 9", "slots: 0", "from 1 to"},
        BadInput{"service: valvedesk", "service: valvdesk",
                 "did you mean 'valvedesk'?"},
        BadInput{"from: viti-central", "from: viti-centrl",
                 "did you mean 'viti-central'?"},
        BadInput{"prefix: 127.10.0.0/16", "prefix: 127.10.0.0/99",
                 "a prefix such as"},
        BadInput{"regions:", "regions: [", "not valid YAML"}));

}  // namespace
}  // namespace heatherlever
