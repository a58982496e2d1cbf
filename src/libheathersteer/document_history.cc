#include "heathersteer/document_history.h"

#include <algorithm>
#include <cstddef>

namespace heathersteer {
namespace {

// Hosts that lag by more versions get the full document.
constexpr std::size_t kMaxVersions = 4;

}  // namespace

void DocumentHistory::Update(const std::string& document,
                             std::uint64_t version) {
  if (!entries_.empty() && entries_.back().version == version) {
    return;
  }
  for (Entry& entry : entries_) {
    entry.delta.reset();
  }
  entries_.push_back({document, version, std::nullopt});
  if (entries_.size() > kMaxVersions) {
    entries_.pop_front();
  }
}

const DocumentDelta* DocumentHistory::Since(std::uint64_t version) {
  const auto found = std::find_if(
      entries_.begin(), entries_.end(),
      [&](const Entry& entry) { return entry.version == version; });
  if (found == entries_.end() || version == entries_.back().version) {
    return nullptr;
  }
  if (!found->delta) {
    found->delta =
        MakeDocumentDelta(found->document, version, entries_.back().document);
  }
  return &*found->delta;
}

}  // namespace heathersteer
