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

/// Finds the route of a request: among those of its host, the one with the
/// longest prefix that begins the path.
class RouteTable {
 public:
  /// `config` has to outlive the table.
  explicit RouteTable(const TrafficConfig& config);

  /// nullptr if no route matches. `host` may carry a port and upper case;
  /// `target` may carry a query.
  const Route* Find(std::string_view host, std::string_view target) const;

 private:
  // Longest prefix first.
  std::unordered_map<std::string, std::vector<const Route*>> by_host_;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_ROUTE_TABLE_H_
