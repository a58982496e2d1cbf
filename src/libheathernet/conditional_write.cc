#include "conditional_write.h"

#include <utility>

#include "etcd_codec.h"
#include "heathernet/platform_error.h"
#include "table_requests.h"

namespace heathernet {

ConditionalWrite::ConditionalWrite(PlatformTransport& transport,
                                   std::vector<TableGuard> guards,
                                   std::vector<TableEntry> entries,
                                   std::string marker_key)
    : transport_(transport),
      guards_(std::move(guards)),
      marker_key_(std::move(marker_key)),
      id_(transport.NextWriteId()),
      entries_(std::move(entries)) {
  entries_.push_back({marker_key_, id_});
}

// An attempt after a lost answer is no blind write: it repeats the same
// transaction under the same expected versions, which hold at most once, since
// versions only grow.
WriteResult ConditionalWrite::Run(
    PlatformTransport::Clock::time_point deadline) {
  deadline_ = deadline;
  for (int repeat = 0;; ++repeat) {
    if (const auto result = Attempt()) {
      return *result;
    }
    answer_lost_ = true;
    if (!transport_.WaitToRepeat(repeat, deadline_)) {
      return {WriteStatus::kUnavailable, 0};
    }
    if (const auto result = ReadBack()) {
      return *result;
    }
  }
}

std::optional<WriteResult> ConditionalWrite::Attempt() {
  const auto answer = transport_.Send(
      TableTransaction(EtcdCodec::SwapRequest(guards_, entries_, marker_key_)),
      deadline_);
  if (!answer) {
    return std::nullopt;
  }
  const EtcdCodec::SwapAnswer swap = EtcdCodec::ParseSwap(CheckedBody(*answer));
  if (swap.written) {
    return WriteResult{WriteStatus::kWritten, swap.version};
  }
  if (!answer_lost_) {
    return WriteResult{WriteStatus::kConflict, 0};
  }
  return IsOwnMarker(swap.marker) ? SettledWritten(swap.marker->version)
                                  : SettledConflict();
}

// The key is read before the marker. If another version of the key is seen and
// no marker after it, this write was not what moved the key and never will be.
std::optional<WriteResult> ConditionalWrite::ReadBack() {
  const TableGuard& guard = guards_.front();
  const std::optional<TableValue> row = Read(guard.key);
  const std::optional<TableValue> marker = Read(marker_key_);
  if (IsOwnMarker(marker)) {
    return SettledWritten(marker->version);
  }
  const std::int64_t version = row ? row->version : kAbsentVersion;
  if (version != guard.version) {
    return SettledConflict();
  }
  return std::nullopt;
}

std::optional<TableValue> ConditionalWrite::Read(const std::string& key) {
  const PlatformAnswer answer = transport_.SendUntilAnswered(
      TableRead(EtcdCodec::KeyRequest(key)), deadline_);
  const auto rows = EtcdCodec::ParseRows(CheckedBody(answer));
  const auto found = rows.find(key);
  return found == rows.end() ? std::nullopt : std::optional(found->second);
}

bool ConditionalWrite::IsOwnMarker(
    const std::optional<TableValue>& marker) const {
  return marker && marker->value == id_;
}

WriteResult ConditionalWrite::SettledWritten(std::int64_t version) {
  transport_.Count(
      [](PlatformStatistics& counts) { ++counts.settled_written; });
  return {WriteStatus::kWritten, version};
}

WriteResult ConditionalWrite::SettledConflict() {
  transport_.Count(
      [](PlatformStatistics& counts) { ++counts.settled_conflict; });
  return {WriteStatus::kConflict, 0};
}

}  // namespace heathernet
