#include "heathergate/buffer_budget.h"

#include <algorithm>
#include <functional>

#include "heathergate/buffer_hold.h"

namespace heathergate {

bool BufferBudget::TakesRequests() const {
  return request_bytes_ <= max_request_bytes_ && used() <= max_bytes_;
}

void BufferBudget::DropLargest() {
  while (used() > max_bytes_ &&
         response_bytes_ > max_bytes_ - max_request_bytes_) {
    BufferHold* largest =
        *std::max_element(responses_.begin(), responses_.end(),
                          [](const BufferHold* a, const BufferHold* b) {
                            return a->response_bytes_ < b->response_bytes_;
                          });
    ++drops_;
    // Dropping may destroy the hold, and with it the function.
    const std::function<void()> drop = largest->drop_;
    largest->Release();
    drop();
  }
}

}  // namespace heathergate
