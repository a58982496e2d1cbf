#include "heatherlever/membership.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <string>

#include "heatherlever/membership_fleet.h"

namespace heatherlever {
namespace {

constexpr Duration kSecond{1'000'000};

std::string Name(int index) {
  return "host-" + std::to_string(index);
}

// A host of three regions with two failure domains each.
void AddHost(MembershipFleet& fleet, int index) {
  fleet.Add(Name(index), "region-" + std::to_string(index % 3),
            "domain-" + std::to_string(index % 6));
}

class MembershipTest : public ::testing::Test {
 protected:
  void Start(int hosts) {
    for (int i = 0; i < hosts; ++i) {
      AddHost(fleet_, i);
    }
    fleet_.DeliverList();
    fleet_.RunFor(20 * kSecond);
  }

  MemberState StateOf(int host, int observer) {
    return fleet_.View(Name(observer)).at(Name(host));
  }

  MembershipFleet fleet_{{}, 1};
};

TEST_F(MembershipTest, CreateChecksItsInput) {
  MemberRecord self;
  self.id = "a";
  EXPECT_FALSE(Membership::Create({}, self, 1, Instant(0)).ok());
  self.version.incarnation = 1;
  EXPECT_TRUE(Membership::Create({}, self, 1, Instant(0)).ok());
  MembershipOptions options;
  options.probe_interval = Duration(0);
  EXPECT_FALSE(Membership::Create(options, self, 1, Instant(0)).ok());
}

TEST_F(MembershipTest, AllHostsBecomeAliveEverywhere) {
  Start(12);
  for (int observer = 0; observer < 12; ++observer) {
    for (int host = 0; host < 12; ++host) {
      EXPECT_EQ(StateOf(host, observer), MemberState::kAlive);
    }
  }
}

TEST_F(MembershipTest, KilledHostIsDeadEverywhereAndForgottenOffTheList) {
  Start(12);
  fleet_.Kill(Name(3));
  fleet_.RunFor(20 * kSecond);
  EXPECT_EQ(StateOf(3, 0), MemberState::kDead);
  EXPECT_EQ(StateOf(3, 11), MemberState::kDead);
  fleet_.Unlist(Name(3));
  fleet_.DeliverList();
  fleet_.RunFor(20 * kSecond);
  EXPECT_EQ(fleet_.View(Name(0)).count(Name(3)), 0U);
}

TEST_F(MembershipTest, RestartedHostIsAliveWithItsHigherIncarnation) {
  Start(8);
  fleet_.Restart(Name(2));
  fleet_.RunFor(10 * kSecond);
  for (int observer = 0; observer < 8; ++observer) {
    const auto* member = fleet_.Find(Name(observer))->table().Find(Name(2));
    EXPECT_EQ(member->record.version.incarnation, 2U);
    EXPECT_EQ(member->state(), MemberState::kAlive);
  }
}

TEST_F(MembershipTest, AnnouncedLeaveIsKnownWithinASecondAndStays) {
  Start(20);
  fleet_.Leave(Name(4));
  fleet_.RunFor(kSecond);
  for (int observer = 0; observer < 20; ++observer) {
    EXPECT_EQ(StateOf(4, observer), MemberState::kLeaving);
  }
  fleet_.Kill(Name(4));
  fleet_.RunFor(20 * kSecond);
  EXPECT_EQ(StateOf(4, 0), MemberState::kLeaving);
  fleet_.Restart(Name(4));
  fleet_.RunFor(10 * kSecond);
  EXPECT_EQ(StateOf(4, 0), MemberState::kAlive);
}

TEST_F(MembershipTest, ListedLeavingHoldsUntilARestart) {
  Start(6);
  fleet_.ListAsLeaving(Name(1));
  fleet_.DeliverList();
  EXPECT_EQ(StateOf(1, 0), MemberState::kLeaving);
  fleet_.Restart(Name(1));
  fleet_.RunFor(10 * kSecond);
  EXPECT_EQ(StateOf(1, 0), MemberState::kAlive);
}

TEST_F(MembershipTest, FrozenHostIsDeadThenNoticesItsPauseAndReturns) {
  Start(12);
  Duration pause{};
  fleet_.set_action_sink(
      [&](const std::string& host, const MembershipAction& action) {
        if (const auto* own = std::get_if<OwnPause>(&action)) {
          EXPECT_EQ(host, Name(5));
          pause = std::max(pause, own->length);
        }
      });
  fleet_.Freeze(Name(5));
  fleet_.RunFor(20 * kSecond);
  EXPECT_EQ(StateOf(5, 0), MemberState::kDead);
  fleet_.Thaw(Name(5));
  fleet_.RunFor(20 * kSecond);
  EXPECT_GE(pause, 19 * kSecond);
  for (int observer = 0; observer < 12; ++observer) {
    EXPECT_EQ(StateOf(5, observer), MemberState::kAlive);
    EXPECT_EQ(StateOf(observer, 5), MemberState::kAlive);
  }
}

TEST_F(MembershipTest, OneWayCutOfAPairIsNoDeathButUnreachable) {
  Start(12);
  fleet_.Watch(Name(0), {Name(7)});
  fleet_.Watch(Name(7), {Name(0)});
  std::map<std::string, bool> reachable;
  bool suspected = false;
  fleet_.set_action_sink(
      [&](const std::string& host, const MembershipAction& action) {
        if (const auto* change = std::get_if<ReachabilityChanged>(&action)) {
          reachable[host] = change->reachable;
        }
        suspected = suspected || std::holds_alternative<MemberChanged>(action);
      });
  fleet_.Cut(Name(0), Name(7));
  fleet_.RunFor(30 * kSecond);
  EXPECT_FALSE(suspected);
  EXPECT_EQ(reachable,
            (std::map<std::string, bool>{{Name(0), false}, {Name(7), false}}));
  EXPECT_FALSE(fleet_.Find(Name(0))->Reachable(Name(7)));
  fleet_.Heal(Name(0), Name(7));
  fleet_.RunFor(5 * kSecond);
  EXPECT_TRUE(fleet_.Find(Name(0))->Reachable(Name(7)));
}

TEST_F(MembershipTest, WatchedHostIsSuspectedSoonerThanOthers) {
  Start(12);
  fleet_.Watch(Name(0), {Name(7)});
  fleet_.RunFor(2 * kSecond);
  fleet_.Kill(Name(7));
  fleet_.RunFor(Duration(2'200'000));
  EXPECT_EQ(StateOf(7, 0), MemberState::kSuspect);
}

// The announcement may be lost, and who got it by another way is up to chance.
TEST(MembershipCutTest, LeaveAnnouncedBehindACutIsKnownAfterIt) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    MembershipFleet fleet({}, seed);
    AddHost(fleet, 0);
    AddHost(fleet, 1);
    fleet.DeliverList();
    fleet.RunFor(10 * kSecond);
    fleet.Cut(Name(0), Name(1));
    fleet.RunFor(static_cast<std::int64_t>(seed % 5) * kSecond);
    fleet.Leave(Name(0));
    fleet.RunFor(20 * kSecond);
    EXPECT_EQ(fleet.View(Name(1)).at(Name(0)), MemberState::kDead);
    fleet.Heal(Name(0), Name(1));
    fleet.RunFor(60 * kSecond);
    EXPECT_EQ(fleet.View(Name(1)).at(Name(0)), MemberState::kLeaving)
        << "seed " << seed;
  }
}

