#ifndef LIBHEATHERNET_PLATFORM_TRANSPORT_H_
#define LIBHEATHERNET_PLATFORM_TRANSPORT_H_

#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>

#include "heathernet/backoff.h"
#include "heathernet/platform_settings.h"
#include "heathernet/platform_statistics.h"
#include "heathernet/rate_budget.h"

namespace heathernet {

/// Which budget a request draws on.
enum class PlatformAccess { kRead, kWrite };

/// One HTTP request to the platform.
struct PlatformRequest {
  PlatformAccess access = PlatformAccess::kRead;
  /// GET, POST or PUT.
  std::string method;
  std::string path;
  std::string body;
  std::map<std::string, std::string> headers;
};

/// One HTTP answer of the platform.
struct PlatformAnswer {
  int status = 0;
  std::string body;
  std::string etag;
};

/// Sends requests within the budgets, each on a connection of its own: a kept
/// connection may have gone silent. Safe to use from many threads.
class PlatformTransport {
 public:
  using Clock = std::chrono::steady_clock;

  explicit PlatformTransport(const PlatformSettings& settings);

  /// The deadline of a call that starts now.
  Clock::time_point CallDeadline() const;

  /// Sends once. Nothing if there was no whole answer or a server error; the
  /// request may have taken effect then. Throws PlatformError (kOverBudget)
  /// before it sends.
  std::optional<PlatformAnswer> Send(const PlatformRequest& request,
                                     Clock::time_point deadline);

  /// Sends until there is an answer; for idempotent requests. Throws
  /// PlatformError (kUnavailable, kOverBudget).
  PlatformAnswer SendUntilAnswered(const PlatformRequest& request,
                                   Clock::time_point deadline);

  /// Waits before repeat number `repeat` (from 0); false, without a wait, if
  /// the deadline comes first.
  bool WaitToRepeat(int repeat, Clock::time_point deadline);

  /// An identifier that no other write has.
  std::string NextWriteId();

  /// Changes the statistics under their lock.
  template <typename Change>
  void Count(const Change& change) {
    const std::lock_guard<std::mutex> lock(mutex_);
    change(statistics_);
  }

  PlatformStatistics statistics() const;

 private:
  void WaitForBudget(PlatformAccess access, Clock::time_point deadline);

  const PlatformSettings settings_;
  const Backoff backoff_;
  mutable std::mutex mutex_;
  RateBudget read_budget_;
  RateBudget write_budget_;
  std::mt19937_64 generator_;
  std::uint64_t write_ids_ = 0;
  PlatformStatistics statistics_;
};

}  // namespace heathernet

#endif  // LIBHEATHERNET_PLATFORM_TRANSPORT_H_
