#include "heather-entry/work_codec.h"

#include <charconv>
#include <chrono>

#include "heather-entry/work_answer.h"
#include "heather-entry/work_request.h"

namespace heather_entry {
namespace {

using heathernet::PeerHeaders;
using heathernet::PeerRequest;
using heathernet::PeerResponse;
using heathernet::PeerResult;

constexpr char kKind[] = "x-kind";
constexpr char kExchange[] = "x-work-exchange";
constexpr char kClient[] = "x-client-address";
constexpr char kKey[] = "x-idempotency-key";
constexpr char kRemaining[] = "x-remaining-us";
constexpr char kContentType[] = "content-type";
constexpr char kOutcome[] = "x-outcome";
constexpr char kReason[] = "x-reason";
constexpr char kRetryAfter[] = "x-retry-after-us";
constexpr char kBackend[] = "x-backend";

// The peer answers at the deadline at the latest. A timeout at the same moment
// would take a peer with slow backend servers for a silent one.
constexpr heatherlever::Duration kAnswerMargin = std::chrono::milliseconds(250);

std::string TextOr(const PeerHeaders& headers,
                   const std::string& name,
                   const std::string& fallback) {
  const auto found = headers.find(name);
  return found == headers.end() ? fallback : found->second;
}

std::optional<std::int64_t> NumberIn(const PeerHeaders& headers,
                                     const std::string& name) {
  const std::string text = TextOr(headers, name, "");
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value);
  if (text.empty() || result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return value;
}

std::optional<heatherlever::RequestOutcome> OutcomeFromName(
    const std::string& name) {
  const auto& names = heatherlever::kRequestOutcomeNames;
  for (std::size_t i = 0; i < names.size(); ++i) {
    if (names[i] == name) {
      return static_cast<heatherlever::RequestOutcome>(i);
    }
  }
  return std::nullopt;
}

}  // namespace

PeerRequest EncodeWork(const WorkRequest& request, const std::string& path) {
  PeerRequest message;
  message.path = path;
  message.headers = {{kKind, request.kind},
                     {kExchange, request.exchange_id},
                     {kClient, std::to_string(request.client_address)},
                     {kKey, request.key},
                     {kRemaining, std::to_string(request.remaining.count())},
                     {kContentType, request.content_type}};
  message.body = request.body;
  message.timeout = request.remaining + kAnswerMargin;
  return message;
}

std::optional<WorkRequest> DecodeWork(const PeerRequest& message) {
  const auto client = NumberIn(message.headers, kClient);
  const auto remaining = NumberIn(message.headers, kRemaining);
  WorkRequest request;
  request.kind = TextOr(message.headers, kKind, "");
  request.exchange_id = TextOr(message.headers, kExchange, "");
  if (!client || !remaining || request.kind.empty() ||
      request.exchange_id.empty()) {
    return std::nullopt;
  }
  request.client_address = static_cast<std::uint32_t>(*client);
  request.remaining = heatherlever::Duration(*remaining);
  request.key = TextOr(message.headers, kKey, "");
  request.content_type = TextOr(message.headers, kContentType, "");
  request.body = message.body;
  return request;
}

PeerResponse EncodeAnswer(const WorkAnswer& answer) {
  PeerResponse message;
  message.headers = {
      {kOutcome, std::string(RequestOutcomeName(answer.outcome))},
      {kReason, answer.reason},
      {kRetryAfter, std::to_string(answer.retry_after.count())},
      {kBackend, answer.backend},
      {kContentType, answer.content_type}};
  message.body = answer.body;
  return message;
}

std::optional<WorkAnswer> DecodeAnswer(const PeerResult& message) {
  const auto outcome = OutcomeFromName(TextOr(message.headers, kOutcome, ""));
  if (message.outcome != heathernet::PeerOutcome::kAnswered || !outcome) {
    return std::nullopt;
  }
  WorkAnswer answer;
  answer.outcome = *outcome;
  answer.reason = TextOr(message.headers, kReason, "");
  answer.retry_after = heatherlever::Duration(
      NumberIn(message.headers, kRetryAfter).value_or(0));
  answer.backend = TextOr(message.headers, kBackend, "");
  answer.content_type = TextOr(message.headers, kContentType, "");
  answer.body = message.body;
  return answer;
}

}  // namespace heather_entry
