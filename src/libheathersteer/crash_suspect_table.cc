#include "heathersteer/crash_suspect_table.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace heathersteer {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;

// Number of servers that end under a request before it is quarantined. A
// request that merely runs beside the cause is placed elsewhere by its retries,
// so it rarely meets as many.
constexpr std::size_t kQuarantineCrashes = 3;
// Crashes kept of a request. One more than needed, so that hosts that know
// different ones agree on the newest.
constexpr std::size_t kMaxCrashes = kQuarantineCrashes + 1;
// Time after its last crash for which a request is not sent.
constexpr Duration kQuarantineTime = std::chrono::minutes(5);
// Time for the outcome of a trial to arrive.
constexpr Duration kTrialTime = std::chrono::seconds(10);
// Suspects are remembered for this time, long enough for a trial, and up to
// this number.
constexpr Duration kSuspectTime = std::chrono::minutes(15);
constexpr std::size_t kMaxSuspects = 1024;
// Suspects in a message, and the time for which a change is repeated in case a
// receiver fails.
constexpr std::size_t kMaxReported = 64;
constexpr Duration kRepeatTime = std::chrono::seconds(3);

Instant LastCrash(const CrashSuspect& suspect) {
  return suspect.crashes.empty() ? Instant(0) : suspect.crashes.back().at;
}

bool IsCulprit(const CrashSuspect& suspect) {
  return suspect.crashes.size() >= kQuarantineCrashes;
}

bool HasCrash(const CrashSuspect& suspect, std::uint64_t incarnation) {
  return std::any_of(suspect.crashes.begin(), suspect.crashes.end(),
                     [&](const ServerCrash& crash) {
                       return crash.incarnation == incarnation;
                     });
}

bool PrecedesInReport(const CrashSuspect& a, const CrashSuspect& b) {
  const std::size_t crashes_a = std::min(a.crashes.size(), kQuarantineCrashes);
  const std::size_t crashes_b = std::min(b.crashes.size(), kQuarantineCrashes);
  return crashes_a != crashes_b ? crashes_a > crashes_b
                                : LastCrash(a) > LastCrash(b);
}

template <typename Selects>
std::vector<CrashSuspect> Report(const auto& entries, const Selects& selects) {
  std::vector<CrashSuspect> report;
  for (const auto& [fingerprint, entry] : entries) {
    if (selects(entry)) {
      report.push_back(entry.suspect);
    }
  }
  std::sort(report.begin(), report.end(), PrecedesInReport);
  report.resize(std::min(report.size(), kMaxReported));
  return report;
}

}  // namespace

std::uint64_t CrashSuspectTable::Incarnation(const std::string& server_id,
                                             std::int64_t started_ms) {
  return XXH3_64bits_withSeed(server_id.data(), server_id.size(),
                              static_cast<XXH64_hash_t>(started_ms));
}

bool CrashSuspectTable::RecordCrash(std::uint64_t fingerprint,
                                    std::uint64_t incarnation,
                                    Instant now) {
  return MergeFromFollower({{.fingerprint = fingerprint,
                             .crashes = {{incarnation, now}},
                             .cleared_at = Instant(0)}},
                           now);
}

bool CrashSuspectTable::RecordCompletion(std::uint64_t fingerprint,
                                         Instant now) {
  const auto found = entries_.find(fingerprint);
  if (found == entries_.end() || !Clear(found->second, now)) {
    return false;
  }
  found->second.changed_in = ++sequence_;
  found->second.observed_at = now;
  return true;
}

bool CrashSuspectTable::Merge(const std::vector<CrashSuspect>& suspects,
                              Instant now) {
  return !Add(suspects, now).empty();
}

bool CrashSuspectTable::MergeFromFollower(
    const std::vector<CrashSuspect>& suspects,
    Instant now) {
  const std::vector<std::uint64_t> changed = Add(suspects, now);
  for (const std::uint64_t fingerprint : changed) {
    entries_[fingerprint].observed_at = now;
  }
  return !changed.empty();
}

std::vector<std::uint64_t> CrashSuspectTable::Add(
    const std::vector<CrashSuspect>& suspects,
    Instant now) {
  if (suspects.empty()) {
    return {};
  }
  std::vector<std::uint64_t> changed;
  for (const CrashSuspect& suspect : suspects) {
    Entry& entry = entries_[suspect.fingerprint];
    entry.suspect.fingerprint = suspect.fingerprint;
    bool differs = Clear(entry, suspect.cleared_at);
    const bool was_culprit = IsCulprit(entry.suspect);
    for (const ServerCrash& crash : suspect.crashes) {
      differs |= AddCrash(entry, {crash.incarnation, std::min(crash.at, now)});
    }
    if (!differs) {
      continue;
    }
    changed.push_back(suspect.fingerprint);
    if (!was_culprit && IsCulprit(entry.suspect)) {
      DropExplained(entry.suspect);
    }
  }
  Trim(now);
  std::erase_if(changed, [&](std::uint64_t fingerprint) {
    return !entries_.contains(fingerprint);
  });
  for (const std::uint64_t fingerprint : changed) {
    entries_[fingerprint].changed_in = ++sequence_;
  }
  return changed;
}

