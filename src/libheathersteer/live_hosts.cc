#include "heathersteer/live_hosts.h"

namespace heathersteer {
namespace {

// Silence after which a host counts as gone; nearly twice the longest time
// between two of its reports.
constexpr heatherlever::Duration kReportTimeout =
    std::chrono::milliseconds(1800);

}  // namespace

bool LiveHosts::RecordReport(const std::string& front,
                             bool ready,
                             heatherlever::Instant now) {
  if (!ready) {
    return Remove(front);
  }
  return last_report_.insert_or_assign(front, now).second;
}

bool LiveHosts::Remove(const std::string& front) {
  return last_report_.erase(front) > 0;
}

bool LiveHosts::Expire(heatherlever::Instant now) {
  return std::erase_if(last_report_, [&](const auto& entry) {
           return now - entry.second > kReportTimeout;
         }) > 0;
}

std::vector<std::string> LiveHosts::CallerEndpoints() const {
  std::vector<std::string> fronts;
  for (const auto& [front, heard] : last_report_) {
    fronts.push_back(front);
  }
  return fronts;
}

}  // namespace heathersteer
