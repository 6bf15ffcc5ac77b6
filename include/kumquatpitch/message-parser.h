// Parses HTTP/1.1 messages from a byte stream with the http-parser library and
// writes them. Used by HttpServer for requests and by HttpClientConnection for
// answers. Holds no socket.

#ifndef KUMQUATPITCH_MESSAGE_PARSER_H
#define KUMQUATPITCH_MESSAGE_PARSER_H

#include "kumquatpitch/http-message.h"
#include "kumquatpitch/result-code.h"

#include <cstdint>
#include <http_parser.h>
#include <optional>
#include <string>
#include <string_view>

namespace kumquatpitch {

/// A whole request or answer, its body without chunked coding.
struct HttpMessage {
  std::string Method_; ///< Requests only.
  std::string Target_; ///< Requests only: path and query as sent.
  int Status_ = 0;     ///< Answers only.
  HeaderFields Headers_;
  std::string Body_;
  bool KeepAlive_ = true;

  bool operator==(const HttpMessage &) const = default;

  /// Value of the first header of that name in any case; null without one.
  const std::string *header(std::string_view Name) const;
  /// Count of headers of that name.
  std::size_t headerCount(std::string_view Name) const;
};

/// True when two header names are equal in any case.
bool sameHeaderName(std::string_view Left, std::string_view Right);

/// Writes a request or an answer; connection headers of the message are left
/// out, and the body is sent with its length.
std::string writeRequest(const HttpMessage &Message);
std::string writeResponse(const HttpMessage &Message, bool CloseAfter,
                          bool OmitBody);

class MessageParser {
public:
  enum class Kind : std::uint8_t { Request, Answer };
  enum class State : std::uint8_t { Head, Body, Complete, Rejected };

  MessageParser(Kind Of, std::uint64_t MaxHeadBytes,
                std::uint64_t MaxBodyBytes);
  MessageParser(const MessageParser &) = delete;
  MessageParser &operator=(const MessageParser &) = delete;

  /// Takes bytes up to the end of one message; gives how many were taken.
  std::size_t feed(std::string_view Bytes);

  /// The stream ended, which completes an answer without a length.
  void finish();

  State state() const { return State_; }
  /// Why the stream was rejected: too large, or malformed.
  ResultCode code() const { return Code_; }
  /// True when bytes of an incomplete message were taken.
  bool hasBegun() const { return HeadBytes_ > 0 && State_ != State::Complete; }
  /// The request asks for `100 Continue`, and its body has not begun.
  bool awaitsContinue() const;

  const HttpMessage &message() const { return Message_; }
  /// Gives the complete message and begins the next one.
  HttpMessage take();

private:
  static int onTarget(http_parser *Parser, const char *At, std::size_t Size);
  static int onField(http_parser *Parser, const char *At, std::size_t Size);
  static int onValue(http_parser *Parser, const char *At, std::size_t Size);
  static int onHeadersComplete(http_parser *Parser);
  static int onBody(http_parser *Parser, const char *At, std::size_t Size);
  static int onComplete(http_parser *Parser);
  static const http_parser_settings Settings;

  void reset();
  bool countHead(std::size_t Size);
  int reject(ResultCode Code);

  Kind Of_;
  std::uint64_t MaxHeadBytes_;
  std::uint64_t MaxBodyBytes_;
  http_parser Parser_{};
  HttpMessage Message_;
  State State_ = State::Head;
  ResultCode Code_ = ResultCode::Ok;
  std::uint64_t HeadBytes_ = 0;
  bool LastWasValue_ = false;
};

} // namespace kumquatpitch

#endif
