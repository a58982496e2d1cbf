#ifndef HEATHER_LOAD_CALLER_H_
#define HEATHER_LOAD_CALLER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "heather-load/arrival.h"
#include "heather-load/request_result.h"

namespace httplib {
class Client;
}

namespace heather_load {

struct LoadPlan;

/// A caller with its connections and its cache of look-ups, on one thread.
class Caller {
 public:
  using Clock = std::chrono::steady_clock;

  Caller(const LoadPlan& plan, std::uint64_t seed);
  ~Caller();

  /// Sends one request and waits for its end. `start` is the start of the
  /// load.
  RequestResult Send(const Arrival& arrival, Clock::time_point start);

 private:
  struct LookUp {
    std::vector<std::string> hosts;
    Clock::time_point valid_until;
  };

  // Entry hosts to use, in order; from the cache while that is valid.
  std::vector<std::string> HostsFor(const Arrival& arrival);
  LookUp AskForHosts(const Arrival& arrival);
  httplib::Client& Connection(const std::string& host, std::uint32_t caller);
  // Sends to one host; false if the connection could not be made.
  bool TryHost(const std::string& host,
               const Arrival& arrival,
               Clock::time_point deadline,
               RequestResult& result);

  const LoadPlan& plan_;
  std::mt19937_64 generator_;
  const std::uint64_t run_;
  std::map<std::pair<std::string, std::uint32_t>, LookUp> look_ups_;
  std::map<std::pair<std::string, std::uint32_t>,
           std::unique_ptr<httplib::Client>>
      connections_;
};

}  // namespace heather_load

#endif  // HEATHER_LOAD_CALLER_H_
