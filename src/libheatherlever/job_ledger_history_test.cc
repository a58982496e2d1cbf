// Random histories of the job ledger: without faults against a naive
// at-most-once, and with faults against the promises.

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <map>
#include <random>

#include "heather-bench-jobs/job_runner.h"

namespace heatherlever {
namespace {

using heather_bench_jobs::JobRunner;
using heather_bench_jobs::JobWorld;
using heather_bench_jobs::TrackedRequest;

constexpr std::array<const char*, 4> kHosts = {"a", "b", "c", "d"};
constexpr Duration kDeadline = std::chrono::seconds(2);
constexpr std::size_t kMembers = 3;
constexpr std::size_t kHistoryEvents = 300;
constexpr int kHistories = 10;
constexpr int kMaxHistories = 3000;
// Sum of the weights of a history's events.
constexpr std::uint32_t kWeights = 64;

TrackedRequest MakeRequest(std::uint64_t id,
                           const std::string& host,
                           std::uint64_t key,
                           std::uint64_t fingerprint) {
  TrackedRequest tracked;
  tracked.request = {id,          "p",       {"print", std::to_string(key)},
                     fingerprint, kDeadline, std::chrono::hours(1)};
  tracked.host = host;
  return tracked;
}

JobEpoch MakeEpoch(const JobWorld& world,
                   std::uint64_t number,
                   std::size_t first,
                   const PoolTerm& previous) {
  PoolAssignment pool{"p", {number, {}}, previous};
  for (std::size_t i = 0; i < kMembers; ++i) {
    const char* name = kHosts[(first + i) % kHosts.size()];
    pool.term.members.push_back(world.host(name).id);
  }
  return {number, 1, {pool}};
}

// A single map of keys: what the ledger has to equal as long as nothing fails.
class NaiveLedger {
 public:
  std::string Run(std::uint64_t key, std::uint64_t fingerprint, bool shed) {
    const auto known = done_.find(key);
    if (known != done_.end()) {
      return known->second == fingerprint ? "done" : "not-run";
    }
    if (shed) {
      return "not-run";
    }
    done_[key] = fingerprint;
    return "done";
  }

 private:
  std::map<std::uint64_t, std::uint64_t> done_;
};

RC_GTEST_PROP(JobLedgerHistory, EqualsANaiveLedgerWithoutFaults, ()) {
  JobWorld world;
  for (const char* name : kHosts) {
    world.AddHost(name, {});
  }
  std::vector<JobEpoch> epochs = {MakeEpoch(world, 1, 0, {})};
  const auto install = [&] {
    for (const char* name : kHosts) {
      world.Install(name, epochs.back());
    }
  };
  install();
  JobRunner runner(world);
  NaiveLedger naive;
  const auto codes = *rc::gen::container<std::vector<std::uint32_t>>(
      rc::gen::arbitrary<std::uint32_t>());
  for (std::uint64_t id = 1; id <= codes.size(); ++id) {
    const std::uint32_t code = codes[id - 1];
    const std::uint64_t key = code % 5;
    const std::uint64_t fingerprint = code / 8 % 4 == 0 ? 2 : 1;
    const bool shed = code / 32 % 3 == 0;
    if (code / 128 % 8 == 0) {
      const PoolTerm previous = epochs.back().pools.front().term;
      epochs.push_back(MakeEpoch(world, epochs.size() + 1, code, previous));
      install();
    }
    runner.backend_outcome = shed ? JobOutcome::kNotRun : JobOutcome::kDone;
    world.Track(
        MakeRequest(id, kHosts[code / 1024 % kHosts.size()], key, fingerprint));
    runner.Run();
    const auto outcome = world.requests().at(id).outcome;
    RC_ASSERT(outcome.has_value());
    RC_ASSERT(JobOutcomeName(*outcome) == naive.Run(key, fingerprint, shed));
  }
  RC_ASSERT(world.violations().empty());
}

// Applies one random event a code.
class FaultyHistory {
 public:
  explicit FaultyHistory(const JobLedgerFaults& faults) {
    JobLedgerOptions options;
    options.faults = faults;
    for (const char* name : kHosts) {
      world_.AddHost(name, options);
    }
    epochs_.push_back(MakeEpoch(world_, 1, 0, {}));
    for (const char* name : kHosts) {
      world_.Install(name, epochs_.front());
    }
  }

  void Apply(std::uint32_t code) {
    struct Event {
      std::uint32_t weight;
      void (FaultyHistory::*apply)(std::uint32_t);
    };
    static constexpr std::array<Event, 10> kEvents = {
        {{6, &FaultyHistory::Submit},
         {30, &FaultyHistory::Deliver},
         {8, &FaultyHistory::Dispatch},
         {6, &FaultyHistory::Finish},
         {6, &FaultyHistory::Install},
         {2, &FaultyHistory::PassTime},
         {1, &FaultyHistory::WriteEpoch},
         {1, &FaultyHistory::Restart},
         {1, &FaultyHistory::Leave},
         {3, &FaultyHistory::Duplicate}}};
    std::uint32_t pick = code % kWeights;
    for (const Event& event : kEvents) {
      if (pick < event.weight) {
        (this->*event.apply)(code / kWeights);
        return;
      }
      pick -= event.weight;
    }
  }

