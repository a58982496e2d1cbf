#include "heatherlever/lookup_directory.h"

#include <gtest/gtest.h>

#include <chrono>

#include "heatherlever/block_table.h"
#include "heatherlever/cached_answers.h"
#include "heatherlever/deployment_spec.h"
#include "heatherlever/pool_name.h"
#include "heatherlever/rendezvous.h"

namespace heatherlever {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::vector<std::string> kRegions = {"central", "west", "north"};

class LookupDirectoryTest : public testing::Test {
 protected:
  LookupDirectoryTest() {
    for (const std::string& region : kRegions) {
      spec_.regions.push_back({region, {}, {"a", "b"}});
      for (int i = 0; i < 6; ++i) {
        members_.push_back(
            {region + std::to_string(i), 1, region, i % 2 == 0 ? "a" : "b"});
      }
    }
    spec_.links = {{"central", "west", milliseconds(20), 1, 1},
                   {"north", "central", milliseconds(10), 1, 1}};
    KindSpec reading;
    reading.service = "levelview";
    KindSpec proof = reading;
    KindSpec booking;
    booking.service = "cartage";
    spec_.kinds = {reading, booking, proof};
    blocks_ = std::make_shared<BlockTable>(
        *BlockTable::Build({{0x0a000000, 8, "central"}}, kRegions));
  }

  LookupDirectory Make(const std::set<std::string>& down = {}) {
    return {spec_, members_, down, 1, blocks_, {}};
  }

  std::vector<Member> Order(const std::string& service,
                            const std::string& region) {
    std::vector<Member> members;
    for (const Member& member : members_) {
      if (member.region == region) {
        members.push_back(member);
      }
    }
    return OwnerOrder(PoolName(service, region), members);
  }

  DeploymentSpec spec_;
  std::vector<Member> members_;
  std::shared_ptr<const BlockTable> blocks_;
};

TEST_F(LookupDirectoryTest, NamesOwnerDeputyHomeHostsThenNearestRegions) {
  const LookupDirectory directory = Make();
  for (const auto& [kind, service] : std::map<std::size_t, std::string>{
           {0, "levelview"}, {1, "cartage"}, {2, "levelview"}}) {
    const auto home = Order(service, "central");
    EXPECT_EQ(
        directory.Find(kind, 0x0a000001).hosts,
        (std::vector<std::string>{home[0].name, home[1].name, home[2].name,
                                  home[3].name, Order(service, "north")[0].name,
                                  Order(service, "west")[0].name}));
  }
  // An address in no block belongs to the local region.
  EXPECT_EQ(directory.Find(0, 1).hosts[0], Order("levelview", "west")[0].name);
}

TEST_F(LookupDirectoryTest, HostsThatAreDownComeLast) {
  const auto home = Order("levelview", "central");
  const auto answer = Make({home[0].name}).Find(0, 0x0a000001);
  EXPECT_EQ(answer.hosts[0], home[1].name);
  std::set<std::string> all_home;
  for (const Member& member : home) {
    all_home.insert(member.name);
  }
  EXPECT_EQ(Make(all_home).Find(0, 0x0a000001).hosts[0],
            Order("levelview", "north")[0].name);
}

TEST(CachedAnswersTest, CountsAnswersUntilTheyExpire) {
  CachedAnswers answers(2, seconds(5));
  for (int i = 0; i < 10; ++i) {
    answers.OnAnswer(0, seconds(i));
  }
  answers.OnAnswer(1, seconds(9));
  // Those given at 4 s or later, and at most a sixteenth more.
  EXPECT_EQ(answers.Outstanding(0, seconds(9)), 6U);
  EXPECT_NEAR(answers.Share(0, seconds(9)), 6.0 / 7, 1e-9);
  EXPECT_EQ(answers.UntilForgotten(0, seconds(10)), seconds(4));
  EXPECT_EQ(answers.Outstanding(0, seconds(15)), 0U);
  EXPECT_EQ(answers.Share(0, seconds(15)), 0);
}

}  // namespace
}  // namespace heatherlever
