#ifndef HEATHERLEVER_NEIGHBOR_SELECTION_H_
#define HEATHERLEVER_NEIGHBOR_SELECTION_H_

#include <set>
#include <string>

#include "heatherlever/member_table.h"
#include "heatherlever/membership_options.h"

namespace heatherlever {

/// The hosts that `self` probes: its successors of the own region and of other
/// regions on rings ordered by hash. Hosts that are dead or leaving are passed
/// over.
std::set<std::string> SelectNeighbors(const MemberTable& table,
                                      const MemberRecord& self,
                                      const MembershipOptions& options);

}  // namespace heatherlever

#endif  // HEATHERLEVER_NEIGHBOR_SELECTION_H_
