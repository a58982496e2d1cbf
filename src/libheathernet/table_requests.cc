#include "table_requests.h"

#include "heathernet/platform_error.h"

namespace heathernet {
namespace {

constexpr int kOk = 200;

}  // namespace

PlatformRequest TableRead(const std::string& body) {
  return {PlatformAccess::kRead, "POST", "/v3/kv/range", body, {}};
}

PlatformRequest TableTransaction(const std::string& body) {
  return {PlatformAccess::kWrite, "POST", "/v3/kv/txn", body, {}};
}

const std::string& CheckedBody(const PlatformAnswer& answer) {
  if (answer.status != kOk) {
    throw PlatformError(PlatformError::Kind::kBadAnswer,
                        "the platform answered with status " +
                            std::to_string(answer.status) + ": " + answer.body);
  }
  return answer.body;
}

}  // namespace heathernet
