#ifndef LIBHEATHERGATE_REQUEST_TARGET_H_
#define LIBHEATHERGATE_REQUEST_TARGET_H_

namespace heathergate {

struct HttpHead;

/// Replaces a request target in absolute form (RFC 9112, 3.2.2) by its path and
/// query, and the Host field by its authority. Targets in other forms stay.
/// Returns false if the target names no host, or a user.
bool ToOriginForm(HttpHead& head);

}  // namespace heathergate

#endif  // LIBHEATHERGATE_REQUEST_TARGET_H_
