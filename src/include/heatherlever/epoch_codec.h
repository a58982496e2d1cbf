#ifndef HEATHERLEVER_EPOCH_CODEC_H_
#define HEATHERLEVER_EPOCH_CODEC_H_

#include <absl/status/statusor.h>

#include <string>

namespace heatherlever {

struct EpochRecord;

/// The record as JSON text.
std::string EncodeEpoch(const EpochRecord& record);

/// The record that EncodeEpoch wrote; InvalidArgument for other text.
absl::StatusOr<EpochRecord> DecodeEpoch(const std::string& text);

}  // namespace heatherlever

#endif  // HEATHERLEVER_EPOCH_CODEC_H_
