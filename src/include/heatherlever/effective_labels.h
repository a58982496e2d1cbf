#ifndef HEATHERLEVER_EFFECTIVE_LABELS_H_
#define HEATHERLEVER_EFFECTIVE_LABELS_H_

#include "heatherlever/labels.h"

namespace heatherlever {

struct BackendSpec;
struct KindSpec;
struct RegionSpec;

/// The labels that selectors see on a kind of work: its own and the built-in
/// ones `name`, `service`, `rank` and `idempotent` (`yes` or `no`).
Labels EffectiveLabels(const KindSpec& kind);

/// The labels that selectors see on a backend server: those of its region, its
/// own, and the built-in ones `name`, `service`, `region` and `domain`. Where
/// names are the same, the later ones of this list count.
Labels EffectiveLabels(const BackendSpec& backend, const RegionSpec& region);

}  // namespace heatherlever

#endif  // HEATHERLEVER_EFFECTIVE_LABELS_H_
