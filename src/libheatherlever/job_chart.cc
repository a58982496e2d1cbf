#include "job_chart.h"

#include "chart_error.h"
#include "heatherlever/state_chart.h"

namespace heatherlever {
namespace {

StateChart LoadJobChart() {
  absl::StatusOr<StateChart> chart = StateChart::BuiltIn("job");
  if (!chart.ok()) {
    throw ChartError(chart.status().ToString());
  }
  const absl::Status names = chart->CheckNames(kJobStateNames, kJobEventNames);
  if (!names.ok()) {
    throw ChartError(names.ToString());
  }
  return *std::move(chart);
}

}  // namespace

bool ApplyJobEvent(JobState& state, JobEvent event) {
  static const StateChart chart = LoadJobChart();
  const auto next = chart.Next(static_cast<std::size_t>(state),
                               static_cast<std::size_t>(event));
  if (!next) {
    return false;
  }
  state = static_cast<JobState>(*next);
  return true;
}

}  // namespace heatherlever
