#ifndef LIBHEATHERNET_TABLE_REQUESTS_H_
#define LIBHEATHERNET_TABLE_REQUESTS_H_

#include <string>

#include "platform_transport.h"

namespace heathernet {

/// A read of the table with this body.
PlatformRequest TableRead(const std::string& body);

/// A transaction on the table with this body.
PlatformRequest TableTransaction(const std::string& body);

/// The body of an answer with status 200. Throws PlatformError (kBadAnswer)
/// for another status.
const std::string& CheckedBody(const PlatformAnswer& answer);

}  // namespace heathernet

#endif  // LIBHEATHERNET_TABLE_REQUESTS_H_
