#ifndef LIBHEATHERGATE_RELAY_CODEC_H_
#define LIBHEATHERGATE_RELAY_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "heatherlever/instant.h"
#include "heathersteer/backend_server.h"
#include "heathersteer/operator_state.h"
#include "heathersteer/server_delta.h"

namespace heathergate {

/// What a following host asks, with what it knows already.
struct RelayRequest {
  std::string name;
  std::string caller_endpoint;
  std::uint64_t registration_version = 0;
  bool ready = false;
  /// The asked host's life that the sequence numbers belong to.
  std::string incarnation;
  std::uint64_t servers_sequence = 0;
  std::uint64_t operator_sequence = 0;
  std::uint64_t live_sequence = 0;
};

/// What a host that can't get news otherwise asks any other host.
struct UpdateQuery {
  /// Time since the asking host's list of servers was whole.
  heatherlever::Duration list_age{0};
  /// Digest of that list.
  std::uint64_t list_digest = 0;
  /// Version of the operator's state that it has.
  std::uint64_t operator_version = 0;
};

/// The news of the host that is followed. Parts without news are absent.
struct RelayResponse {
  std::string incarnation;
  std::uint64_t registration_version = 0;
  /// Time since the store was last read.
  heatherlever::Duration age{0};
  int host_count = 0;
  std::uint64_t servers_sequence = 0;
  std::uint64_t operator_sequence = 0;
  std::uint64_t live_sequence = 0;
  /// Whether the list of the asking host is still right, as of `age`.
  bool same_list = false;
  std::optional<heathersteer::ServerDelta> servers;
  std::optional<heathersteer::OperatorState> operator_state;
  std::optional<std::vector<std::string>> caller_endpoints;
};

/// Instants of servers are sent as times from `now`.
std::string EncodeResponse(const RelayResponse& answer,
                           heatherlever::Instant now);

std::optional<RelayResponse> DecodeResponse(const std::string& text,
                                            heatherlever::Instant now);

std::string EncodeRequest(const RelayRequest& question);

std::optional<RelayRequest> DecodeRequest(const std::string& text);

std::string EncodeQuery(const UpdateQuery& inquiry);

std::optional<UpdateQuery> DecodeQuery(const std::string& text);

}  // namespace heathergate

#endif  // LIBHEATHERGATE_RELAY_CODEC_H_
