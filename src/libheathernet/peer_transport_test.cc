#include "heathernet/peer_transport.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <map>
#include <optional>
#include <thread>
#include <vector>

#include "heathernet/event_loop.h"
#include "http2_connection.h"
#include "peer_context.h"
#include "peer_test_relay.h"

namespace heathernet {
namespace {

using heatherlever::Duration;

constexpr Duration kWatchdog{30'000'000};
constexpr Duration kPollInterval{1'000};
constexpr Duration kLongTimeout{25'000'000};

// Limits under which silence is noticed soon.
PeerLimits QuickLimits() {
  PeerLimits limits;
  limits.ping_interval = Duration(20'000);
  limits.idle_ping_interval = Duration(20'000);
  limits.ping_timeout = Duration(100'000);
  limits.handshake_timeout = Duration(100'000);
  limits.request_receive_timeout = Duration(100'000);
  limits.max_body_bytes = 100'000;
  return limits;
}

PeerRequest Request(std::string path, std::string body = "") {
  PeerRequest request;
  request.path = std::move(path);
  request.body = std::move(body);
  request.timeout = kLongTimeout;
  return request;
}

// A plain TCP connection of a sender that is no peer.
class RawClient {
 public:
  explicit RawClient(const PeerAddress& address)
      : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &target.sin_addr);
    connected_ = ::connect(socket_, reinterpret_cast<sockaddr*>(&target),
                           sizeof(target)) == 0;
  }
  ~RawClient() { ::close(socket_); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  bool connected() const { return connected_; }

  void Send(const std::string& bytes) const {
    ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }

  // True once the other side has closed the connection.
  bool SeesClose() const {
    char buffer[4096];
    ssize_t count = 0;
    while ((count = ::recv(socket_, buffer, sizeof(buffer), MSG_DONTWAIT)) >
           0) {
    }
    return count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
  }

 private:
  int socket_;
  bool connected_ = false;
};

class PeerTransportTest : public ::testing::Test {
 protected:
  std::unique_ptr<PeerTransport> Make(const PeerLimits& limits) {
    PeerOptions options;
    options.limits = limits;
    auto made = PeerTransport::Create(loop_, options);
    EXPECT_TRUE(made.ok()) << made.status();
    return std::move(*made);
  }

  // Makes server and client; the server echoes unless a path says otherwise.
  void Start(const PeerLimits& limits) {
    server_ = Make(limits);
    client_ = Make(limits);
    server_->SetHandler(
        [this](const PeerRequest& request, const PeerResponder& responder) {
          ++handled_;
          if (request.path == "/hold") {
            held_.push_back(responder);
          } else if (request.path != "/drop") {
            responder.Respond({200, request.headers, request.body});
          }
        });
  }

  // Runs the loop until `done`; fails the test if that never comes.
  void RunUntil(const std::function<bool()>& done) {
    bool expired = false;
    TimerHandle watchdog = loop_.After(kWatchdog, [&] { expired = true; });
    std::function<void()> poll = [&] {
      if (done() || expired) {
        loop_.Stop();
      } else {
        loop_.After(kPollInterval, poll);
      }
    };
    loop_.Post(poll);
    loop_.Run();
    watchdog.Cancel();
    ASSERT_FALSE(expired) << "the awaited state never came";
  }

  PeerCall StartCall(const PeerAddress& to, PeerRequest request) {
    return client_->Call(to, std::move(request), [this](PeerResult result) {
      results_.push_back(std::move(result));
    });
  }

  PeerResult CallAndWait(const PeerAddress& to, PeerRequest request) {
    StartCall(to, std::move(request));
    RunUntil([&] { return !results_.empty(); });
    if (results_.empty()) {
      return {};
    }
    PeerResult result = std::move(results_.front());
    results_.clear();
    return result;
  }

  void ExpectServes() {
    EXPECT_EQ(
        CallAndWait(server_->address(), Request("/echo", "still here")).body,
        "still here");
  }

  EventLoop loop_;
  std::vector<PeerResponder> held_;
  std::vector<PeerResult> results_;
  int handled_ = 0;
  std::unique_ptr<PeerTransport> server_;
  std::unique_ptr<PeerTransport> client_;
};

TEST_F(PeerTransportTest, AnswersWithHeadersAndBody) {
  Start({});
  PeerRequest request = Request("/echo", std::string(300'000, 'x'));
  request.headers["x-kind"] = "levelview";
  const PeerResult result = CallAndWait(server_->address(), request);
  EXPECT_EQ(result.outcome, PeerOutcome::kAnswered) << result.detail;
  EXPECT_EQ(result.status, 200);
  EXPECT_EQ(result.headers.at("x-kind"), "levelview");
  EXPECT_EQ(result.body, request.body);
}

TEST_F(PeerTransportTest, RefusesAnAddressThatIsNoIpNumber) {
  PeerOptions options;
  options.address = "localhost";
  EXPECT_EQ(PeerTransport::Create(loop_, options).status().code(),
            absl::StatusCode::kInvalidArgument);
}

TEST_F(PeerTransportTest, RefusesAPortInUse) {
  Start({});
  PeerOptions options;
  options.port = server_->address().port;
  EXPECT_EQ(PeerTransport::Create(loop_, options).status().code(),
            absl::StatusCode::kUnavailable);
}

constexpr std::size_t kCalls = 500;

TEST_F(PeerTransportTest, ManyConcurrentCallsGetTheirOwnAnswers) {
  PeerLimits limits;
  limits.max_streams_per_connection = 16;
  Start(limits);
  std::size_t right = 0;
  std::size_t done = 0;
  for (std::size_t i = 0; i < kCalls; ++i) {
    const std::string body = std::to_string(i) + std::string(i * 10, 'b');
    client_->Call(server_->address(), Request("/echo", body),
                  [&, body](const PeerResult& result) {
                    ++done;
                    right += result.body == body ? 1 : 0;
                  });
  }
  RunUntil([&] { return done == kCalls; });
  EXPECT_EQ(right, kCalls);
  EXPECT_EQ(client_->stats().connects, 1U);
  EXPECT_EQ(client_->stats().calls_answered, kCalls);
}

TEST_F(PeerTransportTest, ConnectFailureIsNotSent) {
  Start({});
  const PeerAddress address = server_->address();
  server_.reset();
  const PeerResult result = CallAndWait(address, Request("/echo"));
  EXPECT_EQ(result.outcome, PeerOutcome::kNotSent);
  EXPECT_EQ(client_->stats().connect_failures, 1U);
}

TEST_F(PeerTransportTest, RequestWithoutHandlerIsNotSent) {
  Start({});
  server_->SetHandler(nullptr);
  EXPECT_EQ(CallAndWait(server_->address(), Request("/echo")).outcome,
            PeerOutcome::kNotSent);
  EXPECT_EQ(server_->stats().requests_refused, 1U);
}

TEST_F(PeerTransportTest, DroppedResponderAnswers500) {
  Start({});
  const PeerResult result = CallAndWait(server_->address(), Request("/drop"));
  EXPECT_EQ(result.outcome, PeerOutcome::kAnswered);
  EXPECT_EQ(result.status, 500);
}

TEST_F(PeerTransportTest, ResponderAnswersOnceFromAnotherThread) {
  Start({});
  StartCall(server_->address(), Request("/hold"));
  RunUntil([&] { return held_.size() == 1; });
  bool first = false;
  bool second = true;
  std::thread worker([&] {
    first = held_[0].Respond({201, {}, "late"});
    second = held_[0].Respond({202, {}, "later"});
  });
  worker.join();
  RunUntil([&] { return !results_.empty(); });
  EXPECT_TRUE(first);
  EXPECT_FALSE(second);
  EXPECT_EQ(results_[0].status, 201);
}

TEST_F(PeerTransportTest, TimeoutAfterSendingIsUnknownAndCancelsTheHandler) {
  Start({});
  PeerRequest request = Request("/hold");
  request.timeout = Duration(50'000);
  EXPECT_EQ(CallAndWait(server_->address(), request).outcome,
            PeerOutcome::kUnknown);
  RunUntil([&] { return !held_.empty() && held_[0].cancelled(); });
  EXPECT_TRUE(held_[0].Respond({}));
  ExpectServes();
}

TEST_F(PeerTransportTest, CancelAfterSendingTellsTheHandler) {
  Start({});
  PeerCall call = StartCall(server_->address(), Request("/hold"));
  RunUntil([&] { return held_.size() == 1; });
  bool told = false;
  held_[0].OnCancel([&] { told = true; });
  call.Cancel();
  call.Cancel();
  RunUntil([&] { return told && !results_.empty(); });
  EXPECT_EQ(results_.size(), 1U);
  EXPECT_EQ(results_[0].outcome, PeerOutcome::kUnknown);
  EXPECT_EQ(server_->stats().requests_cancelled, 1U);
}

TEST_F(PeerTransportTest, AnsweredRequestReleasesItsCancelFunction) {
  Start({});
  const auto watched = std::make_shared<int>(0);
  server_->SetHandler([&](const PeerRequest&, const PeerResponder& responder) {
    responder.OnCancel([responder, watched] {});
    responder.Respond({});
  });
  CallAndWait(server_->address(), Request("/any"));
  RunUntil([&] { return watched.use_count() == 1; });
}

TEST_F(PeerTransportTest, CancelBeforeSendingIsNotSent) {
  Start({});
  PeerCall call = StartCall(server_->address(), Request("/echo"));
  call.Cancel();
  RunUntil([&] { return !results_.empty(); });
  EXPECT_EQ(results_[0].outcome, PeerOutcome::kNotSent);
  results_.clear();
  ExpectServes();
  EXPECT_EQ(handled_, 1);
}

TEST_F(PeerTransportTest, OversizedRequestIsNotSentByTheCaller) {
  Start(QuickLimits());
  const PeerResult result = CallAndWait(
      server_->address(), Request("/echo", std::string(100'001, 'x')));
  EXPECT_EQ(result.outcome, PeerOutcome::kNotSent);
  EXPECT_EQ(client_->stats().connects, 0U);
}

TEST_F(PeerTransportTest, OversizedRequestIsRefusedByTheServer) {
  Start(QuickLimits());
  client_ = Make({});
  const PeerResult body = CallAndWait(
      server_->address(), Request("/echo", std::string(200'000, 'x')));
  EXPECT_EQ(body.outcome, PeerOutcome::kNotSent);
  PeerLimits wide;
  wide.max_header_bytes = 60'000;
  client_ = Make(wide);
  PeerRequest with_headers = Request("/echo");
  with_headers.headers["x-long"] = std::string(30'000, 'h');
  EXPECT_EQ(CallAndWait(server_->address(), with_headers).outcome,
            PeerOutcome::kNotSent);
  EXPECT_EQ(handled_, 0);
  ExpectServes();
}

TEST_F(PeerTransportTest, OversizedAnswerIsUnknown) {
  Start(QuickLimits());
  server_ = Make({});
  server_->SetHandler([](const PeerRequest&, const PeerResponder& responder) {
    responder.Respond({200, {}, std::string(200'000, 'x')});
  });
  EXPECT_EQ(CallAndWait(server_->address(), Request("/big")).outcome,
            PeerOutcome::kUnknown);
}

TEST_F(PeerTransportTest, GarbageIsClosedAndDisturbsNobody) {
  Start(QuickLimits());
  const RawClient http1(server_->address());
  http1.Send("GET / HTTP/1.1\r\nhost: x\r\n\r\n");
  const RawClient frames(server_->address());
  frames.Send("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + std::string(64, '\xff'));
  RunUntil([&] { return http1.SeesClose() && frames.SeesClose(); });
  EXPECT_EQ(server_->stats().garbage, 2U);
  ExpectServes();
}

TEST_F(PeerTransportTest, SilentAndHalfHandshakesAreClosed) {
  Start(QuickLimits());
  const RawClient silent(server_->address());
  const RawClient half(server_->address());
  half.Send("PRI * HTTP/2.0\r\n");
  RunUntil([&] { return silent.SeesClose() && half.SeesClose(); });
  EXPECT_EQ(server_->stats().handshake_timeouts, 2U);
  EXPECT_EQ(server_->stats().open_incoming, 0U);
  ExpectServes();
}

TEST_F(PeerTransportTest, HalfRequestIsRefused) {
  Start(QuickLimits());
  const RawClient slow(server_->address());
  // An empty SETTINGS frame, then HEADERS of stream 1 without END_STREAM:
  // ":method: POST", ":scheme: http", ":path: /" and ":authority: a".
  slow.Send("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" +
            std::string("\0\0\0\4\0\0\0\0\0", 9) +
            std::string("\0\0\6\1\4\0\0\0\1\x83\x86\x84\1\1a", 15));
  RunUntil([&] { return server_->stats().requests_refused == 1; });
  EXPECT_EQ(handled_, 0);
  ExpectServes();
}

TEST_F(PeerTransportTest, ConnectionSilentAfterHandshakeIsClosed) {
  PeerLimits limits = QuickLimits();
  limits.max_incoming_idle = Duration(150'000);
  Start(limits);
  const RawClient silent(server_->address());
  silent.Send("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" +
              std::string("\0\0\0\4\0\0\0\0\0", 9));
  RunUntil([&] { return silent.SeesClose(); });
  EXPECT_EQ(server_->stats().dropped_silent, 1U);
}

TEST_F(PeerTransportTest, SurplusConnectionsAreClosed) {
  PeerLimits limits;
  limits.max_incoming_connections = 1;
  Start(limits);
  ExpectServes();
  const RawClient surplus(server_->address());
  RunUntil([&] { return surplus.SeesClose(); });
  EXPECT_EQ(server_->stats().rejected, 1U);
  ExpectServes();
}

TEST_F(PeerTransportTest, PeerDyingMidAnswerIsUnknown) {
  Start({});
  PeerTestRelay relay(loop_, server_->address());
  relay.CutAnswersAfter(50'000);
  const PeerResult result =
      CallAndWait(relay.address(), Request("/echo", std::string(300'000, 'x')));
  EXPECT_EQ(result.outcome, PeerOutcome::kUnknown);
  EXPECT_TRUE(result.body.empty());
}

TEST_F(PeerTransportTest, SilentConnectionIsDroppedAndANewOneWorks) {
  Start(QuickLimits());
  PeerTestRelay relay(loop_, server_->address());
  StartCall(relay.address(), Request("/hold"));
  RunUntil([&] { return held_.size() == 1; });
  relay.SilenceOpenConnections();
  RunUntil([&] { return !results_.empty(); });
  EXPECT_EQ(results_[0].outcome, PeerOutcome::kUnknown);
  EXPECT_EQ(client_->stats().dropped_ping_timeout, 1U);
  results_.clear();
  EXPECT_EQ(CallAndWait(relay.address(), Request("/echo", "new")).body, "new");
  EXPECT_EQ(relay.connections(), 2U);
}

TEST_F(PeerTransportTest, UnheardConnectionIsReplacedBeforeUse) {
  PeerLimits limits;
  limits.max_silence_before_use = Duration(0);
  limits.idle_ping_interval = kLongTimeout;
  Start(limits);
  PeerTestRelay relay(loop_, server_->address());
  StartCall(relay.address(), Request("/hold"));
  RunUntil([&] { return held_.size() == 1; });
  relay.SilenceOpenConnections();
  EXPECT_EQ(CallAndWait(relay.address(), Request("/echo", "new")).body, "new");
  EXPECT_EQ(client_->stats().connections_replaced, 1U);
}

TEST_F(PeerTransportTest, BackgroundCallTakesAnUnheardConnection) {
  PeerLimits limits;
  limits.max_silence_before_use = Duration(0);
  Start(limits);
  ExpectServes();
  PeerRequest request = Request("/echo", "again");
  request.background = true;
  EXPECT_EQ(CallAndWait(server_->address(), request).body, "again");
  EXPECT_EQ(client_->stats().connects, 1U);
}

TEST_F(PeerTransportTest, LostConnectionCancelsTheHandler) {
  Start({});
  PeerTestRelay relay(loop_, server_->address());
  StartCall(relay.address(), Request("/hold"));
  RunUntil([&] { return held_.size() == 1; });
  relay.CloseAll();
  RunUntil([&] { return held_[0].cancelled() && !results_.empty(); });
  EXPECT_EQ(results_[0].outcome, PeerOutcome::kUnknown);
}

TEST_F(PeerTransportTest, StopAcceptingFinishesWhatIsInProgress) {
  Start({});
  StartCall(server_->address(), Request("/hold"));
  RunUntil([&] { return held_.size() == 1; });
  server_->StopAccepting();
  StartCall(server_->address(), Request("/echo"));
  RunUntil([&] { return !results_.empty(); });
  EXPECT_EQ(results_[0].outcome, PeerOutcome::kNotSent);
  held_[0].Respond({200, {}, "whole"});
  RunUntil([&] { return results_.size() == 2; });
  EXPECT_EQ(results_[1].body, "whole");
  EXPECT_EQ(handled_, 1);
}

TEST_F(PeerTransportTest, HandlesMayOutliveTransportAndLoop) {
  std::optional<PeerResponder> responder;
  PeerCall call;
  {
    EventLoop loop;
    auto made = PeerTransport::Create(loop, {});
    ASSERT_TRUE(made.ok());
    PeerTransport& transport = **made;
    transport.SetHandler([&](const PeerRequest&, PeerResponder given) {
      responder = std::move(given);
      loop.Stop();
    });
    call = transport.Call(transport.address(), Request("/hold"),
                          [](const PeerResult&) {});
    loop.Run();
  }
  call.Cancel();
  ASSERT_TRUE(responder.has_value());
  EXPECT_TRUE(responder->cancelled());
  EXPECT_TRUE(responder->Respond({}));
}

// A server that answers every request with headers of the test's choice.
class FakeServer : public Http2Connection {
 public:
  FakeServer(const std::shared_ptr<PeerContext>& context,
             Socket socket,
             PeerHeaders headers)
      : Http2Connection(context, std::move(socket), Side::kServer),
        headers_(std::move(headers)) {}

  void Begin() { Start(); }

 protected:
  void OnHeader(std::int32_t, std::string_view, std::string_view) override {}
  void OnData(std::int32_t, std::string_view) override {}
  void OnFrame(const nghttp2_frame& frame) override {
    if ((frame.hd.type == NGHTTP2_HEADERS || frame.hd.type == NGHTTP2_DATA) &&
        (frame.hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
      Http2Headers fields;
      fields.Add(headers_);
      body_.bytes = "body";
      const nghttp2_data_provider provider = OutgoingBodyProvider();
      nghttp2_submit_response(session(), frame.hd.stream_id, fields.data(),
                              fields.size(), &provider);
    }
  }
  void OnStreamClosed(std::int32_t, std::uint32_t) override {}
  OutgoingBody* FindOutgoingBody(std::int32_t) override { return &body_; }
  void OnTick(heatherlever::Instant) override {}
  void OnClosed() override {}

 private:
  PeerHeaders headers_;
  OutgoingBody body_;
};

class PeerAnswerCheckTest : public PeerTransportTest {
 protected:
  // The end of a call that is answered with these headers and body "body".
  PeerResult AnswerTo(const PeerHeaders& headers) {
    Start({});
    using Tcp = asio::ip::tcp;
    Tcp::acceptor acceptor(loop_.impl()->context,
                           {asio::ip::make_address("127.0.0.1"), 0});
    const auto context = std::make_shared<PeerContext>(loop_, PeerLimits{});
    acceptor.async_accept([&](const std::error_code&, Tcp::socket socket) {
      std::make_shared<FakeServer>(context, std::move(socket), headers)
          ->Begin();
    });
    return CallAndWait({"127.0.0.1", acceptor.local_endpoint().port()},
                       Request("/any"));
  }
};

TEST_F(PeerAnswerCheckTest, AnotherExchangesAnswerIsUnknown) {
  const PeerResult result = AnswerTo({{":status", "200"},
                                      {"content-length", "4"},
                                      {"x-exchange-id", "other"}});
  EXPECT_EQ(result.outcome, PeerOutcome::kUnknown);
  EXPECT_EQ(client_->stats().exchange_mismatches, 1U);
}

TEST_F(PeerAnswerCheckTest, AnswerWithoutExchangeIsUnknown) {
  EXPECT_EQ(AnswerTo({{":status", "200"}, {"content-length", "4"}}).outcome,
            PeerOutcome::kUnknown);
  EXPECT_EQ(client_->stats().exchange_mismatches, 1U);
}

TEST_F(PeerAnswerCheckTest, AnswerOfAnotherLengthIsUnknown) {
  EXPECT_EQ(AnswerTo({{":status", "200"}, {"content-length", "5"}}).outcome,
            PeerOutcome::kUnknown);
  EXPECT_EQ(client_->stats().incomplete_answers, 1U);
}

}  // namespace
}  // namespace heathernet
