#include "heathernet/platform_client.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include "heather-standin/platform_server.h"
#include "heathernet/config_store.h"
#include "heathernet/platform_error.h"

namespace heathernet {
namespace {

using heather_standin::PlatformServer;
using heatherlever::HostRecord;

constexpr char kAddress[] = "127.0.0.1";
constexpr double kUnlimited = 1e6;
constexpr int kWriters = 6;
constexpr int kCallsPerWriter = 60;
constexpr int kOperators = 8;

class PlatformClientTest : public testing::Test {
 protected:
  PlatformClientTest() : port_(server_.Start(kAddress, 0)) {}

  PlatformSettings Settings(const std::string& client_id) const {
    PlatformSettings settings;
    settings.address = kAddress;
    settings.port = port_;
    settings.client_id = client_id;
    settings.call_deadline = std::chrono::seconds(20);
    settings.answer_timeout = std::chrono::seconds(5);
    settings.backoff_base = std::chrono::milliseconds(1);
    settings.backoff_limit = std::chrono::milliseconds(4);
    settings.reads_per_second = settings.writes_per_second = kUnlimited;
    settings.read_burst = settings.write_burst = kUnlimited;
    return settings;
  }

  static std::unique_ptr<PlatformClient> Make(
      const PlatformSettings& settings) {
    return PlatformClient::Create(settings).value();
  }