// Cuts region 0 off, heals the cut, and expects all to be alive to all.
void ExpectCutHeals(MembershipFleet& fleet) {
  const auto every_pair = [&](auto apply) {
    for (int i = 0; i < 12; ++i) {
      for (int j = 0; j < 12; ++j) {
        if ((i % 3 == 0) != (j % 3 == 0)) {
          apply(Name(i), Name(j));
        }
      }
    }
  };
  every_pair([&](const auto& from, const auto& to) { fleet.Cut(from, to); });
  fleet.RunFor(60 * kSecond);
  EXPECT_EQ(fleet.View(Name(1)).at(Name(0)), MemberState::kDead);
  EXPECT_EQ(fleet.View(Name(0)).at(Name(1)), MemberState::kDead);
  EXPECT_EQ(fleet.View(Name(0)).at(Name(3)), MemberState::kAlive);
  every_pair([&](const auto& from, const auto& to) { fleet.Heal(from, to); });
  fleet.RunFor(60 * kSecond);
  for (int observer = 0; observer < 12; ++observer) {
    for (int host = 0; host < 12; ++host) {
      EXPECT_EQ(fleet.View(Name(observer)).at(Name(host)), MemberState::kAlive);
    }
  }
}

TEST_F(MembershipTest, BothSidesOfAHealedCutComeTogether) {
  Start(12);
  ExpectCutHeals(fleet_);
}

