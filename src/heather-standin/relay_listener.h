#ifndef HEATHER_STANDIN_RELAY_LISTENER_H_
#define HEATHER_STANDIN_RELAY_LISTENER_H_

namespace heather_standin {

/// Owner of the two ways of a relayed connection.
class RelayListener {
 public:
  virtual ~RelayListener() = default;

  /// A socket failed.
  virtual void DirectionFailed() = 0;

  /// The source ended and everything it sent was written.
  virtual void DirectionFinished() = 0;
};

}  // namespace heather_standin

#endif  // HEATHER_STANDIN_RELAY_LISTENER_H_
