#ifndef HEATHER_ENTRY_STEERING_H_
#define HEATHER_ENTRY_STEERING_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "heather-entry/pool_name.h"
#include "heather-entry/work_answer.h"
#include "heather-entry/work_request.h"
#include "heatherlever/drain_plan.h"
#include "heatherlever/placement.h"

namespace heatherlever {
struct HeadroomReport;
}

namespace heather_entry {

struct ActiveConfig;
class Directory;
class PoolSet;

/// Where a request was placed.
struct PlacedWork {
  bool refused = false;
  /// Why it is not run; set if refused.
  WorkAnswer refusal;
  PoolName pool;
  /// To be called with the request's end; set unless refused.
  std::function<void(const WorkAnswer&)> on_done;
};

/// Places requests in regions, by the configuration in force, the drains, the
/// headroom of the pools and the regions that are dead. Used on the loop
/// thread.
class Steering {
 public:
  /// `region` is where this host is.
  Steering(std::string region, Directory& directory, PoolSet& pools);

  /// Takes a configuration into force. Returns false, with a log line, if it
  /// cannot be used here.
  bool InstallConfig(const std::shared_ptr<const ActiveConfig>& config);

  /// Places one request of a known kind, and counts it.
  PlacedWork Place(const WorkRequest& request);

  /// The epoch's members have changed; `self` names this host.
  void OnMembers(const std::string& self);

  void OnHeadroom(const PoolName& pool,
                  const heatherlever::HeadroomReport& report);

  /// Brings drains and dead regions up to date. To be called some times a
  /// second.
  void Refresh();

  /// Whether a region's entry hosts are all gone or silent.
  bool RegionDead(const std::string& region) const;

  /// Why a request would go where it would go, as lines of text.
  std::vector<std::string> Explain(const std::string& kind,
                                   std::uint32_t client_address) const;

 private:
  void RefreshDrains();
  void OnDone(const std::string& kind,
              const std::string& region,
              const WorkAnswer& answer);

  const std::string region_;
  Directory& directory_;
  PoolSet& pools_;
  std::shared_ptr<const ActiveConfig> config_;
  std::optional<heatherlever::Placement> placement_;
  std::optional<heatherlever::DrainPlan> drains_;
  std::set<std::string> draining_;
};

}  // namespace heather_entry

#endif  // HEATHER_ENTRY_STEERING_H_
