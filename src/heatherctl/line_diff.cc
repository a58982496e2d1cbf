#include "heatherctl/line_diff.h"

#include <algorithm>

#include "heatherctl/text_lines.h"

namespace heatherctl {
namespace {

// Removes the lines that both texts start and end with: the comparison takes
// the product of the two lengths.
void TrimCommonEnds(std::vector<std::string>& a, std::vector<std::string>& b) {
  while (!a.empty() && !b.empty() && a.back() == b.back()) {
    a.pop_back();
    b.pop_back();
  }
  const auto ends = std::mismatch(a.begin(), a.end(), b.begin(), b.end());
  a.erase(a.begin(), ends.first);
  b.erase(b.begin(), ends.second);
}

// Lengths of the longest common subsequences of all pairs of tails.
std::vector<std::vector<std::size_t>> CommonLengths(
    const std::vector<std::string>& a,
    const std::vector<std::string>& b) {
  std::vector<std::vector<std::size_t>> lengths(
      a.size() + 1, std::vector<std::size_t>(b.size() + 1, 0));
  for (std::size_t i = a.size(); i-- > 0;) {
    for (std::size_t j = b.size(); j-- > 0;) {
      lengths[i][j] = a[i] == b[j]
                          ? lengths[i + 1][j + 1] + 1
                          : std::max(lengths[i + 1][j], lengths[i][j + 1]);
    }
  }
  return lengths;
}

}  // namespace

std::vector<std::string> LineDiff(const std::string& before,
                                  const std::string& after) {
  std::vector<std::string> a = TextLines(before);
  std::vector<std::string> b = TextLines(after);
  TrimCommonEnds(a, b);
  const auto lengths = CommonLengths(a, b);
  std::vector<std::string> diff;
  std::size_t i = 0;
  std::size_t j = 0;
  while (i < a.size() || j < b.size()) {
    if (i < a.size() && j < b.size() && a[i] == b[j]) {
      ++i;
      ++j;
    } else if (j == b.size() ||
               (i < a.size() && lengths[i + 1][j] >= lengths[i][j + 1])) {
      diff.push_back("- " + a[i++]);
    } else {
      diff.push_back("+ " + b[j++]);
    }
  }
  return diff;
}

}  // namespace heatherctl
