#include "heather-planner/planner.h"

#include <spdlog/spdlog.h>

#include <chrono>
#include <stdexcept>

#include "heather-planner/planner_settings.h"
#include "heatherlever/config_record.h"
#include "heatherlever/deployment_loader.h"
#include "heatherlever/epoch_codec.h"
#include "heathernet/config_store.h"
#include "heathernet/event_loop.h"
#include "heathernet/log.h"
#include "heathernet/platform_client.h"
#include "heathernet/platform_error.h"
#include "heathernet/platform_settings.h"
#include "heathernet/table_value.h"
#include "heathernet/write_result.h"

namespace heather_planner {

using heatherlever::EpochRecord;
using heathernet::PartLogger;

namespace {

constexpr char kEpochKey[] = "epoch/current";

std::unique_ptr<heathernet::PlatformClient> MakeClient(
    const PlannerSettings& settings) {
  const auto start = std::chrono::system_clock::now().time_since_epoch();
  const auto incarnation =
      std::chrono::duration_cast<std::chrono::milliseconds>(start).count();
  heathernet::PlatformSettings platform;
  platform.address = settings.platform_address;
  platform.port = settings.platform_port;
  platform.client_id = settings.name + "." + std::to_string(incarnation);
  platform.seed = static_cast<std::uint64_t>(incarnation);
  auto client = heathernet::PlatformClient::Create(platform);
  if (!client.ok()) {
    throw std::runtime_error(std::string(client.status().message()));
  }
  return *std::move(client);
}

}  // namespace

Planner::Planner(const PlannerSettings& settings)
    : interval_(settings.interval),
      client_(MakeClient(settings)),
      planner_(settings.missing_time) {}

Planner::~Planner() = default;

void Planner::Run() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stopping_) {
    lock.unlock();
    try {
      Step();
    } catch (const heathernet::PlatformError& error) {
      PartLogger("planner")->warn("no answer: {}", error.what());
    }
    lock.lock();
    changed_.wait_for(lock, interval_, [this] { return stopping_; });
  }
}

void Planner::Stop() {
  const std::lock_guard<std::mutex> lock(mutex_);
  stopping_ = true;
  changed_.notify_all();
}

void Planner::Step() {
  const heatherlever::DeploymentSpec* spec = NewestSpec();
  if (spec == nullptr) {
    return;
  }
  const auto row = client_->Get(kEpochKey);
  std::optional<EpochRecord> current;
  if (row) {
    auto decoded = heatherlever::DecodeEpoch(row->value);
    if (!decoded.ok()) {
      PartLogger("planner")->error("unreadable epoch: {}",
                                   std::string(decoded.status().message()));
      return;
    }
    current = *std::move(decoded);
  }
  heatherlever::EpochInput input;
  input.spec = spec;
  input.config_version = config_version_;
  input.hosts = client_->HostList();
  input.draining_regions = DrainingRegions();
  const auto next = planner_.Plan(current, input, heathernet::EventLoop::Now());
  if (next) {
    Write(row ? row->version : heathernet::kAbsentVersion, *next);
  }
}

const heatherlever::DeploymentSpec* Planner::NewestSpec() {
  const auto newest = heathernet::ConfigStore(*client_).Newest();
  if (newest && newest->version > config_version_) {
    auto spec = heatherlever::LoadDeployment(newest->yaml, "config/current");
    if (spec.ok()) {
      spec_ = *std::move(spec);
      config_version_ = newest->version;
    }
  }
  return config_version_ == 0 ? nullptr : &spec_;
}

std::set<std::string> Planner::DrainingRegions() const {
  return {};
}

void Planner::Write(std::int64_t row_version, const EpochRecord& record) {
  const auto result = client_->CompareAndSwap(
      kEpochKey, row_version, heatherlever::EncodeEpoch(record));
  if (result.status == heathernet::WriteStatus::kWritten) {
    PartLogger("planner")->info("epoch {} written, {} members", record.number,
                                record.members.size());
  }
}

}  // namespace heather_planner
