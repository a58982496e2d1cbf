#include "heatherlever/connection_limits.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <chrono>

namespace heatherlever {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr bool kIdempotent = true;
constexpr bool kNonIdempotent = false;

// Opens a connection whose first request gets a response at once.
void OpenIdle(ConnectionLimits* limits, std::uint64_t connection, Instant now) {
  ASSERT_EQ(limits->Choose(kNonIdempotent, now).action,
            ConnectionAction::kOpen);
  limits->OnOpened(connection, now);
  limits->OnFirstByte(connection, now);
  limits->OnResponse(connection, now);
}

TEST(ConnectionLimitsTest, NonIdempotentWorkNeedsARecentResponse) {
  ConnectionLimits limits(660, {});
  EXPECT_EQ(limits.limit(), 30U);
  OpenIdle(&limits, 1, Instant(0));
  EXPECT_EQ(limits.Choose(kNonIdempotent, milliseconds(1001)).action,
            ConnectionAction::kOpen);
  limits.OnOpenFailed();
  const auto choice = limits.Choose(kIdempotent, milliseconds(1001));
  EXPECT_EQ(choice.action, ConnectionAction::kReuse);
  EXPECT_EQ(choice.connection, 1U);
}

TEST(ConnectionLimitsTest, IdleConnectionsAreClosed) {
  ConnectionLimits limits(660, {});
  OpenIdle(&limits, 1, Instant(0));
  const auto choice = limits.Choose(kIdempotent, milliseconds(5001));
  EXPECT_EQ(choice.action, ConnectionAction::kOpen);
  EXPECT_EQ(choice.to_close, std::vector<std::uint64_t>{1});
}

TEST(ConnectionLimitsTest, AnUnresponsiveConnectionMakesOlderOnesSuspect) {
  ConnectionLimits limits(660, {});
  for (std::uint64_t connection : {1, 2, 3}) {
    ASSERT_EQ(limits.Choose(kIdempotent, Instant(0)).action,
              ConnectionAction::kOpen);
    limits.OnOpened(connection, Instant(0));
  }
  limits.OnResponse(1, milliseconds(10));
  // Connection 1 stops responding at 20 ms; 3 has not responded since, 2 has.
  limits.OnResponse(3, milliseconds(10));
  EXPECT_EQ(limits.Choose(kIdempotent, milliseconds(20)).connection, 1U);
  limits.OnResponse(2, milliseconds(500));
  const auto choice = limits.Choose(kIdempotent, milliseconds(2500));
  EXPECT_EQ(choice.connection, 2U);
  EXPECT_EQ(choice.to_close, std::vector<std::uint64_t>{3});
}

TEST(ConnectionLimitsTest, TheConnectionThatRespondedLastIsChosen) {
  ConnectionLimits limits(660, {});
  ASSERT_EQ(limits.Choose(kIdempotent, Instant(0)).action,
            ConnectionAction::kOpen);
  ASSERT_EQ(limits.Choose(kIdempotent, Instant(0)).action,
            ConnectionAction::kOpen);
  limits.OnOpened(1, Instant(0));
  limits.OnOpened(2, Instant(0));
  limits.OnResponse(2, milliseconds(1));
  limits.OnResponse(1, milliseconds(2));
  EXPECT_EQ(limits.Choose(kIdempotent, milliseconds(3)).connection, 1U);
}

// No request is ever sent on a busy connection, on a closed one or on one
// without a recent response, and the limit is kept.
RC_GTEST_PROP(ConnectionLimitsTest, ChoosesOnlyIdleRecentConnections, ()) {
  struct Connection {
    bool busy = true;
    Instant last_known_good{0};
  };
  const ConnectionOptions options;
  ConnectionLimits limits(4 * options.max_hosts, options);
  std::map<std::uint64_t, Connection> connections;
  std::uint64_t next = 1;
  Instant now{0};
  for (int step = 0; step < 200; ++step) {
    now += Duration(*rc::gen::inRange(0, 600'000));
    if (!connections.empty() && *rc::gen::arbitrary<bool>()) {
      const auto chosen = *rc::gen::elementOf(connections);
      if (*rc::gen::inRange(0, 4) == 0) {
        limits.OnClosed(chosen.first);
        connections.erase(chosen.first);
      } else if (chosen.second.busy) {
        limits.OnResponse(chosen.first, now);
        connections[chosen.first] = {false, now};
      }
      continue;
    }
    const bool idempotent = *rc::gen::arbitrary<bool>();
    const auto choice = limits.Choose(idempotent, now);
    for (const auto closed : choice.to_close) {
      RC_ASSERT(!connections.at(closed).busy);
      connections.erase(closed);
    }
    if (choice.action == ConnectionAction::kReuse) {
      Connection& connection = connections.at(choice.connection);
      RC_ASSERT(!connection.busy);
      RC_ASSERT(
          now - connection.last_known_good <=
          (idempotent ? options.max_idle : options.max_idle_non_idempotent));
      connection.busy = true;
    } else if (choice.action == ConnectionAction::kOpen) {
      limits.OnOpened(next, now);
      connections[next++] = {true, now};
    } else {
      RC_ASSERT(connections.size() == limits.limit());
    }
    RC_ASSERT(connections.size() <= limits.limit());
    RC_ASSERT(connections.size() == limits.size());
  }
}

}  // namespace
}  // namespace heatherlever
