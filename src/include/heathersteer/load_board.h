#ifndef HEATHERSTEER_LOAD_BOARD_H_
#define HEATHERSTEER_LOAD_BOARD_H_

#include <cstddef>
#include <map>
#include <string>

namespace heathersteer {

/// Load reports of backend servers that other hosts have not been told of: the
/// newest one of each server.
class LoadBoard {
 public:
  /// Requests that each server holds, by its id.
  using Reports = std::map<std::string, int>;

  void Note(const std::string& server_id, int requests);

  /// Removes and returns up to `most` reports; none is passed over for good.
  Reports Take(std::size_t most);

 private:
  Reports pending_;
  // Where the next Take begins.
  std::string next_;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_LOAD_BOARD_H_