  // Every request that reached a host has its answer after its deadline.
  bool AllFinish() {
    for (const char* name : kHosts) {
      world_.SetClock(name, world_.host(name).now + 2 * kDeadline);
    }
    for (const auto& [id, tracked] : world_.requests()) {
      if (tracked.submitted && !tracked.outcome) {
        return false;
      }
    }
    return true;
  }

  const JobWorld& world() const { return world_; }

 private:
  static std::string HostOf(std::uint32_t code) {
    return kHosts[code % kHosts.size()];
  }

  void Submit(std::uint32_t code) {
    for (const auto& [id, tracked] : world_.requests()) {
      if (!tracked.submitted && !tracked.outcome) {
        world_.Submit(id);
        return;
      }
    }
    const std::uint64_t id = world_.requests().size() + 1;
    TrackedRequest tracked =
        MakeRequest(id, HostOf(code), code / kHosts.size() % 3, 1);
    tracked.depose = code % 7 < 3;
    world_.Track(tracked);
    world_.Submit(id);
  }

  void Deliver(std::uint32_t code) {
    auto& network = world_.network();
    if (!network.empty()) {
      const std::size_t index = code % network.size();
      const JobWorld::PacketPtr packet = network[index];
      network.erase(network.begin() + static_cast<std::ptrdiff_t>(index));
      world_.Deliver(*packet);
    }
  }

  void Duplicate(std::uint32_t code) {
    auto& network = world_.network();
    if (!network.empty()) {
      const JobWorld::PacketPtr packet = network[code % network.size()];
      world_.Deliver(*packet);
    }
  }

  void Dispatch(std::uint32_t code) {
    const std::size_t count = world_.queue().size();
    for (std::size_t i = 0; i < count; ++i) {
      const std::size_t index = (i + code) % count;
      if (world_.queue()[index].allowed) {
        world_.Dispatch(index);
        return;
      }
    }
  }

  void Finish(std::uint32_t code) {
    if (!world_.running().empty()) {
      world_.Finish(code / 4 % world_.running().size(),
                    code % 4 == 0 ? JobOutcome::kNotRun : JobOutcome::kDone);
    }
  }

  void Install(std::uint32_t code) {
    world_.Install(HostOf(code), epochs_[code / 4 % epochs_.size()]);
  }

  void WriteEpoch(std::uint32_t code) {
    const PoolTerm previous = epochs_.back().pools.front().term;
    epochs_.push_back(MakeEpoch(world_, epochs_.size() + 1, code, previous));
  }

  void Restart(std::uint32_t code) { world_.Restart(HostOf(code)); }

  void PassTime(std::uint32_t code) {
    const std::string host = HostOf(code);
    const Duration step = code % 16 == 15 ? kDeadline : kDeadline / 16;
    world_.SetClock(host, world_.host(host).now + step);
  }

  void Leave(std::uint32_t code) { world_.Leave(HostOf(code)); }

  JobWorld world_;
  std::vector<JobEpoch> epochs_;
};

RC_GTEST_PROP(JobLedgerHistory, KeepsItsPromisesUnderFaults, ()) {
  for (int i = 0; i < kHistories; ++i) {
    FaultyHistory history({});
    const auto codes = *rc::gen::container<std::vector<std::uint32_t>>(
        kHistoryEvents,
        rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>()));
    for (const std::uint32_t code : codes) {
      history.Apply(code);
    }
    RC_ASSERT(history.world().violations().empty());
    RC_ASSERT(history.AllFinish());
    RC_ASSERT(history.world().violations().empty());
  }
}

// Seeds of random histories until one breaks a promise.
int HistoriesUntilBroken(const JobLedgerFaults& faults) {
  for (int seed = 0; seed < kMaxHistories; ++seed) {
    std::mt19937 random(static_cast<std::uint32_t>(seed));
    FaultyHistory history(faults);
    for (std::size_t i = 0; i < kHistoryEvents; ++i) {
      history.Apply(static_cast<std::uint32_t>(random()));
    }
    if (!history.world().violations().empty()) {
      return seed + 1;
    }
  }
  return kMaxHistories;
}

TEST(JobLedgerHistory, FindsPlantedFaults) {
  JobLedgerFaults no_quorum;
  no_quorum.dispatch_without_quorum = true;
  EXPECT_LT(HistoriesUntilBroken(no_quorum), 1000);
  JobLedgerFaults restart;
  restart.serve_after_restart = true;
  EXPECT_LT(HistoriesUntilBroken(restart), 1000);
  JobLedgerFaults no_take_over;
  no_take_over.skip_take_over = true;
  EXPECT_LT(HistoriesUntilBroken(no_take_over), 1000);
  EXPECT_EQ(HistoriesUntilBroken({}), kMaxHistories);
}

}  // namespace
}  // namespace heatherlever
