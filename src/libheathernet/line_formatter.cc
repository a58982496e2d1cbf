#include "libheathernet/line_formatter.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdio>
#include <utility>

namespace heathernet {
namespace {

// Begin the UTF-8 forms of U+0080 to U+00BF and of U+2000 to U+203F.
constexpr std::string_view kLatinSupplement = "\xc2";
constexpr std::string_view kPunctuation = "\xe2\x80";
constexpr unsigned char kFirstContinuation = 0x80;
constexpr unsigned char kLastLatinControl = 0x9f;
constexpr unsigned char kLineSeparator = 0xa8;
constexpr unsigned char kParagraphSeparator = 0xa9;
constexpr unsigned kLatinBase = 0x80;
constexpr unsigned kPunctuationBase = 0x2000;

unsigned char ByteAt(std::string_view text, std::size_t position) {
  return position < text.size() ? static_cast<unsigned char>(text[position])
                                : 0;
}

bool IsPlain(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return byte >= ' ' && byte < 0x7f && c != '\\';
}

template <typename... Arguments>
void AppendFormatted(std::string& text,
                     const char* format,
                     Arguments... arguments) {
  std::array<char, 8> piece{};
  std::snprintf(piece.data(), piece.size(), format, arguments...);
  text += piece.data();
}

// Appends the escape of the character at the beginning of `text`, which isn't
// plain, and returns its size in bytes.
std::size_t AppendEscaped(std::string& escaped, std::string_view text) {
  const unsigned char first = ByteAt(text, 0);
  const unsigned char second = ByteAt(text, 1);
  const unsigned char third = ByteAt(text, 2);
  if (text.starts_with(kLatinSupplement) && second >= kFirstContinuation &&
      second <= kLastLatinControl) {
    AppendFormatted(escaped, "\\u%04x",
                    kLatinBase + (second - kFirstContinuation));
    return 2;
  }
  if (text.starts_with(kPunctuation) &&
      (third == kLineSeparator || third == kParagraphSeparator)) {
    AppendFormatted(escaped, "\\u%04x",
                    kPunctuationBase + (third - kFirstContinuation));
    return 3;
  }
  if (first >= kFirstContinuation) {
    escaped += text.front();
    return 1;
  }
  switch (text.front()) {
    case '\\':
      escaped += "\\\\";
      break;
    case '\n':
      escaped += "\\n";
      break;
    case '\r':
      escaped += "\\r";
      break;
    case '\t':
      escaped += "\\t";
      break;
    default:
      AppendFormatted(escaped, "\\x%02x", static_cast<unsigned>(first));
  }
  return 1;
}

}  // namespace

std::string EscapeControls(std::string_view text) {
  std::string escaped;
  escaped.reserve(text.size());
  while (!text.empty()) {
    if (IsPlain(text.front())) {
      escaped += text.front();
      text.remove_prefix(1);
    } else {
      text.remove_prefix(AppendEscaped(escaped, text));
    }
  }
  return escaped;
}

LineFormatter::LineFormatter(std::string pattern)
    : pattern_(std::move(pattern)), formatter_(pattern_) {}

void LineFormatter::format(const spdlog::details::log_msg& message,
                           spdlog::memory_buf_t& line) {
  const auto& text = message.payload;
  if (std::all_of(text.begin(), text.end(), IsPlain)) {
    formatter_.format(message, line);
    return;
  }
  const std::string escaped =
      EscapeControls(std::string_view(text.data(), text.size()));
  spdlog::details::log_msg copy = message;
  copy.payload = escaped;
  formatter_.format(copy, line);
}

std::unique_ptr<spdlog::formatter> LineFormatter::clone() const {
  return std::make_unique<LineFormatter>(pattern_);
}

}  // namespace heathernet
