#include "heathersteer/hash.h"

#include <xxhash.h>

#include <cmath>

namespace heathersteer {
namespace {

constexpr int kMantissaBits = 53;

}  // namespace

double UnitHash(std::string_view first, std::string_view second) {
  const XXH64_hash_t seed = XXH3_64bits(first.data(), first.size());
  const XXH64_hash_t hash =
      XXH3_64bits_withSeed(second.data(), second.size(), seed);
  const auto bits = static_cast<double>(hash >> (64 - kMantissaBits));
  return std::ldexp(bits + 0.5, -kMantissaBits);
}

}  // namespace heathersteer
