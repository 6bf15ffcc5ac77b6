// Parses HTTP/1.1 messages from a byte stream with the http-parser library and
// serializes them. HttpServer parses requests with it, HttpClientConnection
// responses. Owns no socket.

#ifndef KUMQUATPITCH_MESSAGE_PARSER_H
#define KUMQUATPITCH_MESSAGE_PARSER_H

#include "kumquatpitch/http-message.h"
#include "kumquatpitch/result-code.h"
#include "kumquatpitch/status-line.h"

#include <cstdint>
#include <http_parser.h>
#include <optional>
#include <string>
#include <string_view>

namespace kumquatpitch {

/// A complete request or response. The body is stored without chunked coding.
struct HttpMessage {
  std::string Method_; ///< Requests only.
  std::string Target_; ///< Requests only: path and query as sent.
  int Status_ = 0;     ///< Responses only.
  std::string Reason_; ///< Responses only: the text behind the status.
  HeaderFields Headers_;
  std::string Body_;
  bool KeepAlive_ = true;
  bool IsHttp10_ = false; ///< Responses only: HTTP/1.0.
  /// Responses only: nothing but the end of the connection tells the end of the
  /// body. Set by the parser, and by a relay that cannot know the length,
  /// either.
  bool EndsWithConnection_ = false;
  /// Responses only: the response to HEAD, which has no body, whatever its
  /// headers say.
  bool IsBodyOmitted_ = false;

  bool operator==(const HttpMessage &) const = default;

  /// Value of the first header with this name, ignoring case; null if there is
  /// none.
  const std::string *header(std::string_view Name) const;
  /// Number of headers with this name, ignoring case.
  std::size_t headerCount(std::string_view Name) const;
};

/// How the end of a response's body is told.
enum class BodyFraming : std::uint8_t {
  Length,     ///< By its length, also if it can have no body.
  Chunked,    ///< By the last chunk.
  UntilClose, ///< By the end of the connection.
};

BodyFraming bodyFraming(const HttpMessage &Response);
/// Name of a framing for logs and counters, such as `until_close`.
const char *bodyFramingName(BodyFraming Framing);

/// True if two header names are equal, ignoring case.
bool headerNamesEqual(std::string_view Left, std::string_view Right);

/// Serialize a request or a response. The message's hop-by-hop headers,
/// Content-Length and Expect are left out; Content-Length is set from the body
/// where a body is allowed. `OmitBody`, for responses to HEAD, drops the body
/// but not its length; a response that came without its body keeps the length
/// that it states. A response that ends with its connection is written
/// without a length; `CloseAfter` has to be true then.
std::string writeRequest(const HttpMessage &Message);
/// The request without its body, which has `BodyBytes`.
std::string writeRequestHead(const HttpMessage &Message,
                             std::uint64_t BodyBytes);
std::string writeResponse(const HttpMessage &Message, bool CloseAfter,
                          bool OmitBody);

/// Parses one message after another from a stream.
class MessageParser {
public:
  enum class Kind : std::uint8_t { Request, Response };
  enum class State : std::uint8_t { Head, Body, Complete, Rejected };

  MessageParser(Kind MessageKind, std::uint64_t MaxHeadBytes,
                std::uint64_t MaxBodyBytes);
  MessageParser(const MessageParser &) = delete;
  MessageParser &operator=(const MessageParser &) = delete;

  /// The next response is one to HEAD.
  void expectNoBody() { OmitsBody_ = true; }

  /// Parses up to the end of the current message. Returns the number of bytes
  /// consumed.
  std::size_t feed(std::string_view Bytes);

  /// Signals the end of the stream. This completes a response without a
  /// Content-Length or chunked coding; other incomplete messages are rejected.
  void finish();

  State state() const { return State_; }
  /// Why the stream was rejected: too large, or malformed.
  ResultCode code() const { return Code_; }
  /// True if a response was rejected for its status, see StatusLineCheck.
  bool hasInvalidStatus() const { return StatusLine_.isInvalid(); }
  /// True if bytes of a message that is not complete have been parsed.
  bool hasBegun() const { return HeadBytes_ > 0 && State_ != State::Complete; }
  /// Bytes that the parser holds or will hold for the body: the announced
  /// length, or for chunked coding what is allocated so far.
  std::uint64_t bodyBytes() const;
  /// True if the request expects `100 Continue` and no body bytes have been
  /// parsed.
  bool awaitsContinue() const;

  const HttpMessage &message() const { return Message_; }
  /// Returns the complete message and resets the parser for the next one.
  HttpMessage take();

private:
  static int onTarget(http_parser *Parser, const char *Data, std::size_t Size);
  static int onReason(http_parser *Parser, const char *Data, std::size_t Size);
  static int onField(http_parser *Parser, const char *Data, std::size_t Size);
  static int onValue(http_parser *Parser, const char *Data, std::size_t Size);
  static int onHeadersComplete(http_parser *Parser);
  static int onBody(http_parser *Parser, const char *Data, std::size_t Size);
  static int onComplete(http_parser *Parser);
  static const http_parser_settings Settings;

  void reset();
  /// Counts bytes of the head; false if it exceeds MaxHeadBytes_.
  bool countHead(std::size_t Size);
  int reject(ResultCode Code);

  Kind Kind_;
  std::uint64_t MaxHeadBytes_;
  std::uint64_t MaxBodyBytes_;
  http_parser Parser_{};
  StatusLineCheck StatusLine_; ///< Of the current response.
  HttpMessage Message_;
  State State_ = State::Head;
  ResultCode Code_ = ResultCode::Ok;
  std::uint64_t AnnouncedBytes_ = 0; ///< Content-Length; 0 if there is none.
  std::uint64_t HeadBytes_ = 0;      ///< Above 0 once the message has begun.
  bool OmitsBody_ = false;           ///< The response answers HEAD.
  bool LastWasValue_ = false; ///< The next field name starts a new header.
};

} // namespace kumquatpitch

#endif
