#ifndef LIBHEATHERGATE_REQUEST_FINGERPRINT_H_
#define LIBHEATHERGATE_REQUEST_FINGERPRINT_H_

#include <cstdint>

namespace heathergate {

class HttpExchange;
struct HeaderNames;

/// Hash of what a request asks for and who asks: equal for all attempts of the
/// same request, at every host.
std::uint64_t RequestFingerprint(const HttpExchange& exchange,
                                 const HeaderNames& names);

}  // namespace heathergate

#endif  // LIBHEATHERGATE_REQUEST_FINGERPRINT_H_
