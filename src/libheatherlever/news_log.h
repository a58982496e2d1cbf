#ifndef HEATHERLEVER_NEWS_LOG_H_
#define HEATHERLEVER_NEWS_LOG_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace heatherlever {

/// Which news each neighbor has yet to be sent. Keeps one item a key, so that
/// a value that changes often is sent in its newest version only.
class NewsLog {
 public:
  /// A new version of `key`, learned from `source` (empty: from here).
  void Record(const std::string& key, const std::string& source);

  /// `peer` knows the newest version of `key`, so it need not be told. Returns
  /// false if that was known before, or the key is not.
  bool MarkKnown(const std::string& key, const std::string& peer);

  /// Starts to keep news for a peer, from now on. No effect if known.
  void AddPeer(const std::string& peer);
  void RemovePeer(const std::string& peer);
  std::vector<std::string> Peers() const;

  /// The next keys for a peer, oldest first and at most `limit`, which count
  /// as sent to it. Empty for an unknown peer.
  std::vector<std::string> Take(const std::string& peer, std::size_t limit);

 private:
  struct Item {
    std::uint64_t sequence = 0;
    std::set<std::string> known_by;
  };

  std::uint64_t next_sequence_ = 1;
  std::map<std::string, Item> items_;
  std::map<std::uint64_t, std::string> keys_by_sequence_;
  // Highest sequence sent to each peer.
  std::map<std::string, std::uint64_t> positions_;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_NEWS_LOG_H_
