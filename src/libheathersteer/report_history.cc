#include "heathersteer/report_history.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace heathersteer {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;

// The platform removes the entries of silent servers within this time, so a
// server that stays listed for longer is running.
constexpr Duration kSilentEntryTime = std::chrono::seconds(10);
// Reports that follow the first one of an incarnation which seems earlier. The
// store may perform one or two reports late, but hardly three in their order
// while the incarnation that followed reports nothing.
constexpr int kFurtherReportsOfARunningServer = 2;
constexpr std::size_t kMaxEndedStarts = 4;

}  // namespace

ReportHistory::ReportHistory(const BackendServer& first) {
  Take(first);
}

bool ReportHistory::Accept(const BackendServer& report,
                           std::uint64_t timeline,
                           Instant now) {
  if (Precedes(report, timeline) && !ShowsThatItRuns(report, now)) {
    return false;
  }
  Take(report);
  return true;
}

std::optional<BackendServer> ReportHistory::AcceptOverdue(Instant now) {
  if (!late_) {
    return std::nullopt;
  }
  const BackendServer report = late_->report;
  if (!ShowsThatItRuns(report, now)) {
    return std::nullopt;
  }
  Take(report);
  return report;
}

void ReportHistory::RecordRemoval(std::uint64_t timeline, Instant now) {
  removal_ = {.timeline = timeline, .at = now};
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
    return !known_to_succeed && (ended || report.started_ms < started_ms_);
  }
  // A restored store lists removed servers with their last report.
  const bool restored = removal_ && timeline > removal_->timeline;
  return restored ? report.report_sequence <= sequence_
                  : report.report_sequence < sequence_;
}

bool ReportHistory::ShowsThatItRuns(const BackendServer& report, Instant now) {
  if (!late_ || late_->report.started_ms != report.started_ms) {
    late_ = {.report = report, .listed_since = now, .further_reports = 0};
    return false;
  }
  if (report.report_sequence > late_->report.report_sequence) {
    late_->report = report;
    ++late_->further_reports;
  }
  // Of the incarnation that is known, a lower number is an earlier report.
  const bool may_have_started_again =
      report.started_ms != started_ms_ || started_ms_ == 0;
  return (may_have_started_again &&
          late_->further_reports >= kFurtherReportsOfARunningServer) ||
         now - late_->listed_since > kSilentEntryTime;
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
