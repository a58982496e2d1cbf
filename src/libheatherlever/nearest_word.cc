#include "heatherlever/nearest_word.h"

#include <algorithm>
#include <numeric>

namespace heatherlever {
namespace {

// Levenshtein distance, one row of the table at a time.
std::size_t EditDistance(const std::string& a, const std::string& b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t replaced = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, replaced});
    }
  }
  return row[b.size()];
}

}  // namespace

std::string NearestWord(const std::string& word,
                        const std::vector<std::string>& words) {
  std::string nearest;
  std::size_t least = std::max<std::size_t>(2, word.size() / 2) + 1;
  for (const std::string& candidate : words) {
    const std::size_t distance = EditDistance(word, candidate);
    if (distance < least) {
      least = distance;
      nearest = candidate;
    }
  }
  return nearest;
}

std::string NearestWordHint(const std::string& word,
                            const std::vector<std::string>& words) {
  const std::string nearest = NearestWord(word, words);
  return nearest.empty() ? "" : "; did you mean '" + nearest + "'?";
}

}  // namespace heatherlever
