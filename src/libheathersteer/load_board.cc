#include "heathersteer/load_board.h"

namespace heathersteer {

void LoadBoard::Note(const std::string& server_id, const Report& report) {
  Report& newest = pending_.try_emplace(server_id, report).first->second;
  if (newest.at < report.at) {
    newest = report;
  }
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
