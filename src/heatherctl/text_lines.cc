#include "heatherctl/text_lines.h"

#include <sstream>

namespace heatherctl {

std::vector<std::string> TextLines(const std::string& text) {
  std::istringstream stream(text);
  std::vector<std::string> lines;
  for (std::string line; std::getline(stream, line);) {
    lines.push_back(line);
  }
  return lines;
}

std::string JoinLines(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& line : lines) {
    text += line + "\n";
  }
  return text;
}

}  // namespace heatherctl
