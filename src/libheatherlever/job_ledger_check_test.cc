// Explicit-state check of the job ledger's promises, and of the check itself by
// planted faults. HEATHER_JOB_CHECK_STATES raises the limit of states.

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>

#include "job_explorer_for_test.h"

namespace heatherlever {
namespace {

constexpr std::size_t kWholeStates = 100000;
// For cases that would take minutes to visit whole.
constexpr std::size_t kCutStates = 50000;

CheckResult Check(CheckCase check) {
  const char* states = std::getenv("HEATHER_JOB_CHECK_STATES");
  if (states != nullptr) {
    check.max_states =
        std::max<std::size_t>(check.max_states, std::stoul(states));
  }
  CheckResult result = JobExplorer(check).Run();
  std::cout << "states " << result.states << ", depth " << result.depth
            << (result.whole ? ", whole" : ", cut short") << "\n";
  if (!result.violation.empty()) {
    std::cout << "found in " << result.depth << " steps: " << result.violation
              << " (" << result.path << ")\n";
  }
  return result;
}

CheckCase TwoMembers(const Budget& budget) {
  CheckCase check;
  check.hosts = {"a", "b"};
  check.members = {"a", "b"};
  check.budget = budget;
  return check;
}

CheckCase ThreeMembers(const Budget& budget) {
  CheckCase check = TwoMembers(budget);
  check.hosts.emplace_back("c");
  check.members.emplace_back("c");
  return check;
}

struct NamedCase {
  std::string name;
  CheckCase check;
  /// Whether the search has to visit every state.
  bool whole = true;
};

NamedCase WithNewTerm(NamedCase named) {
  std::vector<std::string>& next = named.check.next_members;
  next = named.check.members;
  std::reverse(next.begin(), next.end());
  return named;
}

std::vector<NamedCase> Cases() {
  std::vector<NamedCase> cases;
  // Budgets: requests, duplicates, restarts, sheds, expiries, leaves.
  cases.push_back({"RestartShedExpiry", TwoMembers({2, 0, 1, 1, 1, 0})});
  cases.push_back({"DuplicateExpiry", TwoMembers({2, 1, 0, 0, 1, 0})});
  cases.push_back({"DuplicateRestart", TwoMembers({2, 1, 1, 0, 0, 0})});
  cases.push_back({"DuplicateShed", TwoMembers({2, 1, 0, 1, 0, 0})});
  cases.push_back({"ThreeRequestsExpiry", TwoMembers({3, 0, 0, 0, 1, 0})});
  cases.push_back({"ThreeRequestsDuplicate", TwoMembers({3, 1, 0, 0, 0, 0})});
  cases.push_back({"Leave", TwoMembers({2, 0, 0, 0, 0, 1})});
  cases.push_back(WithNewTerm({"NewTerm", TwoMembers({1, 0, 0, 0, 1, 0})}));
  cases.push_back(WithNewTerm(
      {"NewTermRestartExpiry", TwoMembers({2, 0, 1, 0, 1, 0}), false}));
  cases.push_back({"Witness", ThreeMembers({2, 0, 1, 0, 1, 0}), false});
  cases.push_back(
      WithNewTerm({"WitnessNewTerm", ThreeMembers({2, 0, 0, 0, 0, 0}), false}));
  for (NamedCase& named : cases) {
    named.check.max_states = named.whole ? kWholeStates : kCutStates;
  }
  return cases;
}

void PrintTo(const NamedCase& named, std::ostream* out) {
  *out << named.name;
}

class JobLedgerCheck : public ::testing::TestWithParam<NamedCase> {};

TEST_P(JobLedgerCheck, KeepsItsPromises) {
  const CheckResult result = Check(GetParam().check);
  EXPECT_EQ(result.violation, "") << result.path;
  EXPECT_TRUE(result.whole || !GetParam().whole);
}

INSTANTIATE_TEST_SUITE_P(,
                         JobLedgerCheck,
                         ::testing::ValuesIn(Cases()),
                         [](const auto& named) { return named.param.name; });

// A case without the check that all requests finish, so that what is found is
// a second run.
CheckResult CheckRuns(CheckCase check) {
  check.finishes = false;
  return Check(check);
}

TEST(JobLedgerPlantedFault, DispatchWithoutQuorumIsFound) {
  CheckCase check = TwoMembers({2, 0, 0, 0, 0, 0});
  check.faults.dispatch_without_quorum = true;
  EXPECT_EQ(CheckRuns(check).violation, "k may run twice");
}

TEST(JobLedgerPlantedFault, AcknowledgingADeposedHomeIsFound) {
  CheckCase check = ThreeMembers({2, 0, 0, 0, 0, 0});
  check.faults.acknowledge_deposed = true;
  EXPECT_EQ(CheckRuns(check).violation, "k may run twice");
}

TEST(JobLedgerPlantedFault, ServingAfterARestartIsFound) {
  CheckCase check = TwoMembers({2, 0, 1, 0, 0, 0});
  check.faults.serve_after_restart = true;
  EXPECT_EQ(CheckRuns(check).violation, "k may run twice");
}

TEST(JobLedgerPlantedFault, SkippingTheTakeOverIsFound) {
  NamedCase named = WithNewTerm({"", TwoMembers({2, 0, 0, 0, 0, 0})});
  named.check.faults.skip_take_over = true;
  named.check.max_states = 200000;
  EXPECT_EQ(CheckRuns(named.check).violation, "k may run twice");
}

TEST(JobLedgerPlantedFault, NotRunWithoutQuorumIsFound) {
  CheckCase check = TwoMembers({2, 0, 0, 0, 1, 0});
  check.faults.not_run_without_quorum = true;
  EXPECT_EQ(CheckRuns(check).violation,
            "k is said to be not run and may be run");
}

}  // namespace
}  // namespace heatherlever
