#ifndef HEATHERNET_TABLE_VALUE_H_
#define HEATHERNET_TABLE_VALUE_H_

#include <cstdint>
#include <string>

namespace heathernet {

/// The version that a compare-and-swap expects of a key without a row.
inline constexpr std::int64_t kAbsentVersion = 0;

/// A row of the platform's table. Versions of a key only grow.
struct TableValue {
  std::string value;
  std::int64_t version = kAbsentVersion;

  bool operator==(const TableValue&) const = default;
};

}  // namespace heathernet

#endif  // HEATHERNET_TABLE_VALUE_H_
