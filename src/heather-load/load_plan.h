#ifndef HEATHER_LOAD_LOAD_PLAN_H_
#define HEATHER_LOAD_LOAD_PLAN_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "heather-load/wave.h"
#include "heatherlever/deployment_spec.h"
#include "heatherlever/instant.h"

namespace heather_load {

/// An open-loop stream of requests of one kind of work: arrivals do not wait
/// for answers.
struct LoadStream {
  std::string name;
  std::string kind;
  /// Mean arrivals a second, as a Poisson process.
  double rate_per_s = 0;
  /// Changes the rate over time.
  std::optional<Wave> wave;
  /// Time from the start of the load at which the stream starts and ends.
  heatherlever::Duration start{0};
  heatherlever::Duration end{0};
  /// IPv4 address of the first caller, in host byte order, and the number of
  /// callers on consecutive addresses.
  std::uint32_t first_caller = 0;
  int callers = 1;
  /// Size of a request's body, in bytes.
  int body_bytes = 0;
};

/// One load: its streams and whom to ask.
struct LoadPlan {
  std::uint64_t seed = 0;
  heatherlever::Duration duration{0};
  /// Threads that send; an upper bound of the requests at the same time.
  int threads = 0;
  /// `address:port` of entry hosts, for look-ups.
  std::vector<std::string> entry_hosts;
  std::vector<LoadStream> streams;
  heatherlever::DeploymentSpec deployment;
};

/// Reads a plan from YAML; the deployment's file is named relative to it. An
/// InvalidArgument status names file, line, what was expected and found.
absl::StatusOr<LoadPlan> LoadLoadPlan(const std::string& path);

}  // namespace heather_load

#endif  // HEATHER_LOAD_LOAD_PLAN_H_
