#include "heather-planner/planner.h"

#include <spdlog/spdlog.h>

#include <nlohmann/json.hpp>

#include "heathernet/boot_clock.h"
#include "heathernet/config_store.h"
#include "heathernet/log.h"
#include "heathernet/platform_client.h"
#include "heathernet/platform_error.h"

namespace heather_planner {
namespace {

using heatherlever::EpochRecord;
using heatherlever::LeaseRecord;
using heathernet::BootTime;
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
      epochs_(settings.hysteresis) {}

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
  if (const auto write = lease_.Release(BootTime())) {
    WriteLease(*write);
    log_->info("lease released");
  }
}

std::string Planner::Dump() const {
  nlohmann::json dump = {{"lease", nlohmann::json::parse(lease_.Dump())},
                         {"holds_lease", holds_lease()}};
  if (epoch_) {
    dump["epoch"] = nlohmann::json::parse(epoch_->Encode());
  }
  return dump.dump();
}

bool Planner::holds_lease() const {
  return lease_.Holds(BootTime());
}

void Planner::KeepLease() {
  ReadLease();
  const bool held = holds_lease();
  if (const auto write = lease_.NextWrite(BootTime())) {
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
                    BootTime());
  } else {
    lease_.Observed(std::nullopt, heathernet::kAbsentVersion, BootTime());
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
    epoch_ = Checked(EpochRecord::Parse(row->value));
  }
  const auto config = heathernet::ConfigStore(client_).Newest();
  const auto next = epochs_.Decide(BootTime(), epoch_, client_.HostList(),
                                   config ? config->version : 0);
  if (next) {
    WriteEpoch(*next, row ? row->version : heathernet::kAbsentVersion);
  }
}

void Planner::WriteEpoch(const EpochRecord& next, std::int64_t row_version) {
  const auto token = lease_.Token(BootTime());
  if (!token) {
    return;
  }
  // The guard refuses the write if the lease changed hands after the check.
  const heathernet::WriteResult result =
      client_.CompareAndSwap(kEpochKey, row_version, next.Encode(), {},
                             {{kLeaseKey, token->row_version}});
  log_->info(
      "epoch {} with {} members: {}", next.number, next.members.size(),
      heathernet::kWriteStatusNames[static_cast<std::size_t>(result.status)]);
  if (result.status == WriteStatus::kWritten) {
    epoch_ = next;
  }
}

}  // namespace heather_planner
