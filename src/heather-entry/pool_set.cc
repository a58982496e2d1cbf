#include "heather-entry/pool_set.h"

#include <utility>

#include "heather-entry/active_config.h"

namespace heather_entry {

PoolSet::PoolSet(heathernet::EventLoop& loop,
                 BackendClient& backends,
                 std::string host,
                 std::uint64_t seed)
    : loop_(loop), backends_(backends), host_(std::move(host)), seed_(seed) {}

void PoolSet::Configure(const ActiveConfig& config,
                        const std::set<std::string>& draining) {
  servers_ = config.spec.backends;
  draining_ = draining;
  for (const auto& [name, pool] : pools_) {
    SetBackends(*pool);
  }
}

void PoolSet::Readopt() {
  for (const auto& [name, pool] : pools_) {
    pool->Readopt();
  }
}

PoolRunner& PoolSet::At(const PoolName& name) {
  std::shared_ptr<PoolRunner>& pool = pools_[name];
  if (!pool) {
    pool = PoolRunner::Create(loop_, backends_, name, host_,
                              seed_ + pools_.size());
    SetBackends(*pool);
  }
  return *pool;
}

std::size_t PoolSet::pending() const {
  std::size_t count = 0;
  for (const auto& [name, pool] : pools_) {
    count += pool->pending();
  }
  return count;
}

void PoolSet::SetBackends(PoolRunner& pool) const {
  std::vector<heatherlever::BackendSpec> servers;
  for (const heatherlever::BackendSpec& server : servers_) {
    if (server.service == pool.name().service &&
        server.region == pool.name().region) {
      servers.push_back(server);
    }
  }
  pool.SetBackends(servers, draining_);
}

}  // namespace heather_entry
