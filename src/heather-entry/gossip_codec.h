#ifndef HEATHER_ENTRY_GOSSIP_CODEC_H_
#define HEATHER_ENTRY_GOSSIP_CODEC_H_

#include <optional>
#include <string>

#include "heather-entry/pool_name.h"
#include "heatherlever/config_record.h"
#include "heatherlever/headroom_report.h"

namespace heather_entry {

/// A pool's headroom as the payload of a gossip entry.
std::string EncodeHeadroom(const heatherlever::HeadroomReport& report);

/// The report of a payload; nothing for other bytes. Its age is 0.
std::optional<heatherlever::HeadroomReport> DecodeHeadroom(
    const std::string& payload);

/// The key under which a pool's owner spreads its headroom.
std::string PoolKey(const PoolName& pool);

/// The pool of such a key; nothing for other keys.
std::optional<PoolName> PoolOfKey(const std::string& key);

/// A configuration as the payload of a gossip entry.
std::string EncodeConfig(const heatherlever::ConfigRecord& record);

/// The configuration of a payload; nothing for other bytes, or if its digest
/// does not fit its text.
std::optional<heatherlever::ConfigRecord> DecodeConfig(
    const std::string& payload);

}  // namespace heather_entry

#endif  // HEATHER_ENTRY_GOSSIP_CODEC_H_
