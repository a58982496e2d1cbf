// Measures what it costs to share the rate limits of backend servers, by the
// number of hosts that follow a relay and of servers with a limit, and the
// requests that are suspected of crashing servers.

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cxxopts.hpp>
#include <exception>
#include <functional>
#include <string>
#include <vector>

#include "heathersteer/crash_suspect_table.h"
#include "heathersteer/limit_pool.h"
#include "heathersteer/limit_summary.h"
#include "libheathergate/relay_codec.h"

namespace {

using heatherlever::Instant;
using heathersteer::LimitPool;
using heathersteer::LimitSummary;

constexpr Instant kNow = std::chrono::seconds(100000);
// Exchanges a second while there are limits.
constexpr double kExchangesPerS = 1 / 0.45;
constexpr int kRounds = 200;
constexpr int kFollowers[] = {3, 19, 44};
constexpr int kServers[] = {10, 100, 1000};
constexpr int kSuspects[] = {1, 16, 64};

LimitSummary MakeSummary(int servers) {
  LimitSummary summary{.hosts = 1, .reports = {}};
  for (int i = 0; i < servers; ++i) {
    summary.reports.push_back(
        {.server_id = "i-" + std::to_string(1000000000 + i),
         .started_ms = 1800000000000 + i,
         .limit = 8.5,
         .observed_at = kNow - std::chrono::microseconds(123456),
         .demand = 0.125 + i % 10});
  }
  return summary;
}

double MicrosecondsPerCall(const std::function<void()>& call) {
  const auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < kRounds; ++i) {
    call();
  }
  const std::chrono::duration<double, std::micro> elapsed =
      std::chrono::steady_clock::now() - begin;
  return elapsed.count() / kRounds;
}

void Measure(int followers, int servers) {
  const LimitSummary summary = MakeSummary(servers);
  const heathergate::RelayRequest without;
  heathergate::RelayRequest with;
  with.limits = summary;
  const std::string text = EncodeRequest(with, kNow);
  const std::size_t bytes = text.size() - EncodeRequest(without, kNow).size();
  const double encode_us =
      MicrosecondsPerCall([&] { EncodeRequest(with, kNow); });
  const double decode_us =
      MicrosecondsPerCall([&] { heathergate::DecodeRequest(text, kNow); });
  LimitPool pool;
  for (int i = 0; i <= followers; ++i) {
    pool.Record(std::to_string(i), summary, kNow);
  }
  const double sum_us = MicrosecondsPerCall([&] { pool.Sum(kNow); });
  constexpr double kMicrosecondsPerS = 1e6;
  const double follower_us = encode_us + decode_us;
  const double relay_us = followers * follower_us + sum_us;
  std::printf(
      "%9d %7d %11.1f %9.2f %9.2f %9.2f %9.3f\n", followers, servers,
      static_cast<double>(bytes) / servers,
      2 * static_cast<double>(bytes) * kExchangesPerS / 1000,
      2 * static_cast<double>(bytes) * kExchangesPerS * followers / 1000,
      100 * follower_us * kExchangesPerS / kMicrosecondsPerS,
      100 * relay_us * kExchangesPerS / kMicrosecondsPerS);
}

// A message with suspects: its encoding, its decoding, and adding it to a full
// table that knows none of them.
void MeasureSuspects(int count) {
  heathersteer::CrashSuspectTable sender;
  heathersteer::CrashSuspectTable receiver;
  std::uint64_t next = UINT64_MAX / 2;
  for (int i = 0; i < 2000; ++i) {
    ++next;
    receiver.RecordCrash(next, next, kNow);
  }
  for (int i = 0; i < count; ++i) {
    ++next;
    for (std::uint64_t crash = 0; crash < 3; ++crash) {
      sender.RecordCrash(next, next * 7 + crash, kNow);
    }
  }
  heathergate::DomainReport without;
  without.domain = "north-a";
  heathergate::DomainReport with = without;
  with.suspects = sender.Since(0);
  const std::string text = EncodeDomainReport(with, kNow);
  const std::size_t bytes =
      text.size() - EncodeDomainReport(without, kNow).size();
  const double encode_us =
      MicrosecondsPerCall([&] { EncodeDomainReport(with, kNow); });
  const double decode_us =
      MicrosecondsPerCall([&] { heathergate::DecodeDomainReport(text, kNow); });
  const double merge_us = MicrosecondsPerCall([&] {
    heathersteer::CrashSuspectTable table = receiver;
    table.Merge(with.suspects, kNow);
  });
  std::printf("%8d %13.1f %9.1f %9.1f %9.1f\n", count,
              static_cast<double>(bytes) / count, encode_us, decode_us,
              merge_us);
}

int Run(int argc, char** argv) {
  cxxopts::Options options(
      "heather-bench-limits",
      "Prints bytes and processor time of sharing rate limits: followers of a "
      "relay, servers with a limit, bytes a server and message, KB/s at a "
      "follower and at the relay, and percent of a core at both. Messages "
      "between domains are left out. Then of sharing suspected requests: "
      "suspects in a message, bytes a suspect, and microseconds to encode, to "
      "decode, and to copy a full table and add them.\n");
  options.add_options()("help", "print this text");
  if (options.parse(argc, argv).count("help") != 0) {
    std::fputs(options.help().c_str(), stdout);
    return 0;
  }
  std::puts(
      "followers servers bytes/server  KB/s f.  KB/s r.  core% f.  core% r.");
  for (const int followers : kFollowers) {
    for (const int servers : kServers) {
      Measure(followers, servers);
    }
  }
  std::puts("suspects bytes/suspect encode us decode us  merge us");
  for (const int suspects : kSuspects) {
    MeasureSuspects(suspects);
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "heather-bench-limits: %s\n", error.what());
    return 2;
  }
}
