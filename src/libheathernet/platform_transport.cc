#include "platform_transport.h"

#include <httplib.h>

#include <algorithm>
#include <thread>

#include "heathernet/platform_error.h"

namespace heathernet {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;

constexpr int kServerError = 500;
constexpr int kTooManyRequests = 429;

Instant Now() {
  return std::chrono::duration_cast<Instant>(
      PlatformTransport::Clock::now().time_since_epoch());
}

Duration TimeUntil(PlatformTransport::Clock::time_point deadline) {
  return std::chrono::duration_cast<Duration>(deadline -
                                              PlatformTransport::Clock::now());
}

httplib::Request HttpRequest(const PlatformRequest& request) {
  httplib::Request http;
  http.method = request.method;
  http.path = request.path;
  http.body = request.body;
  http.headers = {request.headers.begin(), request.headers.end()};
  if (!http.has_header("Content-Type") && request.method != "GET") {
    http.set_header("Content-Type", "application/json");
  }
  return http;
}

}  // namespace

PlatformTransport::PlatformTransport(const PlatformSettings& settings)
    : settings_(settings),
      backoff_(settings.backoff_base, settings.backoff_limit),
      read_budget_(settings.reads_per_second, settings.read_burst),
      write_budget_(settings.writes_per_second, settings.write_burst),
      generator_(settings.seed) {}

PlatformTransport::Clock::time_point PlatformTransport::CallDeadline() const {
  return Clock::now() + settings_.call_deadline;
}

std::optional<PlatformAnswer> PlatformTransport::Send(
    const PlatformRequest& request,
    Clock::time_point deadline) {
  WaitForBudget(request.access, deadline);
  const Duration timeout =
      std::clamp(TimeUntil(deadline), Duration(1), settings_.answer_timeout);
  httplib::Client client(settings_.address, settings_.port);
  client.set_tcp_nodelay(true);
  client.set_connection_timeout(timeout);
  client.set_read_timeout(timeout);
  client.set_write_timeout(timeout);
  const httplib::Result result = client.send(HttpRequest(request));
  if (!result || result->status >= kServerError ||
      result->status == kTooManyRequests) {
    Count([](PlatformStatistics& counts) { ++counts.failed_requests; });
    return std::nullopt;
  }
  return PlatformAnswer{result->status, result->body,
                        result->get_header_value("ETag")};
}

PlatformAnswer PlatformTransport::SendUntilAnswered(
    const PlatformRequest& request,
    Clock::time_point deadline) {
  for (int repeat = 0;; ++repeat) {
    if (auto answer = Send(request, deadline)) {
      return *answer;
    }
    if (!WaitToRepeat(repeat, deadline)) {
      throw PlatformError(PlatformError::Kind::kUnavailable,
                          request.method + " " + request.path +
                              " found no answer before its deadline");
    }
  }
}

bool PlatformTransport::WaitToRepeat(int repeat, Clock::time_point deadline) {
  Duration delay{0};
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    delay = backoff_.Delay(repeat, generator_);
  }
  if (delay >= TimeUntil(deadline)) {
    return false;
  }
  std::this_thread::sleep_for(delay);
  return true;
}

std::string PlatformTransport::NextWriteId() {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++write_ids_;
  return settings_.client_id + "-" + std::to_string(write_ids_) + "-" +
         std::to_string(generator_());
}

PlatformStatistics PlatformTransport::statistics() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return statistics_;
}

void PlatformTransport::WaitForBudget(PlatformAccess access,
                                      Clock::time_point deadline) {
  std::optional<Duration> wait;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const bool read = access == PlatformAccess::kRead;
    wait =
        (read ? read_budget_ : write_budget_).Take(Now(), TimeUntil(deadline));
    if (wait) {
      ++(read ? statistics_.reads : statistics_.writes);
    } else {
      ++statistics_.over_budget;
    }
  }
  if (!wait) {
    throw PlatformError(PlatformError::Kind::kOverBudget,
                        "the budget allows no request before the deadline");
  }
  std::this_thread::sleep_for(*wait);
}

}  // namespace heathernet
