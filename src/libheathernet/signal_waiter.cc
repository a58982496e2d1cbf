#include "heathernet/signal_waiter.h"

#include <pthread.h>

#include <csignal>
#include <utility>

namespace heathernet {
namespace {

// Wakes the waiter at its end; nothing else sends it.
constexpr int kWakeSignal = SIGUSR2;

sigset_t WaitedSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, kWakeSignal);
  return signals;
}

}  // namespace

SignalWaiter::SignalWaiter(std::function<void()> on_signal) {
  const sigset_t signals = WaitedSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  thread_ = std::thread([signals, on_signal = std::move(on_signal)] {
    int received = 0;
    sigwait(&signals, &received);
    if (received != kWakeSignal) {
      on_signal();
    }
  });
}

SignalWaiter::~SignalWaiter() {
  pthread_kill(thread_.native_handle(), kWakeSignal);
  thread_.join();
}

}  // namespace heathernet
