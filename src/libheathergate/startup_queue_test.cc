#include "libheathergate/startup_queue.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "heathergate/gateway.h"
#include "heathergate/http_exchange.h"
#include "heathernet/event_loop.h"
#include "heathersteer/traffic_config.h"

namespace heathergate {
namespace {

using heathernet::EventLoop;

constexpr auto kNever = std::chrono::hours(1);

std::shared_ptr<HttpExchange> MakeExchange(const std::string& target,
                                           HttpExchange::Reply reply) {
  HttpHead head;
  head.method = "GET";
  head.target = target;
  head.fields = {{"Host", "a.example"}, {"Left", "900"}};
  return std::make_shared<HttpExchange>(std::move(head), "", EventLoop::Now(),
                                        std::move(reply));
}

std::shared_ptr<heathersteer::TrafficConfig> MakeConfig() {
  auto config = std::make_shared<heathersteer::TrafficConfig>();
  config->version = 1;
  return config;
}

TEST(StartupQueueTest, AreGivenBackInTheirOrder) {
  EventLoop loop;
  StartupQueue early(loop, kNever, [](const auto&) { FAIL(); });
  const auto ignore = [](const HttpResponse&) {};
  const auto first = MakeExchange("/1", ignore);
  const auto second = MakeExchange("/2", ignore);
  early.Add(first);
  early.Add(second);
  EXPECT_EQ(early.TakeAll(),
            (std::vector<std::shared_ptr<HttpExchange>>{first, second}));
  EXPECT_EQ(early.size(), 0U);
}

TEST(StartupQueueTest, ExpireAfterTheLongestTime) {
  EventLoop loop;
  int expired = 0;
  StartupQueue early(loop, heatherlever::Duration(0), [&](const auto&) {
    if (++expired == 2) {
      loop.Stop();
    }
  });
  early.Add(MakeExchange("/1", [](const HttpResponse&) {}));
  early.Add(MakeExchange("/2", [](const HttpResponse&) {}));
  loop.Run();
  EXPECT_EQ(expired, 2);
  EXPECT_EQ(early.size(), 0U);
}

TEST(StartupQueueTest, AreBoundedInNumber) {
  EventLoop loop;
  std::size_t expired = 0;
  StartupQueue early(loop, kNever, [&](const auto&) { ++expired; });
  constexpr std::size_t kMany = 5000;
  for (std::size_t i = 0; i < kMany; ++i) {
    early.Add(MakeExchange("/", [](const HttpResponse&) {}));
  }
  EXPECT_GT(expired, 0U);
  EXPECT_EQ(early.size() + expired, kMany);
}

class StartingGatewayTest : public ::testing::Test {
 protected:
  static GatewayOptions Options(heatherlever::Duration longest_start) {
    GatewayOptions options;
    options.names.time_left = "Left";
    options.max_startup_wait = longest_start;
    return options;
  }

  std::shared_ptr<HttpExchange> Request() {
    return MakeExchange("/x/", [this](const HttpResponse& response) {
      statuses_.push_back(response.status);
      fields_ = response.fields;
      loop_.Stop();
    });
  }

  EventLoop loop_;
  std::vector<int> statuses_;
  std::vector<HeaderField> fields_;
};

TEST_F(StartingGatewayTest, AnswersByTheFirstConfigurationAndServer) {
  Gateway gateway(loop_, Options(kNever));
  gateway.Handle(Request());
  EXPECT_TRUE(statuses_.empty());
  gateway.ApplyConfig(MakeConfig());
  EXPECT_TRUE(statuses_.empty());
  heathersteer::BackendServer server;
  server.id = "b1";
  gateway.servers().Put(server);
  gateway.RetryQueued();
  // The configuration has no route for the request.
  EXPECT_EQ(statuses_, std::vector<int>{404});
  gateway.Handle(Request());
  EXPECT_EQ(statuses_, (std::vector<int>{404, 404}));
}

TEST_F(StartingGatewayTest, TellsTheClientWhenToComeBack) {
  Gateway gateway(loop_, Options(heatherlever::Duration(0)));
  gateway.Handle(Request());
  loop_.Run();
  EXPECT_EQ(statuses_, std::vector<int>{503});
  ASSERT_EQ(fields_.size(), 1U);
  EXPECT_EQ(fields_[0].name, "Retry-After");
  EXPECT_LE(std::stod(fields_[0].value), 0.3);
}

}  // namespace
}  // namespace heathergate
