#include "heather-standin/host_list.h"

#include "heather-standin/standin_error.h"

namespace heather_standin {

using Json = nlohmann::json;

void HostList::set_lag(std::chrono::milliseconds lag) {
  const std::lock_guard<std::mutex> lock(mutex_);
  lag_ = lag;
}

void HostList::Register(const Json& service) {
  const std::string id = service.value("ID", "");
  if (id.empty()) {
    throw StandinError("a registration needs a field 'ID'");
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  const Entry entry{service.value("Name", ""), service.value("Address", ""),
                    service.value("Port", 0),
                    service.value("Meta", std::map<std::string, std::string>()),
                    false};
  registered_[id] = entry;
  AddChange(id, entry);
}

bool HostList::SetMaintenance(const std::string& id, bool enabled) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = registered_.find(id);
  if (found == registered_.end()) {
    return false;
  }
  found->second.maintenance = enabled;
  AddChange(id, found->second);
  return true;
}

bool HostList::Deregister(const std::string& id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (registered_.erase(id) == 0) {
    return false;
  }
  AddChange(id, std::nullopt);
  return true;
}

Json HostList::Health(const std::string& name) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ShowDueChanges();
  Json answer = Json::array();
  for (const auto& [id, entry] : shown_) {
    if (entry.name != name) {
      continue;
    }
    Json service = {{"ID", id},
                    {"Service", name},
                    {"Address", entry.address},
                    {"Port", entry.port},
                    {"Meta", entry.meta}};
    Json checks = {{{"CheckID", "service:" + id}, {"Status", "passing"}}};
    // Consul shows maintenance mode as a critical check with this name.
    if (entry.maintenance) {
      checks.push_back(
          {{"CheckID", "_service_maintenance:" + id}, {"Status", "critical"}});
    }
    answer.push_back({{"Service", service}, {"Checks", checks}});
  }
  return answer;
}

void HostList::AddChange(const std::string& id,
                         const std::optional<Entry>& entry) {
  hidden_changes_.push_back({std::chrono::steady_clock::now(), id, entry});
}

void HostList::ShowDueChanges() {
  const auto limit = std::chrono::steady_clock::now() - lag_;
  while (!hidden_changes_.empty() && hidden_changes_.front().at <= limit) {
    const Change& change = hidden_changes_.front();
    if (change.entry) {
      shown_[change.id] = *change.entry;
    } else {
      shown_.erase(change.id);
    }
    hidden_changes_.pop_front();
  }
}

}  // namespace heather_standin
