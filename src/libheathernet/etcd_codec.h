#ifndef LIBHEATHERNET_ETCD_CODEC_H_
#define LIBHEATHERNET_ETCD_CODEC_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "heathernet/table_entry.h"
#include "heathernet/table_guard.h"
#include "heathernet/table_value.h"

namespace heathernet {

/// Bodies of etcd's v3 JSON gateway: keys and values in base64, 64-bit numbers
/// as strings. The parsers throw PlatformError (kBadAnswer).
class EtcdCodec {
 public:
  /// A read of one key.
  static std::string KeyRequest(const std::string& key);

  /// A read of every key with a prefix.
  static std::string PrefixRequest(const std::string& prefix);

  /// Stores `entries` if every guard holds; otherwise reads `marker_key`.
  static std::string SwapRequest(const std::vector<TableGuard>& guards,
                                 const std::vector<TableEntry>& entries,
                                 const std::string& marker_key);

  /// The rows of a read, by key.
  static std::map<std::string, TableValue> ParseRows(const std::string& body);

  struct SwapAnswer {
    bool written = false;
    /// Version of the written rows; only if `written`.
    std::int64_t version = 0;
    /// The row of marker_key; only if not `written`.
    std::optional<TableValue> marker;
  };
  static SwapAnswer ParseSwap(const std::string& body);
};

}  // namespace heathernet

#endif  // LIBHEATHERNET_ETCD_CODEC_H_
