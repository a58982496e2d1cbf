#include "libheathergate/leaving_server_field.h"

#include <absl/strings/numbers.h>

namespace heathergate {

std::string LeavingServerField::Format() const {
  return std::to_string(started_ms) + ";" + id;
}

std::optional<LeavingServerField> LeavingServerField::Parse(
    const std::string& text) {
  // An id may hold a semicolon.
  const std::size_t separator = text.find(';');
  LeavingServerField field;
  if (separator == std::string::npos || separator + 1 == text.size() ||
      !absl::SimpleAtoi(text.substr(0, separator), &field.started_ms)) {
    return std::nullopt;
  }
  field.id = text.substr(separator + 1);
  return field;
}

}  // namespace heathergate
