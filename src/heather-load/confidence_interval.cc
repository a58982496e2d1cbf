#include "heather-load/confidence_interval.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <numeric>

namespace heather_load {
namespace {

// 97.5 % quantiles of Student's t for 1 to 30 degrees of freedom.
constexpr std::array<double, 30> kStudentT = {
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228,
    2.201,  2.179, 2.160, 2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086,
    2.080,  2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042};

}  // namespace

ConfidenceInterval ConfidenceInterval::Of(const std::vector<double>& values) {
  ConfidenceInterval interval;
  if (values.empty()) {
    return interval;
  }
  const auto count = static_cast<double>(values.size());
  interval.mean = std::accumulate(values.begin(), values.end(), 0.0) / count;
  if (values.size() < 2) {
    interval.half_width = std::numeric_limits<double>::infinity();
    return interval;
  }
  double squares = 0;
  for (const double value : values) {
    squares += (value - interval.mean) * (value - interval.mean);
  }
  const double deviation = std::sqrt(squares / (count - 1));
  // Beyond the table the last entry is used, which is a little too wide.
  const std::size_t freedom = std::min(values.size() - 1, kStudentT.size());
  interval.half_width = kStudentT[freedom - 1] * deviation / std::sqrt(count);
  return interval;
}

}  // namespace heather_load
