#include "heather-standin/object_store.h"

#include <sodium.h>

#include <array>

namespace heather_standin {
namespace {

constexpr std::size_t kTagBytes = crypto_generichash_BYTES_MIN;

std::string Tag(const std::string& body) {
  std::array<unsigned char, kTagBytes> hash{};
  crypto_generichash(hash.data(), hash.size(),
                     reinterpret_cast<const unsigned char*>(body.data()),
                     body.size(), nullptr, 0);
  std::array<char, 2 * kTagBytes + 1> text{};
  sodium_bin2hex(text.data(), text.size(), hash.data(), hash.size());
  return std::string("\"") + text.data() + "\"";
}

}  // namespace

std::optional<ObjectStore::Object> ObjectStore::Get(const std::string& path) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = objects_.find(path);
  if (found == objects_.end()) {
    return std::nullopt;
  }
  return found->second;
}

std::optional<std::string> ObjectStore::Put(const std::string& path,
                                            const std::string& body,
                                            const std::string& if_match,
                                            const std::string& if_none_match) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = objects_.find(path);
  const std::string present = found == objects_.end() ? "" : found->second.etag;
  const bool matches = if_match.empty() || if_match == present;
  const bool is_new = if_none_match != "*" || present.empty();
  if (!matches || !is_new) {
    return std::nullopt;
  }
  Object& object = objects_[path];
  object = {body, Tag(body)};
  return object.etag;
}

}  // namespace heather_standin
