#ifndef HEATHERLEVER_SETTINGS_ERROR_H_
#define HEATHERLEVER_SETTINGS_ERROR_H_

#include <stdexcept>
#include <string>

namespace heatherlever {

/// A settings file that cannot be used: file, line, what was expected and what
/// was found.
class SettingsError : public std::runtime_error {
 public:
  /// `line` counts from 1; 0 if the error belongs to no line.
  SettingsError(const std::string& file, int line, const std::string& message);
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_SETTINGS_ERROR_H_
