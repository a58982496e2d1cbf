#include "heather-standin/fault_fields.h"

#include <utility>

#include "heather-standin/standin_error.h"

namespace heather_standin {

FaultFields::FaultFields(std::map<std::string, Setter> setters)
    : setters_(std::move(setters)) {}

void FaultFields::Apply(const nlohmann::json& faults) const {
  for (const auto& [name, value] : faults.items()) {
    if (!setters_.contains(name)) {
      throw StandinError("fault '" + name + "' is not known");
    }
  }
  for (const auto& [name, value] : faults.items()) {
    try {
      setters_.at(name)(value);
    } catch (const nlohmann::json::exception& error) {
      throw StandinError("fault '" + name + "': " + error.what());
    }
  }
}

}  // namespace heather_standin
