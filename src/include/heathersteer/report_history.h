#ifndef HEATHERSTEER_REPORT_HISTORY_H_
#define HEATHERSTEER_REPORT_HISTORY_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "heatherlever/instant.h"
#include "heathersteer/backend_server.h"
#include "heathersteer/report_origin.h"

namespace heathersteer {

/// The reports of one id, as far as they tell the current report of its server
/// from an earlier one that the store lists later. An earlier one is accepted
/// once the server that sent it has shown that it runs.
class ReportHistory {
 public:
  ReportHistory(const BackendServer& first, const ReportOrigin& origin);

  /// Takes a report that is listed. Returns whether it is the current one.
  bool Accept(const BackendServer& report, const ReportOrigin& origin);

  /// Accepts and returns the late report that is still listed, if it has been
  /// listed for so long that its server runs.
  std::optional<BackendServer> AcceptOverdue(heatherlever::Instant now);

  /// Records that the id is not listed any more. A server whose last report is
  /// not older than `silence` by then has left; another one may have been
  /// removed for its silence.
  void RecordRemoval(const ReportOrigin& origin,
                     heatherlever::Duration silence);

  /// Records that no late report is listed.
  void ForgetLateReport() { late_.reset(); }

  /// Start time of the incarnation before the current one if that is later
  /// than the current one's, as clocks differ; 0 otherwise.
  std::int64_t succeeds_ms() const { return succeeds_ms_; }

  /// Time of the last removal; nothing while the id is listed.
  std::optional<heatherlever::Instant> removed_at() const;

 private:
  struct Removal {
    std::uint64_t timeline = 0;
    heatherlever::Instant at{0};
    // Whether the server had reported lately, so that it has left.
    bool left = false;
  };

  // A report that seems to be earlier than the current one.
  struct Late {
    BackendServer report;
    std::uint64_t timeline = 0;
    // Since when, and when last, it has been listed without a gap.
    heatherlever::Instant listed_since{0};
    heatherlever::Instant listed_at{0};
    // Number of further reports of the same incarnation that were listed.
    int further_reports = 0;
  };

  bool Precedes(const BackendServer& report, std::uint64_t timeline) const;
  bool ShowsThatItRuns(const BackendServer& report, const ReportOrigin& origin);
  int NeededReports(const BackendServer& report) const;
  void Take(const BackendServer& report);

  std::int64_t started_ms_ = 0;
  std::int64_t sequence_ = 0;
  std::int64_t succeeds_ms_ = 0;
  // Start times of incarnations before the current one, the last one last.
  std::vector<std::int64_t> ended_starts_ms_;
  // Time at which this host read the last report that was new; nothing if it
  // comes from another host.
  std::optional<heatherlever::Instant> reported_at_;
  std::optional<Removal> removal_;
  std::optional<Late> late_;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_REPORT_HISTORY_H_
