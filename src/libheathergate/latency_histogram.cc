#include "heathergate/latency_histogram.h"

#include <boost/histogram.hpp>

namespace heathergate {
namespace {

constexpr double kMinSeconds = 1e-4;
constexpr double kMaxSeconds = 100;
constexpr unsigned kBucketCount = 30;
constexpr double kMicrosecondsPerSecond = 1e6;

using Axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;

auto MakeHistogram() {
  return boost::histogram::make_histogram(
      Axis(kBucketCount, kMinSeconds, kMaxSeconds));
}

}  // namespace

class LatencyHistogram::Impl {
 public:
  decltype(MakeHistogram()) histogram = MakeHistogram();
  std::uint64_t count = 0;
  double sum_s = 0;
};

LatencyHistogram::LatencyHistogram() : impl_(std::make_unique<Impl>()) {}
LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(LatencyHistogram&&) noexcept = default;
LatencyHistogram& LatencyHistogram::operator=(LatencyHistogram&&) noexcept =
    default;

void LatencyHistogram::Record(heatherlever::Duration latency) {
  const double seconds =
      static_cast<double>(latency.count()) / kMicrosecondsPerSecond;
  impl_->histogram(seconds);
  ++impl_->count;
  impl_->sum_s += seconds;
}

std::vector<LatencyHistogram::Bucket> LatencyHistogram::Cumulative() const {
  std::vector<Bucket> buckets;
  // Below the first bucket.
  double total = impl_->histogram.at(-1);
  for (int i = 0; i < static_cast<int>(kBucketCount); ++i) {
    total += impl_->histogram.at(i);
    buckets.push_back({impl_->histogram.axis(0).bin(i).upper(),
                       static_cast<std::uint64_t>(total)});
  }
  return buckets;
}

std::uint64_t LatencyHistogram::count() const {
  return impl_->count;
}

double LatencyHistogram::sum_s() const {
  return impl_->sum_s;
}

}  // namespace heathergate
