#ifndef HEATHERLEVER_LIB_CHART_ERROR_H_
#define HEATHERLEVER_LIB_CHART_ERROR_H_

#include <stdexcept>

namespace heatherlever {

/// A state chart that cannot be used: file, line and problem.
class ChartError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_LIB_CHART_ERROR_H_
