#include "heather-entry/entry_metrics.h"

#include <sstream>

#include "heather-entry/work_answer.h"

namespace heather_entry {

using heatherlever::RequestOutcome;

namespace {

// The labels of a metric: its kind of work and one more.
std::string Labels(const std::string& kind,
                   const std::string& name,
                   const std::string& value) {
  return "{kind=\"" + kind + "\"," + name + "=\"" + value + "\"} ";
}

void Describe(std::ostringstream& text,
              const std::string& metric,
              const std::string& type,
              const std::string& help) {
  text << "# HELP " << metric << " " << help << "\n";
  text << "# TYPE " << metric << " " << type << "\n";
}

}  // namespace

void EntryMetrics::OnAnswer(const std::string& kind,
                            const WorkAnswer& answer,
                            heatherlever::Duration latency) {
  const std::lock_guard<std::mutex> lock(mutex_);
  KindMetrics& metrics = kinds_[kind];
  ++metrics.outcomes[static_cast<std::size_t>(answer.outcome)];
  if (answer.outcome == RequestOutcome::kDone) {
    metrics.latency.Record(latency);
  } else {
    ++metrics.refusals[answer.reason];
  }
}

std::string EntryMetrics::Text() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::ostringstream text;
  Describe(text, "heather_requests_total", "counter",
           "Requests of callers that have ended, by outcome.");
  for (const auto& [kind, metrics] : kinds_) {
    for (std::size_t i = 0; i < metrics.outcomes.size(); ++i) {
      text << "heather_requests_total"
           << Labels(kind, "outcome",
                     std::string(heatherlever::kRequestOutcomeNames[i]))
           << metrics.outcomes[i] << "\n";
    }
  }
  Describe(text, "heather_not_done_total", "counter",
           "Requests that were not done, by reason.");
  for (const auto& [kind, metrics] : kinds_) {
    for (const auto& [reason, count] : metrics.refusals) {
      text << "heather_not_done_total" << Labels(kind, "reason", reason)
           << count << "\n";
    }
  }
  Describe(text, "heather_latency_seconds", "histogram",
           "Time from a request's arrival to its answer, if it was done.");
  for (const auto& [kind, metrics] : kinds_) {
    for (const auto& bucket : metrics.latency.Cumulative()) {
      text << "heather_latency_seconds_bucket"
           << Labels(kind, "le", std::to_string(bucket.limit_s)) << bucket.count
           << "\n";
    }
    text << "heather_latency_seconds_bucket" << Labels(kind, "le", "+Inf")
         << metrics.latency.count() << "\n";
    text << "heather_latency_seconds_sum{kind=\"" << kind << "\"} "
         << metrics.latency.sum_s() << "\n";
    text << "heather_latency_seconds_count{kind=\"" << kind << "\"} "
         << metrics.latency.count() << "\n";
  }
  return text.str();
}

}  // namespace heather_entry
