#include "heatherlever/job_ledger.h"

#include <gtest/gtest.h>

#include "heather-bench-jobs/job_runner.h"
#include "heather-bench-jobs/job_world.h"
#include "heatherlever/job_message_codec.h"

namespace heatherlever {
namespace {

using heather_bench_jobs::JobRunner;
using heather_bench_jobs::JobWorld;
using heather_bench_jobs::TrackedRequest;

constexpr Duration kDeadline = std::chrono::seconds(2);

PoolTerm Term(std::uint64_t number, const std::vector<HostId>& members) {
  return {number, members};
}

const PoolTerm kFirstTerm = Term(1, {{"a", 1}, {"b", 1}, {"c", 1}});

JobEpoch Epoch(const PoolTerm& term, const PoolTerm& previous = {}) {
  return {term.number, 1, {{"p", term, previous}}};
}

class JobLedgerTest : public ::testing::Test {
 protected:
  JobLedgerTest() {
    for (const char* name : {"a", "b", "c", "d"}) {
      JobLedgerOptions options;
      options.max_records = 8;
      options.max_answer_bytes = 64;
      world_.AddHost(name, options);
      world_.Install(name, Epoch(kFirstTerm));
    }
  }

  void Request(std::uint64_t id,
               const std::string& host,
               const std::string& key,
               bool depose = false,
               std::uint64_t fingerprint = 7) {
    TrackedRequest tracked;
    tracked.request = {id,          "p",       {"print", key},
                       fingerprint, kDeadline, std::chrono::hours(1)};
    tracked.host = host;
    tracked.depose = depose;
    world_.Track(tracked);
    Run();
  }

  void Run() { runner_.Run(); }

  std::string Outcome(std::uint64_t id) const {
    const TrackedRequest& tracked = world_.requests().at(id);
    return tracked.outcome
               ? std::string(JobOutcomeName(*tracked.outcome)) + " " +
                     std::string(JobReasonName(tracked.reason))
               : "open";
  }

  int Runs(const std::string& key) const { return world_.runs({"print", key}); }

  void TearDown() override { EXPECT_TRUE(world_.violations().empty()); }

