#include "heather-standin/backend_server.h"

#include <gtest/gtest.h>

#include <future>

namespace heather_standin {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr char kAddress[] = "127.0.0.1";
constexpr milliseconds kForever = std::chrono::hours(1);

class BackendServerTest : public testing::Test {
 protected:
  void Start(int slots, milliseconds service_time) {
    BackendOptions options;
    options.slots = slots;
    options.service_time = service_time;
    options.distribution = ServiceDistribution::kFixed;
    server_ = std::make_unique<BackendServer>(options);
    port_ = server_->Start(kAddress, 0);
  }

  httplib::Result Post(const httplib::Headers& headers) const {
    httplib::Client client(kAddress, port_);
    client.set_read_timeout(std::chrono::minutes(1));
    return client.Post("/work/booking", headers, "", "text/plain");
  }

  bool Cancel(const std::string& exchange) const {
    httplib::Client client(kAddress, port_);
    const auto result = client.Delete("/work/" + exchange);
    return Json::parse(result->body)["stopped_before_effect"].get<bool>();
  }

  Json Load() const {
    return Json::parse(httplib::Client(kAddress, port_).Get("/load")->body);
  }

  // Starts work and returns once it holds its slot.
  std::future<httplib::Result> PostAndWaitForSlot(
      const httplib::Headers& headers) {
    auto answer =
        std::async(std::launch::async, [=, this] { return Post(headers); });
    while (server_->Statistics()["in_flight"] == 0) {
      std::this_thread::yield();
    }
    return answer;
  }

  std::unique_ptr<BackendServer> server_;
  std::uint16_t port_ = 0;
};

TEST_F(BackendServerTest, AnswerEchoesExchangeAndKey) {
  Start(1, milliseconds(0));
  const auto result = Post({{"X-Exchange-Id", "e1"},
                            {"Idempotency-Key", "k1"},
                            {"X-Answer-Bytes", "1000"}});
  ASSERT_TRUE(result);
  EXPECT_EQ(result->get_header_value("X-Exchange-Id"), "e1");
  EXPECT_EQ(result->body.size(), 1'000U);
  EXPECT_EQ(Json::parse(result->body)["exchange"], "e1");
  EXPECT_EQ(Json::parse(result->body)["key"], "k1");
  EXPECT_EQ(server_->Runs(), (Json{{"k1", 1}}));
}

TEST_F(BackendServerTest, WorkBeyondTheSlotsIsShedAndCounted) {
  Start(1, kForever);
  auto first = PostAndWaitForSlot({{"X-Exchange-Id", "e1"}});
  const auto second = Post({{"X-Exchange-Id", "e2"}});
  EXPECT_EQ(second->status, 503);
  EXPECT_EQ(second->get_header_value("X-Not-Run"), "true");
  EXPECT_TRUE(second->has_header("Retry-After"));
  EXPECT_EQ(Load()["in_flight"], 1);
  EXPECT_TRUE(Cancel("e1"));
  EXPECT_EQ(first.get()->status, 409);
  EXPECT_EQ(server_->Statistics()["over_slots"], 1);
  EXPECT_EQ(server_->Statistics()["peak_in_flight"], 2);
  EXPECT_EQ(server_->Statistics()["runs"], 0);
}

TEST_F(BackendServerTest, CancellationAfterTheEffectSaysSo) {
  Start(1, milliseconds(0));
  Post({{"X-Exchange-Id", "e1"}});
  EXPECT_FALSE(Cancel("e1"));
}

TEST_F(BackendServerTest, CancellationBeforeArrivalStopsTheWork) {
  Start(1, milliseconds(0));
  EXPECT_TRUE(Cancel("e1"));
  const auto result = Post({{"X-Exchange-Id", "e1"}, {"Idempotency-Key", "k"}});
  EXPECT_EQ(result->get_header_value("X-Not-Run"), "true");
  EXPECT_EQ(server_->Runs(), Json::object());
}

TEST_F(BackendServerTest, WorkThatMissesItsDeadlineIsNotRun) {
  Start(1, kForever);
  const auto result = Post({{"X-Deadline-Ms", "1000"}});
  EXPECT_EQ(result->status, 504);
  EXPECT_EQ(result->get_header_value("X-Not-Run"), "true");
  EXPECT_EQ(server_->Statistics()["runs"], 0);
  EXPECT_EQ(server_->Statistics()["in_flight"], 0);
}

TEST_F(BackendServerTest, DeathAfterTheEffectLosesTheAnswerOnly) {
  Start(1, milliseconds(0));
  server_->SetFaults({{"die_after_effect", 1}});
  EXPECT_FALSE(Post({{"Idempotency-Key", "k"}}));
  EXPECT_TRUE(Post({{"Idempotency-Key", "k"}}));
  EXPECT_EQ(server_->Runs(), (Json{{"k", 2}}));
}

TEST_F(BackendServerTest, TruncatedAndCrossedAnswersShow) {
  Start(1, milliseconds(0));
  server_->SetFaults({{"truncate_next", 1}});
  EXPECT_FALSE(Post({{"X-Answer-Bytes", "4000"}}));
  server_->SetFaults({{"swap_next", 1}});
  const auto crossed = Post({{"X-Exchange-Id", "e1"}});
  EXPECT_NE(crossed->get_header_value("X-Exchange-Id"), "e1");
}

TEST_F(BackendServerTest, LeavingServerShedsAndCountsNewWork) {
  Start(1, milliseconds(0));
  server_->SetFaults({{"leaving", true}});
  EXPECT_EQ(Post({})->get_header_value("X-Not-Run"), "true");
  EXPECT_EQ(server_->Statistics()["work_while_leaving"], 1);
  httplib::Client client(kAddress, port_);
  EXPECT_EQ(client.Get("/health")->status, 503);
  server_->SetFaults({{"health_lie", true}, {"load_lie", 7}});
  EXPECT_EQ(client.Get("/health")->status, 200);
  EXPECT_EQ(Load()["in_flight"], 7);
}

}  // namespace
}  // namespace heather_standin
