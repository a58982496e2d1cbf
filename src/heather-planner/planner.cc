#include "heather-planner/planner.h"

#include <spdlog/spdlog.h>

#include <nlohmann/json.hpp>

#include "heatherlever/config_record.h"
#include "heatherlever/deployment_loader.h"
#include "heatherlever/epoch_codec.h"
#include "heathernet/config_store.h"
#include "heathernet/event_loop.h"
#include "heathernet/log.h"
#include "heathernet/platform_client.h"
#include "heathernet/platform_error.h"

namespace heather_planner {
namespace {

using heatherlever::EpochRecord;
using heatherlever::LeaseRecord;
using heathernet::EventLoop;
using heathernet::PlatformError;
using heathernet::WriteStatus;

constexpr char kLeaseKey[] = "lease/planner";
constexpr char kEpochKey[] = "epoch/current";

// Turns a record that cannot be read into the error of the layer below.
template <typename Record>
Record Checked(absl::StatusOr<Record> record) {
  if (!record.ok()) {
    throw PlatformError(PlatformError::Kind::kBadAnswer,
                        std::string(record.status().message()));
  }
  return *std::move(record);
}

}  // namespace

Planner::Planner(const PlannerSettings& settings,
                 heathernet::PlatformClient& client)
    : client_(client),
      log_(heathernet::PartLogger("planner")),
      lease_(settings.lease),
      epochs_(settings.missing_time) {}

void Planner::Step() {
  try {
    KeepLease();
    if (holds_lease()) {
      Plan();
    } else {
      epochs_.Reset();
    }
  } catch (const PlatformError& error) {
    log_->warn("platform: {}", error.what());
  }
}

void Planner::Release() {
  if (const auto write = lease_.Release(EventLoop::Now())) {
    WriteLease(*write);
    log_->info("lease released");
  }
}

std::string Planner::Dump() const {
  nlohmann::json dump = {{"lease", nlohmann::json::parse(lease_.Dump())},
                         {"holds_lease", holds_lease()}};
  if (epoch_) {
    dump["epoch"] = nlohmann::json::parse(heatherlever::EncodeEpoch(*epoch_));
  }
  return dump.dump();
}

bool Planner::holds_lease() const {
  return lease_.Holds(EventLoop::Now());
}

void Planner::KeepLease() {
  ReadLease();
  const bool held = holds_lease();
  if (const auto write = lease_.NextWrite(EventLoop::Now())) {
    WriteLease(*write);
  }
  if (!held && holds_lease()) {
    log_->info("lease taken, generation {}", lease_.record()->generation);
  }
}

void Planner::ReadLease() {
  const auto row = client_.Get(kLeaseKey);
  if (row) {
    lease_.Observed(Checked(LeaseRecord::Parse(row->value)), row->version,
                    EventLoop::Now());
  } else {
    lease_.Observed(std::nullopt, heathernet::kAbsentVersion, EventLoop::Now());
  }
}

void Planner::WriteLease(const heatherlever::LeaseWrite& write) {
  const heathernet::WriteResult result = client_.CompareAndSwap(
      kLeaseKey, write.expected_version, write.record.Encode());
  switch (result.status) {
    case WriteStatus::kWritten:
      lease_.Written(result.version);
      return;
    case WriteStatus::kConflict:
      lease_.Conflicted();
      return;
    case WriteStatus::kUnavailable:
      lease_.Unsettled();
  }
}

void Planner::Plan() {
  const auto row = client_.Get(kEpochKey);
  epoch_.reset();
  if (row) {
    epoch_ = Checked(heatherlever::DecodeEpoch(row->value));
  }
  ReadConfig();
  if (config_version_ == 0) {
    return;
  }
  heatherlever::EpochInput input;
  input.spec = &spec_;
  input.config_version = config_version_;
  input.hosts = client_.HostList();
  const auto next = epochs_.Plan(epoch_, input, EventLoop::Now());
  if (next) {
    WriteEpoch(*next, row ? row->version : heathernet::kAbsentVersion);
  }
}

void Planner::ReadConfig() {
  const auto newest = heathernet::ConfigStore(client_).Newest();
  if (!newest || newest->version <= config_version_) {
    return;
  }
  spec_ = Checked(heatherlever::LoadDeployment(newest->yaml, "config/current"));
  config_version_ = newest->version;
}

void Planner::WriteEpoch(const EpochRecord& next, std::int64_t row_version) {
  const auto token = lease_.Token(EventLoop::Now());
  if (!token) {
    return;
  }
  // The guard refuses the write if the lease changed hands after the check.
  const heathernet::WriteResult result = client_.CompareAndSwap(
      kEpochKey, row_version, heatherlever::EncodeEpoch(next), {},
      {{kLeaseKey, token->row_version}});
  log_->info(
      "epoch {} with {} members: {}", next.number, next.members.size(),
      heathernet::kWriteStatusNames[static_cast<std::size_t>(result.status)]);
  if (result.status == WriteStatus::kWritten) {
    epoch_ = next;
  }
}

}  // namespace heather_planner
