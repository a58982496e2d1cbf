#include "heather-bench-membership/transport_overhead.h"

#include <functional>
#include <stdexcept>
#include <string>

#include "heathernet/event_loop.h"
#include "heathernet/peer_transport.h"

namespace heather_bench_membership {
namespace {

using heathernet::PeerOutcome;
using heathernet::PeerResult;

constexpr int kCalls = 200;
constexpr std::size_t kBodyBytes = 100;

// IPv4 and TCP headers with timestamps.
constexpr double kPacketHeaderBytes = 52;
// Request, answer, and the acknowledgement of the answer.
constexpr double kPacketsPerCall = 3;
// Three to open, two with settings and their acknowledgements, four to close.
constexpr double kPacketsPerConnection = 9;

std::unique_ptr<heathernet::PeerTransport> MakeTransport(
    heathernet::EventLoop& loop) {
  auto made = heathernet::PeerTransport::Create(loop, {});
  if (!made.ok()) {
    throw std::runtime_error(made.status().ToString());
  }
  return std::move(*made);
}

double BytesExchanged(const heathernet::PeerTransport& transport) {
  const heathernet::PeerStats& stats = transport.stats();
  return static_cast<double>(stats.bytes_in + stats.bytes_out);
}

}  // namespace

TransportOverhead MeasureTransportOverhead() {
  heathernet::EventLoop loop;
  const auto server = MakeTransport(loop);
  const auto client = MakeTransport(loop);
  const std::string body(kBodyBytes, 'x');
  server->SetHandler([&](const heathernet::PeerRequest& /*request*/,
                         const heathernet::PeerResponder& responder) {
    responder.Respond({200, {}, body});
  });

  double after_first = 0;
  int answered = 0;
  std::function<void()> call = [&] {
    heathernet::PeerRequest request;
    request.path = "/membership";
    request.body = body;
    client->Call(server->address(), request, [&](const PeerResult& result) {
      if (result.outcome != PeerOutcome::kAnswered) {
        throw std::runtime_error("a call failed: " + result.detail);
      }
      if (++answered == 1) {
        after_first = BytesExchanged(*client);
      }
      if (answered > kCalls) {
        loop.Stop();
      } else {
        call();
      }
    });
  };
  loop.Post(call);
  loop.Run();

  const double per_call = (BytesExchanged(*client) - after_first) / kCalls;
  const double bodies = 2.0 * kBodyBytes;
  TransportOverhead overhead;
  overhead.bytes_per_call =
      per_call - bodies + kPacketsPerCall * kPacketHeaderBytes;
  overhead.bytes_per_connection =
      after_first - per_call + kPacketsPerConnection * kPacketHeaderBytes;
  return overhead;
}

}  // namespace heather_bench_membership
