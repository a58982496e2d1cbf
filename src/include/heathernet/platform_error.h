#ifndef HEATHERNET_PLATFORM_ERROR_H_
#define HEATHERNET_PLATFORM_ERROR_H_

#include <stdexcept>
#include <string>

namespace heathernet {

/// A platform call that gave no usable answer: what was asked and what was
/// found.
class PlatformError : public std::runtime_error {
 public:
  enum class Kind {
    /// No answer, or a server error, until the call's deadline.
    kUnavailable,
    /// The read or write budget did not allow the call before its deadline.
    kOverBudget,
    /// An answer that does not follow the service's published form.
    kBadAnswer,
  };

  PlatformError(Kind kind, const std::string& message)
      : std::runtime_error(message), kind_(kind) {}

  Kind kind() const { return kind_; }

 private:
  Kind kind_;
};

}  // namespace heathernet

#endif  // HEATHERNET_PLATFORM_ERROR_H_
