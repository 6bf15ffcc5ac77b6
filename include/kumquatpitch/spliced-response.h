// Finds a second response inside the bytes of one. A faulty server may break a
// response off and write another one behind it on the same connection: that one
// then continues the head of the first, or fills its body up to the length.
// Used by HttpClientConnection; no I/O.

#ifndef KUMQUATPITCH_SPLICED_RESPONSE_H
#define KUMQUATPITCH_SPLICED_RESPONSE_H

#include "kumquatpitch/response-match.h"

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

  struct Findings {
    Verdict Verdict_ = Verdict::Whole;
    /// The bytes that are undecided are more than a few that match by
    /// coincidence.
    bool IsLikely_ = false;
    /// "HTTP/" stands inside the response.
    bool HasProtocolName_ = false;
    /// A status line stands inside it, without the id of a request that the
    /// connection has carried.
    bool HasStatusLine_ = false;

    bool operator==(const Findings &) const = default;
  };

  /// Starts with the first byte of a response. `EchoHeader` names the header
  /// that repeats the request's id; if it is empty, no second response is
  /// found, only status lines. `Carried` has to outlive the scan.
  void begin(std::string EchoHeader, const CarriedRequestIds &Carried);

  /// Scans the next bytes of the response.
  void feed(std::string_view Bytes);

  /// Scans bytes that follow the complete response. They count only if they
  /// continue a second response that has begun inside it.
  void feedAfterEnd(std::string_view Bytes);

  Verdict verdict() const;

  Findings findings() const;

  /// Bytes of the response before the second one. Must be called only when the
  /// verdict is Spliced.
  std::uint64_t secondOffset() const { return StatusLineOffset_; }

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
  std::uint64_t Bytes_ = 0;            ///< Seen of the response, and behind it.
  std::uint64_t StatusLineOffset_ = 0; ///< Of the last status line.
  bool HasProtocolName_ = false;
  bool HasStatusLine_ = false;
  bool HasBegun_ = false; ///< The response's own first byte has been seen.
  bool IsSpliced_ = false;
  bool IsInHead_ = false;     ///< Between a status line and an empty line.
  bool IsStatusLine_ = false; ///< Line_ is the status line.
  std::size_t Matched_ = 0;   ///< Bytes that match the start of a status line.
  std::size_t HeadBytes_ = 0; ///< Of the possible head, from its status line.
  std::string Line_;          ///< The current line of the possible head.
};

} // namespace kumquatpitch

#endif
