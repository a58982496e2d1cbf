#ifndef HEATHERNET_EVENT_LOOP_IMPL_H_
#define HEATHERNET_EVENT_LOOP_IMPL_H_

#include <asio/io_context.hpp>

#include "heathernet/event_loop.h"

namespace heathernet {

/// The loop's Asio context. Objects that may outlive the loop hold a weak
/// pointer to it.
class EventLoop::Impl {
 public:
  // One thread runs the context, and others only post to it.
  static constexpr int kConcurrencyHint = 1;

  asio::io_context context{kConcurrencyHint};
};

}  // namespace heathernet

#endif  // HEATHERNET_EVENT_LOOP_IMPL_H_
