#include "libheathergate/detour_field.h"

#include <absl/strings/numbers.h>

namespace heathergate {

std::string DetourField::Format() const {
  return std::to_string(attempts_left) + ";" + std::to_string(config_version);
}

std::optional<DetourField> DetourField::Parse(const std::string& text) {
  const std::size_t separator = text.find(';');
  DetourField field;
  if (separator == std::string::npos ||
      !absl::SimpleAtoi(text.substr(0, separator), &field.attempts_left) ||
      !absl::SimpleAtoi(text.substr(separator + 1), &field.config_version) ||
      field.attempts_left < 1) {
    return std::nullopt;
  }
  return field;
}

}  // namespace heathergate
