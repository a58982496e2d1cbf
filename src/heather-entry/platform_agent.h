#ifndef HEATHER_ENTRY_PLATFORM_AGENT_H_
#define HEATHER_ENTRY_PLATFORM_AGENT_H_

#include <absl/status/statusor.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "heatherlever/config_record.h"
#include "heatherlever/epoch_record.h"
#include "heatherlever/host_record.h"
#include "heatherlever/instant.h"

namespace heathernet {
class PlatformClient;
}

namespace heather_entry {

struct EntrySettings;

/// Keeps this entry host registered at the platform and reads the
/// configuration and the epoch from it, on a thread of its own, so that a slow
/// platform delays nothing else.
class PlatformAgent {
 public:
  using OnConfig = std::function<void(const heatherlever::ConfigRecord&)>;
  /// Also gets the configuration that the epoch names.
  using OnEpoch = std::function<void(const heatherlever::EpochRecord&,
                                     const heatherlever::ConfigRecord&)>;

  using OnHosts =
      std::function<void(const std::vector<heatherlever::HostRecord>&)>;

  /// `self` is registered as it is. InvalidArgument for unusable settings.
  static absl::StatusOr<std::unique_ptr<PlatformAgent>> Create(
      const EntrySettings& settings,
      const heatherlever::HostRecord& self);

  ~PlatformAgent();

  /// Starts the thread. The functions run on it: for each newer version, and
  /// for each reading of the list of hosts.
  void Start(OnConfig on_config, OnEpoch on_epoch, OnHosts on_hosts);

  /// Number of entry hosts that this one hears of, itself included; the more
  /// they are, the more rarely each of them reads (see PollInterval).
  void SetHeardHosts(int hosts) { heard_hosts_ = hosts; }

  /// Marks this host as leaving in the platform's list, soon.
  void Leave();

  /// Takes this host off the platform's list and ends the thread.
  void Stop();

 private:
  PlatformAgent(const EntrySettings& settings, heatherlever::HostRecord self);

  void Run();
  void Step();
  // Reads if that is due, and returns whether it was.
  bool Read();
  void KeepRegistered();
  void ReadConfig();
  void ReadEpoch();

  const heatherlever::Duration poll_interval_;
  const heatherlever::HostRecord self_;
  std::unique_ptr<heathernet::PlatformClient> client_;
  OnConfig on_config_;
  OnEpoch on_epoch_;
  OnHosts on_hosts_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  bool leaving_ = false;
  bool told_leaving_ = false;
  std::atomic<int> heard_hosts_{0};
  std::mt19937_64 generator_;
  heatherlever::Instant register_at_{0};
  heatherlever::Instant read_at_{0};
  heatherlever::ConfigRecord config_;
  std::uint64_t epoch_number_ = 0;
  bool reachable_ = true;
  std::thread thread_;
};

}  // namespace heather_entry

#endif  // HEATHER_ENTRY_PLATFORM_AGENT_H_
