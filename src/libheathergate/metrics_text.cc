#include "heathergate/metrics_text.h"

#include <array>
#include <sstream>

#include "heathergate/gateway.h"
#include "heathergate/pause_monitor.h"
#include "heathersteer/milliseconds.h"
#include "heathersteer/traffic_config.h"

namespace heathergate {
namespace {

struct Counter {
  const char* name;
  std::uint64_t GatewayCounters::*value;
};

constexpr std::array<Counter, 17> kCounters = {{
    {"heather_requests_total", &GatewayCounters::requests},
    {"heather_delivered_total", &GatewayCounters::delivered},
    {"heather_rejected_total", &GatewayCounters::rejected},
    {"heather_failed_total", &GatewayCounters::failed},
    {"heather_unrouted_total", &GatewayCounters::unrouted},
    {"heather_abandoned_total", &GatewayCounters::abandoned},
    {"heather_sends_total", &GatewayCounters::sends},
    {"heather_repeats_total", &GatewayCounters::retries},
    {"heather_server_refusals_total", &GatewayCounters::server_refusals},
    {"heather_server_backoffs_total", &GatewayCounters::server_backoffs},
    {"heather_broken_sends_total", &GatewayCounters::broken_sends},
    {"heather_throttled_total", &GatewayCounters::throttled},
    {"heather_quarantined_total", &GatewayCounters::quarantined},
    {"heather_limited_sends_total", &GatewayCounters::limited_sends},
    {"heather_cold_rejections_total", &GatewayCounters::cold_rejections},
    {"heather_detours_total", &GatewayCounters::detours},
    {"heather_detoured_total", &GatewayCounters::detoured},
}};

void WriteHistogram(std::ostringstream& text,
                    int rank,
                    const LatencyHistogram& latency) {
  const std::string label = "rank=\"" + std::to_string(rank) + "\"";
  for (const auto& bucket : latency.Cumulative()) {
    text << "heather_request_seconds_bucket{" << label << ",le=\""
         << bucket.limit_s << "\"} " << bucket.count << "\n";
  }
  text << "heather_request_seconds_bucket{" << label << ",le=\"+Inf\"} "
       << latency.count() << "\n";
  text << "heather_request_seconds_sum{" << label << "} " << latency.sum_s()
       << "\n";
  text << "heather_request_seconds_count{" << label << "} " << latency.count()
       << "\n";
}

}  // namespace

std::string MetricsText(const Gateway& gateway) {
  std::ostringstream text;
  for (const Counter& counter : kCounters) {
    text << "# TYPE " << counter.name << " counter\n";
    text << counter.name << " " << gateway.counters().*counter.value << "\n";
  }
  text << "# TYPE heather_cold_sends_total counter\n";
  text << "heather_cold_sends_total " << gateway.cold_sends() << "\n";
  text << "# TYPE heather_cold_rate_hosts gauge\n";
  text << "heather_cold_rate_hosts " << gateway.cold_rate_hosts() << "\n";
  text << "# TYPE heather_requests_active gauge\n";
  text << "heather_requests_active " << gateway.active() << "\n";
  text << "# TYPE heather_backend_servers gauge\n";
  text << "heather_backend_servers " << gateway.servers().size() << "\n";
  text << "# TYPE heather_servers_reachable gauge\n";
  text << "heather_servers_reachable " << (gateway.cut_off() ? 0 : 1) << "\n";
  text << "# TYPE heather_limited_servers gauge\n";
  text << "heather_limited_servers " << gateway.limited_servers() << "\n";
  text << "# TYPE heather_leaving_servers gauge\n";
  text << "heather_leaving_servers " << gateway.servers().leaving_count()
       << "\n";
  text << "# TYPE heather_backed_off_servers gauge\n";
  text << "heather_backed_off_servers " << gateway.backed_off_servers() << "\n";
  text << "# TYPE heather_quarantined_requests gauge\n";
  text << "heather_quarantined_requests " << gateway.quarantined() << "\n";
  text << "# TYPE heather_pauses_total counter\n";
  text << "heather_pauses_total " << gateway.pauses().pauses() << "\n";
  text << "# TYPE heather_paused_ms_total counter\n";
  text << "heather_paused_ms_total "
       << heathersteer::Milliseconds(gateway.pauses().paused_time()) << "\n";
  text << "# TYPE heather_configuration_version gauge\n";
  text << "heather_configuration_version "
       << (gateway.config() == nullptr ? 0 : gateway.config()->version) << "\n";
  text << "# TYPE heather_request_seconds histogram\n";
  for (const auto& [rank, latency] : gateway.latencies()) {
    WriteHistogram(text, rank, latency);
  }
  return text.str();
}

}  // namespace heathergate
