#ifndef HEATHERNET_STORED_OBJECT_H_
#define HEATHERNET_STORED_OBJECT_H_

#include <string>

namespace heathernet {

/// An object of the object store and the tag of its content.
struct StoredObject {
  std::string body;
  std::string etag;

  bool operator==(const StoredObject&) const = default;
};

}  // namespace heathernet

#endif  // HEATHERNET_STORED_OBJECT_H_
