#ifndef HEATHER_ENTRY_ENTRY_HOST_H_
#define HEATHER_ENTRY_ENTRY_HOST_H_

#include <cstdint>
#include <memory>

namespace heather_entry {

struct EntrySettings;

/// One running entry host: all parts of the process, joined.
class EntryHost {
 public:
  /// Listens on every port. Throws std::runtime_error if a part cannot start.
  explicit EntryHost(const EntrySettings& settings);
  ~EntryHost();

  EntryHost(const EntryHost&) = delete;
  EntryHost& operator=(const EntryHost&) = delete;

  /// Runs until a graceful shutdown has ended.
  void Run();

  /// Begins a graceful shutdown: this host takes no new work, hands its jobs'
  /// pools over, and ends once every request has been answered. Callable from
  /// any thread.
  void Shutdown();

  std::uint16_t http_port() const;
  std::uint16_t peer_port() const;
  std::uint16_t admin_port() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace heather_entry

#endif  // HEATHER_ENTRY_ENTRY_HOST_H_
