#ifndef HEATHER_ENTRY_JOB_PLACE_H_
#define HEATHER_ENTRY_JOB_PLACE_H_

#include <functional>

#include "heather-entry/pool_name.h"
#include "heather-entry/work_answer.h"

namespace heather_entry {

/// Where a new job is to be run, as its home decides once.
struct JobPlace {
  bool admitted = false;
  /// Why it is not run; set unless admitted.
  WorkAnswer refusal;
  PoolName pool;
  /// Whether this host runs the pool itself.
  bool local = true;
  /// To be called with the job's end; set if admitted.
  std::function<void(const WorkAnswer&)> on_done;
};

}  // namespace heather_entry

#endif  // HEATHER_ENTRY_JOB_PLACE_H_
