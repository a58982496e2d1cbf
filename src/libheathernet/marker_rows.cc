#include "marker_rows.h"

#include <utility>

namespace heathernet {

MarkerRows::MarkerRows(std::string client_id)
    : client_id_(std::move(client_id)) {}

std::int64_t MarkerRows::Take() {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (free_rows_.empty()) {
    return next_row_++;
  }
  const std::int64_t row = free_rows_.back();
  free_rows_.pop_back();
  return row;
}

void MarkerRows::Return(std::int64_t row) {
  const std::lock_guard<std::mutex> lock(mutex_);
  free_rows_.push_back(row);
}

std::string MarkerRows::Key(std::int64_t row) const {
  return "writes/" + client_id_ + "/" + std::to_string(row);
}

}  // namespace heathernet
