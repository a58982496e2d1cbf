#ifndef HEATHERLEVER_JOB_MESSAGE_CODEC_H_
#define HEATHERLEVER_JOB_MESSAGE_CODEC_H_

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

namespace heatherlever {

struct JobMessage;

/// The message in CBOR.
std::string EncodeJobMessage(const JobMessage& message);

/// The message that EncodeJobMessage wrote. InvalidArgument, naming the field,
/// for other bytes.
absl::StatusOr<JobMessage> DecodeJobMessage(std::string_view bytes);

}  // namespace heatherlever

#endif  // HEATHERLEVER_JOB_MESSAGE_CODEC_H_
