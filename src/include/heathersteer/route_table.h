#ifndef HEATHERSTEER_ROUTE_TABLE_H_
#define HEATHERSTEER_ROUTE_TABLE_H_

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace heathersteer {

struct Route;
struct TrafficConfig;

/// The path of a request target, without its query.
std::string_view PathOf(std::string_view target);

/// Finds the route of a request by host name and longest matching path prefix.
class RouteTable {
 public:
  /// `config` must outlive the table.
  explicit RouteTable(const TrafficConfig& config);

  /// Returns nullptr if no route matches. `host` may include a port and is
  /// matched without case; `target` may include a query.
  const Route* Find(std::string_view host, std::string_view target) const;

 private:
  // Longest prefix first.
  std::unordered_map<std::string, std::vector<const Route*>> by_host_;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_ROUTE_TABLE_H_
