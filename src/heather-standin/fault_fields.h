#ifndef HEATHER_STANDIN_FAULT_FIELDS_H_
#define HEATHER_STANDIN_FAULT_FIELDS_H_

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace heather_standin {

/// The fields that a `POST /standin/faults` may have, and what each sets.
class FaultFields {
 public:
  using Setter = std::function<void(const nlohmann::json& value)>;

  explicit FaultFields(std::map<std::string, Setter> setters);

  /// Calls the setter of every field of `faults`. Throws StandinError for an
  /// unknown field, before anything is set, or for a value of another type.
  void Apply(const nlohmann::json& faults) const;

 private:
  std::map<std::string, Setter> setters_;
};

}  // namespace heather_standin

#endif  // HEATHER_STANDIN_FAULT_FIELDS_H_
