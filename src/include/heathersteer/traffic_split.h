#ifndef HEATHERSTEER_TRAFFIC_SPLIT_H_
#define HEATHERSTEER_TRAFFIC_SPLIT_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace heathersteer {

struct Route;

/// Distributes the requests of a route over its services by weight. Requests
/// with the same affinity key go to the same service as long as the shares stay
/// close to the weights.
class TrafficSplit {
 public:
  /// Returns the service for the next request. The route must have at least
  /// one.
  const std::string& Choose(const Route& route, std::string_view affinity_key);

 private:
  struct Shares {
    std::vector<double> weights;
    std::vector<double> sent;
  };

  std::map<std::string, Shares, std::less<>> by_route_;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_TRAFFIC_SPLIT_H_
