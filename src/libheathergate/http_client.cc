#include "heathergate/http_client.h"

#include <algorithm>
#include <utility>

#include "heathernet/event_loop.h"
#include "libheathergate/http_connection.h"

namespace heathergate {
namespace {

using heathernet::EventLoop;

constexpr const char* kHeadMethod = "HEAD";

}  // namespace

HttpClient::HttpClient(EventLoop& loop, HttpClientOptions options)
    : loop_(loop), options_(std::move(options)) {}

HttpClient::~HttpClient() {
  while (!idle_.empty()) {
    CloseIdle(idle_.begin()->first);
  }
}

std::shared_ptr<HttpCall> HttpClient::Send(const HttpPeer& peer,
                                           std::string head,
                                           const std::string& body,
                                           const std::string& echo,
                                           HttpCall::Done done) {
  return Send(peer, std::move(head), std::make_shared<const std::string>(body),
              echo, std::move(done));
}

std::shared_ptr<HttpCall> HttpClient::Send(
    const HttpPeer& peer,
    std::string head,
    std::shared_ptr<const std::string> body,
    const std::string& echo,
    HttpCall::Done done) {
  const std::string method = head.substr(0, head.find(' '));
  return Send(
      peer, method, [head = std::move(head)] { return std::optional(head); },
      std::move(body), {.echo = echo, .barrier_head = {}}, std::move(done));
}

std::shared_ptr<HttpCall> HttpClient::Send(
    const HttpPeer& peer,
    const std::string& method,
    HeadMaker make_head,
    std::shared_ptr<const std::string> body,
    ResponseCheck check,
    HttpCall::Done done) {
  auto call = std::make_shared<HttpCall>(std::move(done));
  OutgoingRequest request{.is_head_method = method == kHeadMethod,
                          .make_head = std::move(make_head),
                          .head = {},
                          .body = std::move(body),
                          .check = std::move(check)};
  // The response to an earlier request may still come, and is framed by another
  // method.
  const auto idle = request.is_head_method ? nullptr : TakeIdle(peer.name);
  if (idle != nullptr) {
    idle->Reuse(call, std::move(request));
    return call;
  }
  const auto connection = std::make_shared<HttpConnection>(*this, loop_, peer);
  connection->Open(call, std::move(request));
  return call;
}

std::shared_ptr<HttpConnection> HttpClient::TakeIdle(
    const std::string& peer_name) {
  while (true) {
    const auto found = idle_.find(peer_name);
    if (found == idle_.end()) {
      return nullptr;
    }
    // The most recently used connection is the least likely to have been closed
    // by the peer.
    auto connection = found->second.back();
    found->second.pop_back();
    if (found->second.empty()) {
      idle_.erase(found);
    }
    if (connection->IsReusable(EventLoop::Now())) {
      return connection;
    }
    connection->Close();
  }
}

void HttpClient::AddIdle(const std::shared_ptr<HttpConnection>& connection) {
  auto& list = idle_[connection->peer_name()];
  if (list.size() >= options_.max_idle_connections) {
    connection->Close();
    return;
  }
  connection->set_idle_since(EventLoop::Now());
  list.push_back(connection);
}

void HttpClient::RemoveIdle(const std::shared_ptr<HttpConnection>& connection) {
  const auto found = idle_.find(connection->peer_name());
  if (found == idle_.end()) {
    return;
  }
  std::erase(found->second, connection);
  if (found->second.empty()) {
    idle_.erase(found);
  }
}

void HttpClient::CloseIdle(const std::string& peer_name) {
  const auto found = idle_.find(peer_name);
  if (found == idle_.end()) {
    return;
  }
  const auto connections = std::exchange(found->second, {});
  idle_.erase(found);
  for (const auto& connection : connections) {
    connection->Close();
  }
}

}  // namespace heathergate
