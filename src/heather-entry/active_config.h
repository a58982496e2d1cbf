#ifndef HEATHER_ENTRY_ACTIVE_CONFIG_H_
#define HEATHER_ENTRY_ACTIVE_CONFIG_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "heatherlever/block_table.h"
#include "heatherlever/config_record.h"
#include "heatherlever/deployment_spec.h"

namespace heather_entry {

/// A configuration in force, checked and ready for look-ups. Immutable.
struct ActiveConfig {
  std::int64_t version = 0;
  std::string digest;
  heatherlever::DeploymentSpec spec;
  std::shared_ptr<const heatherlever::BlockTable> blocks;

  /// Index of a kind of work in `spec`; nothing for an unknown name.
  std::optional<std::size_t> KindIndex(const std::string& name) const;

  /// Home region of a caller: by its block, otherwise `fallback`.
  std::string HomeOf(std::uint32_t client_address,
                     const std::string& fallback) const;
};

/// Reads and checks an accepted configuration. An InvalidArgument status says
/// what is wrong with it.
absl::StatusOr<std::shared_ptr<const ActiveConfig>> MakeActiveConfig(
    const heatherlever::ConfigRecord& record);

}  // namespace heather_entry

#endif  // HEATHER_ENTRY_ACTIVE_CONFIG_H_