TEST(MembershipBulkTest, BothSidesOfAHealedCutComeTogetherByComparison) {
  MembershipOptions options;
  options.max_news_per_message = 1;
  MembershipFleet fleet(options, 1);
  for (int i = 0; i < 12; ++i) {
    AddHost(fleet, i);
  }
  fleet.DeliverList();
  fleet.RunFor(30 * kSecond);
  ExpectCutHeals(fleet);
}

TEST_F(MembershipTest, RestartedHostDoesNotPassTheTableOn) {
  Start(100);
  fleet_.ResetTraffic();
  fleet_.Restart(Name(0));
  fleet_.RunFor(20 * kSecond);
  EXPECT_EQ(StateOf(99, 0), MemberState::kAlive);
  EXPECT_LT(fleet_.traffic(Name(0)).bytes_sent,
            2 * fleet_.traffic(Name(50)).bytes_sent);
}

TEST_F(MembershipTest, UrgentEntryIsEverywhereWithinASecond) {
  Start(20);
  fleet_.Publish(Name(3), {"config", 7, "digest", true});
  fleet_.RunFor(kSecond);
  fleet_.Publish(Name(9), {"config", 6, "older", true});
  fleet_.RunFor(kSecond);
  for (int i = 0; i < 20; ++i) {
    const GossipEntry* entry = fleet_.Find(Name(i))->entries().Find("config");
    ASSERT_NE(entry, nullptr);
    EXPECT_EQ(entry->version, 7U);
    EXPECT_EQ(entry->payload, "digest");
  }
}

TEST_F(MembershipTest, LateHostLearnsOldEntries) {
  Start(6);
  fleet_.Publish(Name(0), {"config", 7, "digest", false});
  fleet_.RunFor(20 * kSecond);
  AddHost(fleet_, 6);
  fleet_.DeliverList();
  fleet_.RunFor(20 * kSecond);
  ASSERT_NE(fleet_.Find(Name(6))->entries().Find("config"), nullptr);
}

TEST_F(MembershipTest, EarlierIncarnationIsToldThatItIsSuperseded) {
  const MemberRecord old = {"a",         "r", "d",
                            "127.0.0.1", 1,   {1, 0, MemberState::kAlive}};
  MemberRecord other = old;
  other.id = "b";
  auto a = *Membership::Create({}, old, 1, Instant(0));
  auto b = *Membership::Create({}, other, 2, Instant(0));
  MembershipMessage news;
  news.kind = MembershipMessage::Kind::kGossip;
  news.sender = "c";
  news.incarnation = 1;
  news.members = {old};
  news.members[0].version.incarnation = 2;
  b->OnMessage(news, Instant(1));
  MembershipMessage probe;
  probe.sender = "a";
  probe.incarnation = 1;
  bool superseded = false;
  for (const auto& action : b->OnMessage(probe, Instant(2))) {
    const auto* send = std::get_if<SendMembershipMessage>(&action);
    if (send == nullptr || send->to != "a") {
      continue;
    }
    for (const auto& result : a->OnMessage(send->message, Instant(3))) {
      superseded = superseded || std::holds_alternative<Superseded>(result);
    }
  }
  EXPECT_TRUE(superseded);
}

RC_GTEST_PROP(MemberTableTest, OrderOfArrivalDoesNotMatter, ()) {
  const auto version = rc::gen::apply(
      [](std::uint64_t incarnation, std::uint32_t refutation, int state) {
        return MemberVersion{incarnation, refutation,
                             static_cast<MemberState>(state)};
      },
      rc::gen::inRange<std::uint64_t>(1, 4),
      rc::gen::inRange<std::uint32_t>(0, 3), rc::gen::inRange(0, 4));
  auto versions = *rc::gen::container<std::vector<MemberVersion>>(version);
  const auto merged = [&] {
    MemberTable table;
    // Known beforehand, because a dead stranger is ignored.
    table.MergeList({{"a", "r", "d", "127.0.0.1", 1, false}}, "", Instant(0));
    for (const MemberVersion& each : versions) {
      table.Merge({"a", "r", "d", "127.0.0.1", 1, each}, Instant(0));
    }
    return std::pair(table.Find("a")->record.version, table.digest());
  };
  const auto forward = merged();
  std::reverse(versions.begin(), versions.end());
  const auto backward = merged();
  RC_ASSERT(forward.first == backward.first);
  RC_ASSERT(forward.second == backward.second);
}

