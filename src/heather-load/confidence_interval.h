#ifndef HEATHER_LOAD_CONFIDENCE_INTERVAL_H_
#define HEATHER_LOAD_CONFIDENCE_INTERVAL_H_

#include <vector>

namespace heather_load {

/// Mean of repeated runs and half the width of its 95 % confidence interval,
/// by Student's t distribution. The half width is infinite for fewer than two
/// values, and both are 0 for none.
struct ConfidenceInterval {
  double mean = 0;
  double half_width = 0;

  static ConfidenceInterval Of(const std::vector<double>& values);
};

}  // namespace heather_load

#endif  // HEATHER_LOAD_CONFIDENCE_INTERVAL_H_
