#include "libheathergate/request_fingerprint.h"

#include <xxhash.h>

#include <string>

#include "heathergate/header_names.h"
#include "heathergate/http_exchange.h"

namespace heathergate {

std::uint64_t RequestFingerprint(const HttpExchange& exchange,
                                 const HeaderNames& names) {
  const HttpHead& head = exchange.head();
  std::uint64_t hash = 0;
  // Chained hashes of the parts: a byte that moves to the next part counts.
  const auto add = [&](const std::string& part) {
    hash = XXH3_64bits_withSeed(part.data(), part.size(), hash + part.size());
  };
  add(head.method);
  add(head.Value("Host"));
  add(head.target);
  add(head.Value("Authorization"));
  add(head.Value(names.affinity_key));
  add(exchange.body());
  return hash;
}

}  // namespace heathergate
