#ifndef LIBHEATHERGATE_RELAY_CODEC_H_
#define LIBHEATHERGATE_RELAY_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "heatherlever/instant.h"
#include "heathersteer/backend_server.h"
#include "heathersteer/crash_suspect.h"
#include "heathersteer/document_delta.h"
#include "heathersteer/limit_summary.h"
#include "heathersteer/operator_state.h"
#include "heathersteer/server_delta.h"
#include "heathersteer/store_version.h"

namespace heathergate {

/// Long-poll request of a following host, with what it has already received.
struct RelayRequest {
  std::string name;
  std::string caller_endpoint;
  heathersteer::StoreVersion registration_version;
  bool ready = false;
  /// Incarnation of the followed host that the sequence numbers belong to.
  std::string incarnation;
  std::uint64_t servers_sequence = 0;
  std::uint64_t operator_sequence = 0;
  /// Version of the operator's document that the sender has; 0 for none.
  std::uint64_t document_version = 0;
  std::uint64_t live_sequence = 0;
  std::uint64_t suspects_sequence = 0;
  /// The sender's observations of limits and its demand.
  std::optional<heathersteer::LimitSummary> limits;
  /// Requests that the sender lately came to suspect of crashing servers.
  std::vector<heathersteer::CrashSuspect> suspects;
};

/// What a domain knows, sent from its relay to the relays of other domains and
/// from a host to the relay of its domain.
struct DomainReport {
  std::string domain;
  /// Absent in a host's report to its relay.
  std::optional<heathersteer::LimitSummary> limits;
  std::vector<heathersteer::CrashSuspect> suspects;
  /// Whether the sender needs all suspects that the receiver knows of.
  bool needs_suspects = false;
};

/// Query of a host with stale state to any other host.
struct UpdateQuery {
  /// Age of the sender's list of servers: time since it was last known to be
  /// complete.
  heatherlever::Duration list_age{0};
  /// Digest of that list.
  std::uint64_t list_digest = 0;
  /// Version of the sender's copy of the operator's state.
  heathersteer::StoreVersion operator_version;
  /// Version of the operator's document that the sender has; 0 for none.
  std::uint64_t document_version = 0;
};

/// Response to a RelayRequest or an UpdateQuery. Parts without an update are
/// absent.
struct RelayResponse {
  std::string incarnation;
  heathersteer::StoreVersion registration_version;
  /// Whether the store has lost the receiver's registration.
  bool registration_lost = false;
  /// Timeline of the store that the list of servers is known from.
  std::uint64_t timeline = 0;
  /// Age of the list of servers: time since it was last known to be complete.
  heatherlever::Duration age{0};
  int host_count = 0;
  std::uint64_t servers_sequence = 0;
  std::uint64_t operator_sequence = 0;
  std::uint64_t live_sequence = 0;
  /// Whether the receiver's list of servers is still correct, as of `age` ago.
  bool same_list = false;
  std::optional<heathersteer::ServerDelta> servers;
  /// Without the document if the receiver has this version of it or gets a
  /// delta.
  std::optional<heathersteer::OperatorState> operator_state;
  std::optional<heathersteer::DocumentDelta> document_delta;
  std::optional<std::vector<std::string>> caller_endpoints;
  /// Limits known to the sender and the demand of all hosts known to it; absent
  /// without any limit.
  std::optional<heathersteer::LimitSummary> limits;
  std::uint64_t suspects_sequence = 0;
  /// Suspects that changed since the receiver's sequence number.
  std::vector<heathersteer::CrashSuspect> suspects;
};

/// Encodes the times of servers relative to `now`.
std::string EncodeResponse(const RelayResponse& response,
                           heatherlever::Instant now);

std::optional<RelayResponse> DecodeResponse(const std::string& text,
                                            heatherlever::Instant now);

/// Encodes times relative to `now`.
std::string EncodeRequest(const RelayRequest& request,
                          heatherlever::Instant now);

std::optional<RelayRequest> DecodeRequest(const std::string& text,
                                          heatherlever::Instant now);

std::string EncodeDomainReport(const DomainReport& report,
                               heatherlever::Instant now);

std::optional<DomainReport> DecodeDomainReport(const std::string& text,
                                               heatherlever::Instant now);

/// A response with suspects only, to DomainReport::needs_suspects.
std::string EncodeSuspects(
    const std::vector<heathersteer::CrashSuspect>& suspects,
    heatherlever::Instant now);

std::optional<std::vector<heathersteer::CrashSuspect>> DecodeSuspects(
    const std::string& text,
    heatherlever::Instant now);

std::string EncodeQuery(const UpdateQuery& query);

std::optional<UpdateQuery> DecodeQuery(const std::string& text);

}  // namespace heathergate

#endif  // LIBHEATHERGATE_RELAY_CODEC_H_
