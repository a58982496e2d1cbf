#include "heatherctl/line_diff.h"

#include <algorithm>
#include <sstream>

namespace heatherctl {
namespace {

std::vector<std::string> Lines(const std::string& text) {
  std::istringstream stream(text);
  std::vector<std::string> lines;
  for (std::string line; std::getline(stream, line);) {
    lines.push_back(line);
  }
  return lines;
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
  const std::vector<std::string> a = Lines(before);
  const std::vector<std::string> b = Lines(after);
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
