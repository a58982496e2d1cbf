#include "heathersteer/wait_queue.h"

namespace heathersteer {

std::uint64_t WaitQueue::Add(const std::string& service, int rank) {
  const std::uint64_t ticket = next_ticket_++;
  const QueueKey place{rank, ticket};
  by_service_[service][place] = ticket;
  by_ticket_[ticket] = {service, place};
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
                                           std::size_t most) const {
  std::vector<std::uint64_t> tickets;
  const auto found = by_service_.find(service);
  if (found == by_service_.end()) {
    return tickets;
  }
  for (const auto& [place, ticket] : found->second) {
    if (tickets.size() == most) {
      break;
    }
    tickets.push_back(ticket);
  }
  return tickets;
}

}  // namespace heathersteer
