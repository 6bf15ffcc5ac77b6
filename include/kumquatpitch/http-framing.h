// Finds the end of each HTTP/1.1 request in a byte stream and rejects requests
// whose framing is ambiguous, which prevents request smuggling. Does no io; the
// HTTP library parses the message.

#ifndef KUMQUATPITCH_HTTP_FRAMING_H
#define KUMQUATPITCH_HTTP_FRAMING_H

#include "kumquatpitch/result-code.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace kumquatpitch {

/// Longest request line and headers together, in bytes.
constexpr std::size_t MaxHeadBytes = 16'384;

enum class FramingState : std::uint8_t {
  Head,     ///< The head is not complete yet.
  Body,     ///< The head is complete, the body is not.
  Complete, ///< One whole request has arrived.
  Rejected, ///< code() and message() say why; the stream is unusable.
};

/// Frames requests one after another. Bytes past the end of a request are
/// buffered for the next one (pipelining).
class HttpFramer {
public:
  /// Adds bytes that were received and returns the new state.
  FramingState append(std::string_view Bytes);

  FramingState state() const { return State_; }
  ResultCode code() const { return Code_; }
  const std::string &message() const { return Message_; }

  /// Request line and headers with the empty line; valid once the state is past
  /// Head.
  const std::string &head() const { return Head_; }
  /// Body with chunked coding removed; valid when Complete.
  const std::string &body() const { return Body_; }
  /// Method and request target; valid once the state is past Head.
  std::string_view method() const;
  std::string_view target() const;
  /// True when the bytes received of this request contain the token header's
  /// name. The request may then be a resend whose first copy ran, so rejecting
  /// it does not prove that the request has not run.
  bool mayBeResend() const { return MayBeResend_; }
  /// True when the caller waits for `100 Continue` before it sends the body.
  bool expectsContinue() const { return ExpectsContinue_; }

  /// Sets the body size limit; call it once the head is complete. The body is
  /// not read before. Returns the new state.
  FramingState limitBody(std::uint64_t MaxBytes);

  /// Discards the complete request and starts the next one with the buffered
  /// bytes. Returns the new state.
  FramingState next();

  /// Bytes held, including the body.
  std::size_t heldBytes() const {
    return Buffer_.size() + Head_.size() + Body_.size();
  }
  /// True when no byte of a request has arrived.
  bool isIdle() const {
    return State_ == FramingState::Head && Buffer_.empty();
  }

private:
  FramingState reject(ResultCode Code, const char *Message);
  FramingState advance();
  FramingState readHead();
  FramingState readBody();
  FramingState readChunks();
  bool checkRequestLine(std::string_view Line);
  bool checkHeader(std::string_view Line);
  bool checkLength(std::string_view Value);
  bool checkTransferCoding(std::string_view Value);

  FramingState State_ = FramingState::Head;
  ResultCode Code_ = ResultCode::Ok;
  std::string Message_;
  std::string Buffer_; ///< Bytes not yet moved to Head_ or Body_.
  std::string Head_;
  std::string Body_;
  bool IsChunked_ = false;
  bool HasLength_ = false;
  bool IsHttp10_ = false; ///< HTTP/1.0, which has no chunked coding.
  bool ExpectsContinue_ = false;
  bool MayBeResend_ = false;
  bool BodyIsLimited_ = false;
  std::uint64_t Length_ = 0;
  std::uint64_t MaxBodyBytes_ = 0;
};

} // namespace kumquatpitch

#endif
