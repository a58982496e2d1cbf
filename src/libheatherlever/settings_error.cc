#include "heatherlever/settings_error.h"

namespace heatherlever {
namespace {

std::string Located(const std::string& file,
                    int line,
                    const std::string& message) {
  const std::string place = line > 0 ? file + ":" + std::to_string(line) : file;
  return place + ": " + message;
}

}  // namespace

SettingsError::SettingsError(const std::string& file,
                             int line,
                             const std::string& message)
    : std::runtime_error(Located(file, line, message)) {}

}  // namespace heatherlever
