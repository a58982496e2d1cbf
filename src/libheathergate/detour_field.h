#ifndef LIBHEATHERGATE_DETOUR_FIELD_H_
#define LIBHEATHERGATE_DETOUR_FIELD_H_

#include <cstdint>
#include <optional>
#include <string>

namespace heathergate {

/// What an entry host says of a request that it passes on to another one.
struct DetourField {
  /// Maximum number of backend servers to which the request may be sent.
  int attempts_left = 0;
  /// Version of the sender's configuration.
  std::uint64_t config_version = 0;

  std::string Format() const;

  /// Returns nothing for text in another form.
  static std::optional<DetourField> Parse(const std::string& text);
};

}  // namespace heathergate

#endif  // LIBHEATHERGATE_DETOUR_FIELD_H_
