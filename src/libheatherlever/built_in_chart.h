#ifndef HEATHERLEVER_LIB_BUILT_IN_CHART_H_
#define HEATHERLEVER_LIB_BUILT_IN_CHART_H_

#include <span>
#include <string_view>

namespace heatherlever {

/// A file of src/charts/, as it was when the library was built.
struct BuiltInChart {
  std::string_view name;
  std::string_view text;
};

/// All of them. The source is generated from src/charts/ when CMake runs.
std::span<const BuiltInChart> BuiltInCharts();

}  // namespace heatherlever

#endif  // HEATHERLEVER_LIB_BUILT_IN_CHART_H_
