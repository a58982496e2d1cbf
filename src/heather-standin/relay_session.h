#ifndef HEATHER_STANDIN_RELAY_SESSION_H_
#define HEATHER_STANDIN_RELAY_SESSION_H_

#include <asio.hpp>
#include <memory>

#include "heather-standin/relay_direction.h"
#include "heather-standin/relay_faults.h"
#include "heather-standin/relay_listener.h"

namespace heather_standin {

/// One relayed connection. All calls are on the loop's thread.
class RelaySession : public RelayListener,
                     public std::enable_shared_from_this<RelaySession> {
 public:
  /// `faults` has to outlive the session.
  RelaySession(asio::ip::tcp::socket client, const RelayFaults& faults);

  /// Connects to the target and relays both ways. The client is reset if the
  /// target cannot be reached.
  void Start(const asio::ip::tcp::endpoint& target);

  void FaultsChanged();

  /// Both ends stay open and hear nothing more.
  void GoSilent();

  /// Resets both ends.
  void Reset();

  bool closed() const { return closed_; }

  void DirectionFailed() override;
  void DirectionFinished() override;

 private:
  static void ResetSocket(asio::ip::tcp::socket& socket);

  asio::ip::tcp::socket client_;
  asio::ip::tcp::socket target_;
  RelayDirection to_target_;
  RelayDirection from_target_;
  bool silent_ = false;
  bool closed_ = false;
  int finished_ways_ = 0;
};

}  // namespace heather_standin

#endif  // HEATHER_STANDIN_RELAY_SESSION_H_
