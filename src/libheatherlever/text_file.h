#ifndef LIBHEATHERLEVER_TEXT_FILE_H_
#define LIBHEATHERLEVER_TEXT_FILE_H_

#include <optional>
#include <string>

namespace heatherlever {

/// The whole text of a file; nothing if it cannot be opened.
std::optional<std::string> ReadTextFile(const std::string& path);

}  // namespace heatherlever

#endif  // LIBHEATHERLEVER_TEXT_FILE_H_
