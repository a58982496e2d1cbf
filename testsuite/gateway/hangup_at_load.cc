// SIGHUP arrives while the libraries of a program are initialized.

#include <csignal>

namespace {

[[gnu::constructor]] void Hangup() {
  std::raise(SIGHUP);
}

}  // namespace
