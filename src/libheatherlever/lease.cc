#include "heatherlever/lease.h"

#include <nlohmann/json.hpp>

namespace heatherlever {

Lease::Lease(const LeaseSettings& settings) : settings_(settings) {}

void Lease::Observed(const std::optional<LeaseRecord>& record,
                     std::int64_t row_version,
                     Instant now) {
  if (row_version < row_version_) {
    return;  // An answer that was overtaken by a newer one.
  }
  if (!row_known_ || row_version != row_version_) {
    first_seen_ = now;
  }
  row_known_ = true;
  record_ = record;
  row_version_ = row_version;
  if (pending_ && record_ == pending_->record) {
    Confirm(pending_->sent_at);
  } else if (!IsOwn()) {
    held_from_.reset();
  }
}

std::optional<LeaseWrite> Lease::NextWrite(Instant now) {
  if (!row_known_) {
    return std::nullopt;
  }
  if (Holds(now)) {
    if (now - *held_from_ < settings_.renew_after) {
      return std::nullopt;
    }
    return Send({settings_.self, record_->generation, 0}, now);
  }
  if (!MayTakeOver(now)) {
    return std::nullopt;
  }
  const std::int64_t generation = record_ ? record_->generation : 0;
  return Send({settings_.self, generation + 1, 0}, now);
}

std::optional<LeaseWrite> Lease::Release(Instant now) {
  if (!Holds(now)) {
    return std::nullopt;
  }
  held_from_.reset();
  LeaseWrite write = Send({"", record_->generation, 0}, now);
  // A released lease is never held again by seeing the release.
  pending_.reset();
  return write;
}

void Lease::Written(std::int64_t row_version) {
  if (!pending_) {
    row_known_ = false;
    return;
  }
  record_ = pending_->record;
  row_version_ = row_version;
  first_seen_ = pending_->sent_at;
  Confirm(pending_->sent_at);
}

void Lease::Conflicted() {
  pending_.reset();
  row_known_ = false;
}

// The pending write stays: Observed recognises its record if it took effect.
void Lease::Unsettled() {
  row_known_ = false;
}

std::optional<LeaseToken> Lease::Token(Instant now) const {
  if (!held_from_ ||
      now >= *held_from_ + settings_.duration - settings_.drift_margin) {
    return std::nullopt;
  }
  return LeaseToken{record_->generation, row_version_};
}

std::string Lease::Dump() const {
  nlohmann::json dump = {{"self", settings_.self},
                         {"row_known", row_known_},
                         {"row_version", row_version_},
                         {"first_seen_us", first_seen_.count()},
                         {"write_number", write_number_}};
  if (record_) {
    dump["record"] = record_->Encode();
  }
  if (pending_) {
    dump["pending"] = pending_->record.Encode();
    dump["pending_sent_us"] = pending_->sent_at.count();
  }
  if (held_from_) {
    dump["held_from_us"] = held_from_->count();
  }
  return dump.dump();
}

// Every write has a number of its own: were two alike, the effect of an early
// one could be taken for that of a late one and counted from too late.
LeaseWrite Lease::Send(const LeaseRecord& record, Instant now) {
  pending_ = PendingWrite{record, now};
  pending_->record.write_number = ++write_number_;
  return {pending_->record, row_version_};
}

bool Lease::IsOwn() const {
  return record_ && record_->holder == settings_.self;
}

bool Lease::MayTakeOver(Instant now) const {
  const bool is_free = !record_ || record_->holder.empty();
  // A lapsed lease of this process itself is known to be in no one's use.
  return is_free || IsOwn() || now - first_seen_ >= settings_.duration;
}

void Lease::Confirm(Instant sent_at) {
  pending_.reset();
  row_known_ = true;
  held_from_ = sent_at;
}

}  // namespace heatherlever
