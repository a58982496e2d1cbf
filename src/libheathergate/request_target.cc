#include "libheathergate/request_target.h"

#include <algorithm>
#include <string>

#include "heathergate/http_head.h"

namespace heathergate {
namespace {

constexpr std::string_view kScheme = "http://";

}  // namespace

bool ToOriginForm(HttpHead& head) {
  const std::string target = head.target;
  // The parser accepts tabs and form feeds, at which some servers end a target
  // (RFC 9112, 3).
  if (target.find_first_of("\t\f") != std::string::npos) {
    return false;
  }
  if (!SameName(std::string_view(target).substr(0, kScheme.size()), kScheme)) {
    return true;
  }
  const std::size_t end =
      std::min(target.find_first_of("/?", kScheme.size()), target.size());
  const std::string authority =
      target.substr(kScheme.size(), end - kScheme.size());
  // RFC 9110, 4.2.4: user information may hide the host.
  if (authority.empty() || authority.find('@') != std::string::npos) {
    return false;
  }
  head.target = target.substr(end);
  if (!head.target.starts_with('/')) {
    head.target.insert(0, "/");
  }
  std::erase_if(head.fields, [](const HeaderField& field) {
    return SameName(field.name, "Host");
  });
  head.fields.insert(head.fields.begin(), {"Host", authority});
  return true;
}

}  // namespace heathergate
