#ifndef HEATHERSTEER_HASH_H_
#define HEATHERSTEER_HASH_H_

#include <string_view>

namespace heathersteer {

/// Hashes two strings to a number in (0, 1) that is the same on every host.
double UnitHash(std::string_view first, std::string_view second);

}  // namespace heathersteer

#endif  // HEATHERSTEER_HASH_H_
