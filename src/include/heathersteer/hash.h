#ifndef HEATHERSTEER_HASH_H_
#define HEATHERSTEER_HASH_H_

#include <string_view>

namespace heathersteer {

/// A number in (0, 1), the same on every host for the same two texts.
double UnitHash(std::string_view first, std::string_view second);

}  // namespace heathersteer

#endif  // HEATHERSTEER_HASH_H_
