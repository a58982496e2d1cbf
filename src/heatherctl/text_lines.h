#ifndef HEATHERCTL_TEXT_LINES_H_
#define HEATHERCTL_TEXT_LINES_H_

#include <string>
#include <vector>

namespace heatherctl {

/// The lines of a text, without their ends.
std::vector<std::string> TextLines(const std::string& text);

/// Lines as one text; each ends with a newline.
std::string JoinLines(const std::vector<std::string>& lines);

}  // namespace heatherctl

#endif  // HEATHERCTL_TEXT_LINES_H_
