#include "libheatherlever/text_file.h"

#include <fstream>
#include <sstream>

namespace heatherlever {

std::optional<std::string> ReadTextFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace heatherlever
