#include "heather-entry/platform_agent.h"

#include <spdlog/spdlog.h>

#include <optional>
#include <utility>

#include "heather-entry/entry_settings.h"
#include "heatherlever/epoch_codec.h"
#include "heatherlever/poll_interval.h"
#include "heathernet/config_store.h"
#include "heathernet/event_loop.h"
#include "heathernet/log.h"
#include "heathernet/platform_client.h"
#include "heathernet/platform_error.h"
#include "heathernet/platform_settings.h"
#include "heathernet/table_value.h"

namespace heather_entry {

using heatherlever::ConfigRecord;
using heatherlever::Instant;
using heathernet::EventLoop;
using heathernet::PartLogger;
using heathernet::PlatformClient;
using heathernet::PlatformError;

namespace {

constexpr char kEpochKey[] = "epoch/current";

// The registration is repeated after this many times poll_interval, as the
// list may have lost it.
constexpr int kIntervalsPerRegistration = 10;

}  // namespace

absl::StatusOr<std::unique_ptr<PlatformAgent>> PlatformAgent::Create(
    const EntrySettings& settings,
    const heatherlever::HostRecord& self) {
  heathernet::PlatformSettings platform;
  platform.address = settings.platform_address;
  platform.port = settings.platform_port;
  platform.client_id = self.name + "." + std::to_string(self.incarnation);
  platform.seed = self.incarnation;
  auto client = PlatformClient::Create(platform);
  if (!client.ok()) {
    return client.status();
  }
  std::unique_ptr<PlatformAgent> agent(new PlatformAgent(settings, self));
  agent->client_ = *std::move(client);
  return agent;
}

PlatformAgent::PlatformAgent(const EntrySettings& settings,
                             heatherlever::HostRecord self)
    : poll_interval_(settings.poll_interval),
      self_(std::move(self)),
      generator_(self_.incarnation) {}

PlatformAgent::~PlatformAgent() {
  Stop();
}

void PlatformAgent::Start(OnConfig on_config,
                          OnEpoch on_epoch,
                          OnHosts on_hosts) {
  on_config_ = std::move(on_config);
  on_epoch_ = std::move(on_epoch);
  on_hosts_ = std::move(on_hosts);
  thread_ = std::thread([this] { Run(); });
}

void PlatformAgent::Leave() {
  const std::lock_guard<std::mutex> lock(mutex_);
  leaving_ = true;
  changed_.notify_all();
}

void PlatformAgent::Stop() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
    changed_.notify_all();
  }
  if (thread_.joinable()) {
    thread_.join();
  }
}

void PlatformAgent::Run() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stopping_) {
    lock.unlock();
    Step();
    lock.lock();
    changed_.wait_for(lock, poll_interval_, [this] {
      return stopping_ || (leaving_ && !told_leaving_);
    });
  }
  lock.unlock();
  try {
    client_->Deregister(self_.name);
  } catch (const PlatformError& error) {
    PartLogger("platform")->warn("not deregistered: {}", error.what());
  }
}

void PlatformAgent::Step() {
  try {
    KeepRegistered();
    if (!Read()) {
      return;
    }
    if (!reachable_) {
      PartLogger("platform")->info("reachable again");
    }
    reachable_ = true;
  } catch (const PlatformError& error) {
    if (reachable_) {
      PartLogger("platform")->warn("no answer: {}", error.what());
    }
    reachable_ = false;
  }
}

bool PlatformAgent::Read() {
  const Instant now = EventLoop::Now();
  if (now < read_at_) {
    return false;
  }
  // Set first, so that many hosts do not read faster during an outage.
  std::uniform_real_distribution<double> random(0, 1);
  read_at_ = now + heatherlever::PollInterval(poll_interval_, heard_hosts_,
                                              random(generator_));
  ReadConfig();
  ReadEpoch();
  on_hosts_(client_->HostList());
  return true;
}

void PlatformAgent::KeepRegistered() {
  bool leaving = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    leaving = leaving_;
  }
  if (leaving) {
    if (!told_leaving_) {
      told_leaving_ = true;
      client_->MarkLeaving(self_.name);
    }
    return;
  }
  const Instant now = EventLoop::Now();
  if (now >= register_at_) {
    client_->Register(self_);
    register_at_ = now + kIntervalsPerRegistration * poll_interval_;
  }
}

void PlatformAgent::ReadConfig() {
  heathernet::ConfigStore store(*client_);
  const auto newest = store.Newest();
  if (newest && newest->version > config_.version) {
    config_ = *newest;
    on_config_(config_);
  }
}

void PlatformAgent::ReadEpoch() {
  const auto row = client_->Get(kEpochKey);
  if (!row) {
    return;
  }
  const auto epoch = heatherlever::DecodeEpoch(row->value);
  if (!epoch.ok()) {
    PartLogger("epoch")->error("unreadable record: {}",
                               std::string(epoch.status().message()));
    return;
  }
  if (epoch->number <= epoch_number_) {
    return;
  }
  std::optional<ConfigRecord> config = config_;
  if (config->version != epoch->config_version) {
    config = heathernet::ConfigStore(*client_).Fetch(epoch->config_version);
  }
  if (config) {
    epoch_number_ = epoch->number;
    on_epoch_(*epoch, *config);
  }
}

}  // namespace heather_entry
