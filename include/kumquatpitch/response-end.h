// Decides whether a response that may have ended is the server's whole answer.
// Every byte that counts towards its length may belong to another response: the
// connection is the server's, and a faulty one writes several responses on it,
// cut anywhere. Used by HttpClientConnection and BackendStream; no
// I/O.

#ifndef KUMQUATPITCH_RESPONSE_END_H
#define KUMQUATPITCH_RESPONSE_END_H

#include "kumquatpitch/announced-end.h"
#include "kumquatpitch/message-parser.h"
#include "kumquatpitch/spliced-response.h"
#include "kumquatpitch/time-point.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace kumquatpitch {

/// Bytes received behind a response that is complete by its framing. Those of
/// another response, such as a second copy, take nothing from it; any others
/// may be its own last bytes, pushed out by bytes inside it.
class BytesBehindResponse {
public:
  void add(std::string_view Bytes);
  std::size_t total() const { return Total_; }
  /// The total, or 0 for line breaks alone or if another response begins there.
  std::size_t strayBytes() const;

private:
  /// Enough of them to tell whether a response begins, which line breaks may
  /// precede.
  std::string Start_;
  std::size_t Total_ = 0;
};

/// What is known of a response that is complete by its framing.
struct ResponseEvidence {
  BodyFraming Framing_ = BodyFraming::Length;
  AnnouncedEnd AnnouncedEnd_ = AnnouncedEnd::Nothing;
  bool HeadHoldsAnother_ = false; ///< See headHoldsAnother().
  SplicedResponseScan::Findings Findings_;
  /// Bytes received behind the response that are not another response.
  std::size_t StrayBytes_ = 0;
  /// The server has ended its side, so that nothing can follow.
  bool IsConnectionEnded_ = false;
  /// It has been held for the time that a first decision asked for.
  bool WasHeld_ = false;

  bool operator==(const ResponseEvidence &) const = default;
};

enum class ResponseEnd : std::uint8_t {
  Whole,  ///< May be delivered.
  Hold,   ///< What follows on the connection will tell.
  Broken, ///< Holds bytes of another response, or may have been cut.
};

struct ResponseDecision {
  ResponseEnd End_ = ResponseEnd::Whole;
  Duration HoldTime_{};          ///< How long to wait at most; set with Hold.
  const char *Reason_ = nullptr; ///< For the log; set with Broken.
};

ResponseDecision decideResponseEnd(const ResponseEvidence &Evidence);

/// Why nothing that follows this head can prove the response whole; null if its
/// end will. An end of the connection proves nothing: a process that is killed
/// ends its connections in order, and a reset may become such an end on the
/// way. `IsUnframedAccepted` is true for a server that is declared to tell the
/// end of its responses in no other way.
const char *unprovableReason(BodyFraming Framing, bool IsUnframedAccepted);

} // namespace kumquatpitch

#endif
