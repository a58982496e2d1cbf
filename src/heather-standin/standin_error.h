#ifndef HEATHER_STANDIN_STANDIN_ERROR_H_
#define HEATHER_STANDIN_STANDIN_ERROR_H_

#include <stdexcept>

namespace heather_standin {

/// A stand-in that cannot start or a request to it that cannot be read: what
/// was asked and what was found.
class StandinError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace heather_standin

#endif  // HEATHER_STANDIN_STANDIN_ERROR_H_
