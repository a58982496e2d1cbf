#include "heathergate/http_response.h"

#include "heathergate/http_status.h"

#include <algorithm>
#include <array>
#include <utility>

namespace heathergate {
namespace {

constexpr std::array<std::pair<int, const char*>, 14> kPhrases = {{
    {kStatusOk, "OK"},
    {kStatusBadRequest, "Bad Request"},
    {kStatusNotFound, "Not Found"},
    {kStatusRequestTimeout, "Request Timeout"},
    {kStatusConflict, "Conflict"},
    {kStatusGone, "Gone"},
    {kStatusPayloadTooLarge, "Payload Too Large"},
    {kStatusMisdirected, "Misdirected Request"},
    {kStatusTooManyRequests, "Too Many Requests"},
    {kStatusHeadTooLarge, "Request Header Fields Too Large"},
    {kStatusServerError, "Internal Server Error"},
    {kStatusBadGateway, "Bad Gateway"},
    {kStatusUnavailable, "Service Unavailable"},
    {kStatusGatewayTimeout, "Gateway Timeout"},
}};

}  // namespace

HttpResponse HttpResponse::Of(int status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

const char* ReasonPhrase(int status) {
  const auto found =
      std::find_if(kPhrases.begin(), kPhrases.end(),
                   [&](const auto& entry) { return entry.first == status; });
  return found == kPhrases.end() ? "Status" : found->second;
}

}  // namespace heathergate
