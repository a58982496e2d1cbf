#include "heather-planner/planner.h"

#include <gtest/gtest.h>

#include <utility>

#include "heather-standin/platform_server.h"
#include "heatherlever/epoch_codec.h"
#include "heatherlever/epoch_record.h"
#include "heathernet/config_store.h"
#include "heathernet/platform_client.h"

namespace heather_planner {
namespace {

using heather_standin::PlatformServer;
using heatherlever::HostRecord;
using heathernet::PlatformClient;

constexpr char kAddress[] = "127.0.0.1";
constexpr double kUnlimited = 1e6;

const HostRecord kHostA = {"a", 1, kAddress, 80, 81, "suva", "d1", false};
const HostRecord kHostB = {"b", 1, kAddress, 82, 83, "suva", "d2", false};

using EpochContent = std::pair<std::uint64_t, std::vector<HostRecord>>;

constexpr char kConfig[] =
    "name: test\n"
    "regions: [{name: suva, domains: [d1, d2]}]\n"
    "kinds: [{name: bookings, service: cartage, rank: third, deadline: 1s,"
    " service_time: 40ms}]\n"
    "backends: [{name: c, service: cartage, region: suva, domain: d1,"
    " address: 127.0.0.1, port: 1, slots: 1, max_connections: 1}]\n";

class PlannerTest : public testing::Test {
 protected:
  PlannerTest() : port_(server_.Start(kAddress, 0)), client_(Client("test")) {
    heathernet::ConfigStore(*client_).Publish(0, kConfig);
  }

  PlannerSettings Settings(const std::string& name) const {
    PlannerSettings settings;
    settings.name = name;
    settings.lease.self = name + "/1";
    settings.lease.duration = std::chrono::hours(1);
    settings.lease.renew_after = std::chrono::minutes(10);
    settings.missing_time = heatherlever::Duration(0);
    return settings;
  }

  std::unique_ptr<PlatformClient> Client(const std::string& id) const {
    heathernet::PlatformSettings settings;
    settings.address = kAddress;
    settings.port = port_;
    settings.client_id = id;
    settings.reads_per_second = settings.writes_per_second = kUnlimited;
    settings.read_burst = settings.write_burst = kUnlimited;
    return PlatformClient::Create(settings).value();
  }

  // Number and members of the epoch; number 0 if there is none.
  EpochContent Epoch() const {
    const auto row = client_->Get("epoch/current");
    if (!row) {
      return {};
    }
    const auto epoch = heatherlever::DecodeEpoch(row->value).value();
    return {epoch.number, epoch.members};
  }

  PlatformServer server_;
  const std::uint16_t port_;
  const std::unique_ptr<PlatformClient> client_;
};

TEST_F(PlannerTest, HolderWritesEpochsAndOthersDoNot) {
  Planner planner(Settings("p"), *client_);
  const auto other_client = Client("other");
  Planner other(Settings("q"), *other_client);
  planner.Step();
  EXPECT_TRUE(planner.holds_lease());
  EXPECT_EQ(Epoch(), EpochContent());
  client_->Register(kHostB);
  client_->Register(kHostA);
  other.Step();
  EXPECT_FALSE(other.holds_lease());
  EXPECT_EQ(Epoch(), EpochContent());
  planner.Step();
  EXPECT_EQ(Epoch(), (EpochContent{1, {kHostA, kHostB}}));
  client_->MarkLeaving("a");
  planner.Step();
  EXPECT_EQ(Epoch(), (EpochContent{2, {kHostB}}));
}

TEST_F(PlannerTest, ReleasedLeaseIsTakenAtOnce) {
  Planner planner(Settings("p"), *client_);
  const auto other_client = Client("other");
  Planner other(Settings("q"), *other_client);
  planner.Step();
  planner.Release();
  EXPECT_FALSE(planner.holds_lease());
  other.Step();
  EXPECT_TRUE(other.holds_lease());
}

TEST_F(PlannerTest, LostAnswersChangeNothing) {
  client_->Register(kHostA);
  Planner planner(Settings("p"), *client_);
  server_.SetFaults({{"lose_next_answers", 2}});
  planner.Step();
  EXPECT_TRUE(planner.holds_lease());
  EXPECT_EQ(Epoch(), (EpochContent{1, {kHostA}}));
}

TEST_F(PlannerTest, HolderWhoseRowWasReplacedWritesNoEpoch) {
  client_->Register(kHostA);
  Planner planner(Settings("p"), *client_);
  planner.Step();
  const auto row = client_->Get("lease/planner");
  client_->CompareAndSwap("lease/planner", row->version,
                          heatherlever::LeaseRecord{"q/1", 2, 1}.Encode());
  client_->Register(kHostB);
  planner.Step();
  EXPECT_FALSE(planner.holds_lease());
  EXPECT_EQ(Epoch(), (EpochContent{1, {kHostA}}));
}

TEST_F(PlannerTest, OutageLeavesTheEpochAsItIs) {
  client_->Register(kHostA);
  heathernet::PlatformSettings short_calls;
  short_calls.address = kAddress;
  short_calls.port = port_;
  short_calls.client_id = "short";
  short_calls.call_deadline = std::chrono::milliseconds(50);
  const auto short_client = PlatformClient::Create(short_calls).value();
  Planner planner(Settings("p"), *short_client);
  server_.SetFaults({{"down", true}});
  planner.Step();
  EXPECT_FALSE(planner.holds_lease());
  server_.SetFaults({{"down", false}});
  EXPECT_EQ(Epoch(), EpochContent());
}

}  // namespace
}  // namespace heather_planner
