#include "heather-entry/work_answer.h"

namespace heather_entry {

WorkAnswer NotRun(const std::string& reason,
                  heatherlever::Duration retry_after) {
  WorkAnswer answer;
  answer.outcome = heatherlever::RequestOutcome::kNotRun;
  answer.reason = reason;
  answer.retry_after = retry_after;
  return answer;
}

WorkAnswer Unknown(const std::string& reason) {
  WorkAnswer answer;
  answer.outcome = heatherlever::RequestOutcome::kUnknown;
  answer.reason = reason;
  return answer;
}

}  // namespace heather_entry
