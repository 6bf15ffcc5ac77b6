// The status of a response. See status-line.h.

#include "kumquatpitch/status-line.h"

namespace kumquatpitch {

namespace {

constexpr int StatusDigits = 3;

bool isValidStatus(int Status) {
  constexpr int SwitchingProtocols = 101;
  return Status >= 100 && Status <= 599 && Status != SwitchingProtocols;
}

} // namespace

void StatusLineCheck::feed(std::string_view Bytes) {
  for (const char Byte : Bytes) {
    if (Part_ == Part::Rest || Part_ == Part::Invalid)
      return;
    Part_ = next(Byte);
  }
}

StatusLineCheck::Part StatusLineCheck::next(char Byte) {
  if (Part_ == Part::Status)
    return nextOfStatus(Byte);
  if (Part_ == Part::Start && (Byte == '\r' || Byte == '\n'))
    return Part::Start;
  return Byte == ' ' ? Part::Status : Part::Protocol;
}

StatusLineCheck::Part StatusLineCheck::nextOfStatus(char Byte) {
  if (Byte == ' ' && Digits_ == 0)
    return Part::Status;
  const bool IsDigit = Byte >= '0' && Byte <= '9';
  if (Digits_ == StatusDigits)
    return IsDigit ? Part::Invalid : Part::Rest;
  if (!IsDigit)
    return Part::Invalid;
  Status_ = Status_ * 10 + (Byte - '0');
  ++Digits_;
  return Digits_ < StatusDigits || isValidStatus(Status_) ? Part::Status
                                                          : Part::Invalid;
}

} // namespace kumquatpitch
