#ifndef HEATHERNET_LINE_FORMATTER_H_
#define HEATHERNET_LINE_FORMATTER_H_

#include <spdlog/formatter.h>
#include <spdlog/pattern_formatter.h>

#include <memory>
#include <string>
#include <string_view>

namespace heathernet {

/// Returns a text without line ends and control characters: `\n`, `\t`, `\x1b`
/// and `\u2028` stand for them, `\\` for a backslash.
std::string EscapeControls(std::string_view text);

/// Formats each log message as one line, whatever texts it was made of.
class LineFormatter : public spdlog::formatter {
 public:
  /// `pattern` is one of spdlog.
  explicit LineFormatter(std::string pattern);

  void format(const spdlog::details::log_msg& message,
              spdlog::memory_buf_t& line) override;
  std::unique_ptr<spdlog::formatter> clone() const override;

 private:
  std::string pattern_;
  spdlog::pattern_formatter formatter_;
};

}  // namespace heathernet

#endif  // HEATHERNET_LINE_FORMATTER_H_
