#ifndef HEATHERSTEER_DOCUMENT_DELTA_H_
#define HEATHERSTEER_DOCUMENT_DELTA_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace heathersteer {

/// Difference between a version of a text document and an earlier one.
struct DocumentDelta {
  /// A range of the earlier version, followed by new text.
  struct Piece {
    std::size_t offset = 0;
    std::size_t size = 0;
    std::string text;

    bool operator==(const Piece&) const = default;
  };

  /// Version that the pieces refer to.
  std::uint64_t base_version = 0;
  /// Digest of the result.
  std::uint64_t digest = 0;
  std::vector<Piece> pieces;

  bool operator==(const DocumentDelta&) const = default;
};

DocumentDelta MakeDocumentDelta(const std::string& base,
                                std::uint64_t base_version,
                                const std::string& document);

/// Returns nothing unless the delta was made for this text.
std::optional<std::string> ApplyDocumentDelta(const std::string& base,
                                              const DocumentDelta& delta);

}  // namespace heathersteer

#endif  // HEATHERSTEER_DOCUMENT_DELTA_H_
