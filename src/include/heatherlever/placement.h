#ifndef HEATHERLEVER_PLACEMENT_H_
#define HEATHERLEVER_PLACEMENT_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "heatherlever/headroom_report.h"
#include "heatherlever/instant.h"
#include "heatherlever/placement_decision.h"
#include "heatherlever/placement_explanation.h"
#include "heatherlever/placement_options.h"
#include "heatherlever/placement_request.h"

namespace heatherlever {

class BlockTable;
struct DeploymentSpec;

/// Chooses the region of each request at one entry host: the caller's home
/// region where possible, otherwise the nearest region that the kind's rule,
/// the headroom, the link budgets and the shift cap allow. What fits nowhere is
/// refused. A region that receives a placed request serves it or refuses it; it
/// never places it again. Non-idempotent work is placed once, by the host that
/// holds its at-most-once record.
class Placement {
 public:
  /// `local_region` names the region of the deciding host. Returns
  /// InvalidArgument for an unknown region or a selector that cannot be parsed.
  static absl::StatusOr<Placement> Create(
      const DeploymentSpec& spec,
      std::string_view local_region,
      std::shared_ptr<const BlockTable> blocks,
      const PlacementOptions& options);

  Placement(Placement&&) noexcept;
  Placement& operator=(Placement&&) noexcept;
  ~Placement();

  /// Places one request and counts it. Allocates nothing. A moved request has
  /// to be reported by OnMoveDone when it is over.
  PlacementDecision Decide(const PlacementRequest& request, Instant now);

  /// Why Decide would place the request as it would now. Counts nothing.
  PlacementExplanation Explain(const PlacementRequest& request,
                               Instant now) const;

  /// A moved request of a kind is over.
  void OnMoveDone(std::size_t kind, std::size_t region);

  /// Charges bytes that a request sent to a region and received from there
  /// beyond what its PlacementRequest expected.
  void ChargeLink(std::size_t region,
                  double sent_bytes,
                  double received_bytes,
                  Instant now);

  /// News of the pool of a service in a region. Unknown names are ignored.
  void OnSummary(std::string_view service,
                 std::string_view region,
                 const HeadroomReport& summary,
                 Instant now);

  /// Whether a region counts as dead: its entry hosts or its pools cannot be
  /// reached.
  void SetRegionDead(std::string_view region, bool dead);

  /// Share of a service's traffic that a drain moves out of a region by now,
  /// from 0 to 1; see DrainPlan.
  void SetDrainShare(std::string_view service,
                     std::string_view region,
                     double share);

  /// Sets PlacementOptions::headroom_senders and headroom_sender_index, such as
  /// after a change of the epoch's members.
  void SetHeadroomSenders(int senders, int index);

  /// Takes over the state of the placement that this one replaces after a
  /// change of the configuration, matched by name: shift caps (a changed share
  /// starts a new window), summaries, requests in flight, dead regions, drains,
  /// headroom senders and link budgets. OnMoveDone and ChargeLink want the new
  /// indexes from then on.
  void Adopt(const Placement& previous, Instant now);

  /// Name of a region by its index.
  const std::string& region_name(std::size_t region) const;

  /// Index of the home region of a caller; the deciding host's region if no
  /// block holds the address.
  std::size_t HomeOf(std::uint32_t client_address) const;

 private:
  class State;
  explicit Placement(std::unique_ptr<State> state);

  std::unique_ptr<State> state_;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_PLACEMENT_H_
