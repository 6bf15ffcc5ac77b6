// The byte stream of one exchange with a backend server. Gives the HTTP library
// the bytes of the answer and scans them for a second one. Used by
// BackendConnection.

#ifndef KUMQUATPITCH_BACKEND_STREAM_H
#define KUMQUATPITCH_BACKEND_STREAM_H

#include "kumquatpitch/response-end.h"
#include "kumquatpitch/spliced-response.h"
#include "kumquatpitch/status-line.h"
#include "kumquatpitch/time-point.h"

#include <array>
#include <chrono>
#include <http_parser.h>
#include <httplib.h>
#include <string_view>

namespace kumquatpitch::detail {

/// Checks that the bytes of a response are one complete message. The HTTP
/// library is less strict: it skips a line of the head that is no header field,
/// and takes a chunk that is not followed by a line end for the last one.
/// Nor does it limit a head, a chunk's line or trailers; the parser does. It
/// takes each status of three digits.
class ResponseSyntaxCheck {
public:
  /// `IsBodyOmitted` is true for the response to a HEAD request.
  explicit ResponseSyntaxCheck(bool IsBodyOmitted);
  ResponseSyntaxCheck(const ResponseSyntaxCheck &) = delete;
  ResponseSyntaxCheck &operator=(const ResponseSyntaxCheck &) = delete;

  void feed(std::string_view Bytes);
  /// True if no further bytes can make the response a valid one.
  bool isRejected() const { return IsRejected_; }
  /// Must be called once, behind the last byte. Returns true if the bytes are
  /// one complete message; one without a length or chunks ends here.
  bool finish();

private:
  /// Lower statuses precede another head.
  static constexpr unsigned FinalStatus = 200;
  /// The HTTP library matches the status line with a recursive function, which
  /// overflows the thread's stack on a line of some 10,000 bytes.
  static constexpr std::size_t MaxReasonBytes = 1'024;
  static const http_parser_settings Settings;

  static int onMessageBegin(http_parser *Parser);
  static int onStatus(http_parser *Parser, const char *Text, std::size_t Size);
  static int onHeadersComplete(http_parser *Parser);
  static int onComplete(http_parser *Parser);
  void reset();

  const bool IsBodyOmitted_;
  http_parser Parser_{};
  StatusLineCheck StatusLine_; ///< Of the current head.
  std::size_t ReasonBytes_ = 0;
  bool HasNoBody_ = false;
  bool IsComplete_ = false;
  bool IsRejected_ = false;
};

class BackendStream : public httplib::Stream {
public:
  /// All reads and writes together take at most `Timeout`. `Scan` gets the
  /// bytes that the library reads. `IsBodyOmitted` is true for a HEAD request.
  BackendStream(socket_t Socket, Duration Timeout, SplicedResponseScan &Scan,
                bool IsBodyOmitted)
      : Socket_(Socket), Deadline_(Clock::now() + Timeout), Scan_(Scan),
        Syntax_(IsBodyOmitted) {}

  /// True if the bytes that the library has read are one complete message. Must
  /// be called once, behind the last of them.
  bool finishAnswer() { return Syntax_.finish(); }

  /// Decides whether the complete answer is free of another one's bytes. Waits
  /// for what follows it where this has to tell.
  bool decideAnswerIsWhole();

  /// True if bytes were received that the library has not read.
  bool hasUnreadBytes() const { return Begin_ < End_; }

  std::size_t bytesBehindAnswer() const { return Behind_.total(); }

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char *Bytes, size_t Size) override;
  ssize_t write(const char *Bytes, size_t Size) override;
  void get_remote_ip_and_port(std::string &Ip, int &Port) const override;
  void get_local_ip_and_port(std::string &Ip, int &Port) const override;
  socket_t socket() const override { return Socket_; }

private:
  using Clock = std::chrono::steady_clock;

  static constexpr std::size_t BufferBytes = 4'096;

  bool isReady(short Events, Duration Timeout) const;
  /// Like the other one, until the deadline.
  bool isReady(short Events) const;
  /// Fills the empty buffer with bytes that are ready. Returns 0 at the end of
  /// the stream and -1 on an error.
  ssize_t fill();

  const socket_t Socket_;
  const Clock::time_point Deadline_;
  SplicedResponseScan &Scan_;
  ResponseSyntaxCheck Syntax_;
  BytesBehindResponse Behind_; ///< Of the complete answer.
  std::array<char, BufferBytes> Buffer_;
  std::size_t Begin_ = 0; ///< Of the bytes that were received and not read.
  std::size_t End_ = 0;
};

} // namespace kumquatpitch::detail

#endif
