#ifndef HEATHER_PLANNER_PLANNER_H_
#define HEATHER_PLANNER_PLANNER_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

#include "heatherlever/deployment_spec.h"
#include "heatherlever/epoch_planner.h"

namespace heathernet {
class PlatformClient;
}

namespace heather_planner {

struct PlannerSettings;

/// Keeps the membership epoch in the platform's table up to date with the host
/// list and the configuration.
class Planner {
 public:
  /// Throws std::runtime_error for unusable settings.
  explicit Planner(const PlannerSettings& settings);
  ~Planner();

  /// Looks and plans until Stop().
  void Run();

  /// Makes Run() return soon. Callable from any thread.
  void Stop();

 private:
  void Step();
  // The newest configuration; nothing before the first.
  const heatherlever::DeploymentSpec* NewestSpec();
  std::set<std::string> DrainingRegions() const;
  void Write(std::int64_t row_version, const heatherlever::EpochRecord& record);

  const heatherlever::Duration interval_;
  std::unique_ptr<heathernet::PlatformClient> client_;
  heatherlever::EpochPlanner planner_;
  std::int64_t config_version_ = 0;
  heatherlever::DeploymentSpec spec_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
};

}  // namespace heather_planner

#endif  // HEATHER_PLANNER_PLANNER_H_
