#ifndef HEATHER_PLANNER_PLANNER_H_
#define HEATHER_PLANNER_PLANNER_H_

#include <memory>
#include <optional>
#include <string>

#include "heather-planner/planner_settings.h"
#include "heatherlever/deployment_spec.h"
#include "heatherlever/epoch_planner.h"
#include "heatherlever/epoch_record.h"
#include "heatherlever/lease.h"

namespace spdlog {
class logger;
}

namespace heathernet {
class PlatformClient;
}

namespace heather_planner {

/// Writes the membership epoch while it holds the lease `lease/planner`.
class Planner {
 public:
  /// `client` has to outlive the planner.
  Planner(const PlannerSettings& settings, heathernet::PlatformClient& client);

  /// Looks at the lease, takes or renews it if that is due, and writes the
  /// next epoch if the lease is held and an epoch is due. Does nothing more if
  /// the platform does not answer.
  void Step();

  /// Gives the lease up so that another planner may take it at once.
  void Release();

  /// The whole state, as JSON.
  std::string Dump() const;

  bool holds_lease() const;

 private:
  void KeepLease();
  void ReadLease();
  void WriteLease(const heatherlever::LeaseWrite& write);
  void Plan();
  // Takes a newer configuration, if there is one.
  void ReadConfig();
  void WriteEpoch(const heatherlever::EpochRecord& next,
                  std::int64_t row_version);

  heathernet::PlatformClient& client_;
  std::shared_ptr<spdlog::logger> log_;
  heatherlever::Lease lease_;
  heatherlever::EpochPlanner epochs_;
  std::optional<heatherlever::EpochRecord> epoch_;
  // 0 before the first configuration.
  std::int64_t config_version_ = 0;
  heatherlever::DeploymentSpec spec_;
};

}  // namespace heather_planner

#endif  // HEATHER_PLANNER_PLANNER_H_
