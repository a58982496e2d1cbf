#ifndef HEATHER_STANDIN_HOST_LIST_H_
#define HEATHER_STANDIN_HOST_LIST_H_

#include <chrono>
#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace heather_standin {

/// Registered services, as Consul's health endpoint shows them. A change is
/// shown only after a settable lag.
class HostList {
 public:
  void set_lag(std::chrono::milliseconds lag);

  /// `service` is the body of Consul's register call: ID, Name, Address, Port
  /// and Meta. Throws StandinError if there is no ID, and
  /// nlohmann::json::exception for a field of another type.
  void Register(const nlohmann::json& service);

  /// False if no service has this ID.
  bool SetMaintenance(const std::string& id, bool enabled);
  bool Deregister(const std::string& id);

  /// The answer of `GET /v1/health/service/<name>`.
  nlohmann::json Health(const std::string& name);

 private:
  struct Entry {
    std::string name;
    std::string address;
    int port = 0;
    std::map<std::string, std::string> meta;
    bool maintenance = false;
  };
  struct Change {
    std::chrono::steady_clock::time_point at;
    std::string id;
    std::optional<Entry> entry;
  };

  void AddChange(const std::string& id, const std::optional<Entry>& entry);
  void ShowDueChanges();

  std::mutex mutex_;
  std::chrono::milliseconds lag_{0};
  std::map<std::string, Entry> registered_;
  std::map<std::string, Entry> shown_;
  std::deque<Change> hidden_changes_;
};

}  // namespace heather_standin

#endif  // HEATHER_STANDIN_HOST_LIST_H_
