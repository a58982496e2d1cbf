#include "heathergate/http_exchange.h"

#include <utility>

namespace heathergate {

void HttpExchange::Respond(HttpResponse response) {
  if (done_) {
    return;
  }
  done_ = true;
  on_abandoned_ = nullptr;
  const Reply reply = std::exchange(reply_, nullptr);
  reply(std::move(response));
}

void HttpExchange::Abandon() {
  if (done_) {
    return;
  }
  done_ = true;
  reply_ = nullptr;
  if (const auto function = std::exchange(on_abandoned_, nullptr)) {
    function();
  }
}

bool HttpExchange::CheckClient() {
  const bool waits = done_ || !check_client_ || check_client_();
  return waits && !done_;
}

}  // namespace heathergate
