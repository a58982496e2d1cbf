#ifndef HEATHER_ENTRY_NEWEST_STATE_H_
#define HEATHER_ENTRY_NEWEST_STATE_H_

#include <optional>
#include <string>

#include "heatherlever/config_record.h"
#include "heatherlever/epoch_record.h"

namespace heather_entry {

/// The newest configuration and epoch that a host knows, as it tells a host
/// that starts while the platform does not answer.
struct NewestState {
  std::optional<heatherlever::ConfigRecord> config;
  std::optional<heatherlever::EpochRecord> epoch;
  /// The configuration that the epoch names.
  std::optional<heatherlever::ConfigRecord> epoch_config;

  std::string Encode() const;

  /// The state of a message; what it does not hold whole stays empty.
  static NewestState Decode(const std::string& text);
};

}  // namespace heather_entry

#endif  // HEATHER_ENTRY_NEWEST_STATE_H_
