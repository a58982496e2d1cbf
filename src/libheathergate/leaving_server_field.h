#ifndef LIBHEATHERGATE_LEAVING_SERVER_FIELD_H_
#define LIBHEATHERGATE_LEAVING_SERVER_FIELD_H_

#include <cstdint>
#include <optional>
#include <string>

namespace heathergate {

/// What an entry host says of the backend server whose response it returns to
/// the host that passed the request on: this incarnation is leaving.
struct LeavingServerField {
  std::string id;
  std::int64_t started_ms = 0;

  std::string Format() const;

  /// Returns nothing for text in another form.
  static std::optional<LeavingServerField> Parse(const std::string& text);
};

}  // namespace heathergate

#endif  // LIBHEATHERGATE_LEAVING_SERVER_FIELD_H_
