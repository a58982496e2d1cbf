#ifndef HEATHER_ENTRY_LOOKUP_TTL_H_
#define HEATHER_ENTRY_LOOKUP_TTL_H_

#include <chrono>

namespace heather_entry {

/// How long callers may keep the answer to a look-up. A leaving host serves
/// callers for longer than this after its announcement.
inline constexpr std::chrono::seconds kLookupTtl(5);

}  // namespace heather_entry

#endif  // HEATHER_ENTRY_LOOKUP_TTL_H_
