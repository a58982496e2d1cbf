#include "news_log.h"

namespace heatherlever {

void NewsLog::Record(const std::string& key, const std::string& source) {
  Item& item = items_[key];
  keys_by_sequence_.erase(item.sequence);
  item.sequence = next_sequence_++;
  item.known_by = {source};
  keys_by_sequence_[item.sequence] = key;
}

bool NewsLog::MarkKnown(const std::string& key, const std::string& peer) {
  const auto found = items_.find(key);
  return found != items_.end() && found->second.known_by.insert(peer).second;
}

void NewsLog::AddPeer(const std::string& peer) {
  positions_.emplace(peer, next_sequence_ - 1);
}

void NewsLog::RemovePeer(const std::string& peer) {
  positions_.erase(peer);
}

std::vector<std::string> NewsLog::Peers() const {
  std::vector<std::string> peers;
  for (const auto& [peer, position] : positions_) {
    peers.push_back(peer);
  }
  return peers;
}

std::vector<std::string> NewsLog::Take(const std::string& peer,
                                       std::size_t limit) {
  std::vector<std::string> taken;
  const auto position = positions_.find(peer);
  if (position == positions_.end()) {
    return taken;
  }
  auto next = keys_by_sequence_.upper_bound(position->second);
  for (; next != keys_by_sequence_.end() && taken.size() < limit; ++next) {
    position->second = next->first;
    if (items_[next->second].known_by.insert(peer).second) {
      taken.push_back(next->second);
    }
  }
  return taken;
}

}  // namespace heatherlever
