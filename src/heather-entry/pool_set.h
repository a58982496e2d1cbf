#ifndef HEATHER_ENTRY_POOL_SET_H_
#define HEATHER_ENTRY_POOL_SET_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "heather-entry/pool_name.h"
#include "heather-entry/pool_runner.h"

namespace heather_entry {

struct ActiveConfig;

/// The pools that this entry host runs. A pool is made when the first request
/// for it arrives. Used on the loop thread.
class PoolSet {
 public:
  PoolSet(heathernet::EventLoop& loop,
          BackendClient& backends,
          std::string host,
          std::uint64_t seed);

  /// Gives every pool the servers of a configuration. `draining` names the
  /// servers that get no new work.
  void Configure(const ActiveConfig& config,
                 const std::set<std::string>& draining);

  /// Starts every pool with a reduced allowance, as another host may have run
  /// it meanwhile.
  void Readopt();

  /// The pool of a name.
  PoolRunner& At(const PoolName& name);

  const std::map<PoolName, std::shared_ptr<PoolRunner>>& pools() const {
    return pools_;
  }

  /// Requests that have not ended, in all pools.
  std::size_t pending() const;

 private:
  void SetBackends(PoolRunner& pool) const;

  heathernet::EventLoop& loop_;
  BackendClient& backends_;
  const std::string host_;
  const std::uint64_t seed_;
  std::vector<heatherlever::BackendSpec> servers_;
  std::set<std::string> draining_;
  std::map<PoolName, std::shared_ptr<PoolRunner>> pools_;
};

}  // namespace heather_entry

#endif  // HEATHER_ENTRY_POOL_SET_H_
