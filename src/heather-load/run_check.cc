#include "heather-load/run_check.h"

#include <httplib.h>

#include <map>
#include <nlohmann/json.hpp>

#include "heather-load/load_plan.h"

namespace heather_load {
namespace {

constexpr time_t kTimeoutS = 3;

// Adds what one server ran; false if it does not answer.
bool Collect(const heatherlever::BackendSpec& backend,
             std::map<std::string, std::uint64_t>& runs,
             RunCheck& check) {
  httplib::Client client(backend.address, backend.port);
  client.set_connection_timeout(kTimeoutS);
  client.set_read_timeout(kTimeoutS);
  const auto answer = client.Get("/standin/runs");
  const auto stats = client.Get("/standin/stats");
  if (!answer || !stats) {
    return false;
  }
  const nlohmann::json counts = nlohmann::json::parse(answer->body);
  for (const auto& [key, count] : counts.items()) {
    runs[key] += count.get<std::uint64_t>();
  }
  check.over_slots +=
      nlohmann::json::parse(stats->body).value("over_slots", 0U);
  return true;
}

}  // namespace

RunCheck CheckRuns(const LoadPlan& plan,
                   const std::vector<RequestResult>& results) {
  RunCheck check;
  std::map<std::string, std::uint64_t> runs;
  for (const heatherlever::BackendSpec& backend : plan.deployment.backends) {
    check.silent_servers += Collect(backend, runs, check) ? 0 : 1;
  }
  for (const RequestResult& result : results) {
    if (result.key.empty()) {
      continue;
    }
    const std::uint64_t count = runs.count(result.key) ? runs[result.key] : 0;
    check.doubled += count > 1 ? 1 : 0;
    check.false_not_run +=
        result.result == ResultClass::kNotRun && count > 0 ? 1 : 0;
    check.false_done +=
        result.result == ResultClass::kDone && count == 0 ? 1 : 0;
  }
  return check;
}

}  // namespace heather_load
