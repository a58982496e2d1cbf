#ifndef HEATHERGATE_BUFFER_BUDGET_H_
#define HEATHERGATE_BUFFER_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <set>

namespace heathergate {

class BufferHold;

/// Limits the bytes of messages that a process buffers. Connections count them
/// through a BufferHold each.
class BufferBudget {
 public:
  /// Requests may take `max_request_bytes` of `max_bytes`; the rest is left for
  /// responses.
  BufferBudget(std::size_t max_bytes, std::size_t max_request_bytes)
      : max_bytes_(max_bytes), max_request_bytes_(max_request_bytes) {}

  /// Bytes that are buffered.
  std::size_t used() const { return request_bytes_ + response_bytes_; }

  /// Number of requests that were rejected for lack of room.
  std::uint64_t rejections() const { return rejections_; }

  /// Number of responses that were dropped.
  std::uint64_t drops() const { return drops_; }

 private:
  friend class BufferHold;

  bool TakesRequests() const;
  // Drops the largest responses until the rest is within the limit, or within
  // the part that requests may not take.
  void DropLargest();

  const std::size_t max_bytes_;
  const std::size_t max_request_bytes_;
  std::size_t request_bytes_ = 0;
  std::size_t response_bytes_ = 0;
  std::uint64_t rejections_ = 0;
  std::uint64_t drops_ = 0;
  std::set<BufferHold*> responses_;
};

}  // namespace heathergate

#endif  // HEATHERGATE_BUFFER_BUDGET_H_
