#ifndef HEATHERLEVER_PLACEMENT_STATE_H_
#define HEATHERLEVER_PLACEMENT_STATE_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "heatherlever/block_table.h"
#include "heatherlever/placement.h"
#include "heatherlever/rule_table.h"
#include "heatherlever/shift_cap.h"
#include "leaving_share.h"
#include "link_budgets.h"
#include "pool_headroom.h"
#include "spill_control.h"

namespace heatherlever {

struct DeploymentSpec;

/// The state behind Placement.
class Placement::State {
 public:
  State(const DeploymentSpec& spec,
        std::size_t local_region,
        RuleTable rules,
        std::shared_ptr<const BlockTable> blocks,
        const PlacementOptions& options);

  PlacementDecision Decide(const PlacementRequest& request, Instant now);
  PlacementExplanation Explain(const PlacementRequest& request,
                               Instant now) const;
  void OnMoveDone(std::size_t kind, std::size_t region);
  void ChargeLink(std::size_t region,
                  double sent,
                  double received,
                  Instant now);
  void OnSummary(std::string_view service,
                 std::string_view region,
                 const HeadroomReport& summary,
                 Instant now);
  void SetRegionDead(std::string_view region, bool dead);
  void SetDrainShare(std::string_view service,
                     std::string_view region,
                     double share);
  void SetHeadroomSenders(int senders, int index);
  void Adopt(const State& previous, Instant now);
  const std::string& region_name(std::size_t region) const;
  std::size_t HomeOf(std::uint32_t client_address) const;

 private:
  // The backend servers of one service in one region.
  struct Pool {
    PoolHeadroom headroom;
    SpillControl spill;
    double drain_share = 0;
  };

  // The requests of one kind and one home region.
  struct Flow {
    ShiftCap cap;
    LeavingShare leaving;
  };

  // A share of a flow that is to leave its home region, and why.
  struct Leaving {
    double share = 0;
    PlacementReason reason = PlacementReason::kHomeServes;
  };

  // What speaks for or against one region; kChosen if nothing speaks against.
  struct Candidate {
    std::size_t region = 0;
    PlacementReason reason = PlacementReason::kNotSelected;
    Duration delay{0};
    int available = 0;
  };

  Leaving LeavingTarget(std::size_t kind, std::size_t home) const;
  PlacementDecision Choose(const PlacementRequest& request,
                           std::size_t home,
                           bool leaves,
                           const Leaving& leaving,
                           Instant now) const;
  PlacementDecision StayOrRefuse(std::size_t kind,
                                 std::size_t home,
                                 PlacementReason reason) const;
  Candidate Assess(const PlacementRequest& request,
                   std::size_t region,
                   Instant now) const;
  PlacementReason ReasonAgainst(const PlacementRequest& request,
                                const Candidate& candidate,
                                Instant now) const;
  bool HomeServes(std::size_t kind, std::size_t home) const;
  void Count(const PlacementRequest& request,
             const PlacementDecision& decision,
             Instant now);
  void ExplainCandidates(const PlacementRequest& request,
                         PlacementExplanation* explanation,
                         Instant now) const;

  void AdoptPools(std::size_t region,
                  const State& previous,
                  std::size_t old_region);
  void AdoptFlows(std::size_t region,
                  const State& previous,
                  std::size_t old_region,
                  Instant now);

  Pool& PoolOf(std::size_t kind, std::size_t region);
  const Pool& PoolOf(std::size_t kind, std::size_t region) const;
  Flow& FlowOf(std::size_t kind, std::size_t home);
  const Flow& FlowOf(std::size_t kind, std::size_t home) const;
  // The pool by names; null if there is none.
  Pool* FindPool(std::string_view service, std::string_view region);
  std::optional<std::size_t> FindRegion(std::string_view name) const;

  PlacementOptions options_;
  std::size_t local_region_;
  RuleTable rules_;
  std::shared_ptr<const BlockTable> blocks_;
  LinkBudgets links_;
  std::vector<std::string> regions_;
  std::vector<std::string> kinds_;
  std::vector<std::string> services_;
  // By kind.
  std::vector<std::size_t> service_of_kind_;
  std::vector<std::string> rule_of_kind_;
  // By region.
  std::vector<bool> dead_;
  // By service, then region.
  std::vector<Pool> pools_;
  // By kind, then home region.
  std::vector<Flow> flows_;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_PLACEMENT_STATE_H_
