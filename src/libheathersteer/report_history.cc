#include "heathersteer/report_history.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <limits>

namespace heathersteer {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;

// The platform removes the entries of silent servers within this time, so a
// server that stays listed for longer is running.
constexpr Duration kSilentEntryTime = std::chrono::seconds(10);
// Listings that are further apart don't tell whether the entry stayed.
constexpr Duration kMaxListingGap = std::chrono::seconds(3);
// Number of the first report of an incarnation.
constexpr std::int64_t kFirstSequence = 1;
// Number of further reports of an incarnation that seems earlier after which it
// counts as the running one, unless the one that followed reports meanwhile.
constexpr int kFurtherReportsOfAStart = 2;
// The same for a server that seems to have left: its last report may come late,
// but none follows it.
constexpr int kFurtherReportsAfterLeaving = 1;
constexpr std::size_t kMaxEndedStarts = 16;

}  // namespace

ReportHistory::ReportHistory(const BackendServer& first,
                             const ReportOrigin& origin) {
  Take(first);
  if (origin.from_store) {
    reported_at_ = origin.known_at;
  }
}

bool ReportHistory::Accept(const BackendServer& report,
                           const ReportOrigin& origin) {
  if (Precedes(report, origin.timeline) && !ShowsThatItRuns(report, origin)) {
    return false;
  }
  if (!origin.from_store) {
    reported_at_.reset();
  } else if (report.started_ms != started_ms_ ||
             report.report_sequence != sequence_) {
    reported_at_ = origin.known_at;
  }
  Take(report);
  return true;
}

std::optional<BackendServer> ReportHistory::AcceptOverdue(Instant now) {
  if (!late_) {
    return std::nullopt;
  }
  const BackendServer report = late_->report;
  const ReportOrigin origin{
      .timeline = late_->timeline, .known_at = now, .from_store = false};
  if (!ShowsThatItRuns(report, origin)) {
    return std::nullopt;
  }
  Take(report);
  return report;
}

void ReportHistory::RecordRemoval(const ReportOrigin& origin,
                                  Duration silence) {
  const bool left = origin.from_store && reported_at_ &&
                    origin.known_at - *reported_at_ < silence;
  removal_ = {.timeline = origin.timeline, .at = origin.known_at, .left = left};
  late_.reset();
}

std::optional<Instant> ReportHistory::removed_at() const {
  return removal_ ? std::optional(removal_->at) : std::nullopt;
}

bool ReportHistory::Precedes(const BackendServer& report,
                             std::uint64_t timeline) const {
  if (report.started_ms != started_ms_) {
    const bool known_to_succeed =
        report.succeeds_ms != 0 && report.succeeds_ms >= started_ms_;
    const bool ended =
        std::find(ended_starts_ms_.begin(), ended_starts_ms_.end(),
                  report.started_ms) != ended_starts_ms_.end();
    // An incarnation that wasn't known and has just started has a clock behind
    // that of the last one.
    const bool starts =
        report.started_ms != 0 && report.report_sequence <= kFirstSequence;
    return !known_to_succeed &&
           (ended || (report.started_ms < started_ms_ && !starts));
  }
  if (removal_ && removal_->left) {
    return true;
  }
  // A restored store lists removed servers with their last report.
  const bool restored = removal_ && timeline > removal_->timeline;
  return restored ? report.report_sequence <= sequence_
                  : report.report_sequence < sequence_;
}

bool ReportHistory::ShowsThatItRuns(const BackendServer& report,
                                    const ReportOrigin& origin) {
  if (report.started_ms == 0 && started_ms_ != 0) {
    // A server that states its start time always does.
    return false;
  }
  const Instant now = origin.known_at;
  if (!late_ || late_->report.started_ms != report.started_ms) {
    late_ = {.report = report, .listed_since = now};
  } else if (origin.timeline != late_->timeline ||
             now - late_->listed_at > kMaxListingGap) {
    late_->listed_since = now;
  }
  late_->timeline = origin.timeline;
  late_->listed_at = now;
  if (report.report_sequence > late_->report.report_sequence) {
    late_->report = report;
    ++late_->further_reports;
  }
  return late_->further_reports >= NeededReports(report) ||
         now - late_->listed_since > kSilentEntryTime;
}

// Number of further reports after which the server of a late one runs.
int ReportHistory::NeededReports(const BackendServer& report) const {
  if (report.started_ms != started_ms_ || started_ms_ == 0) {
    return kFurtherReportsOfAStart;
  }
  // Of the incarnation that is known, a lower number is an earlier report.
  return report.report_sequence > sequence_ ? kFurtherReportsAfterLeaving
                                            : std::numeric_limits<int>::max();
}

void ReportHistory::Take(const BackendServer& report) {
  if (report.started_ms != started_ms_) {
    const std::int64_t latest = std::max(started_ms_, succeeds_ms_);
    succeeds_ms_ = latest > report.started_ms ? latest : 0;
    if (started_ms_ != 0) {
      ended_starts_ms_.push_back(started_ms_);
    }
    std::erase(ended_starts_ms_, report.started_ms);
    if (ended_starts_ms_.size() > kMaxEndedStarts) {
      ended_starts_ms_.erase(ended_starts_ms_.begin());
    }
    started_ms_ = report.started_ms;
  }
  succeeds_ms_ = std::max(succeeds_ms_, report.succeeds_ms);
  sequence_ = report.report_sequence;
  removal_.reset();
  late_.reset();
}

}  // namespace heathersteer
