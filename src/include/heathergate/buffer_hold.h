#ifndef HEATHERGATE_BUFFER_HOLD_H_
#define HEATHERGATE_BUFFER_HOLD_H_

#include <cstddef>
#include <functional>
#include <memory>

namespace heathergate {

class BufferBudget;

/// The bytes of one message in a BufferBudget; released with the object.
class BufferHold {
 public:
  /// `drop` is called if the budget drops the held response; it ends the
  /// connection or replaces the response. Without a budget nothing is counted.
  BufferHold(std::shared_ptr<BufferBudget> budget, std::function<void()> drop);
  ~BufferHold();
  BufferHold(const BufferHold&) = delete;
  BufferHold& operator=(const BufferHold&) = delete;

  /// Sets the bytes of a request, in place of what was held before. Returns
  /// false if the budget is exceeded; the bytes are counted even so.
  bool HoldRequest(std::size_t bytes);

  /// Sets the bytes of a response, in place of what was held before. If the
  /// budget is exceeded, the largest responses are dropped, which may be this
  /// one.
  void HoldResponse(std::size_t bytes);

  /// Counts a request that was rejected because HoldRequest() returned false.
  void RecordRejection();

  void Release();

 private:
  friend class BufferBudget;

  std::shared_ptr<BufferBudget> budget_;
  std::function<void()> drop_;
  std::size_t request_bytes_ = 0;
  std::size_t response_bytes_ = 0;
};

}  // namespace heathergate

#endif  // HEATHERGATE_BUFFER_HOLD_H_
