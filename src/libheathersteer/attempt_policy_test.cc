#include "heathersteer/attempt_policy.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace heathersteer {
namespace {

TEST(AttemptPolicyTest, DeliversAFinalAnswer) {
  AttemptPolicy policy(/*idempotent=*/false, /*max_attempts=*/2);
  EXPECT_EQ(policy.After(AttemptOutcome::kAnswered), NextStep::kDeliver);
}

TEST(AttemptPolicyTest, RepeatsWhateverAServerStatesNotToHaveRun) {
  AttemptPolicy policy(/*idempotent=*/false, /*max_attempts=*/2);
  EXPECT_EQ(policy.After(AttemptOutcome::kNotExecuted), NextStep::kRetry);
  EXPECT_EQ(policy.After(AttemptOutcome::kNotExecuted), NextStep::kReject);
}

TEST(AttemptPolicyTest, DoesNotRepeatBrokenNonIdempotentWork) {
  AttemptPolicy policy(/*idempotent=*/false, /*max_attempts=*/3);
  EXPECT_EQ(policy.After(AttemptOutcome::kBroken), NextStep::kFail);
  EXPECT_TRUE(policy.may_have_run());
}

TEST(AttemptPolicyTest, RepeatsBrokenIdempotentWork) {
  AttemptPolicy policy(/*idempotent=*/true, /*max_attempts=*/2);
  EXPECT_EQ(policy.After(AttemptOutcome::kBroken), NextStep::kRetry);
  EXPECT_EQ(policy.After(AttemptOutcome::kServerError), NextStep::kDeliver);
}

TEST(AttemptPolicyTest, PlacesUnsentRequestsAgainAFewTimes) {
  AttemptPolicy policy(/*idempotent=*/false, /*max_attempts=*/1);
  EXPECT_EQ(policy.After(AttemptOutcome::kNotSent), NextStep::kPlaceAgain);
  EXPECT_EQ(policy.After(AttemptOutcome::kNotSent), NextStep::kPlaceAgain);
  EXPECT_EQ(policy.After(AttemptOutcome::kNotSent), NextStep::kReject);
  EXPECT_EQ(policy.sends(), 0);
}

RC_GTEST_PROP(AttemptPolicyTest, NeverRejectsOrRepeatsWhatMayHaveRun, ()) {
  const bool idempotent = *rc::gen::arbitrary<bool>();
  AttemptPolicy policy(idempotent, *rc::gen::inRange(1, 5));
  bool ran = false;
  for (int i = 0; i < 8; ++i) {
    const auto outcome = *rc::gen::element(
        AttemptOutcome::kServerError, AttemptOutcome::kNotExecuted,
        AttemptOutcome::kNotSent, AttemptOutcome::kBroken);
    ran = ran || outcome == AttemptOutcome::kServerError ||
          outcome == AttemptOutcome::kBroken;
    const NextStep step = policy.After(outcome);
    RC_ASSERT(!(ran && step == NextStep::kReject));
    RC_ASSERT(!(ran && !idempotent && step == NextStep::kRetry));
    if (step != NextStep::kRetry && step != NextStep::kPlaceAgain) {
      break;
    }
  }
}

}  // namespace
}  // namespace heathersteer
