#include "heatherlever/lease_record.h"

#include <nlohmann/json.hpp>

namespace heatherlever {

using Json = nlohmann::json;

std::string LeaseRecord::Encode() const {
  return Json{{"holder", holder},
              {"generation", generation},
              {"write_number", write_number}}
      .dump();
}

absl::StatusOr<LeaseRecord> LeaseRecord::Parse(const std::string& text) {
  try {
    const Json json = Json::parse(text);
    return LeaseRecord{json.at("holder").get<std::string>(),
                       json.at("generation").get<std::int64_t>(),
                       json.at("write_number").get<std::int64_t>()};
  } catch (const Json::exception& error) {
    return absl::InvalidArgumentError(
        std::string("the lease record cannot be read: ") + error.what());
  }
}

}  // namespace heatherlever
