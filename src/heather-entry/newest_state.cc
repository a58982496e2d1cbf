#include "heather-entry/newest_state.h"

#include <nlohmann/json.hpp>

#include "heather-entry/gossip_codec.h"
#include "heatherlever/epoch_codec.h"

namespace heather_entry {

std::string NewestState::Encode() const {
  const nlohmann::json state = {
      {"config", config ? EncodeConfig(*config) : ""},
      {"epoch", epoch ? heatherlever::EncodeEpoch(*epoch) : ""},
      {"epoch_config", epoch_config ? EncodeConfig(*epoch_config) : ""}};
  return state.dump();
}

NewestState NewestState::Decode(const std::string& text) {
  NewestState state;
  const nlohmann::json fields = nlohmann::json::parse(text, nullptr, false);
  if (!fields.is_object()) {
    return state;
  }
  state.config = DecodeConfig(fields.value("config", ""));
  state.epoch_config = DecodeConfig(fields.value("epoch_config", ""));
  auto epoch = heatherlever::DecodeEpoch(fields.value("epoch", ""));
  if (epoch.ok()) {
    state.epoch = *std::move(epoch);
  }
  return state;
}

}  // namespace heather_entry
