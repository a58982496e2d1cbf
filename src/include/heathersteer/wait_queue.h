#ifndef HEATHERSTEER_WAIT_QUEUE_H_
#define HEATHERSTEER_WAIT_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace heathersteer {

/// Requests that are queued at this host for a free slot at a backend server,
/// the most urgent rank first and within a rank the oldest first.
class WaitQueue {
 public:
  /// Adds a request and returns its ticket.
  std::uint64_t Add(const std::string& service, int rank);

  void Remove(std::uint64_t ticket);

  /// Returns up to `max_count` tickets of a service in the order in which they
  /// are to be served.
  std::vector<std::uint64_t> Next(const std::string& service,
                                  std::size_t max_count) const;

  std::size_t size() const { return by_ticket_.size(); }

 private:
  using QueueKey = std::pair<int, std::uint64_t>;

  std::map<std::string, std::map<QueueKey, std::uint64_t>> by_service_;
  std::map<std::uint64_t, std::pair<std::string, QueueKey>> by_ticket_;
  std::uint64_t next_ticket_ = 1;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_WAIT_QUEUE_H_
