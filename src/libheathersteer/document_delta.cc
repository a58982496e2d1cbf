#include "heathersteer/document_delta.h"

#include <xxhash.h>

#include <string_view>
#include <unordered_map>

namespace heathersteer {
namespace {

// Documents are compared in chunks that end with one of these. They end the
// entries of structured text, which change and move as a whole.
constexpr std::string_view kChunkEnds = "}\n";

std::string_view NextChunk(std::string_view text) {
  return text.substr(0, text.find_first_of(kChunkEnds) + 1);
}

// Removes the first chunk of `text`; the rest without an end is one, too.
std::string_view TakeChunk(std::string_view& text) {
  std::string_view chunk = NextChunk(text);
  if (chunk.empty()) {
    chunk = text;
  }
  text.remove_prefix(chunk.size());
  return chunk;
}

std::uint64_t Digest(const std::string& text) {
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace

DocumentDelta MakeDocumentDelta(const std::string& base,
                                std::uint64_t base_version,
                                const std::string& document) {
  std::unordered_map<std::string_view, std::size_t> offsets;
  std::string_view rest = base;
  while (!rest.empty()) {
    const std::size_t offset = base.size() - rest.size();
    offsets.try_emplace(TakeChunk(rest), offset);
  }
  DocumentDelta delta{
      .base_version = base_version, .digest = Digest(document), .pieces = {}};
  DocumentDelta::Piece piece;
  rest = document;
  while (!rest.empty()) {
    const std::string_view chunk = TakeChunk(rest);
    const std::string_view next =
        std::string_view(base).substr(piece.offset + piece.size, chunk.size());
    // Chunks can occur more than once, so the range is continued if possible.
    if (piece.text.empty() && next == chunk) {
      piece.size += chunk.size();
      continue;
    }
    const auto found = offsets.find(chunk);
    if (found == offsets.end()) {
      piece.text += chunk;
      continue;
    }
    delta.pieces.push_back(std::move(piece));
    piece = {.offset = found->second, .size = chunk.size(), .text = {}};
  }
  delta.pieces.push_back(std::move(piece));
  return delta;
}

std::optional<std::string> ApplyDocumentDelta(const std::string& base,
                                              const DocumentDelta& delta) {
  std::string document;
  for (const DocumentDelta::Piece& piece : delta.pieces) {
    if (piece.offset > base.size()) {
      return std::nullopt;
    }
    document.append(base, piece.offset, piece.size);
    document += piece.text;
  }
  if (Digest(document) != delta.digest) {
    return std::nullopt;
  }
  return document;
}

}  // namespace heathersteer