bool CrashSuspectTable::AddCrash(Entry& entry, const ServerCrash& crash) {
  CrashSuspect& suspect = entry.suspect;
  if (crash.at <= suspect.cleared_at || HasCrash(suspect, crash.incarnation) ||
      IsExplained(crash.incarnation, suspect.fingerprint)) {
    return false;
  }
  auto& crashes = suspect.crashes;
  if (crashes.size() == kMaxCrashes && crash.at <= crashes.front().at) {
    return false;
  }
  const auto later = std::find_if(
      crashes.begin(), crashes.end(),
      [&](const ServerCrash& known) { return known.at > crash.at; });
  crashes.insert(later, crash);
  if (crashes.size() > kMaxCrashes) {
    crashes.erase(crashes.begin());
  }
  return true;
}

// Completions matter only for requests that are suspected.
bool CrashSuspectTable::Clear(Entry& entry, Instant at) {
  CrashSuspect& suspect = entry.suspect;
  const bool suspected =
      std::erase_if(suspect.crashes, [&](const ServerCrash& crash) {
        return crash.at <= at;
      }) > 0;
  if (!suspected) {
    return false;
  }
  suspect.cleared_at = std::max(suspect.cleared_at, at);
  entry.trial_until = Instant(0);
  return true;
}

// What ran beside the cause of a crash is not suspected for it.
bool CrashSuspectTable::IsExplained(std::uint64_t incarnation,
                                    std::uint64_t except) const {
  return std::any_of(entries_.begin(), entries_.end(), [&](const auto& other) {
    return other.first != except && IsCulprit(other.second.suspect) &&
           HasCrash(other.second.suspect, incarnation);
  });
}

void CrashSuspectTable::DropExplained(const CrashSuspect& culprit) {
  for (auto& [fingerprint, entry] : entries_) {
    if (fingerprint == culprit.fingerprint || IsCulprit(entry.suspect)) {
      continue;
    }
    std::erase_if(entry.suspect.crashes, [&](const ServerCrash& crash) {
      return HasCrash(culprit, crash.incarnation);
    });
  }
}

void CrashSuspectTable::Trim(Instant now) {
  std::erase_if(entries_, [&](const auto& item) {
    const CrashSuspect& suspect = item.second.suspect;
    const bool unknown =
        suspect.crashes.empty() && suspect.cleared_at == Instant(0);
    return unknown || now - std::max(LastCrash(suspect), suspect.cleared_at) >
                          kSuspectTime;
  });
  while (entries_.size() > kMaxSuspects) {
    entries_.erase(std::max_element(
        entries_.begin(), entries_.end(), [](const auto& a, const auto& b) {
          return PrecedesInReport(a.second.suspect, b.second.suspect);
        }));
  }
}

Duration CrashSuspectTable::QuarantineLeft(std::uint64_t fingerprint,
                                           Instant now) const {
  const auto found = entries_.find(fingerprint);
  if (found == entries_.end() || !IsCulprit(found->second.suspect)) {
    return Duration(0);
  }
  const Instant end =
      std::max(LastCrash(found->second.suspect) + kQuarantineTime,
               found->second.trial_until);
  return std::max(Duration(0), end - now);
}

void CrashSuspectTable::RecordSend(std::uint64_t fingerprint, Instant now) {
  const auto found = entries_.find(fingerprint);
  if (found != entries_.end() && IsCulprit(found->second.suspect)) {
    found->second.trial_until = now + kTrialTime;
  }
}

std::vector<CrashSuspect> CrashSuspectTable::Since(
    std::uint64_t sequence) const {
  return Report(entries_, [&](const Entry& entry) {
    return entry.changed_in > sequence;
  });
}

std::vector<CrashSuspect> CrashSuspectTable::Recent(Instant now) const {
  return Report(entries_, [&](const Entry& entry) {
    return entry.observed_at && now - *entry.observed_at <= kRepeatTime;
  });
}

std::size_t CrashSuspectTable::QuarantinedCount(Instant now) const {
  return static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(), [&](const auto& entry) {
        return QuarantineLeft(entry.first, now).count() > 0;
      }));
}

}  // namespace heathersteer
