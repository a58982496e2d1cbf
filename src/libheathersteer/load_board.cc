#include "heathersteer/load_board.h"

namespace heathersteer {

void LoadBoard::Note(const std::string& server_id, int requests) {
  pending_[server_id] = requests;
}

LoadBoard::Reports LoadBoard::Take(std::size_t most) {
  Reports taken;
  while (taken.size() < most && !pending_.empty()) {
    auto from = pending_.lower_bound(next_);
    if (from == pending_.end()) {
      from = pending_.begin();
    }
    const auto node = pending_.extract(from);
    // The least id after this one.
    next_ = node.key() + '\0';
    taken[node.key()] = node.mapped();
  }
  return taken;
}

}  // namespace heathersteer
