// Reads, writes and scans of one exchange. See backend-stream.h.

#include "kumquatpitch/backend-stream.h"

#include <algorithm>
#include <optional>
#include <poll.h>
#include <sys/socket.h>

namespace kumquatpitch::detail {

ResponseSyntaxCheck::ResponseSyntaxCheck(bool IsBodyOmitted)
    : IsBodyOmitted_(IsBodyOmitted) {
  reset();
}

void ResponseSyntaxCheck::reset() {
  http_parser_init(&Parser_, HTTP_RESPONSE);
  Parser_.data = this;
  StatusLine_ = StatusLineCheck();
  IsComplete_ = false;
}

const http_parser_settings ResponseSyntaxCheck::Settings = [] {
  http_parser_settings Table;
  http_parser_settings_init(&Table);
  Table.on_message_begin = onMessageBegin;
  Table.on_status = onStatus;
  Table.on_headers_complete = onHeadersComplete;
  Table.on_message_complete = onComplete;
  return Table;
}();

void ResponseSyntaxCheck::feed(std::string_view Bytes) {
  if (IsRejected_ || HasNoBody_)
    return;
  if (IsComplete_) {
    IsRejected_ = true;
    return;
  }
  StatusLine_.feed(Bytes);
  if (StatusLine_.isInvalid()) {
    IsRejected_ = true;
    return;
  }
  const std::size_t Consumed =
      http_parser_execute(&Parser_, &Settings, Bytes.data(), Bytes.size());
  // The parser pauses at the end of a message.
  const bool IsValid = IsComplete_ || HTTP_PARSER_ERRNO(&Parser_) == HPE_OK;
  IsRejected_ = !IsValid || Consumed != Bytes.size();
  if (IsComplete_ && Parser_.status_code < FinalStatus)
    reset();
}

bool ResponseSyntaxCheck::finish() {
  if (!IsRejected_ && !IsComplete_)
    http_parser_execute(&Parser_, &Settings, nullptr, 0);
  return !IsRejected_ && IsComplete_;
}

int ResponseSyntaxCheck::onMessageBegin(http_parser *Parser) {
  static_cast<ResponseSyntaxCheck *>(Parser->data)->ReasonBytes_ = 0;
  return 0;
}

int ResponseSyntaxCheck::onStatus(http_parser *Parser, const char *,
                                  std::size_t Size) {
  ResponseSyntaxCheck &Self = *static_cast<ResponseSyntaxCheck *>(Parser->data);
  Self.ReasonBytes_ += Size;
  return Self.ReasonBytes_ > MaxReasonBytes ? 1 : 0;
}

int ResponseSyntaxCheck::onHeadersComplete(http_parser *Parser) {
  ResponseSyntaxCheck &Self = *static_cast<ResponseSyntaxCheck *>(Parser->data);
  const unsigned Status = Parser->status_code;
  Self.HasNoBody_ = (Self.IsBodyOmitted_ && Status >= FinalStatus) ||
                    Status == 204 || Status == 304;
  return Self.HasNoBody_ ? 1 : 0;
}

int ResponseSyntaxCheck::onComplete(http_parser *Parser) {
  static_cast<ResponseSyntaxCheck *>(Parser->data)->IsComplete_ = true;
  http_parser_pause(Parser, 1);
  return 0;
}

bool BackendStream::isReady(short Events, Duration Timeout) const {
  pollfd State{Socket_, Events, 0};
  return poll(&State, 1, static_cast<int>(toMilliseconds(Timeout))) > 0;
}

bool BackendStream::isReady(short Events) const {
  const Duration Left =
      std::chrono::duration_cast<Duration>(Deadline_ - Clock::now());
  // Bytes that come without a pause are always ready.
  return Left > Duration::zero() && isReady(Events, Left);
}

ssize_t BackendStream::fill() {
  const ssize_t Size = recv(Socket_, Buffer_.data(), Buffer_.size(), 0);
  Begin_ = 0;
  End_ = Size > 0 ? static_cast<std::size_t>(Size) : 0;
  return Size;
}

bool BackendStream::decideAnswerIsWhole() {
  // An answer without a length is not delivered, so that the framing is known.
  ResponseEvidence Evidence;
  std::optional<Clock::time_point> HoldEnd;
  while (true) {
    const std::string_view Received(Buffer_.data() + Begin_, End_ - Begin_);
    Begin_ = End_;
    Scan_.feedAfterEnd(Received);
    Behind_.add(Received);
    Evidence.Findings_ = Scan_.findings();
    Evidence.StrayBytes_ = Behind_.strayBytes();
    const ResponseDecision Decision = decideResponseEnd(Evidence);
    if (Decision.End_ != ResponseEnd::Hold)
      return Decision.End_ == ResponseEnd::Whole;
    if (!HoldEnd)
      HoldEnd = Clock::now() + Decision.HoldTime_;
    const Duration Left =
        std::max(Duration::zero(),
                 std::chrono::duration_cast<Duration>(*HoldEnd - Clock::now()));
    if (Left == Duration::zero() || !isReady(POLLIN, Left)) {
      Evidence.WasHeld_ = true;
      continue;
    }
    const ssize_t Size = fill();
    Evidence.WasHeld_ = Size == 0;
    // Only a reset shows that the server did not mean this end.
    Evidence.IsConnectionEnded_ = Size < 0;
  }
}

bool BackendStream::is_readable() const {
  return Begin_ < End_ || isReady(POLLIN);
}

bool BackendStream::is_writable() const { return isReady(POLLOUT); }

ssize_t BackendStream::read(char *Bytes, size_t Size) {
  if (Syntax_.isRejected())
    return -1;
  if (Begin_ == End_) {
    const ssize_t Received = isReady(POLLIN) ? fill() : -1;
    if (Received <= 0)
      return Received;
  }
  const std::size_t Count = std::min(Size, End_ - Begin_);
  std::copy_n(Buffer_.data() + Begin_, Count, Bytes);
  Scan_.feed(std::string_view(Bytes, Count));
  Syntax_.feed(std::string_view(Bytes, Count));
  Begin_ += Count;
  // The library would read on, or match a status line of any length.
  return Syntax_.isRejected() ? -1 : static_cast<ssize_t>(Count);
}

ssize_t BackendStream::write(const char *Bytes, size_t Size) {
  return is_writable() ? send(Socket_, Bytes, Size, MSG_NOSIGNAL) : -1;
}

void BackendStream::get_remote_ip_and_port(std::string &Ip, int &Port) const {
  Ip.clear(); // Only servers of the library ask for it.
  Port = 0;
}

void BackendStream::get_local_ip_and_port(std::string &Ip, int &Port) const {
  Ip.clear();
  Port = 0;
}

} // namespace kumquatpitch::detail
