#include "heathersteer/wait_queue.h"

namespace heathersteer {

std::uint64_t WaitQueue::Add(const std::string& service, int rank) {
  const std::uint64_t ticket = next_ticket_++;
  const QueueKey key{rank, ticket};
  by_service_[service][key] = ticket;
  by_ticket_[ticket] = {service, key};
  return ticket;
}

void WaitQueue::Remove(std::uint64_t ticket) {
  const auto found = by_ticket_.find(ticket);
  if (found == by_ticket_.end()) {
    return;
  }
  by_service_[found->second.first].erase(found->second.second);
  by_ticket_.erase(found);
}

std::vector<std::uint64_t> WaitQueue::Next(const std::string& service,
                                           std::size_t max_count) const {
  std::vector<std::uint64_t> tickets;
  const auto found = by_service_.find(service);
  if (found == by_service_.end()) {
    return tickets;
  }
  for (const auto& [key, ticket] : found->second) {
    if (tickets.size() == max_count) {
      break;
    }
    tickets.push_back(ticket);
  }
  return tickets;
}

}  // namespace heathersteer
