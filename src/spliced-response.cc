// Search for a second response inside one. See spliced-response.h.

#include "kumquatpitch/spliced-response.h"

#include "kumquatpitch/http-text.h"

namespace kumquatpitch {

namespace {

/// Start of a status line; '0' stands for any digit.
constexpr std::string_view StatusLineStart = "HTTP/0.0 000";

bool isDigit(char Byte) { return Byte >= '0' && Byte <= '9'; }

} // namespace

void SplicedResponseScan::begin(std::string EchoHeader,
                                const CarriedRequestIds &Carried) {
  EchoHeader_ = std::move(EchoHeader);
  Carried_ = &Carried;
  HasBegun_ = false;
  IsSpliced_ = false;
  HasProtocolName_ = false;
  HasStatusLine_ = false;
  Bytes_ = 0;
  dismiss();
}

void SplicedResponseScan::dismiss() {
  IsInHead_ = false;
  IsStatusLine_ = false;
  Matched_ = 0;
  Line_.clear();
}

void SplicedResponseScan::feed(std::string_view Bytes) {
  std::size_t Index = 0;
  // Line breaks may precede the response's own status line.
  for (; !HasBegun_ && Index < Bytes.size(); ++Index)
    HasBegun_ = Bytes[Index] != '\r' && Bytes[Index] != '\n';
  const std::uint64_t Before = Bytes_;
  for (; Index < Bytes.size() && !IsSpliced_; ++Index) {
    if (!IsInHead_ && Matched_ == 0) {
      Index = Bytes.find(StatusLineStart.front(), Index);
      if (Index == std::string_view::npos)
        break;
    }
    Bytes_ = Before + Index;
    feedByte(Bytes[Index]);
  }
  Bytes_ = Before + Bytes.size();
}

void SplicedResponseScan::feedAfterEnd(std::string_view Bytes) {
  for (const char Byte : Bytes) {
    if (verdict() != Verdict::Undecided)
      return;
    const std::size_t MatchedBefore = Matched_;
    // A head that began inside the response goes on here.
    IsSpliced_ = IsInHead_;
    feedByte(Byte);
    ++Bytes_;
    // Or a status line that began there has been completed.
    IsSpliced_ = IsSpliced_ || IsInHead_;
    if (!IsSpliced_ && Matched_ <= MatchedBefore)
      return dismiss();
  }
}

SplicedResponseScan::Verdict SplicedResponseScan::verdict() const {
  if (IsSpliced_)
    return Verdict::Spliced;
  return IsInHead_ || Matched_ > 0 ? Verdict::Undecided : Verdict::Whole;
}

SplicedResponseScan::Findings SplicedResponseScan::findings() const {
  const bool IsLikely = IsInHead_ || Matched_ >= ProtocolNameBytes;
  return Findings{verdict(), IsLikely, HasProtocolName_, HasStatusLine_};
}

void SplicedResponseScan::feedByte(char Byte) {
  if (matchStatusLine(Byte)) {
    // It may interrupt the head of another one that broke off, too.
    StatusLineOffset_ = Bytes_ - StatusLineStart.size();
    HasStatusLine_ = true;
    IsInHead_ = true;
    IsStatusLine_ = true;
    HeadBytes_ = 0;
    Line_.clear();
  } else if (!IsInHead_) {
    return;
  }
  if (++HeadBytes_ > MaxHeadBytes)
    dismiss();
  else if (Byte == '\n')
    endLine();
  else if (Byte != '\r')
    Line_.push_back(Byte);
}

/// Returns true for the byte that follows a status code.
bool SplicedResponseScan::matchStatusLine(char Byte) {
  if (Matched_ == StatusLineStart.size()) {
    Matched_ = 0;
    if (Byte == ' ' || Byte == '\r' || Byte == '\n')
      return true;
  }
  const char Expected = StatusLineStart[Matched_];
  if (Expected == '0' ? isDigit(Byte) : Byte == Expected)
    ++Matched_;
  else
    Matched_ = Byte == StatusLineStart.front() ? 1 : 0;
  HasProtocolName_ = HasProtocolName_ || Matched_ >= ProtocolNameBytes;
  return false;
}

void SplicedResponseScan::endLine() {
  const std::string Line = std::move(Line_);
  Line_.clear();
  if (IsStatusLine_) {
    IsStatusLine_ = false;
    return;
  }
  const std::size_t NameSize = Line.find(':');
  const std::string_view Name = std::string_view(Line).substr(0, NameSize);
  if (NameSize == std::string::npos || !isToken(Name))
    return dismiss();
  const std::string_view Value =
      trimWhitespace(std::string_view(Line).substr(NameSize + 1));
  IsSpliced_ = headerNamesEqual(Name, EchoHeader_) &&
               Carried_->hasCarried(std::string(Value));
}

} // namespace kumquatpitch
