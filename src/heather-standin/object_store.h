#ifndef HEATHER_STANDIN_OBJECT_STORE_H_
#define HEATHER_STANDIN_OBJECT_STORE_H_

#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace heather_standin {

/// Objects by path, each with the tag of its content.
class ObjectStore {
 public:
  struct Object {
    std::string body;
    /// Quoted, as the ETag header writes it.
    std::string etag;
  };

  std::optional<Object> Get(const std::string& path);

  /// Stores an object and returns its tag. Nothing is stored and nothing
  /// returned if `if_match` is set and differs from the present tag, or if
  /// `if_none_match` is "*" and there is an object. Empty conditions hold.
  std::optional<std::string> Put(const std::string& path,
                                 const std::string& body,
                                 const std::string& if_match,
                                 const std::string& if_none_match);

 private:
  std::mutex mutex_;
  std::map<std::string, Object> objects_;
};

}  // namespace heather_standin

#endif  // HEATHER_STANDIN_OBJECT_STORE_H_
