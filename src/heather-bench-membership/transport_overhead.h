#ifndef HEATHER_BENCH_MEMBERSHIP_TRANSPORT_OVERHEAD_H_
#define HEATHER_BENCH_MEMBERSHIP_TRANSPORT_OVERHEAD_H_

namespace heather_bench_membership {

/// Bytes that the transport adds to the messages, both directions together.
struct TransportOverhead {
  /// For a call and its answer on an open connection.
  double bytes_per_call = 0;
  /// For opening and closing a connection.
  double bytes_per_connection = 0;
};

/// Counts the HTTP/2 bytes of calls between two PeerTransport objects on
/// loopback and adds TCP and IP headers. Throws std::runtime_error if a call
/// fails.
TransportOverhead MeasureTransportOverhead();

}  // namespace heather_bench_membership

#endif  // HEATHER_BENCH_MEMBERSHIP_TRANSPORT_OVERHEAD_H_
