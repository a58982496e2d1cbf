#ifndef HEATHER_SIMULATE_SIMULATION_H_
#define HEATHER_SIMULATE_SIMULATION_H_

#include "heather-simulate/load_outcome.h"
#include "heather-simulate/load_pattern.h"
#include "heather-simulate/server_chooser.h"

namespace heather_simulate {

/// Simulates a pattern in virtual time. The outcome is deterministic: equal
/// arguments give equal outcomes.
LoadOutcome Simulate(const LoadPattern& pattern, ChooserKind chooser);

}  // namespace heather_simulate

#endif  // HEATHER_SIMULATE_SIMULATION_H_
