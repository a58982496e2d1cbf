#ifndef HEATHERLEVER_RANK_H_
#define HEATHERLEVER_RANK_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace heatherlever {

/// How urgent a kind of work is. Lower values are served first.
enum class Rank { kFirst, kSecond, kThird };

/// Number of ranks.
inline constexpr std::size_t kRankCount = 3;

/// Names of the ranks, indexed by Rank, as settings and metrics write them.
inline constexpr std::array<std::string_view, kRankCount> kRankNames = {
    "first", "second", "third"};

/// Name of a rank.
constexpr std::string_view RankName(Rank rank) {
  return kRankNames[static_cast<std::size_t>(rank)];
}

/// The rank of a name; nothing if no rank has that name.
std::optional<Rank> RankFromName(std::string_view name);

}  // namespace heatherlever

#endif  // HEATHERLEVER_RANK_H_
