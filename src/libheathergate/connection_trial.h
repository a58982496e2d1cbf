#ifndef LIBHEATHERGATE_CONNECTION_TRIAL_H_
#define LIBHEATHERGATE_CONNECTION_TRIAL_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

#include "heathergate/http_client.h"
#include "heathergate/timer.h"

namespace heathernet {
class EventLoop;
}  // namespace heathernet

namespace heathergate {

/// Opens connections to several peers to find out whether any can be reached,
/// and closes them without a request.
class ConnectionTrial {
 public:
  using Done = std::function<void(bool any_connected)>;

  explicit ConnectionTrial(heathernet::EventLoop& loop);
  ~ConnectionTrial();

  bool running() const { return done_ != nullptr; }

  /// Calls `done` with the first connection, or when all have failed or took
  /// longer than `timeout`.
  void Start(const std::vector<HttpPeer>& peers,
             heatherlever::Duration timeout,
             Done done);

 private:
  struct Attempt;

  void OnFailed();
  void Finish(bool any_connected);

  heathernet::EventLoop& loop_;
  Timer timer_;
  Done done_;
  std::vector<std::shared_ptr<Attempt>> attempts_;
  std::size_t failed_ = 0;
};

}  // namespace heathergate

#endif  // LIBHEATHERGATE_CONNECTION_TRIAL_H_
