#include "heathersteer/live_hosts.h"

namespace heathersteer {
namespace {

// Age of its last report at which a host is removed; nearly twice the maximum
// time between two reports.
constexpr heatherlever::Duration kReportTimeout =
    std::chrono::milliseconds(1800);

}  // namespace

bool LiveHosts::RecordReport(const std::string& caller_endpoint,
                             bool ready,
                             heatherlever::Instant now) {
  if (!ready) {
    return Remove(caller_endpoint);
  }
  return last_report_.insert_or_assign(caller_endpoint, now).second;
}

bool LiveHosts::Remove(const std::string& caller_endpoint) {
  return last_report_.erase(caller_endpoint) > 0;
}

bool LiveHosts::Expire(heatherlever::Instant now) {
  return std::erase_if(last_report_, [&](const auto& entry) {
           return now - entry.second > kReportTimeout;
         }) > 0;
}

std::vector<std::string> LiveHosts::CallerEndpoints() const {
  std::vector<std::string> endpoints;
  for (const auto& [caller_endpoint, time] : last_report_) {
    endpoints.push_back(caller_endpoint);
  }
  return endpoints;
}

}  // namespace heathersteer
