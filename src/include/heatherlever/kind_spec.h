#ifndef HEATHERLEVER_KIND_SPEC_H_
#define HEATHERLEVER_KIND_SPEC_H_

#include <string>
#include "heatherlever/instant.h"
#include "heatherlever/labels.h"
#include "heatherlever/rank.h"

namespace heatherlever {

/// A kind of work as the configuration declares it.
struct KindSpec {
  std::string name;
  Labels labels;
  /// Service whose backend servers run it. Several kinds may share one.
  std::string service;
  Rank rank = Rank::kThird;
  /// Whether the work may be run more than once. Non-idempotent work needs an
  /// Idempotency-Key and is run at most once.
  bool idempotent = false;
  /// Time a request has from its arrival unless the caller asks for less.
  Duration deadline{0};
  /// Expected time that a warm backend server spends on one request.
  Duration service_time{0};
  /// Share of a pool's slots, from 0 to 1, that a flood of other work leaves
  /// to this kind where kinds share a service.
  double floor_share = 0;
  /// How long the outcome of a non-idempotent job is remembered after its
  /// deadline.
  Duration retention{0};
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_KIND_SPEC_H_
