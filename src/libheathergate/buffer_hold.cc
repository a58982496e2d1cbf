#include "heathergate/buffer_hold.h"

#include <utility>

#include "heathergate/buffer_budget.h"

namespace heathergate {

BufferHold::BufferHold(std::shared_ptr<BufferBudget> budget,
                       std::function<void()> drop)
    : budget_(std::move(budget)), drop_(std::move(drop)) {}

BufferHold::~BufferHold() {
  Release();
}

bool BufferHold::HoldRequest(std::size_t bytes) {
  if (budget_ == nullptr) {
    return true;
  }
  Release();
  request_bytes_ = bytes;
  budget_->request_bytes_ += bytes;
  return budget_->TakesRequests();
}

void BufferHold::HoldResponse(std::size_t bytes) {
  if (budget_ == nullptr) {
    return;
  }
  Release();
  if (bytes == 0) {
    return;
  }
  response_bytes_ = bytes;
  budget_->response_bytes_ += bytes;
  budget_->responses_.insert(this);
  // Dropping may destroy this hold.
  const auto budget = budget_;
  budget->DropLargest();
}

void BufferHold::RecordRejection() {
  if (budget_ != nullptr) {
    ++budget_->rejections_;
  }
}

void BufferHold::Release() {
  if (budget_ == nullptr) {
    return;
  }
  budget_->request_bytes_ -= std::exchange(request_bytes_, 0);
  if (response_bytes_ > 0) {
    budget_->response_bytes_ -= std::exchange(response_bytes_, 0);
    budget_->responses_.erase(this);
  }
}

}  // namespace heathergate
