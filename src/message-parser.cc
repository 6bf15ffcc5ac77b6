// Parsing with http-parser, and serialization. See message-parser.h.

#include "kumquatpitch/message-parser.h"

#include "kumquatpitch/http-text.h"

#include <algorithm>
#include <strings.h>

namespace kumquatpitch {

bool headerNamesEqual(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         strncasecmp(Left.data(), Right.data(), Left.size()) == 0;
}

/// True for fields that are not copied from the message: they are omitted or
/// set for the connection that it is sent on.
static bool isRewritten(std::string_view Name, const HeaderFields &Fields) {
  return isHopByHop(Name, Fields) || headerNamesEqual(Name, "Content-Length") ||
         headerNamesEqual(Name, "Expect");
}

const std::string *HttpMessage::header(std::string_view Name) const {
  for (const HeaderField &Field : Headers_)
    if (headerNamesEqual(Field.first, Name))
      return &Field.second;
  return nullptr;
}

/// True for responses that never have a body, whatever their headers say.
static bool hasNoBody(const HttpMessage &Response) {
  return Response.Status_ == 204 || Response.Status_ == 304 ||
         Response.IsBodyOmitted_;
}

/// True if the parser reads the body of this response up to the end of the
/// connection, whatever the fields seem to say.
static bool isReadUntilClose(const http_parser &Parser) {
  constexpr unsigned FirstFinalStatus = 200;
  constexpr unsigned NoContent = 204;
  constexpr unsigned NotModified = 304;
  if ((Parser.flags & F_CHUNKED) != 0)
    return false;
  if (Parser.uses_transfer_encoding != 0)
    return true;
  return (Parser.flags & F_CONTENTLENGTH) == 0 &&
         Parser.status_code >= FirstFinalStatus &&
         Parser.status_code != NoContent && Parser.status_code != NotModified;
}

BodyFraming bodyFraming(const HttpMessage &Response) {
  if (Response.IsBodyOmitted_)
    return BodyFraming::Length;
  if (Response.EndsWithConnection_)
    return BodyFraming::UntilClose;
  // Only a last coding of "chunked" tells the end of the body. Several fields
  // are one list.
  const std::string *Coding = nullptr;
  for (const HeaderField &Field : Response.Headers_)
    if (headerNamesEqual(Field.first, "Transfer-Encoding"))
      Coding = &Field.second;
  if (Coding)
    return listContains(Coding->substr(Coding->rfind(',') + 1), "chunked")
               ? BodyFraming::Chunked
               : BodyFraming::UntilClose;
  return hasNoBody(Response) || Response.header("Content-Length")
             ? BodyFraming::Length
             : BodyFraming::UntilClose;
}

const char *bodyFramingName(BodyFraming Framing) {
  switch (Framing) {
  case BodyFraming::Length:
    return "length";
  case BodyFraming::Chunked:
    return "chunked";
  case BodyFraming::UntilClose:
    return "until_close";
  }
  return "unknown";
}

std::size_t HttpMessage::headerCount(std::string_view Name) const {
  return static_cast<std::size_t>(std::count_if(
      Headers_.begin(), Headers_.end(), [&](const HeaderField &Field) {
        return headerNamesEqual(Field.first, Name);
      }));
}

static void appendHeaders(const HttpMessage &Message, std::string &Text) {
  for (const HeaderField &Field : Message.Headers_) {
    if (isRewritten(Field.first, Message.Headers_))
      continue;
    Text.append(Field.first).append(": ").append(Field.second).append("\r\n");
  }
}

std::string writeRequestHead(const HttpMessage &Message,
                             std::uint64_t BodyBytes) {
  std::string Text;
  Text.reserve(512);
  Text.append(Message.Method_).append(" ").append(Message.Target_);
  Text.append(" HTTP/1.1\r\n");
  appendHeaders(Message, Text);
  const bool MayHaveBody =
      Message.Method_ != "GET" && Message.Method_ != "HEAD";
  if (BodyBytes > 0 || MayHaveBody)
    Text.append("Content-Length: ")
        .append(std::to_string(BodyBytes))
        .append("\r\n");
  return Text.append("\r\n");
}

std::string writeRequest(const HttpMessage &Message) {
  return writeRequestHead(Message, Message.Body_.size()) + Message.Body_;
}

std::string writeResponse(const HttpMessage &Message, bool CloseAfter,
                          bool OmitBody) {
  std::string Text;
  Text.reserve(512 + Message.Body_.size());
  Text.append("HTTP/1.1 ").append(std::to_string(Message.Status_)).append(" ");
  Text.append(http_status_str(static_cast<http_status>(Message.Status_)));
  Text.append("\r\n");
  appendHeaders(Message, Text);
  const std::string *StatedLength =
      Message.IsBodyOmitted_ ? Message.header("Content-Length") : nullptr;
  if (StatedLength)
    Text.append("Content-Length: ").append(*StatedLength).append("\r\n");
  else if (!hasNoBody(Message) && !Message.EndsWithConnection_)
    Text.append("Content-Length: ")
        .append(std::to_string(Message.Body_.size()))
        .append("\r\n");
  if (CloseAfter)
    Text.append("Connection: close\r\n");
  Text.append("\r\n");
  if (!OmitBody && !hasNoBody(Message))
    Text.append(Message.Body_);
  return Text;
}

const http_parser_settings MessageParser::Settings = [] {
  http_parser_settings Table;
  http_parser_settings_init(&Table);
  Table.on_url = onTarget;
  Table.on_status = onReason;
  Table.on_header_field = onField;
  Table.on_header_value = onValue;
  Table.on_headers_complete = onHeadersComplete;
  Table.on_body = onBody;
  Table.on_message_complete = onComplete;
  return Table;
}();

/// Each field takes two strings in memory, however few bytes it has.
static constexpr std::size_t MaxFields = 256;

static MessageParser &parserOf(http_parser *Parser) {
  return *static_cast<MessageParser *>(Parser->data);
}

MessageParser::MessageParser(Kind MessageKind, std::uint64_t MaxHeadBytes,
                             std::uint64_t MaxBodyBytes)
    : Kind_(MessageKind), MaxHeadBytes_(MaxHeadBytes),
      MaxBodyBytes_(MaxBodyBytes) {
  reset();
}

void MessageParser::reset() {
  http_parser_init(&Parser_,
                   Kind_ == Kind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
  Parser_.data = this;
  StatusLine_ = StatusLineCheck();
  Message_ = HttpMessage();
  AnnouncedBytes_ = 0;
  State_ = State::Head;
  HeadBytes_ = 0;
  LastWasValue_ = false;
}

std::size_t MessageParser::feed(std::string_view Bytes) {
  if (State_ == State::Complete || State_ == State::Rejected || Bytes.empty())
    return 0;
  if (HeadBytes_ == 0)
    HeadBytes_ = 1;
  if (Kind_ == Kind::Response)
    StatusLine_.feed(Bytes);
  if (StatusLine_.isInvalid()) {
    reject(ResultCode::RequestMalformed);
    return 0;
  }
  const std::size_t Consumed =
      http_parser_execute(&Parser_, &Settings, Bytes.data(), Bytes.size());
  if (State_ == State::Complete || State_ == State::Rejected)
    return Consumed;
  if (HTTP_PARSER_ERRNO(&Parser_) != HPE_OK || Parser_.upgrade)
    reject(ResultCode::RequestMalformed);
  return Consumed;
}

void MessageParser::finish() {
  if (State_ == State::Complete || State_ == State::Rejected)
    return;
  http_parser_execute(&Parser_, &Settings, nullptr, 0);
  if (State_ != State::Complete)
    reject(ResultCode::RequestIncomplete);
}

std::uint64_t MessageParser::bodyBytes() const {
  return Message_.Body_.empty()
             ? AnnouncedBytes_
             : std::max<std::uint64_t>(AnnouncedBytes_,
                                       Message_.Body_.capacity());
}

bool MessageParser::awaitsContinue() const {
  const std::string *Expected = Message_.header("Expect");
  return State_ == State::Body && Message_.Body_.empty() && Expected &&
         headerNamesEqual(*Expected, "100-continue");
}

HttpMessage MessageParser::take() {
  HttpMessage Message = std::move(Message_);
  reset();
  return Message;
}

int MessageParser::reject(ResultCode Code) {
  State_ = State::Rejected;
  Code_ = Code;
  // For the parser library, 1 and 2 behind the headers mean that the message
  // has no body.
  return -1;
}

bool MessageParser::countHead(std::size_t Size) {
  HeadBytes_ += Size;
  return HeadBytes_ <= MaxHeadBytes_;
}

int MessageParser::onTarget(http_parser *Parser, const char *Data,
                            std::size_t Size) {
  MessageParser &Self = parserOf(Parser);
  if (!Self.countHead(Size))
    return Self.reject(ResultCode::RequestHeadTooLarge);
  Self.Message_.Target_.append(Data, Size);
  return 0;
}

int MessageParser::onReason(http_parser *Parser, const char *Data,
                            std::size_t Size) {
  MessageParser &Self = parserOf(Parser);
  if (!Self.countHead(Size))
    return Self.reject(ResultCode::RequestHeadTooLarge);
  Self.Message_.Reason_.append(Data, Size);
  return 0;
}

int MessageParser::onField(http_parser *Parser, const char *Data,
                           std::size_t Size) {
  MessageParser &Self = parserOf(Parser);
  if (!Self.countHead(Size))
    return Self.reject(ResultCode::RequestHeadTooLarge);
  // Trailers are dropped: they must not change what the head has said.
  if (Self.State_ == State::Body)
    return 0;
  if (Self.LastWasValue_ || Self.Message_.Headers_.empty()) {
    if (Self.Message_.Headers_.size() == MaxFields)
      return Self.reject(ResultCode::RequestHeadTooLarge);
    Self.Message_.Headers_.emplace_back();
  }
  Self.LastWasValue_ = false;
  Self.Message_.Headers_.back().first.append(Data, Size);
  return 0;
}

int MessageParser::onValue(http_parser *Parser, const char *Data,
                           std::size_t Size) {
  MessageParser &Self = parserOf(Parser);
  if (!Self.countHead(Size))
    return Self.reject(ResultCode::RequestHeadTooLarge);
  // Trailers are dropped: they must not change what the head has said.
  if (Self.State_ == State::Body)
    return 0;
  Self.LastWasValue_ = true;
  Self.Message_.Headers_.back().second.append(Data, Size);
  return 0;
}

int MessageParser::onHeadersComplete(http_parser *Parser) {
  MessageParser &Self = parserOf(Parser);
  if (Self.Kind_ == Kind::Request)
    Self.Message_.Method_ =
        http_method_str(static_cast<http_method>(Parser->method));
  else
    Self.Message_.Status_ = Parser->status_code;
  Self.Message_.IsHttp10_ = Self.Kind_ == Kind::Response &&
                            Parser->http_major == 1 && Parser->http_minor == 0;
  Self.Message_.KeepAlive_ = http_should_keep_alive(Parser) != 0;
  constexpr int FirstFinalStatus = 200;
  Self.Message_.IsBodyOmitted_ =
      Self.OmitsBody_ && Self.Message_.Status_ >= FirstFinalStatus;
  // The parser library skips the body if this returns 1.
  if (Self.Message_.IsBodyOmitted_)
    return 1;
  Self.Message_.EndsWithConnection_ =
      Self.Kind_ == Kind::Response && isReadUntilClose(*Parser);
  if ((Parser->flags & F_CONTENTLENGTH) != 0 &&
      Parser->content_length > Self.MaxBodyBytes_)
    return Self.reject(ResultCode::RequestBodyTooLarge);
  if ((Parser->flags & F_CONTENTLENGTH) != 0)
    Self.AnnouncedBytes_ = Parser->content_length;
  Self.State_ = State::Body;
  return 0;
}

int MessageParser::onBody(http_parser *Parser, const char *Data,
                          std::size_t Size) {
  MessageParser &Self = parserOf(Parser);
  if (Self.Message_.Body_.size() + Size > Self.MaxBodyBytes_)
    return Self.reject(ResultCode::RequestBodyTooLarge);
  // A growing string would hold up to three times the body while it is copied.
  Self.Message_.Body_.reserve(Self.AnnouncedBytes_);
  Self.Message_.Body_.append(Data, Size);
  return 0;
}

int MessageParser::onComplete(http_parser *Parser) {
  MessageParser &Self = parserOf(Parser);
  Self.State_ = State::Complete;
  // Bytes that follow belong to the next message.
  http_parser_pause(Parser, 1);
  return 0;
}

} // namespace kumquatpitch
