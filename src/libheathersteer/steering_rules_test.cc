#include "heathersteer/steering_rules.h"

#include <gtest/gtest.h>

#include "heathersteer/backend_server.h"
#include "heathersteer/placement.h"
#include "heathersteer/route.h"
#include "heathersteer/service.h"

namespace heathersteer {
namespace {

using std::chrono::seconds;

constexpr const char* kFile = R"(
regions:
  - name: north
    labels: {coast: east}
rules:
  - {name: urgent, work: rank = first, max_shift: 50%}
  - {name: reads, work: idempotent = yes, to: coast = east, max_shift: 100%}
  - {name: rest, max_shift: 0%}
drains:
  - {name: move, select: domain = north-b}
)";

SteeringRules Rules(const std::string& text = kFile) {
  auto rules = SteeringRules::Parse(text, "steering.yaml");
  EXPECT_TRUE(rules.ok()) << rules.status();
  return *std::move(rules);
}

Route MakeRoute(int rank, bool idempotent) {
  Route route;
  route.name = "r";
  route.rank = rank;
  route.idempotent = idempotent;
  route.target_latency = seconds(1);
  return route;
}

BackendServer MakeServer(const std::string& id,
                         const std::string& region,
                         const std::string& domain) {
  BackendServer server;
  server.id = id;
  server.service = "reads";
  server.region = region;
  server.domain = domain;
  return server;
}

TEST(SteeringRulesTest, TheFirstMatchingRuleApplies) {
  const SteeringRules rules = Rules();
  EXPECT_EQ(rules.RuleFor(MakeRoute(0, true), "reads"), 0U);
  EXPECT_EQ(rules.RuleFor(MakeRoute(1, true), "reads"), 1U);
  EXPECT_EQ(rules.RuleFor(MakeRoute(7, false), "reads"), 2U);
  EXPECT_EQ(Rules("rules: []").RuleFor(MakeRoute(0, true), "reads"),
            std::nullopt);
}

TEST(SteeringRulesTest, SelectsByRegionLabelAndDrains) {
  const SteeringRules rules = Rules();
  EXPECT_TRUE(rules.Allows(1, MakeServer("a", "north", "north-a")));
  EXPECT_FALSE(rules.Allows(1, MakeServer("b", "south", "south-a")));
  EXPECT_TRUE(rules.Allows(0, MakeServer("b", "south", "south-a")));
  EXPECT_FALSE(rules.Allows(0, MakeServer("c", "north", "north-b")));
}

TEST(SteeringRulesTest, KeepsTheCapOfShiftedRequests) {
  SteeringRules rules = Rules();
  int shifted = 0;
  constexpr int kRequests = 100;
  for (int i = 0; i < kRequests; ++i) {
    const bool shift = rules.MayShift(0, seconds(1));
    shifted += shift ? 1 : 0;
    rules.CountSent(0, shift, seconds(1));
  }
  EXPECT_EQ(shifted, kRequests / 2);
  EXPECT_FALSE(rules.MayShift(2, seconds(1)));
}

TEST(SteeringRulesTest, ErrorsNameFileAndProblem) {
  const std::vector<std::pair<const char*, const char*>> bad = {
      {"rules:\n  - {name: a, work: 'x ='}", "selector"},
      {"rules:\n  - {name: a}", "max_shift"},
      {"rulez: []", "rulez"},
      {"drains: []\ndrains: []", "key 'drains' is given twice"},
      {"regions:\n  - {name: a, labels: {x: a, x: b}}",
       "label 'x' is given twice"},
      {"drains:\n  - {name: a}", "drain"},
      {"rules:\n  - {name: a, max_shift: 1%}\n  - {name: a, max_shift: 1%}",
       "the name 'a' is taken by an earlier one"},
  };
  for (const auto& [text, problem] : bad) {
    const auto rules = SteeringRules::Parse(text, "steering.yaml");
    ASSERT_FALSE(rules.ok()) << text;
    const std::string message(rules.status().message());
    EXPECT_NE(message.find("steering.yaml"), std::string::npos) << message;
    EXPECT_NE(message.find(problem), std::string::npos) << message;
  }
}

TEST(SteeringRulesTest, PlacementKeepsToThem) {
  ServerTable table;
  table.Put(MakeServer("near", "north", "north-a"));
  table.Put(MakeServer("drained", "north", "north-b"));
  table.Put(MakeServer("far", "south", "south-a"));
  const Route route = MakeRoute(2, false);
  Service service;
  service.name = "reads";
  PlacementOptions options;
  options.region = "north";
  options.domain = "north-a";
  const Placement placement(options);
  SteeringRules rules = Rules();
  PlacementRequest request;
  request.route = &route;
  request.service = &service;
  request.affinity_key = "7";
  request.rules = &rules;
  request.rule_index = rules.RuleFor(route, "reads");
  const auto near = placement.Choose(table, request, seconds(1)).server;
  ASSERT_NE(near, nullptr);
  EXPECT_EQ(near->server.id, "near");
  for (int i = 0; i < 10; ++i) {
    near->load.Sent();
  }
  // The cap of 0% keeps the overflow in the region.
  EXPECT_EQ(placement.Choose(table, request, seconds(1)).server, nullptr);
}

}  // namespace
}  // namespace heathersteer
