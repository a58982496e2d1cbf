#ifndef HEATHERNET_TABLE_ENTRY_H_
#define HEATHERNET_TABLE_ENTRY_H_

#include <string>

namespace heathernet {

/// A key of the platform's table and the value to store there.
struct TableEntry {
  std::string key;
  std::string value;
};

}  // namespace heathernet

#endif  // HEATHERNET_TABLE_ENTRY_H_
