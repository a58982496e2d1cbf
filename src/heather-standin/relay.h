#ifndef HEATHER_STANDIN_RELAY_H_
#define HEATHER_STANDIN_RELAY_H_

#include <asio.hpp>
#include <cstdint>
#include <list>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <type_traits>

#include "heather-standin/relay_faults.h"

namespace heather_standin {

class RelaySession;

/// A TCP relay with faults, on a thread of its own.
class Relay {
 public:
  /// An IP address and a port.
  struct Endpoint {
    std::string address;
    std::uint16_t port = 0;
  };

  Relay();
  ~Relay();

  /// Relays connections from `listen` to `target` until Stop; returns the port
  /// it listens on. Throws StandinError if the address cannot be used.
  std::uint16_t Start(const Endpoint& listen, const Endpoint& target);

  /// Resets every connection. May be called twice.
  void Stop();

  /// Applies the fields that `faults` has: `delay_ms` each way, `cut` (reset
  /// and refuse), `cut_to_target` and `cut_from_target` (hold bytes of one way
  /// back), `silence` (true: connections open now hear nothing more, for good;
  /// new ones work). Throws StandinError for an unknown field or a value of
  /// another type.
  void SetFaults(const nlohmann::json& faults);

  /// Open connections, silent ones included, and connections so far.
  nlohmann::json Statistics();

 private:
  /// Runs on the loop's thread and waits for it.
  template <typename Function>
  std::invoke_result_t<Function> OnLoop(Function function);

  void Listen();
  void Accept();
  void Cut(bool cut);
  void RemoveClosed();
  void ResetAll();

  asio::io_context context_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  asio::ip::tcp::endpoint listen_;
  asio::ip::tcp::endpoint target_;
  asio::ip::tcp::acceptor acceptor_;
  RelayFaults faults_;
  std::list<std::shared_ptr<RelaySession>> sessions_;
  std::uint64_t accepted_ = 0;
  std::thread loop_;
};

}  // namespace heather_standin

#endif  // HEATHER_STANDIN_RELAY_H_
