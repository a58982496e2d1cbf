#ifndef HEATHER_ENTRY_ADMIN_SERVER_H_
#define HEATHER_ENTRY_ADMIN_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace heather_entry {

/// The HTTP interface towards operators: state, metrics, explanations. It has
/// a port and threads of its own, so that callers cannot keep it busy.
class AdminServer {
 public:
  /// What the server shows. The functions may be called from any thread.
  struct Sources {
    std::function<std::string()> state;
    std::function<std::string()> metrics;
    std::function<std::vector<std::string>(const std::string& kind,
                                           const std::string& address)>
        explain;
  };

  /// Listens at once; port 0 takes a free one. Throws std::runtime_error if
  /// the port cannot be had.
  AdminServer(const std::string& address, std::uint16_t port, Sources sources);
  ~AdminServer();

  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  std::uint16_t port() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace heather_entry

#endif  // HEATHER_ENTRY_ADMIN_SERVER_H_
