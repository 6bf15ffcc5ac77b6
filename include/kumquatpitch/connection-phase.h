// Decides when a caller's connection stops accepting requests and which
// response is its last. Used by HttpSession; no I/O.

#ifndef KUMQUATPITCH_CONNECTION_PHASE_H
#define KUMQUATPITCH_CONNECTION_PHASE_H

namespace kumquatpitch {

/// Invariant: once the last response is queued, no further request is accepted.
/// A request that was accepted after it would run without being answered.
class ConnectionPhase {
public:
  /// False: further input is read and dropped. Its requests count as not read,
  /// and callers send them again elsewhere.
  bool acceptsRequests() const { return Phase_ == Phase::Open; }

  /// True once the response has been queued after which the connection closes.
  bool isLastQueued() const { return Phase_ == Phase::LastQueued; }

  /// The caller asked to close, or sent something that cannot be read: only the
  /// requests accepted so far are still answered.
  void acceptNoMore() {
    if (Phase_ == Phase::Open)
      Phase_ = Phase::Finishing;
  }

  /// Records that a response is queued. `HasMore` is true if other accepted
  /// requests wait for their responses or received input is left. Returns
  /// whether this response is the last one. `IsDraining`: the server closes
  /// each connection at the next opportunity.
  bool responseQueued(bool HasMore, bool IsDraining) {
    if (HasMore || (Phase_ == Phase::Open && !IsDraining))
      return false;
    Phase_ = Phase::LastQueued;
    return true;
  }

private:
  enum class Phase : unsigned char { Open, Finishing, LastQueued };

  Phase Phase_ = Phase::Open;
};

} // namespace kumquatpitch

#endif
