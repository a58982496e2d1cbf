#ifndef HEATHERNET_TABLE_GUARD_H_
#define HEATHERNET_TABLE_GUARD_H_

#include <cstdint>
#include <string>

namespace heathernet {

/// A key of the platform's table and the version that it has to be at for a
/// transaction to take effect; kAbsentVersion for no row.
struct TableGuard {
  std::string key;
  std::int64_t version = 0;
};

}  // namespace heathernet

#endif  // HEATHERNET_TABLE_GUARD_H_
