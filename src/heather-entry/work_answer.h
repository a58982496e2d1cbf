#ifndef HEATHER_ENTRY_WORK_ANSWER_H_
#define HEATHER_ENTRY_WORK_ANSWER_H_

#include <string>

#include "heatherlever/instant.h"
#include "heatherlever/request_outcome.h"

namespace heather_entry {

/// How a request ended, with the whole answer if a backend server gave one.
struct WorkAnswer {
  heatherlever::RequestOutcome outcome = heatherlever::RequestOutcome::kUnknown;
  /// A word that says why, such as answered, too-late or cap-reached.
  std::string reason;
  /// Time after which a retry is likely to be served; 0 if there is none.
  heatherlever::Duration retry_after{0};
  /// Name of the backend server that answered.
  std::string backend;
  std::string content_type;
  std::string body;
};

/// An answer for a request that was certainly not run.
WorkAnswer NotRun(const std::string& reason,
                  heatherlever::Duration retry_after = {});

/// An answer for a request that may or may not have been run.
WorkAnswer Unknown(const std::string& reason);

}  // namespace heather_entry

#endif  // HEATHER_ENTRY_WORK_ANSWER_H_
