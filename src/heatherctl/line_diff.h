#ifndef HEATHERCTL_LINE_DIFF_H_
#define HEATHERCTL_LINE_DIFF_H_

#include <string>
#include <vector>

namespace heatherctl {

/// The difference of two texts, line by line: lines of `before` that are gone
/// start with "- ", new ones with "+ ". Unchanged lines are left out. Empty if
/// the texts are equal.
std::vector<std::string> LineDiff(const std::string& before,
                                  const std::string& after);

}  // namespace heatherctl

#endif  // HEATHERCTL_LINE_DIFF_H_
