// Explicit-state check of Lease: two candidates, one row, and every order in
// which reads, writes, lost answers, late effects, pauses and the clock can
// interleave, up to the bounds below. A pause is the clock's advance without a
// step of that candidate.

#include <gtest/gtest.h>

#include <array>
#include <deque>
#include <functional>
#include <string>
#include <unordered_set>

#include "heatherlever/lease.h"

namespace heatherlever {
namespace {

constexpr int kCandidates = 2;
constexpr int kDurationTicks = 1;

// Bounds of one exploration, over both candidates together.
struct Bounds {
  int last_tick = 0;
  int reads = 0;
  int writes = 0;
  int uses = 0;
};

constexpr Bounds kHolding = {.last_tick = 2,
                             .reads = 3,
                             .writes = 3,
                             .uses = 0};
constexpr Bounds kUsing = {.last_tick = 2, .reads = 2, .writes = 2, .uses = 2};

struct Variant {
  bool counts_from_answer = false;
  bool is_fenced = true;
};

struct Row {
  std::optional<LeaseRecord> record;
  std::int64_t version = 0;
};

enum class Phase { kIdle, kReadInFlight, kWriteInFlight, kAnswerInFlight };

struct Candidate {
  explicit Candidate(const LeaseSettings& settings)
      : lease(settings), before_write(settings) {}

  Lease lease;
  /// The lease as it was before the write in flight.
  Lease before_write;
  Phase phase = Phase::kIdle;
  Row read;
  LeaseWrite write;
  /// Version that the write made; 0 if it met another version.
  std::int64_t written_version = 0;
  /// A write whose answer was given up and that may still take effect.
  std::optional<LeaseWrite> late_write;
  /// A use of the lease between its check and its effect.
  std::optional<LeaseToken> use;
};

LeaseSettings Settings(const std::string& self) {
  LeaseSettings settings;
  settings.self = self;
  settings.duration = Duration(kDurationTicks);
  settings.renew_after = Duration(0);
  settings.drift_margin = Duration(0);
  return settings;
}

struct World {
  Instant now{0};
  Row row;
  std::array<Candidate, kCandidates> candidates = {Candidate(Settings("a")),
                                                   Candidate(Settings("b"))};
  std::int64_t last_used_generation = 0;
  bool used_out_of_order = false;
  int reads = 0;
  int writes = 0;
  int uses = 0;
  int steps = 0;
};

std::string Text(const std::optional<LeaseWrite>& write) {
  return write
             ? write->record.Encode() + std::to_string(write->expected_version)
             : "-";
}

std::string Text(const Row& row) {
  return (row.record ? row.record->Encode() : "-") +
         std::to_string(row.version);
}

std::string Text(const Candidate& candidate) {
  std::string text = candidate.lease.Dump();
  for (const std::int64_t number :
       {static_cast<std::int64_t>(candidate.phase), candidate.written_version,
        candidate.use ? candidate.use->row_version : -1,
        candidate.use ? candidate.use->generation : -1}) {
    text.append(",").append(std::to_string(number));
  }
  if (candidate.phase == Phase::kReadInFlight) {
    text += Text(candidate.read);
  }
  if (candidate.phase == Phase::kWriteInFlight) {
    text += Text(candidate.write);
  }
  return text + Text(candidate.late_write);
}

std::string Text(const World& world) {
  std::string text = std::to_string(world.now.count()) + Text(world.row);
  for (const std::int64_t number :
       {world.last_used_generation,
        std::int64_t{world.used_out_of_order ? 1 : 0},
        std::int64_t{world.reads}, std::int64_t{world.writes},
        std::int64_t{world.uses}}) {
    text.append(",").append(std::to_string(number));
  }
  for (const Candidate& candidate : world.candidates) {
    text.append("|").append(Text(candidate));
  }
  return text;
}

// The table's compare-and-swap; the new version, or 0 at another version.
std::int64_t Swap(Row& row, const LeaseWrite& write) {
  if (row.version != write.expected_version) {
    return 0;
  }
  row = {write.record, row.version + 1};
  return row.version;
}

class Explorer {
 public:
  Explorer(const Bounds& bounds, const Variant& variant)
      : bounds_(bounds), variant_(variant) {}

  /// Steps of the shortest way to a violation; 0 if there is none.
  int StepsToViolation() {
    Visit(World());
    while (!frontier_.empty()) {
      const World world = frontier_.front();
      frontier_.pop_front();
      if (Violates(world)) {
        return world.steps;
      }
      VisitNext(world);
    }
    return 0;
  }

  std::size_t states() const { return seen_.size(); }

 private:
  using Step = std::function<void(World&, Candidate&)>;

  static bool Violates(const World& world) {
    return world.used_out_of_order ||
           (world.candidates[0].lease.Holds(world.now) &&
            world.candidates[1].lease.Holds(world.now));
  }

  void Visit(const World& world) {
    if (seen_.insert(std::hash<std::string>()(Text(world))).second) {
      frontier_.push_back(world);
    }
  }

