#ifndef HEATHERSTEER_WAIT_QUEUE_H_
#define HEATHERSTEER_WAIT_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace heathersteer {

/// Requests that wait at this host for room at a backend server, the most
/// urgent first and within a rank the oldest.
class WaitQueue {
 public:
  /// Returns the request's ticket.
  std::uint64_t Add(const std::string& service, int rank);

  void Remove(std::uint64_t ticket);

  /// Tickets of a service in the order in which they are to be served, at most
  /// `most`.
  std::vector<std::uint64_t> Next(const std::string& service,
                                  std::size_t most) const;

  std::size_t size() const { return by_ticket_.size(); }

 private:
  using QueueKey = std::pair<int, std::uint64_t>;

  std::map<std::string, std::map<QueueKey, std::uint64_t>> by_service_;
  std::map<std::uint64_t, std::pair<std::string, QueueKey>> by_ticket_;
  std::uint64_t next_ticket_ = 1;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_WAIT_QUEUE_H_
