// Framing of HTTP requests. See http-framing.h.

#include "kumquatpitch/http-framing.h"

#include "kumquatpitch/http-text.h"

#include <algorithm>
#include <charconv>

namespace kumquatpitch {

namespace {

constexpr std::string_view LineEnd = "\r\n";
constexpr std::string_view HeadEnd = "\r\n\r\n";
constexpr std::size_t MaxChunkLineBytes = 256;
constexpr std::size_t MaxLengthDigits = 18;

bool equalsIgnoringCase(std::string_view Left, std::string_view Right) {
  const auto Lower = [](char C) {
    return C >= 'A' && C <= 'Z' ? static_cast<char>(C - 'A' + 'a') : C;
  };
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [&](char A, char B) { return Lower(A) == Lower(B); });
}

/// True when the text contains the token header's name. It is searched in raw
/// bytes, since the head may be incomplete or malformed.
bool containsTokenHeader(std::string_view Text) {
  constexpr std::string_view Name = "kumquatpitch-token";
  const auto IsSame = [](char Left, char Right) {
    const char Lower =
        Left >= 'A' && Left <= 'Z' ? static_cast<char>(Left - 'A' + 'a') : Left;
    return Lower == Right;
  };
  return std::search(Text.begin(), Text.end(), Name.begin(), Name.end(),
                     IsSame) != Text.end();
}

/// True when CR and LF occur only as CRLF pairs and there is no NUL. HTTP
/// parsers differ in how they read a bare CR, a bare LF or a NUL.
bool hasCleanLineEnds(std::string_view Text) {
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    if (Text[Index] == '\0')
      return false;
    if (Text[Index] == '\r' &&
        (Index + 1 == Text.size() || Text[Index + 1] != '\n'))
      return false;
    if (Text[Index] == '\n' && (Index == 0 || Text[Index - 1] != '\r'))
      return false;
  }
  return true;
}

} // namespace

FramingState HttpFramer::append(std::string_view Bytes) {
  if (State_ == FramingState::Rejected)
    return State_;
  Buffer_.append(Bytes);
  return advance();
}

FramingState HttpFramer::reject(ResultCode Code, const char *Message) {
  Code_ = Code;
  Message_ = Message;
  MayBeResend_ = containsTokenHeader(Head_) || containsTokenHeader(Buffer_);
  Buffer_.clear();
  return State_ = FramingState::Rejected;
}

FramingState HttpFramer::advance() {
  if (State_ == FramingState::Head)
    return readHead();
  if (State_ == FramingState::Body && BodyIsLimited_)
    return readBody();
  return State_;
}

FramingState HttpFramer::readHead() {
  const std::size_t End = Buffer_.find(HeadEnd);
  const std::size_t HeadSize = std::min(End, Buffer_.size());
  if (HeadSize > MaxHeadBytes)
    return reject(ResultCode::RequestHeadTooLarge,
                  "request line and headers exceed 16384 bytes");
  if (End == std::string::npos) {
    // A CR at the end may be the first half of a CRLF whose LF has not arrived.
    std::string_view Partial = Buffer_;
    if (!Partial.empty() && Partial.back() == '\r')
      Partial.remove_suffix(1);
    return hasCleanLineEnds(Partial)
               ? State_
               : reject(ResultCode::RequestMalformed,
                        "bare CR, bare LF or NUL in the request head");
  }
  Head_ = Buffer_.substr(0, End + HeadEnd.size());
  Buffer_.erase(0, Head_.size());
  if (!hasCleanLineEnds(Head_))
    return reject(ResultCode::RequestMalformed,
                  "bare CR, bare LF or NUL in the request head");
  std::string_view Rest =
      std::string_view(Head_).substr(0, Head_.size() - LineEnd.size());
  bool IsFirst = true;
  while (!Rest.empty()) {
    const std::size_t LineSize = Rest.find(LineEnd);
    const std::string_view Line = Rest.substr(0, LineSize);
    Rest.remove_prefix(LineSize + LineEnd.size());
    if (!(IsFirst ? checkRequestLine(Line) : checkHeader(Line)))
      return State_;
    IsFirst = false;
  }
  if (IsChunked_ && HasLength_)
    return reject(ResultCode::RequestMalformed,
                  "request has both Content-Length and Transfer-Encoding");
  if (IsChunked_ && IsHttp10_)
    return reject(ResultCode::RequestMalformed,
                  "Transfer-Encoding is not allowed in an HTTP/1.0 request");
  MayBeResend_ = containsTokenHeader(Head_);
  return State_ = FramingState::Body;
}

bool HttpFramer::checkRequestLine(std::string_view Line) {
  const std::size_t First = Line.find(' ');
  const std::size_t Last = Line.rfind(' ');
  const std::string_view Version =
      Last == std::string_view::npos ? Line : Line.substr(Last + 1);
  IsHttp10_ = Version == "HTTP/1.0";
  if (First == std::string_view::npos || First == Last ||
      Line.find(' ', First + 1) != Last || !isToken(Line.substr(0, First)) ||
      Line[First + 1] != '/' || (Version != "HTTP/1.1" && !IsHttp10_)) {
    reject(ResultCode::RequestMalformed,
           "request line must be METHOD /PATH HTTP/1.1");
    return false;
  }
  return true;
}