  JobWorld world_;
  JobRunner runner_{world_};
};

TEST_F(JobLedgerTest, RunsAJobAndRepeatsItsAnswer) {
  Request(1, "a", "k");
  EXPECT_EQ(Outcome(1), "done settled");
  Request(2, "a", "k");
  EXPECT_EQ(Outcome(2), "done settled");
  EXPECT_EQ(world_.requests().at(2).answer, "answer of k");
  EXPECT_EQ(Runs("k"), 1);
}

TEST_F(JobLedgerTest, AttachesToARunningJob) {
  runner_.hold_backend = true;
  Request(1, "a", "k");
  Request(2, "a", "k");
  EXPECT_EQ(Outcome(2), "open");
  runner_.hold_backend = false;
  Run();
  EXPECT_EQ(Outcome(1), "done settled");
  EXPECT_EQ(Outcome(2), "done settled");
  EXPECT_EQ(Runs("k"), 1);
}

TEST_F(JobLedgerTest, RefusesAKeyWithAnotherFingerprint) {
  Request(1, "a", "k");
  Request(2, "a", "k", false, 8);
  EXPECT_EQ(Outcome(2), "not-run key-reused");
}

TEST_F(JobLedgerTest, RunsAgainAfterNotRun) {
  runner_.backend_outcome = JobOutcome::kNotRun;
  Request(1, "a", "k");
  EXPECT_EQ(Outcome(1), "not-run settled");
  runner_.backend_outcome = JobOutcome::kDone;
  Request(2, "a", "k");
  EXPECT_EQ(Outcome(2), "done settled");
}

TEST_F(JobLedgerTest, RedirectsToTheHome) {
  Request(1, "d", "k");
  EXPECT_EQ(Outcome(1), "done settled");
  EXPECT_EQ(world_.requests().at(1).host, "a");
}

TEST_F(JobLedgerTest, BuddyTakesOverFromADeadHome) {
  Request(1, "a", "k");
  world_.Kill("a");
  Request(2, "b", "k", true);
  EXPECT_EQ(Outcome(2), "done settled");
  Request(3, "b", "other", true);
  EXPECT_EQ(Outcome(3), "done settled");
}

TEST_F(JobLedgerTest, BuddySaysUnknownForAnIntentOfASilentHome) {
  runner_.hold_backend = true;
  Request(1, "a", "k");
  runner_.frozen.insert("a");
  world_.PeerUnreachable("b", {"a", 1});
  Request(2, "b", "k", true);
  EXPECT_EQ(Outcome(2), "unknown holder-silent");
  EXPECT_EQ(Runs("k"), 0);
}

TEST_F(JobLedgerTest, WitnessReplacesADeadBuddy) {
  world_.Kill("b");
  Request(1, "a", "k");
  EXPECT_EQ(Outcome(1), "done settled");
}

TEST_F(JobLedgerTest, HomeAloneStartsNothing) {
  runner_.frozen = {"b", "c"};
  Request(1, "a", "k");
  EXPECT_EQ(Outcome(1), "open");
  world_.SetClock("a", kDeadline);
  EXPECT_EQ(Outcome(1), "unknown no-quorum");
  EXPECT_EQ(Runs("k"), 0);
}

TEST_F(JobLedgerTest, NotRunOnceAQuorumHasTheIntentAndTheDeadlinePasses) {
  Request(1, "a", "k");
  runner_.frozen.insert(
      "a");  // Stops the queue of a; messages were delivered before.
  TrackedRequest late = world_.requests().at(1);
  late.request.id = 2;
  late.request.key.key = "late";
  late.outcome.reset();
  late.submitted = false;
  world_.Track(late);
  world_.Submit(2);
  runner_.frozen.clear();
  runner_.Deliver();
  world_.SetClock("a", kDeadline);
  EXPECT_EQ(Outcome(2), "not-run deadline");
  Run();
  EXPECT_EQ(Runs("late"), 0);
}

TEST_F(JobLedgerTest, DeposedHomeRedirectsItsRequests) {
  runner_.hold_backend = true;
  Request(1, "a", "first");
  runner_.frozen.insert("a");
  Request(2, "b", "second", true);
  runner_.frozen.clear();
  runner_.hold_backend = false;
  Request(3, "a", "third");
  EXPECT_EQ(Outcome(3), "done settled");
  EXPECT_EQ(world_.requests().at(3).host, "b");
  EXPECT_EQ(Outcome(1), "done settled");
}

TEST_F(JobLedgerTest, NewTermTakesTheRecordsOver) {
  Request(1, "a", "k");
  const PoolTerm second = Term(2, {{"d", 1}, {"b", 1}, {"c", 1}});
  world_.Kill("a");
  for (const char* name : {"b", "c", "d"}) {
    world_.Install(name, Epoch(second, kFirstTerm));
  }
  Request(2, "d", "k");
  EXPECT_EQ(Outcome(2), "done settled");
  EXPECT_EQ(Runs("k"), 1);
  Request(3, "b", "other");
  EXPECT_EQ(Outcome(3), "done settled");
}

TEST_F(JobLedgerTest, TakeOverOfATermThatNeverServedGoesBackOneMore) {
  Request(1, "a", "k");
  const PoolTerm second = Term(2, {{"d", 1}, {"b", 1}, {"c", 1}});
  const PoolTerm third = Term(3, {{"b", 1}, {"c", 1}, {"d", 1}});
  runner_.frozen.insert("d");
  for (const char* name : {"b", "c"}) {
    world_.Install(name, Epoch(second, kFirstTerm));
    world_.Install(name, Epoch(third, second));
  }
  Request(2, "b", "k");
  EXPECT_EQ(Outcome(2), "done settled");
  EXPECT_EQ(Runs("k"), 1);
}

TEST_F(JobLedgerTest, LostRecordsMakeUnseenKeysUnknownForTheRetention) {
  const PoolTerm second = Term(2, {{"c", 1}, {"d", 1}});
  world_.Kill("a");
  world_.Kill("b");
  for (const char* name : {"c", "d"}) {
    world_.Install(name, Epoch(second, kFirstTerm));
  }
  Request(1, "c", "k");
  EXPECT_EQ(Outcome(1), "open");
  world_.PeerGone("c", {"a", 1});
  Run();
  EXPECT_EQ(Outcome(1), "open") << "b may still answer";
  world_.PeerUnreachable("c", {"b", 1});
  Run();
  EXPECT_EQ(Outcome(1), "unknown records-lost");
}

TEST_F(JobLedgerTest, OneEndedMemberLosesNoRecords) {
  Request(1, "a", "k");
  const PoolTerm second = Term(2, {{"b", 1}, {"c", 1}, {"d", 1}});
  world_.Kill("a");
  for (const char* name : {"b", "c", "d"}) {
    world_.PeerGone(name, {"a", 1});
    world_.Install(name, Epoch(second, kFirstTerm));
  }
  Request(2, "b", "k");
  EXPECT_EQ(Outcome(2), "done settled");
  Request(3, "b", "unseen");
  EXPECT_EQ(Outcome(3), "done settled");
}

TEST_F(JobLedgerTest, RestartedHostDoesNotServeItsEarlierIncarnation) {
  world_.Restart("a");
  world_.Install("a", Epoch(kFirstTerm));
  Request(1, "b", "k", true);
  EXPECT_EQ(Outcome(1), "done settled");
}

TEST_F(JobLedgerTest, HostWithoutAnEpochSurvivesAClosingTerm) {
  const PoolTerm second = Term(2, {{"d", 1}, {"b", 1}, {"c", 1}});
  world_.AddHost("b", {});  // A new process that knows no epoch.
  world_.Install("d", Epoch(second, kFirstTerm));
  Run();
  Request(1, "b", "k", true);
  EXPECT_EQ(Outcome(1), "unknown no-home");
}

TEST_F(JobLedgerTest, StaleEpochsAreRefused) {
  JobLedgerOptions options;
  options.self = {"a", 1};
  JobLedger ledger(options);
  EXPECT_TRUE(ledger.InstallEpoch(Epoch(kFirstTerm), Instant(0)));
  EXPECT_FALSE(ledger.InstallEpoch(Epoch(kFirstTerm), Instant(0)));
}

TEST_F(JobLedgerTest, LeavingHomeHandsItsQueueOver) {
  runner_.hold_backend = true;
  Request(1, "a", "running");
  TrackedRequest queued = world_.requests().at(1);
  queued.request.id = 2;
  queued.request.key.key = "queued";
  queued.submitted = false;
  world_.Track(queued);
  world_.Submit(2);
  world_.Leave("a");
  runner_.hold_backend = false;
  Run();
  EXPECT_EQ(Outcome(1), "done settled");
  EXPECT_EQ(Outcome(2), "done settled");
  EXPECT_EQ(world_.requests().at(2).host, "b");
}

TEST_F(JobLedgerTest, FullLedgerRefusesTruthfully) {
  for (std::uint64_t id = 1; id <= 10; ++id) {
    Request(id, "a", "k" + std::to_string(id));
  }
  EXPECT_EQ(Outcome(8), "done settled");
  EXPECT_EQ(Outcome(9), "not-run ledger-full");
  EXPECT_EQ(Outcome(10), "not-run ledger-full");
  world_.SetClock("a", kDeadline + std::chrono::hours(1));
  Request(11, "a", "k11");
  EXPECT_EQ(Outcome(11), "done settled");
}

JobRecordCopy SampleCopy() {
  JobRecordCopy copy;
  copy.record.key = {"print", "k"};
  copy.record.fingerprint = 7;
  copy.record.attempt = {1, 2, 3};
  copy.record.owner = {"a", 4};
  copy.record.state = JobState::kDone;
  copy.record.answer = std::string("\xff\0x", 3);
  copy.record.answer_dropped = true;
  copy.until_deadline = Duration(5);
  copy.until_forgotten = Duration(6);
  return copy;
}

std::vector<JobMessageBody> SampleBodies() {
  const JobRecordCopy copy = SampleCopy();
  std::vector<JobMessageBody> bodies(10);
  bodies[0] = JobIntent{copy};
  bodies[1] = JobIntentAck{copy.record.key, copy.record.attempt};
  bodies[2] = JobRefusal{true, copy.record.owner};
  bodies[3] = JobResult{copy};
  bodies[4] = JobDepose{};
  bodies[5] = JobClose{};
  bodies[6] = JobReport{true, true, true, kFirstTerm, Duration(9), {copy}};
  bodies[7] = JobSeed{Duration(3), {copy, copy}};
  bodies[8] = JobSeedAck{};
  bodies[9] = JobHandover{};
  return bodies;
}

TEST(JobMessageCodecTest, RoundTrips) {
  for (const JobMessageBody& body : SampleBodies()) {
    JobMessage message;
    message.to.name = "b";
    message.pool = "p";
    message.body = body;
    const std::string bytes = EncodeJobMessage(message);
    const auto decoded = DecodeJobMessage(bytes);
    ASSERT_TRUE(decoded.ok()) << decoded.status();
    EXPECT_EQ(EncodeJobMessage(*decoded), bytes);
    EXPECT_FALSE(DecodeJobMessage(bytes.substr(1)).ok());
  }
}

}  // namespace
}  // namespace heatherlever
