#ifndef HEATHER_ENTRY_WORK_CODEC_H_
#define HEATHER_ENTRY_WORK_CODEC_H_

#include <optional>

#include "heathernet/peer_request.h"
#include "heathernet/peer_response.h"
#include "heathernet/peer_result.h"

namespace heather_entry {

struct WorkAnswer;
struct WorkRequest;

/// The message that carries a request to a peer at `path`. Its timeout leaves
/// the answer time to travel back before the caller's deadline.
heathernet::PeerRequest EncodeWork(const WorkRequest& request,
                                   const std::string& path);

/// The request that a peer's message carries; nothing if a header is missing
/// or malformed.
std::optional<WorkRequest> DecodeWork(const heathernet::PeerRequest& message);

/// The message that carries an answer back.
heathernet::PeerResponse EncodeAnswer(const WorkAnswer& answer);

/// The answer that a peer's message carries; nothing if it carries none.
std::optional<WorkAnswer> DecodeAnswer(const heathernet::PeerResult& message);

}  // namespace heather_entry

#endif  // HEATHER_ENTRY_WORK_CODEC_H_