RC_GTEST_PROP(GossipMapTest, KeepsTheHighestVersionInAnyOrder, ()) {
  const auto versions = *rc::gen::container<std::vector<std::uint64_t>>(
      rc::gen::inRange<std::uint64_t>(0, 10));
  GossipMap map;
  std::uint64_t highest = 0;
  for (const std::uint64_t version : versions) {
    const GossipEntry* before = map.Find("k");
    const bool newer = before == nullptr || version > before->version;
    RC_ASSERT(map.Merge({"k", version, "", false}) == newer);
    highest = std::max(highest, version);
    RC_ASSERT(map.Find("k")->version == highest);
  }
}

// The naive version: every host hears of every other directly, so its final
// view follows from which processes run, in which incarnation, and what was
// announced. The last news of a process that has ended may have ended with it;
// all that counts of such a host is that it is out of service.
class NaiveMembership {
 public:
  void Add(const std::string& id) { hosts_[id] = {}; }
  void Kill(const std::string& id) { hosts_[id].runs = false; }
  void Freeze(const std::string& id) { hosts_[id].frozen = true; }
  void Thaw(const std::string& id) { hosts_[id].frozen = false; }
  void Restart(const std::string& id) {
    Host& host = hosts_[id];
    host = {true, false, false, host.incarnation + 1};
  }
  void Leave(const std::string& id) {
    Host& host = hosts_[id];
    host.leaving = host.leaving || (host.runs && !host.frozen);
  }

  // Whether a member's state and incarnation are right.
  bool Agrees(const std::string& id, const MemberTable::Member& member) const {
    const Host& host = hosts_.at(id);
    const MemberState state = member.state();
    if (!host.runs) {
      return state == MemberState::kDead || state == MemberState::kLeaving;
    }
    return member.record.version.incarnation == host.incarnation &&
           state ==
               (host.leaving ? MemberState::kLeaving : MemberState::kAlive);
  }

 private:
  struct Host {
    bool runs = true;
    bool frozen = false;
    bool leaving = false;
    std::uint64_t incarnation = 1;
  };
  std::map<std::string, Host> hosts_;
};

RC_GTEST_PROP(MembershipDifferentialTest, EndsWithTheNaiveView, ()) {
  const int hosts = *rc::gen::inRange(2, 12);
  MembershipFleet fleet({}, *rc::gen::arbitrary<std::uint64_t>());
  NaiveMembership naive;
  for (int i = 0; i < hosts; ++i) {
    AddHost(fleet, i);
    naive.Add(Name(i));
  }
  fleet.DeliverList();
  fleet.RunFor(10 * kSecond);
  const int steps = *rc::gen::inRange(0, 12);
  for (int step = 0; step < steps; ++step) {
    const std::string id = Name(*rc::gen::inRange(0, hosts));
    const std::string other = Name(*rc::gen::inRange(0, hosts));
    switch (*rc::gen::inRange(0, 7)) {
      case 0:
        fleet.Kill(id);
        naive.Kill(id);
        break;
      case 1:
        fleet.Restart(id);
        naive.Restart(id);
        break;
      case 2:
        fleet.Leave(id);
        naive.Leave(id);
        break;
      case 3:
        fleet.Freeze(id);
        naive.Freeze(id);
        break;
      case 4:
        fleet.Thaw(id);
        naive.Thaw(id);
        break;
      case 5:
        fleet.Cut(id, other);
        break;
      default:
        fleet.Heal(id, other);
        break;
    }
    fleet.RunFor(Duration(*rc::gen::inRange(0, 8'000'000)));
  }
  for (int i = 0; i < hosts; ++i) {
    fleet.Thaw(Name(i));
    for (int j = 0; j < hosts; ++j) {
      fleet.Heal(Name(i), Name(j));
    }
  }
  fleet.RunFor(60 * kSecond);
  for (int i = 0; i < hosts; ++i) {
    const Membership* process = fleet.Find(Name(i));
    if (process == nullptr) {
      continue;
    }
    RC_ASSERT(process->table().members().size() ==
              static_cast<std::size_t>(hosts));
    for (const auto& [id, member] : process->table().members()) {
      RC_ASSERT(naive.Agrees(id, member));
    }
  }
}

}  // namespace
}  // namespace heatherlever
