#include "heather-standin/relay.h"

#include <gtest/gtest.h>
#include <httplib.h>

#include "heather-standin/backend_server.h"
#include "heather-standin/standin_error.h"

namespace heather_standin {
namespace {

constexpr char kAddress[] = "127.0.0.1";
constexpr auto kShortTimeout = std::chrono::milliseconds(50);

class RelayTest : public testing::Test {
 protected:
  RelayTest()
      : backend_(BackendOptions{}),
        port_(relay_.Start({kAddress, 0},
                           {kAddress, backend_.Start(kAddress, 0)})) {}

  std::unique_ptr<httplib::Client> Connect() const {
    auto client = std::make_unique<httplib::Client>(kAddress, port_);
    client->set_keep_alive(true);
    return client;
  }

  static bool Answers(httplib::Client& client) {
    const auto result = client.Get("/load");
    return result && result->status == 200;
  }

  BackendServer backend_;
  Relay relay_;
  const std::uint16_t port_;
};

TEST_F(RelayTest, PassesRequestsAndAnswers) {
  const auto client = Connect();
  EXPECT_TRUE(Answers(*client));
  relay_.SetFaults({{"delay_ms", 1}});
  EXPECT_TRUE(Answers(*client));
  EXPECT_EQ(relay_.Statistics()["accepted"], 1);
}

TEST_F(RelayTest, PassesALargeAnswerWhole) {
  const auto client = Connect();
  const auto result = client->Post(
      "/work/print", {{"X-Answer-Bytes", "8000000"}}, "", "text/plain");
  ASSERT_TRUE(result);
  EXPECT_EQ(result->body.size(), 8'000'000U);
}

TEST_F(RelayTest, CutRefusesUntilItEnds) {
  const auto client = Connect();
  EXPECT_TRUE(Answers(*client));
  relay_.SetFaults({{"cut", true}});
  EXPECT_FALSE(Answers(*client));
  EXPECT_FALSE(Answers(*Connect()));
  relay_.SetFaults({{"cut", false}});
  EXPECT_TRUE(Answers(*Connect()));
}

TEST_F(RelayTest, SilentConnectionsStaySilentWhileNewOnesWork) {
  const auto silent = Connect();
  EXPECT_TRUE(Answers(*silent));
  relay_.SetFaults({{"silence", true}});
  silent->set_read_timeout(kShortTimeout);
  EXPECT_FALSE(Answers(*silent));
  EXPECT_TRUE(Answers(*Connect()));
}

TEST_F(RelayTest, OneWayCutHoldsAnswersBackUntilItEnds) {
  const auto client = Connect();
  relay_.SetFaults({{"cut_from_target", true}});
  client->set_read_timeout(kShortTimeout);
  EXPECT_FALSE(Answers(*client));
  relay_.SetFaults({{"cut_from_target", false}});
  client->set_read_timeout(std::chrono::seconds(5));
  EXPECT_TRUE(Answers(*client));
}

TEST_F(RelayTest, UnknownFaultsAreRefused) {
  EXPECT_THROW(relay_.SetFaults({{"delay", 1}}), StandinError);
  EXPECT_THROW(relay_.SetFaults({{"cut", "yes"}}), StandinError);
}

}  // namespace
}  // namespace heather_standin
