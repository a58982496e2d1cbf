#ifndef HEATHERSTEER_SERVER_LIST_H_
#define HEATHERSTEER_SERVER_LIST_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "heatherlever/instant.h"
#include "heathersteer/backend_server.h"
#include "heathersteer/listing.h"
#include "heathersteer/report_history.h"
#include "heathersteer/report_origin.h"
#include "heathersteer/server_delta.h"

namespace heathersteer {

/// The platform's list of backend servers. Servers that the store lost in an
/// outage, or by a restore from an older copy, stay listed until they had time
/// to register again; until then the list counts as known as of before. Reports
/// that an older copy brings back, or that the store lists late, are ignored.
class ServerList {
 public:
  /// `report_interval` is that of the servers' reports; the platform removes
  /// those that were silent for three of them.
  explicit ServerList(
      heatherlever::Duration report_interval = std::chrono::milliseconds(1500));

  /// Takes over a full list that this host read from the store. Returns whether
  /// a server was added, removed or changed; small differences in the end of
  /// its cold start don't count.
  bool Update(const Listing<BackendServer>& read, heatherlever::Instant now);

  /// Takes over the full list of another host, known as of `known_at`, unless
  /// it is older than this one. Returns whether it was taken over.
  bool Mirror(const Listing<BackendServer>& list,
              heatherlever::Instant known_at);

  /// Applies the changes of another host's list since it was last sent, unless
  /// that list is older than this one. `timeline` is the one of that list.
  /// Returns whether they were applied.
  bool Apply(const ServerDelta& delta,
             std::uint64_t timeline,
             heatherlever::Instant known_at);

  /// Records that another host confirmed its list as of `known_at`. Returns
  /// whether this changes a server.
  bool Confirm(heatherlever::Instant known_at);

  std::vector<BackendServer> servers() const;

  /// Ids of servers whose listed report is ignored, as it is earlier than the
  /// known one, or states no start time although half of the others do.
  const std::set<std::string>& ignored_reports() const { return ignored_; }

  /// Time until missing servers are removed after an outage; 0 at other times.
  heatherlever::Duration reregistration_time_left(
      heatherlever::Instant now) const;

  /// Time as of which the list is known to be complete; 0 before the first one.
  heatherlever::Instant known_at() const { return known_at_; }

  /// Timeline of the store that the list is known from; 0 before the first one.
  std::uint64_t timeline() const { return timeline_; }

 private:
  // The reports that servers may have made.
  std::vector<BackendServer> SelectReports(
      const std::vector<BackendServer>& reports);
  bool Merge(const std::vector<BackendServer>& reports,
             const ReportOrigin& origin);
  bool Put(const BackendServer& report);
  bool ExtendColdStart(const BackendServer& report);
  bool AcceptOverdue(heatherlever::Instant now);
  bool DropMissing(const std::vector<BackendServer>& reports,
                   const ReportOrigin& origin,
                   const std::set<std::string>& lost);
  bool Remove(const std::string& id, const ReportOrigin& origin, bool lost);
  void TrimRemoved(heatherlever::Instant now);

  const heatherlever::Duration report_interval_;
  std::map<std::string, BackendServer> by_id_;
  // Of listed servers, and of those that were removed lately.
  std::map<std::string, ReportHistory> histories_;
  std::set<std::string> ignored_;
  std::uint64_t timeline_ = 0;
  heatherlever::Instant known_at_{0};
  // Time of the first read after an outage or a restore.
  std::optional<heatherlever::Instant> recovered_at_;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_SERVER_LIST_H_
