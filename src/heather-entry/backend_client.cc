#include "heather-entry/backend_client.h"

#include <httplib.h>

#include <asio/post.hpp>
#include <asio/thread_pool.hpp>
#include <map>
#include <mutex>
#include <vector>

#include "heather-entry/backend_call.h"
#include "heathernet/event_loop.h"

namespace heather_entry {
namespace {

using heatherlever::AttemptResult;
using heatherlever::Duration;
using heatherlever::Instant;

constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);
constexpr Duration kCancelTimeout = std::chrono::milliseconds(500);

// Idempotent work takes a connection that was idle up to this long.
constexpr Duration kMaxIdle = std::chrono::seconds(4);

constexpr int kStatusOk = 200;

struct Connection {
  std::unique_ptr<httplib::Client> client;
  Instant last_answer{0};
};

BackendReply Failure(AttemptResult result, const std::string& detail) {
  BackendReply reply;
  reply.result = result;
  reply.detail = detail;
  return reply;
}

// Only where the connection was not made is it certain that nothing was sent.
AttemptResult ResultOf(httplib::Error error, bool timed_out) {
  if (error == httplib::Error::Connection ||
      error == httplib::Error::ConnectionTimeout) {
    return AttemptResult::kNotSent;
  }
  return timed_out ? AttemptResult::kTimeout : AttemptResult::kFailed;
}

BackendReply CheckAnswer(const BackendCall& call,
                         const httplib::Response& response) {
  if (response.get_header_value("X-Exchange-Id") != call.exchange_id) {
    return Failure(AttemptResult::kFailed, "answer to another exchange");
  }
  if (response.get_header_value("X-Not-Run") == "true") {
    return Failure(AttemptResult::kShed,
                   "not run, status " + std::to_string(response.status));
  }
  if (response.status != kStatusOk) {
    return Failure(AttemptResult::kError,
                   "status " + std::to_string(response.status));
  }
  const std::string length = response.get_header_value("Content-Length");
  if (length != std::to_string(response.body.size())) {
    return Failure(AttemptResult::kFailed, "answer of the wrong length");
  }
  BackendReply reply;
  reply.result = AttemptResult::kOk;
  reply.content_type = response.get_header_value("Content-Type");
  reply.body = response.body;
  return reply;
}

}  // namespace

class BackendClient::Impl {
 public:
  Impl(int threads, Duration connection_doubt)
      : connection_doubt_(connection_doubt),
        threads_(static_cast<std::size_t>(threads)) {}

  void Send(BackendCall call, Callback callback) {
    const Instant deadline = heathernet::EventLoop::Now() + call.remaining;
    asio::post(threads_, [this, deadline, call = std::move(call),
                          callback = std::move(callback)] {
      callback(Run(call, deadline));
    });
  }

  void Cancel(BackendCall call, Callback callback) {
    asio::post(threads_,
               [call = std::move(call), callback = std::move(callback)] {
                 callback(RunCancel(call));
               });
  }

  void Join() { threads_.join(); }

 private:
  using Key = std::pair<std::string, std::uint16_t>;

  BackendReply Run(const BackendCall& call, Instant deadline) {
    const Duration left = deadline - heathernet::EventLoop::Now();
    if (left <= Duration(0)) {
      return Failure(AttemptResult::kNotSent, "too late to send");
    }
    Connection connection = Take(call);
    connection.client->set_read_timeout(left);
    connection.client->set_write_timeout(left);
    httplib::Headers headers = {
        {"X-Exchange-Id", call.exchange_id},
        {"X-Deadline-Ms",
         std::to_string(
             std::chrono::duration_cast<std::chrono::milliseconds>(left)
                 .count())}};
    if (!call.key.empty()) {
      headers.emplace("Idempotency-Key", call.key);
    }
    const auto answer = connection.client->Post("/work/" + call.kind, headers,
                                                call.body, call.content_type);
    const Instant now = heathernet::EventLoop::Now();
    if (!answer) {
      return Failure(ResultOf(answer.error(), now >= deadline),
                     httplib::to_string(answer.error()));
    }
    BackendReply reply = CheckAnswer(call, *answer);
    if (reply.result != AttemptResult::kFailed) {
      connection.last_answer = now;
      Return(call, std::move(connection));
    }
    return reply;
  }

  static BackendReply RunCancel(const BackendCall& call) {
    httplib::Client client(call.address, call.port);
    client.set_connection_timeout(kConnectTimeout);
    client.set_read_timeout(kCancelTimeout);
    const auto answer = client.Delete("/work/" + call.exchange_id);
    if (!answer) {
      return Failure(AttemptResult::kFailed, "no answer to the cancellation");
    }
    if (answer->get_header_value("X-Not-Run") == "true") {
      return Failure(AttemptResult::kCancelled, "cancelled");
    }
    return Failure(AttemptResult::kError, "ended before the cancellation");
  }

  // The most recently used open connection, if it is fresh enough for the
  // work; otherwise a new one.
  Connection Take(const BackendCall& call) {
    const Duration limit = call.idempotent ? kMaxIdle : connection_doubt_;
    const Instant now = heathernet::EventLoop::Now();
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      std::vector<Connection>& idle = idle_[{call.address, call.port}];
      std::erase_if(idle, [now](const Connection& connection) {
        return now - connection.last_answer > kMaxIdle;
      });
      if (!idle.empty() && now - idle.back().last_answer <= limit) {
        Connection connection = std::move(idle.back());
        idle.pop_back();
        return connection;
      }
    }
    Connection connection;
    connection.client =
        std::make_unique<httplib::Client>(call.address, call.port);
    connection.client->set_keep_alive(true);
    connection.client->set_tcp_nodelay(true);
    connection.client->set_connection_timeout(kConnectTimeout);
    return connection;
  }

  void Return(const BackendCall& call, Connection connection) {
    const std::lock_guard<std::mutex> lock(mutex_);
    idle_[{call.address, call.port}].push_back(std::move(connection));
  }

  const Duration connection_doubt_;
  std::mutex mutex_;
  std::map<Key, std::vector<Connection>> idle_;
  asio::thread_pool threads_;
};

BackendClient::BackendClient(int threads, Duration connection_doubt)
    : impl_(std::make_unique<Impl>(threads, connection_doubt)) {}

BackendClient::~BackendClient() {
  impl_->Join();
}

void BackendClient::Send(BackendCall call, Callback callback) {
  impl_->Send(std::move(call), std::move(callback));
}

void BackendClient::Cancel(BackendCall call, Callback callback) {
  impl_->Cancel(std::move(call), std::move(callback));
}

}  // namespace heather_entry
