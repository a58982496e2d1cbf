#include "heatherlever/effective_labels.h"

#include <string>

#include "heatherlever/backend_spec.h"
#include "heatherlever/kind_spec.h"
#include "heatherlever/region_spec.h"

namespace heatherlever {

Labels EffectiveLabels(const KindSpec& kind) {
  Labels labels = kind.labels;
  labels["name"] = kind.name;
  labels["service"] = kind.service;
  labels["rank"] = std::string(RankName(kind.rank));
  labels["idempotent"] = kind.idempotent ? "yes" : "no";
  return labels;
}

Labels EffectiveLabels(const BackendSpec& backend, const RegionSpec& region) {
  Labels labels = region.labels;
  for (const auto& [key, value] : backend.labels) {
    labels[key] = value;
  }
  labels["name"] = backend.name;
  labels["service"] = backend.service;
  labels["region"] = backend.region;
  labels["domain"] = backend.domain;
  return labels;
}

}  // namespace heatherlever