bool HttpFramer::checkHeader(std::string_view Line) {
  const std::size_t Colon = Line.find(':');
  if (Colon == std::string_view::npos || !isToken(Line.substr(0, Colon))) {
    reject(ResultCode::RequestMalformed, "header line must be NAME: VALUE");
    return false;
  }
  const std::string_view Name = Line.substr(0, Colon);
  const std::string_view Value = trimWhitespace(Line.substr(Colon + 1));
  if (equalsIgnoringCase(Name, "Content-Length"))
    return checkLength(Value);
  if (equalsIgnoringCase(Name, "Transfer-Encoding"))
    return checkTransferCoding(Value);
  if (equalsIgnoringCase(Name, "Expect"))
    ExpectsContinue_ = equalsIgnoringCase(Value, "100-continue");
  return true;
}

bool HttpFramer::checkLength(std::string_view Value) {
  const bool IsNumber =
      !Value.empty() && Value.size() <= MaxLengthDigits &&
      Value.find_first_not_of("0123456789") == std::string_view::npos;
  if (HasLength_ || !IsNumber) {
    reject(ResultCode::RequestMalformed,
           HasLength_ ? "Content-Length appears more than once"
                      : "Content-Length must be a number");
    return false;
  }
  HasLength_ = true;
  std::from_chars(Value.data(), Value.data() + Value.size(), Length_);
  return true;
}

bool HttpFramer::checkTransferCoding(std::string_view Value) {
  if (IsChunked_ || !equalsIgnoringCase(Value, "chunked")) {
    reject(ResultCode::RequestMalformed,
           "the only Transfer-Encoding must be chunked");
    return false;
  }
  IsChunked_ = true;
  return true;
}

std::string_view HttpFramer::method() const {
  return std::string_view(Head_).substr(0, Head_.find(' '));
}

std::string_view HttpFramer::target() const {
  const std::size_t First = Head_.find(' ') + 1;
  return std::string_view(Head_).substr(First, Head_.find(' ', First) - First);
}

FramingState HttpFramer::limitBody(std::uint64_t MaxBytes) {
  if (State_ != FramingState::Body)
    return State_;
  BodyIsLimited_ = true;
  MaxBodyBytes_ = MaxBytes;
  if (Length_ > MaxBodyBytes_)
    return reject(ResultCode::RequestBodyTooLarge,
                  "body exceeds the contract's max_body_bytes");
  return advance();
}

FramingState HttpFramer::readBody() {
  if (IsChunked_)
    return readChunks();
  const std::uint64_t Missing = Length_ - Body_.size();
  const std::size_t Count = std::min<std::uint64_t>(Missing, Buffer_.size());
  Body_.append(Buffer_, 0, Count);
  Buffer_.erase(0, Count);
  if (Body_.size() == Length_)
    State_ = FramingState::Complete;
  return State_;
}

FramingState HttpFramer::readChunks() {
  std::size_t Consumed = 0;
  while (State_ == FramingState::Body) {
    const std::string_view Rest = std::string_view(Buffer_).substr(Consumed);
    const std::size_t LineSize = Rest.find(LineEnd);
    if (LineSize == std::string_view::npos) {
      if (Rest.size() > MaxChunkLineBytes)
        return reject(ResultCode::RequestMalformed, "chunk size line too long");
      break;
    }
    std::uint64_t Size = 0;
    const std::from_chars_result Parsed =
        std::from_chars(Rest.data(), Rest.data() + LineSize, Size, 16);
    if (Parsed.ec != std::errc() || Parsed.ptr != Rest.data() + LineSize)
      return reject(ResultCode::RequestMalformed,
                    "chunk size must be hexadecimal, without extensions");
    if (Size > MaxBodyBytes_ || Body_.size() + Size > MaxBodyBytes_)
      return reject(ResultCode::RequestBodyTooLarge,
                    "body exceeds the contract's max_body_bytes");
    const std::size_t ChunkEnd = LineSize + LineEnd.size() + Size;
    if (Rest.size() < ChunkEnd + LineEnd.size())
      break;
    if (Rest.substr(ChunkEnd, LineEnd.size()) != LineEnd)
      return reject(ResultCode::RequestMalformed,
                    Size == 0 ? "trailers are not accepted"
                              : "chunk data is not followed by CRLF");
    Body_.append(Rest.substr(LineSize + LineEnd.size(), Size));
    Consumed += ChunkEnd + LineEnd.size();
    if (Size == 0)
      State_ = FramingState::Complete;
  }
  Buffer_.erase(0, Consumed);
  return State_;
}

FramingState HttpFramer::next() {
  std::string Buffered = std::move(Buffer_);
  *this = HttpFramer();
  return append(Buffered);
}

} // namespace kumquatpitch
