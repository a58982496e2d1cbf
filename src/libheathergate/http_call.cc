#include "heathergate/http_call.h"

#include <utility>

#include "libheathergate/http_connection.h"

namespace heathergate {

void HttpCall::Cancel() {
  done_ = nullptr;
  if (const auto connection = std::exchange(connection_, nullptr)) {
    connection->Close();
  }
}

void HttpCall::Finish(CallResult result) {
  connection_ = nullptr;
  if (const Done done = std::exchange(done_, nullptr)) {
    done(std::move(result));
  }
}

}  // namespace heathergate
