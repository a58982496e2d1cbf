// What connections and sessions hold of a BufferBudget, over loopback.

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>

#include "heathergate/buffer_budget.h"
#include "heathergate/http_call.h"
#include "heathergate/http_client.h"
#include "heathergate/http_exchange.h"
#include "heathergate/http_response.h"
#include "heathergate/http_server.h"
#include "heathergate/listen_address.h"
#include "heathernet/event_loop.h"

namespace heathergate {
namespace {

using heathernet::EventLoop;

constexpr std::size_t kBodyBytes = 3 << 20;
constexpr std::size_t kMaxBytes = 16 << 20;
constexpr std::size_t kMaxRequestBytes = 8 << 20;

class BufferReleaseTest : public testing::Test {
 protected:
  BufferReleaseTest()
      : server_(loop_, {"test", "127.0.0.1"}, [this](const auto& exchange) {
          used_while_handled_ = server_budget_->used();
          exchange->Respond(HttpResponse::Of(kOk, response_body_));
        }) {
    heathersteer::CallerLimits limits;
    limits.max_body_bytes = kMaxBytes;
    server_.SetLimits(limits);
    server_.SetBufferBudget(server_budget_);
  }

  static HttpClientOptions ClientOptions(std::shared_ptr<BufferBudget> budget) {
    HttpClientOptions options;
    options.buffers = std::move(budget);
    return options;
  }

  // Sends a request with a body and awaits the end of the call.
  CallResult Exchange(std::shared_ptr<const std::string> body) {
    CallResult result;
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                             std::to_string(body->size()) + "\r\n\r\n";
    const auto call = client_.Send({"peer", "127.0.0.1", server_.port()}, head,
                                   std::move(body), "", [&](CallResult ended) {
                                     result = std::move(ended);
                                     loop_.Stop();
                                   });
    RunFor(std::chrono::seconds(20));
    EXPECT_FALSE(call->active());
    return result;
  }

  void RunFor(heatherlever::Duration time) {
    const auto timer = loop_.After(time, [this] { loop_.Stop(); });
    loop_.Run();
  }

  static constexpr int kOk = 200;
  EventLoop loop_;
  std::shared_ptr<BufferBudget> server_budget_ =
      std::make_shared<BufferBudget>(kMaxBytes, kMaxRequestBytes);
  std::shared_ptr<BufferBudget> client_budget_ =
      std::make_shared<BufferBudget>(kMaxBytes, 0);
  std::string response_body_;
  std::size_t used_while_handled_ = 0;
  HttpServer server_;
  HttpClient client_{loop_, ClientOptions(client_budget_)};
};

// A connection kept the request that it had sent last while it was idle.
TEST_F(BufferReleaseTest, IdleConnectionKeepsNothingOfItsRequest) {
  const auto body = std::make_shared<const std::string>(kBodyBytes, 'x');
  EXPECT_EQ(Exchange(body).head.status, kOk);
  EXPECT_EQ(used_while_handled_, kBodyBytes);
  EXPECT_EQ(body.use_count(), 1);
  Exchange(std::make_shared<const std::string>());
  EXPECT_EQ(client_.opened(), 1);
}

TEST_F(BufferReleaseTest, ExchangeReleasesWhatItHeld) {
  response_body_.assign(kBodyBytes, 'y');
  const CallResult result =
      Exchange(std::make_shared<const std::string>(kBodyBytes, 'x'));
  EXPECT_EQ(result.body, response_body_);
  RunFor(std::chrono::milliseconds(20));
  EXPECT_EQ(server_budget_->used(), 0);
  EXPECT_EQ(client_budget_->used(), 0);
}

TEST_F(BufferReleaseTest, RequestBeyondTheBudgetIsRejected) {
  const CallResult result = Exchange(
      std::make_shared<const std::string>(kMaxRequestBytes + 65536, 'x'));
  EXPECT_EQ(result.head.status, 503);
  EXPECT_EQ(server_budget_->rejections(), 1);
  EXPECT_EQ(server_budget_->used(), 0);
}

TEST_F(BufferReleaseTest, ResponseBeyondTheBudgetBreaksItsCall) {
  client_budget_ = std::make_shared<BufferBudget>(kBodyBytes / 2, 0);
  HttpClient client(loop_, ClientOptions(client_budget_));
  response_body_.assign(kBodyBytes, 'y');
  CallResult result;
  const auto call = client.Send({"peer", "127.0.0.1", server_.port()},
                                "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
                                std::make_shared<const std::string>(), "",
                                [&](CallResult ended) {
                                  result = std::move(ended);
                                  loop_.Stop();
                                });
  RunFor(std::chrono::seconds(20));
  EXPECT_FALSE(call->active());
  EXPECT_EQ(result.outcome, CallOutcome::kBroken);
  EXPECT_FALSE(result.ended_by_peer);
  EXPECT_EQ(client_budget_->drops(), 1);
  EXPECT_EQ(client_budget_->used(), 0);
}

}  // namespace
}  // namespace heathergate
