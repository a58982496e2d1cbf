#include "heather-bench-decisions/deployment.h"

namespace heather_bench_decisions {

using std::chrono::microseconds;
using std::chrono::milliseconds;

const std::array<RankTraffic, heatherlever::kRankCount> kTraffic = {{
    {"first", 0.2, 0.1, milliseconds(1000), false},
    {"second", 0.5, 0.2, milliseconds(1000), true},
    {"third", 0.3, 0.1, milliseconds(3000), false},
}};

const std::vector<Deployment>& Deployments() {
  static const std::vector<Deployment> deployments = {
      {"vatuwaqa",
       microseconds(1500),
       {{"levelview", 5, 9}, {"cartage", 4, 6}, {"valvedesk", 4, 3}}},
      {"pragova",
       microseconds(1000),
       {{"proof-viewer", 6, 3}, {"job-intake", 4, 3}, {"rush-desk", 4, 3}}},
  };
  return deployments;
}

}  // namespace heather_bench_decisions
