#ifndef HEATHERLEVER_LIB_JOB_CHART_H_
#define HEATHERLEVER_LIB_JOB_CHART_H_

#include <array>
#include <cstdint>
#include <string_view>

#include "heatherlever/job_record.h"

namespace heatherlever {

/// What happens to an attempt. See src/charts/job.yaml.
enum class JobEvent : std::uint8_t {
  kAcknowledged,
  kDispatched,
  kDone,
  kUnknown,
  kNotRun,
};

inline constexpr std::array<std::string_view, 5> kJobEventNames = {
    "acknowledged", "dispatched", "done", "unknown", "not-run"};

/// Moves a state on by the chart; false, without a change, if the chart ignores
/// the event there. Throws ChartError if the chart does not fit this code.
bool ApplyJobEvent(JobState& state, JobEvent event);

}  // namespace heatherlever

#endif  // HEATHERLEVER_LIB_JOB_CHART_H_
