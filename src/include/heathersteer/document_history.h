#ifndef HEATHERSTEER_DOCUMENT_HISTORY_H_
#define HEATHERSTEER_DOCUMENT_HISTORY_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "heathersteer/document_delta.h"

namespace heathersteer {

/// The last versions of a document, so that a following host gets only what has
/// changed since the version that it has.
class DocumentHistory {
 public:
  /// Records a new version.
  void Update(const std::string& document, std::uint64_t version);

  /// Returns the difference to the newest version. nullptr if `version` is the
  /// newest one or is not remembered.
  const DocumentDelta* Since(std::uint64_t version);

 private:
  struct Entry {
    std::string document;
    std::uint64_t version = 0;
    // Difference to the newest version, once it was requested.
    std::optional<DocumentDelta> delta;
  };

  // Oldest first.
  std::deque<Entry> entries_;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_DOCUMENT_HISTORY_H_
