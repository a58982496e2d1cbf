#ifndef HEATHERGATE_HTTP_STATUS_H_
#define HEATHERGATE_HTTP_STATUS_H_

namespace heathergate {

/// Status codes (RFC 9110, RFC 6585) that the gateway sends or handles.
inline constexpr int kStatusOk = 200;
inline constexpr int kStatusNoContent = 204;
inline constexpr int kStatusNotModified = 304;
inline constexpr int kStatusBadRequest = 400;
inline constexpr int kStatusNotFound = 404;
inline constexpr int kStatusRequestTimeout = 408;
inline constexpr int kStatusConflict = 409;
inline constexpr int kStatusGone = 410;
inline constexpr int kStatusPreconditionFailed = 412;
inline constexpr int kStatusPayloadTooLarge = 413;
inline constexpr int kStatusMisdirected = 421;
inline constexpr int kStatusTooManyRequests = 429;
inline constexpr int kStatusHeadTooLarge = 431;
inline constexpr int kStatusServerError = 500;
inline constexpr int kStatusBadGateway = 502;
inline constexpr int kStatusUnavailable = 503;
inline constexpr int kStatusGatewayTimeout = 504;

}  // namespace heathergate

#endif  // HEATHERGATE_HTTP_STATUS_H_
