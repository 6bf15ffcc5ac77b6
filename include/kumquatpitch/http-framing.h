// Finds the end of an HTTP/1.1 request in a byte stream and refuses what two
// readers could understand differently (request smuggling). It holds no socket;
// the HTTP library parses the message itself.

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
  Complete, ///< One whole request is there.
  Rejected, ///< code() and message() tell why; the stream is unusable.
};

/// Frames one request after another. Bytes past a request's end are kept for
/// the next one.
class HttpFramer {
public:
  /// Takes bytes from the stream.
  FramingState append(std::string_view Bytes);

  FramingState state() const { return State_; }
  ResultCode code() const { return Code_; }
  const std::string &message() const { return Message_; }

  /// Request line and headers with the empty line; valid after Head.
  const std::string &head() const { return Head_; }
  /// Body without chunked coding; valid when Complete.
  const std::string &body() const { return Body_; }
  /// Method and request target; valid after Head.
  std::string_view method() const;
  std::string_view target() const;
  /// True when the bytes seen of this request name a token: it may be the
  /// resend of a request that ran, so its refusal proves nothing about it.
  bool mayBeResend() const { return MayBeResend_; }
  /// The request asks for `100 Continue` before it sends the body.
  bool expectsContinue() const { return ExpectsContinue_; }

  /// Sets the largest body; to be called when the head is there. Gives the new
  /// state.
  FramingState limitBody(std::uint64_t MaxBytes);

  /// Drops the complete request and starts with what was kept.
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
  std::string Buffer_; ///< Bytes that belong to neither Head_ nor Body_ yet.
  std::string Head_;
  std::string Body_;
  bool IsChunked_ = false;
  bool HasLength_ = false;
  bool IsOldVersion_ = false; ///< HTTP/1.0, which has no chunked coding.
  bool ExpectsContinue_ = false;
  bool MayBeResend_ = false;
  bool BodyIsLimited_ = false;
  std::uint64_t Length_ = 0;
  std::uint64_t MaxBodyBytes_ = 0;
};

} // namespace kumquatpitch

#endif
