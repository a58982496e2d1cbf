#ifndef HEATHER_STANDIN_COUNTED_FAULT_H_
#define HEATHER_STANDIN_COUNTED_FAULT_H_

#include <atomic>
#include <cstdint>

namespace heather_standin {

/// A fault that strikes a set number of times. Safe to use from many threads.
class CountedFault {
 public:
  void Set(std::int64_t times) { times_ = times; }

  /// True, and one fewer left, if the fault strikes now.
  bool Strike() {
    std::int64_t left = times_;
    while (left > 0 && !times_.compare_exchange_weak(left, left - 1)) {
    }
    return left > 0;
  }

 private:
  std::atomic<std::int64_t> times_ = 0;
};

}  // namespace heather_standin

#endif  // HEATHER_STANDIN_COUNTED_FAULT_H_
