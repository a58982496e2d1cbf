#include "heather-standin/relay.h"

#include <future>

#include "heather-standin/fault_fields.h"
#include "heather-standin/relay_session.h"
#include "heather-standin/standin_error.h"

namespace heather_standin {
namespace {

using Json = nlohmann::json;
using asio::ip::tcp;

tcp::endpoint ParseEndpoint(const Relay::Endpoint& endpoint) {
  asio::error_code error;
  const auto address = asio::ip::make_address(endpoint.address, error);
  if (error) {
    throw StandinError("'" + endpoint.address + "' is not an IP address");
  }
  return {address, endpoint.port};
}

}  // namespace

Relay::Relay() : work_(asio::make_work_guard(context_)), acceptor_(context_) {}

Relay::~Relay() {
  Stop();
}

std::uint16_t Relay::Start(const Endpoint& listen, const Endpoint& target) {
  listen_ = ParseEndpoint(listen);
  target_ = ParseEndpoint(target);
  try {
    Listen();
  } catch (const asio::system_error& error) {
    throw StandinError("cannot listen on " + listen.address + ":" +
                       std::to_string(listen.port) + ": " + error.what());
  }
  // A later Listen, after a cut, takes the same port.
  listen_ = acceptor_.local_endpoint();
  const std::uint16_t port = listen_.port();
  loop_ = std::thread([this] { context_.run(); });
  return port;
}

void Relay::Stop() {
  if (!loop_.joinable()) {
    return;
  }
  asio::post(context_, [this] {
    acceptor_.close();
    ResetAll();
    work_.reset();
  });
  loop_.join();
}

void Relay::SetFaults(const Json& faults) {
  RelayFaults changed = OnLoop([this] { return faults_; });
  bool silence = false;
  const FaultFields fields(
      {{"delay_ms",
        [&](const Json& value) {
          changed.delay = std::chrono::milliseconds(value.get<std::int64_t>());
        }},
       {"cut", [&](const Json& value) { changed.cut = value.get<bool>(); }},
       {"cut_to_target",
        [&](const Json& value) { changed.cut_to_target = value.get<bool>(); }},
       {"cut_from_target",
        [&](const Json& value) {
          changed.cut_from_target = value.get<bool>();
        }},
       {"silence", [&](const Json& value) { silence = value.get<bool>(); }}});
  fields.Apply(faults);
  OnLoop([&] {
    const bool was_cut = faults_.cut;
    faults_ = changed;
    if (changed.cut != was_cut) {
      Cut(changed.cut);
    }
    for (const auto& session : sessions_) {
      if (silence) {
        session->GoSilent();
      } else {
        session->FaultsChanged();
      }
    }
  });
}

Json Relay::Statistics() {
  return OnLoop([this] {
    RemoveClosed();
    return Json{{"connections", sessions_.size()}, {"accepted", accepted_}};
  });
}

template <typename Function>
std::invoke_result_t<Function> Relay::OnLoop(Function function) {
  std::packaged_task<std::invoke_result_t<Function>()> task(
      std::move(function));
  auto result = task.get_future();
  asio::post(context_, [&task] { task(); });
  return result.get();
}

void Relay::Listen() {
  acceptor_.open(listen_.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(listen_);
  acceptor_.listen();
  Accept();
}

void Relay::Accept() {
  acceptor_.async_accept(
      [this](const asio::error_code& error, tcp::socket client) {
        if (!acceptor_.is_open()) {
          return;
        }
        if (!error) {
          ++accepted_;
          RemoveClosed();
          sessions_.push_back(
              std::make_shared<RelaySession>(std::move(client), faults_));
          sessions_.back()->Start(target_);
        }
        Accept();
      });
}

void Relay::Cut(bool cut) {
  if (cut) {
    acceptor_.close();
    ResetAll();
  } else {
    Listen();
  }
}

void Relay::RemoveClosed() {
  sessions_.remove_if([](const auto& session) { return session->closed(); });
}

void Relay::ResetAll() {
  for (const auto& session : sessions_) {
    session->Reset();
  }
  sessions_.clear();
}

}  // namespace heather_standin
