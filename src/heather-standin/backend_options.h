#ifndef HEATHER_STANDIN_BACKEND_OPTIONS_H_
#define HEATHER_STANDIN_BACKEND_OPTIONS_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace heather_standin {

/// How the service times of a stand-in backend server are spread.
enum class ServiceDistribution { kFixed, kExponential };

/// Names of the distributions, indexed by ServiceDistribution.
inline constexpr std::array<std::string_view, 2> kServiceDistributionNames = {
    "fixed", "exponential"};

/// Settings of a stand-in backend server.
struct BackendOptions {
  std::string name = "backend";
  /// Requests that run at the same time; more are shed.
  int slots = 4;
  /// Connections beyond it are closed at once; 0 for no limit.
  std::size_t max_connections = 0;
  /// Mean service time.
  std::chrono::duration<double, std::milli> service_time{40.0};
  ServiceDistribution distribution = ServiceDistribution::kExponential;
  std::uint64_t seed = 1;
  /// After a start, work takes cold_factor times as long for this time.
  std::chrono::milliseconds cold_time{0};
  double cold_factor = 1.0;
};

}  // namespace heather_standin

#endif  // HEATHER_STANDIN_BACKEND_OPTIONS_H_
