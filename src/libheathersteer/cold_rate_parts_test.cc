#include "heathersteer/cold_rate_parts.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "heathersteer/backend_server.h"
#include "heathersteer/cold_rate_limiter.h"
#include "heathersteer/placement_options.h"

namespace heathersteer {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kNow = Instant(seconds(100));
constexpr int kDomains = 4;

PlacementOptions Options(int index) {
  PlacementOptions options;
  options.host = "host" + std::to_string(index);
  options.region = "region" + std::to_string(index % kDomains / 2);
  options.domain = "domain" + std::to_string(index % kDomains);
  return options;
}

std::vector<HostLocation> Hosts(int count) {
  std::vector<HostLocation> hosts;
  for (int i = 0; i < count; ++i) {
    const PlacementOptions options = Options(i);
    hosts.push_back({options.host, options.region, options.domain});
  }
  return hosts;
}

BackendServer Server(int index) {
  BackendServer server;
  server.id = "i-" + std::to_string(index);
  server.region = "region0";
  server.domain = "domain0";
  return server;
}

ColdRateParts MakeParts(int index, int count) {
  ColdRateParts parts(Options(index));
  parts.SetHosts(Hosts(count), kNow);
  return parts;
}

TEST(ColdRatePartsTest, PartsAddUpToTheWholePartOfTheRate) {
  for (const int count : {1, 2, 9, 10, 22, 122}) {
    for (const double rate : {0.0, 0.3, 1.0, 9.7, 15.0, 300.0}) {
      for (int server = 0; server < 5; ++server) {
        int sum = 0;
        for (int i = 0; i < count; ++i) {
          const ColdRateParts parts = MakeParts(i, count);
          sum += parts.Part(rate, parts.Rank(Server(server)));
        }
        EXPECT_EQ(sum, rate < 1 ? 1 : static_cast<int>(rate));
      }
    }
  }
}

// The requests of hosts far away seldom reach the server, so their parts would
// not be used.
TEST(ColdRatePartsTest, MostPartsGoToHostsCloseToTheServer) {
  constexpr int kHosts = 24;
  constexpr double kRate = 6;
  constexpr int kServers = 50;
  std::vector<int> sums(kDomains);
  for (int i = 0; i < kHosts; ++i) {
    const ColdRateParts parts = MakeParts(i, kHosts);
    for (int server = 0; server < kServers; ++server) {
      sums[i % kDomains] += parts.Part(kRate, parts.Rank(Server(server)));
    }
  }
  EXPECT_GT(sums[0], sums[1]);
  EXPECT_GT(sums[1], sums[2]);
  EXPECT_GT(sums[1], sums[3]);
  EXPECT_GT(sums[0] + sums[1], 2 * (sums[2] + sums[3]));
}

TEST(ColdRatePartsTest, HostWithoutAListHasNoPart) {
  const ColdRateParts parts(Options(0));
  EXPECT_EQ(parts.Part(10, 0), 0);
  ColdRateLimiter limiter;
  EXPECT_EQ(limiter.TimeToSend(parts, Server(0), 10, kNow), Duration::max());
}

// A host that was restarted sent its part of a second twice.
TEST(ColdRateLimiterTest, ColdServersWaitASecondAfterTheFirstList) {
  ColdRateParts parts = MakeParts(0, 1);
  ColdRateLimiter limiter;
  BackendServer server = Server(0);
  server.cold_until = kNow + seconds(60);
  const auto time_to_send = [&](Instant now) {
    return limiter.TimeToSend(parts, server, 10, now);
  };
  EXPECT_GT(time_to_send(kNow + milliseconds(999)), Duration(0));
  EXPECT_EQ(time_to_send(kNow + seconds(1)), Duration(0));
  parts.SetHosts(Hosts(2), kNow + seconds(5));
  EXPECT_EQ(time_to_send(kNow + seconds(5)), Duration(0));
}

// Requests were rejected if servers broke connections just after the start.
TEST(ColdRateLimiterTest, FailedServersNeedNotWaitAfterTheFirstList) {
  const ColdRateParts parts = MakeParts(0, 1);
  ColdRateLimiter limiter;
  EXPECT_EQ(limiter.TimeToSend(parts, Server(0), 10, kNow), Duration(0));
  limiter.RecordSend(kNow);
  EXPECT_GT(limiter.TimeToSend(parts, Server(0), 10, kNow), Duration(0));
}

TEST(ColdRateLimiterTest, NoSecondHoldsMoreThanThePartAfterAnIdleTime) {
  const ColdRateParts parts = MakeParts(0, 1);
  for (int part = 1; part <= 300; ++part) {
    ColdRateLimiter limiter;
    limiter.RecordSend(kNow);
    Instant now = kNow + seconds(60);
    int sent = 0;
    for (const Instant end = now + seconds(1); now <= end;) {
      ASSERT_EQ(limiter.TimeToSend(parts, Server(0), part, now), Duration(0));
      limiter.RecordSend(now);
      ++sent;
      now += limiter.TimeToSend(parts, Server(0), part, now);
    }
    ASSERT_LE(sent, part);
  }
}

// A host waited for the interval of the part that it had before.
TEST(ColdRateLimiterTest, ShorterIntervalAppliesAtOnce) {
  const ColdRateParts parts = MakeParts(0, 1);
  ColdRateLimiter limiter;
  const Instant now = kNow + seconds(2);
  limiter.RecordSend(now);
  EXPECT_GT(limiter.TimeToSend(parts, Server(0), 1, now + milliseconds(501)),
            Duration(0));
  EXPECT_EQ(limiter.TimeToSend(parts, Server(0), 2, now + milliseconds(501)),
            Duration(0));
}

// The rank of a list that has changed stayed in use.
TEST(ColdRateLimiterTest, NewListAppliesAtOnce) {
  ColdRateParts parts = MakeParts(0, 1);
  ColdRateLimiter limiter;
  const Instant now = kNow + seconds(2);
  EXPECT_EQ(limiter.TimeToSend(parts, Server(0), 1, now), Duration(0));
  int with_part = 0;
  for (int server = 0; server < 20; ++server) {
    ColdRateLimiter each;
    each.TimeToSend(parts, Server(server), 1, now);
    parts.SetHosts(Hosts(8), now);
    const bool first = parts.Rank(Server(server)) == 0;
    EXPECT_EQ(each.TimeToSend(parts, Server(server), 1, now) == Duration(0),
              first);
    with_part += first ? 1 : 0;
    parts.SetHosts(Hosts(1), now);
  }
  EXPECT_LT(with_part, 20);
}

}  // namespace
}  // namespace heathersteer
