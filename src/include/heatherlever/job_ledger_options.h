#ifndef HEATHERLEVER_JOB_LEDGER_OPTIONS_H_
#define HEATHERLEVER_JOB_LEDGER_OPTIONS_H_

#include <cstddef>
#include "heatherlever/host_id.h"
#include "heatherlever/instant.h"

namespace heatherlever {

/// Faults that tests plant to see that their checks find them.
struct JobLedgerFaults {
  /// Dispatches before a quorum has acknowledged.
  bool dispatch_without_quorum = false;
  /// Acknowledges intents of a deposed leader.
  bool acknowledge_deposed = false;
  /// Serves terms of an earlier incarnation of the host.
  bool serve_after_restart = false;
  /// Leads a new term without the records of the one before.
  bool skip_take_over = false;
  /// Says `not run` where no quorum acknowledged the intent.
  bool not_run_without_quorum = false;
};

/// Settings of a job ledger.
struct JobLedgerOptions {
  HostId self;
  /// Keys remembered in all pools together. One eighth more is kept free for
  /// refusing jobs truthfully.
  std::size_t max_records = 20000;
  /// Largest answer that is remembered, in bytes.
  std::size_t max_answer_bytes = 16384;
  /// Time after which an unanswered message is sent again.
  Duration resend_interval = std::chrono::milliseconds(50);
  /// Longest deadline plus retention of any kind: how long lost records make
  /// unseen keys uncertain.
  Duration uncertain_time = std::chrono::hours(24);
  JobLedgerFaults faults;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_JOB_LEDGER_OPTIONS_H_
