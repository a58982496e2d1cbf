#include "heather-entry/entry_host.h"

#include <spdlog/spdlog.h>

#include <atomic>
#include <chrono>
#include <future>
#include <stdexcept>
#include <thread>
#include <utility>

#include "heather-entry/active_config.h"
#include "heather-entry/admin_server.h"
#include "heather-entry/backend_client.h"
#include "heather-entry/caller_server.h"
#include "heather-entry/entry_settings.h"
#include "heather-entry/platform_agent.h"
#include "heather-entry/router.h"
#include "heatherlever/ipv4.h"
#include "heathernet/event_loop.h"
#include "heathernet/log.h"
#include "heathernet/peer_options.h"
#include "heathernet/peer_transport.h"

namespace heather_entry {

using heatherlever::ConfigRecord;
using heatherlever::EpochRecord;
using heatherlever::HostRecord;
using heatherlever::Instant;
using heathernet::EventLoop;
using heathernet::PartLogger;

namespace {

// Between a host's announcement that it leaves and the end of its callers'
// port: callers' cached look-ups and its peers' views are that old at most.
constexpr heatherlever::Duration kLeaveNotice = std::chrono::seconds(1);
constexpr heatherlever::Duration kIdleCheck = std::chrono::milliseconds(50);
constexpr std::chrono::seconds kDumpTimeout(1);

// Differs at each start of the process and grows: milliseconds since 1970.
std::uint64_t NewIncarnation() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

template <typename T>
T ValueOrThrow(absl::StatusOr<T> result) {
  if (!result.ok()) {
    throw std::runtime_error(std::string(result.status().message()));
  }
  return *std::move(result);
}

std::unique_ptr<heathernet::PeerTransport> MakePeers(
    EventLoop& loop,
    const EntrySettings& settings) {
  heathernet::PeerOptions options;
  options.address = settings.address;
  options.port = settings.peer_port;
  return ValueOrThrow(heathernet::PeerTransport::Create(loop, options));
}

}  // namespace

class EntryHost::Impl {
 public:
  explicit Impl(const EntrySettings& settings)
      : settings_(settings),
        incarnation_(NewIncarnation()),
        backends_(settings.backend_threads, settings.connection_doubt),
        peers_(MakePeers(loop_, settings)),
        router_(loop_, *peers_, backends_, settings, incarnation_),
        callers_(std::make_unique<CallerServer>(settings, router_)),
        admin_(std::make_unique<AdminServer>(settings.address,
                                             settings.admin_port,
                                             MakeSources())),
        agent_(ValueOrThrow(PlatformAgent::Create(settings, Self()))) {
    peers_->SetHandler([this](const heathernet::PeerRequest& request,
                              const heathernet::PeerResponder& responder) {
      router_.OnPeerRequest(request, responder);
    });
  }

  void Run() {
    agent_->Start([this](const ConfigRecord& record) { PostConfig(record); },
                  [this](const EpochRecord& epoch, const ConfigRecord& record) {
                    PostEpoch(epoch, record);
                  });
    loop_.Run();
    callers_.reset();
    agent_->Stop();
    PartLogger("entry")->info("stopped");
  }

  void Shutdown() {
    loop_.Post([this] { BeginShutdown(); });
  }

  std::uint16_t http_port() const { return callers_->port(); }
  std::uint16_t peer_port() const { return peers_->address().port; }
  std::uint16_t admin_port() const { return admin_->port(); }

 private:
  HostRecord Self() const {
    HostRecord self;
    self.name = settings_.name;
    self.incarnation = incarnation_;
    self.address = settings_.address;
    self.http_port = callers_->port();
    self.peer_port = peers_->address().port;
    self.region = settings_.region;
    self.domain = settings_.domain;
    return self;
  }

  AdminServer::Sources MakeSources() {
    AdminServer::Sources sources;
    sources.state = [this] {
      return OnLoop<std::string>([this] { return router_.DumpState(); });
    };
    sources.metrics = [] { return std::string(); };
    sources.explain = [this](const std::string& kind,
                             const std::string& address) {
      return OnLoop<std::vector<std::string>>([this, kind, address] {
        return router_.Explain(kind,
                               heatherlever::ParseIpv4(address).value_or(0));
      });
    };
    return sources;
  }

  // Runs `function` on the loop thread and returns its result; an empty one if
  // the loop does not get to it in time.
  template <typename T>
  T OnLoop(std::function<T()> function) {
    auto promise = std::make_shared<std::promise<T>>();
    auto result = promise->get_future();
    loop_.Post([promise, function = std::move(function)] {
      promise->set_value(function());
    });
    if (result.wait_for(kDumpTimeout) != std::future_status::ready) {
      return T();
    }
    return result.get();
  }

  void PostConfig(const ConfigRecord& record) {
    auto config = MakeActiveConfig(record);
    if (!config.ok()) {
      PartLogger("config")->error("version {} is not usable: {}",
                                  record.version,
                                  std::string(config.status().message()));
      return;
    }
    loop_.Post(
        [this, active = *std::move(config)] { router_.InstallConfig(active); });
  }

  void PostEpoch(const EpochRecord& epoch, const ConfigRecord& record) {
    auto config = MakeActiveConfig(record);
    if (!config.ok()) {
      return;
    }
    loop_.Post([this, epoch, active = *std::move(config)] {
      router_.InstallConfig(active);
      router_.InstallEpoch(epoch, active);
    });
  }

  void BeginShutdown() {
    if (leaving_) {
      return;
    }
    leaving_ = true;
    PartLogger("entry")->info("leaving");
    stop_by_ = EventLoop::Now() + settings_.shutdown_limit;
    agent_->Leave();
    router_.Leave();
    loop_.After(kLeaveNotice, [this] {
      callers_->StopAccepting();
      peers_->StopAccepting();
      StopWhenIdle();
    });
  }

  void StopWhenIdle() {
    const bool idle = router_.idle() && callers_->in_progress() == 0;
    if (idle || EventLoop::Now() >= stop_by_) {
      loop_.Stop();
      return;
    }
    loop_.After(kIdleCheck, [this] { StopWhenIdle(); });
  }

  const EntrySettings settings_;
  const std::uint64_t incarnation_;
  EventLoop loop_;
  BackendClient backends_;
  std::unique_ptr<heathernet::PeerTransport> peers_;
  Router router_;
  std::unique_ptr<CallerServer> callers_;
  std::unique_ptr<AdminServer> admin_;
  std::unique_ptr<PlatformAgent> agent_;
  bool leaving_ = false;
  Instant stop_by_{0};
};

EntryHost::EntryHost(const EntrySettings& settings)
    : impl_(std::make_unique<Impl>(settings)) {}

EntryHost::~EntryHost() = default;

void EntryHost::Run() {
  impl_->Run();
}

void EntryHost::Shutdown() {
  impl_->Shutdown();
}

std::uint16_t EntryHost::http_port() const {
  return impl_->http_port();
}

std::uint16_t EntryHost::peer_port() const {
  return impl_->peer_port();
}

std::uint16_t EntryHost::admin_port() const {
  return impl_->admin_port();
}

}  // namespace heather_entry