  void VisitNext(const World& world) {
    if (world.now < Instant(bounds_.last_tick)) {
      World next = world;
      ++next.steps;
      ++next.now;
      Visit(next);
    }
    // The candidates differ in name only, so the first read may be a's.
    const std::size_t active = world.reads == 0 ? 1 : kCandidates;
    for (std::size_t i = 0; i < active; ++i) {
      for (const Step& step : StepsOf(world, world.candidates[i])) {
        World next = world;
        ++next.steps;
        step(next, next.candidates[i]);
        Visit(next);
      }
    }
  }

  std::vector<Step> StepsOf(const World& world,
                            const Candidate& candidate) const {
    std::vector<Step> steps = PhaseSteps(world, candidate);
    if (candidate.late_write) {
      steps.emplace_back([](World& next, Candidate& self) {
        Swap(next.row, *self.late_write);
        self.late_write.reset();
      });
    }
    if (candidate.use) {
      steps.emplace_back(
          [this](World& next, Candidate& self) { ApplyUse(next, self); });
    } else if (world.uses < bounds_.uses) {
      steps.emplace_back([](World& next, Candidate& self) {
        self.use = self.lease.Token(next.now);
        next.uses += self.use ? 1 : 0;
      });
    }
    return steps;
  }

  std::vector<Step> PhaseSteps(const World& world,
                               const Candidate& candidate) const {
    switch (candidate.phase) {
      case Phase::kIdle:
        return IdleSteps(world);
      case Phase::kReadInFlight:
        return {[](World& next, Candidate& self) {
          self.lease.Observed(self.read.record, self.read.version, next.now);
          self.phase = Phase::kIdle;
        }};
      case Phase::kWriteInFlight:
        return {[](World& next, Candidate& self) {
                  self.written_version = Swap(next.row, self.write);
                  self.phase = Phase::kAnswerInFlight;
                },
                [](World&, Candidate& self) {
                  self.late_write = self.write;
                  self.lease.Unsettled();
                  self.phase = Phase::kIdle;
                }};
      case Phase::kAnswerInFlight:
        return {
            [this](World& next, Candidate& self) { ReceiveAnswer(next, self); },
            [](World&, Candidate& self) {
              self.lease.Unsettled();
              self.phase = Phase::kIdle;
            }};
    }
    return {};
  }

  std::vector<Step> IdleSteps(const World& world) const {
    std::vector<Step> steps;
    if (world.reads < bounds_.reads) {
      steps.emplace_back([](World& next, Candidate& self) {
        self.read = next.row;
        self.phase = Phase::kReadInFlight;
        ++next.reads;
      });
    }
    if (world.writes < bounds_.writes) {
      steps.emplace_back([](World& next, Candidate& self) {
        StartWrite(next, self, &Lease::NextWrite);
      });
      steps.emplace_back([](World& next, Candidate& self) {
        StartWrite(next, self, &Lease::Release);
      });
    }
    return steps;
  }

  static void StartWrite(World& world,
                         Candidate& self,
                         std::optional<LeaseWrite> (Lease::*start)(Instant)) {
    const Lease before_write = self.lease;
    if (const auto write = (self.lease.*start)(world.now)) {
      self.before_write = before_write;
      self.write = *write;
      self.phase = Phase::kWriteInFlight;
      ++world.writes;
    }
  }

  void ReceiveAnswer(const World& world, Candidate& self) const {
    if (variant_.counts_from_answer && self.written_version != 0 &&
        !self.write.record.holder.empty()) {
      // As if the write had been sent when its answer came.
      Lease late = self.before_write;
      if (late.NextWrite(world.now)) {
        self.lease = late;
      }
    }
    if (self.written_version != 0) {
      self.lease.Written(self.written_version);
    } else {
      self.lease.Conflicted();
    }
    self.phase = Phase::kIdle;
  }

  void ApplyUse(World& world, Candidate& self) const {
    const LeaseToken token = *self.use;
    self.use.reset();
    if (variant_.is_fenced && token.row_version != world.row.version) {
      return;
    }
    world.used_out_of_order = token.generation < world.last_used_generation;
    world.last_used_generation = token.generation;
  }

  const Bounds bounds_;
  const Variant variant_;
  std::deque<World> frontier_;
  std::unordered_set<std::size_t> seen_;
};

TEST(LeaseStatesTest, NoTwoCandidatesHoldAtOnce) {
  Explorer explorer(kHolding, {});
  EXPECT_EQ(explorer.StepsToViolation(), 0);
  std::cout << explorer.states() << " states\n";
}

TEST(LeaseStatesTest, NoUseTakesEffectAfterALaterHolders) {
  Explorer explorer(kUsing, {});
  EXPECT_EQ(explorer.StepsToViolation(), 0);
  std::cout << explorer.states() << " states\n";
}

TEST(LeaseStatesTest, CountingFromTheAnswerIsFoundBroken) {
  Explorer explorer(kHolding, {.counts_from_answer = true});
  const int steps = explorer.StepsToViolation();
  EXPECT_GT(steps, 0);
  std::cout << "broken in " << steps << " steps\n";
}

TEST(LeaseStatesTest, UseWithoutFencingIsFoundBroken) {
  Explorer explorer(kUsing, {.is_fenced = false});
  const int steps = explorer.StepsToViolation();
  EXPECT_GT(steps, 0);
  std::cout << "broken in " << steps << " steps\n";
}

}  // namespace
}  // namespace heatherlever
