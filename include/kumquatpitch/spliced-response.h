// Finds a second response inside the bytes of one. A faulty server may break a
// response off and write another one behind it on the same connection: that one
// then continues the head of the first, or fills its body up to the length.
// Used by HttpClientConnection; no I/O.

#ifndef KUMQUATPITCH_SPLICED_RESPONSE_H
#define KUMQUATPITCH_SPLICED_RESPONSE_H

#include "kumquatpitch/response-match.h"
#include "kumquatpitch/time-point.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace kumquatpitch {

/// Scans the bytes of one response as received, with any framing.
///
/// A second response is a status line behind the first byte that is followed by
/// header fields with the id of a request that the connection has carried. A
/// body that only quotes a response, such as a page of documentation, has no
/// such id. If a body ends inside a status line or inside the head behind one,
/// only what follows it on the connection shows which of the two it is.
class SplicedResponseScan {
public:
  enum class Verdict : std::uint8_t {
    Whole,     ///< Nothing was found.
    Undecided, ///< The response ends inside a possible second one.
    Spliced,   ///< A second response was found.
  };

  /// Starts with the first byte of a response. `EchoHeader` names the header
  /// that repeats the request's id; if it is empty, nothing is found. `Carried`
  /// has to outlive the scan.
  void begin(std::string EchoHeader, const CarriedRequestIds &Carried);

  /// Scans the next bytes of the response.
  void feed(std::string_view Bytes);

  /// Scans bytes that follow the complete response. They count only if they
  /// continue a second response that has begun inside it.
  void feedAfterEnd(std::string_view Bytes);

  Verdict verdict() const;

  /// True if the bytes that are undecided are more than a few that match by
  /// coincidence.
  bool isLikelySecond() const {
    return IsInHead_ || Matched_ >= ProtocolNameBytes;
  }

  /// How long to wait for what follows a response that is undecided: a round
  /// trip, or more if a second one is likely, since a lost packet is sent again
  /// after 200 ms.
  Duration holdTime() const {
    return std::chrono::milliseconds(isLikelySecond() ? 250 : 20);
  }

  /// The bytes received since the beginning of the second response. Must be
  /// called only when the verdict is Spliced.
  std::string takeSecond() { return std::move(Second_); }

private:
  static constexpr std::size_t ProtocolNameBytes = 5; ///< "HTTP/"
  /// A longer head is rejected as the head of a response, too.
  static constexpr std::size_t MaxHeadBytes = 32'768;

  void feedByte(char Byte);
  bool matchStatusLine(char Byte);
  void endLine();
  void dismiss();

  std::string EchoHeader_;
  const CarriedRequestIds *Carried_ = nullptr;
  bool HasBegun_ = false; ///< The response's own first byte has been seen.
  bool IsSpliced_ = false;
  bool IsInHead_ = false;     ///< Between a status line and an empty line.
  bool IsStatusLine_ = false; ///< Line_ is the status line.
  std::size_t Matched_ = 0;   ///< Bytes that match the start of a status line.
  std::string Line_;          ///< The current line of the possible head.
  std::string Second_;        ///< Bytes of the possible second response.
};

} // namespace kumquatpitch

#endif
