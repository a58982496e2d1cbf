#include "heather-load/wave.h"

#include <cmath>

namespace heather_load {

double Wave::Factor(heatherlever::Duration at) const {
  constexpr double kTurn = 2 * 3.14159265358979323846;
  const double turns = static_cast<double>((at - phase).count()) /
                       static_cast<double>(period.count());
  return low + (high - low) * (1 + std::cos(kTurn * turns)) / 2;
}

}  // namespace heather_load