  PlatformServer server_;
  const std::uint16_t port_;
};

TEST_F(PlatformClientTest, SettingsWithoutClientIdAreRefused) {
  EXPECT_FALSE(PlatformClient::Create(Settings("")).ok());
}

TEST_F(PlatformClientTest, SwapHoldsOnlyAtTheExpectedVersion) {
  const auto client = Make(Settings("a"));
  EXPECT_EQ(client->Get("k"), std::nullopt);
  const WriteResult first = client->CompareAndSwap("k", kAbsentVersion, "1");
  ASSERT_EQ(first.status, WriteStatus::kWritten);
  EXPECT_EQ(client->CompareAndSwap("k", kAbsentVersion, "2").status,
            WriteStatus::kConflict);
  const auto row = client->Get("k");
  EXPECT_EQ(row->value, "1");
  EXPECT_EQ(row->version, first.version);
  EXPECT_EQ(client->CompareAndSwap("k", first.version, "2").status,
            WriteStatus::kWritten);
}

TEST_F(PlatformClientTest, SwapHoldsOnlyWhileItsGuardsHold) {
  const auto client = Make(Settings("a"));
  const auto lease = client->CompareAndSwap("lease", kAbsentVersion, "1");
  const TableGuard guard{"lease", lease.version};
  const auto first =
      client->CompareAndSwap("k", kAbsentVersion, "1", {}, {guard});
  EXPECT_EQ(first.status, WriteStatus::kWritten);
  client->CompareAndSwap("lease", lease.version, "2");
  server_.SetFaults({{"lose_next_answers", 1}});
  EXPECT_EQ(client->CompareAndSwap("k", first.version, "2", {}, {guard}).status,
            WriteStatus::kConflict);
  EXPECT_EQ(client->Get("k")->value, "1");
}

TEST_F(PlatformClientTest, PrefixListsItsKeysOnly) {
  const auto client = Make(Settings("a"));
  for (const char* key : {"p/1", "p/2", "q/1", "p0"}) {
    client->CompareAndSwap(key, kAbsentVersion, key);
  }
  const auto rows = client->ListPrefix("p/");
  ASSERT_EQ(rows.size(), 2U);
  EXPECT_EQ(rows.at("p/1").value, "p/1");
  EXPECT_EQ(rows.at("p/2").value, "p/2");
}

TEST_F(PlatformClientTest, LostAnswerOfAnEffectiveWriteIsWritten) {
  const auto client = Make(Settings("a"));
  server_.SetFaults({{"lose_next_answers", 1}});
  const WriteResult result = client->CompareAndSwap("k", kAbsentVersion, "1");
  EXPECT_EQ(result.status, WriteStatus::kWritten);
  EXPECT_EQ(result.version, client->Get("k")->version);
  EXPECT_EQ(client->statistics().settled_written, 1U);
  EXPECT_EQ(server_.Statistics()["writes"], 1);
}

TEST_F(PlatformClientTest, LostAnswerOfAFailedCompareIsAConflict) {
  const auto client = Make(Settings("a"));
  client->CompareAndSwap("k", kAbsentVersion, "1");
  server_.SetFaults({{"lose_next_answers", 1}});
  EXPECT_EQ(client->CompareAndSwap("k", kAbsentVersion, "2").status,
            WriteStatus::kConflict);
  EXPECT_EQ(client->statistics().settled_conflict, 1U);
}

TEST_F(PlatformClientTest, OutageIsUnavailableAndEndsByTheDeadline) {
  PlatformSettings settings = Settings("a");
  settings.call_deadline = std::chrono::milliseconds(50);
  const auto client = Make(settings);
  server_.SetFaults({{"down", true}});
  EXPECT_EQ(client->CompareAndSwap("k", kAbsentVersion, "1").status,
            WriteStatus::kUnavailable);
  EXPECT_THROW(client->Get("k"), PlatformError);
  EXPECT_THROW(client->HostList(), PlatformError);
  server_.SetFaults({{"down", false}});
  EXPECT_EQ(client->Get("k"), std::nullopt);
}

TEST_F(PlatformClientTest, SlowAnswersBeyondTheTimeoutAreUnavailable) {
  PlatformSettings settings = Settings("a");
  settings.call_deadline = std::chrono::milliseconds(60);
  settings.answer_timeout = std::chrono::milliseconds(20);
  const auto client = Make(settings);
  server_.SetFaults({{"delay_ms", 2'000}});
  EXPECT_THROW(client->Get("k"), PlatformError);
  server_.SetFaults({{"delay_ms", 0}});
}

TEST_F(PlatformClientTest, CallsBeyondTheBudgetSendNothing) {
  PlatformSettings settings = Settings("a");
  settings.reads_per_second = 0.001;
  settings.read_burst = 2;
  const auto client = Make(settings);
  client->Get("k");
  client->Get("k");
  try {
    client->Get("k");
    FAIL() << "the third read is over the budget";
  } catch (const PlatformError& error) {
    EXPECT_EQ(error.kind(), PlatformError::Kind::kOverBudget);
  }
  EXPECT_EQ(server_.Statistics()["reads"], 2);
}

// Racing writers count up a row while answers are lost. Every value that was
// ever stored is one more than the one before, so the last value is the number
// of writes that took effect; it has to equal the writes reported as such.
TEST_F(PlatformClientTest, ReportedWritesEqualTheWritesThatTookEffect) {
  std::atomic<int> written = 0;
  std::atomic<int> unavailable = 0;
  std::vector<std::thread> writers;
  writers.reserve(kWriters);
  for (int writer = 0; writer < kWriters; ++writer) {
    writers.emplace_back([&, writer] {
      PlatformSettings settings = Settings("w" + std::to_string(writer));
      settings.seed = static_cast<std::uint64_t>(writer);
      const auto client = Make(settings);
      for (int call = 0; call < kCallsPerWriter; ++call) {
        const auto row = client->Get("counter");
        const int value = row ? std::stoi(row->value) : 0;
        server_.SetFaults({{"lose_next_answers", call % 3}});
        const WriteResult result = client->CompareAndSwap(
            "counter", row ? row->version : kAbsentVersion,
            std::to_string(value + 1));
        written += result.status == WriteStatus::kWritten ? 1 : 0;
        unavailable += result.status == WriteStatus::kUnavailable ? 1 : 0;
      }
    });
  }
  for (std::thread& writer : writers) {
    writer.join();
  }
  EXPECT_EQ(unavailable, 0);
  EXPECT_GT(server_.Statistics()["lost_answers"], 0);
  server_.SetFaults({{"lose_next_answers", 0}});
  EXPECT_EQ(Make(Settings("reader"))->Get("counter")->value,
            std::to_string(written));
}

TEST_F(PlatformClientTest, ObjectsAreReplacedAtTheExpectedTagOnly) {
  const auto client = Make(Settings("a"));
  EXPECT_EQ(client->GetObject("bucket/o"), std::nullopt);
  EXPECT_EQ(client->ReplaceObject("bucket/o", "1", ""), WriteStatus::kWritten);
  EXPECT_EQ(client->ReplaceObject("bucket/o", "2", ""), WriteStatus::kConflict);
  const auto object = client->GetObject("bucket/o");
  EXPECT_EQ(object->body, "1");
  server_.SetFaults({{"lose_next_answers", 1}});
  EXPECT_EQ(client->ReplaceObject("bucket/o", "2", object->etag),
            WriteStatus::kWritten);
  server_.SetFaults({{"lose_next_answers", 1}});
  const std::string etag = client->PutObject("bucket/o", "3");
  EXPECT_EQ(client->GetObject("bucket/o"), (StoredObject{"3", etag}));
}

TEST_F(PlatformClientTest, HostListShowsRegisteredAndLeavingHosts) {
  const auto client = Make(Settings("a"));
  HostRecord host{"suva-1", 7, "127.0.0.1", 80, 81, "suva", "d1", false};
  client->Register(host);
  EXPECT_EQ(client->HostList(), std::vector<HostRecord>{host});
  client->MarkLeaving(host.name);
  host.leaving = true;
  EXPECT_EQ(client->HostList(), std::vector<HostRecord>{host});
  client->Deregister(host.name);
  client->Deregister(host.name);
  EXPECT_TRUE(client->HostList().empty());
}

TEST_F(PlatformClientTest, HostListLags) {
  const auto client = Make(Settings("a"));
  server_.SetFaults({{"list_lag_ms", 3'600'000}});
  client->Register({"suva-1", 7, "127.0.0.1", 80, 81, "suva", "d1", false});
  EXPECT_TRUE(client->HostList().empty());
  server_.SetFaults({{"list_lag_ms", 0}});
  EXPECT_EQ(client->HostList().size(), 1U);
}

TEST_F(PlatformClientTest, ConfigurationVersionsAreKept) {
  const auto client = Make(Settings("a"));
  ConfigStore store(*client);
  EXPECT_EQ(store.Newest(), std::nullopt);
  EXPECT_EQ(store.Publish(0, "one").version, 1);
  EXPECT_EQ(store.Publish(0, "lost").status, WriteStatus::kConflict);
  server_.SetFaults({{"lose_next_answers", 1}});
  EXPECT_EQ(store.Publish(1, "two").version, 2);
  EXPECT_EQ(store.Newest()->yaml, "two");
  EXPECT_EQ(store.Fetch(1)->yaml, "one");
  EXPECT_EQ(store.Fetch(2), store.Newest());
  EXPECT_EQ(store.Fetch(3), std::nullopt);
  EXPECT_EQ(store.Fetch(1)->digest, ConfigStore::Digest("one"));
}

TEST_F(PlatformClientTest, RacingOperatorsGetOneWinner) {
  std::atomic<int> written = 0;
  std::atomic<int> conflicts = 0;
  std::vector<std::thread> operators;
  operators.reserve(kOperators);
  for (int i = 0; i < kOperators; ++i) {
    operators.emplace_back([&, i] {
      const auto client = Make(Settings("o" + std::to_string(i)));
      const WriteResult result =
          ConfigStore(*client).Publish(0, "by " + std::to_string(i));
      written += result.status == WriteStatus::kWritten ? 1 : 0;
      conflicts += result.status == WriteStatus::kConflict ? 1 : 0;
    });
  }
  for (std::thread& thread : operators) {
    thread.join();
  }
  EXPECT_EQ(written, 1);
  EXPECT_EQ(conflicts, kOperators - 1);
}

}  // namespace
}  // namespace heathernet
