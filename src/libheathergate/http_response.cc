#include "heathergate/http_response.h"

#include <algorithm>
#include <array>
#include <utility>

namespace heathergate {
namespace {

constexpr std::array<std::pair<int, const char*>, 14> kPhrases = {{
    {200, "OK"},
    {400, "Bad Request"},
    {404, "Not Found"},
    {408, "Request Timeout"},
    {409, "Conflict"},
    {410, "Gone"},
    {413, "Payload Too Large"},
    {421, "Misdirected Request"},
    {429, "Too Many Requests"},
    {431, "Request Header Fields Too Large"},
    {500, "Internal Server Error"},
    {502, "Bad Gateway"},
    {503, "Service Unavailable"},
    {504, "Gateway Timeout"},
}};

}  // namespace

const char* ReasonPhrase(int status) {
  const auto found =
      std::find_if(kPhrases.begin(), kPhrases.end(),
                   [&](const auto& entry) { return entry.first == status; });
  return found == kPhrases.end() ? "Status" : found->second;
}

}  // namespace heathergate
