// Decisions on responses that may have ended. See response-end.h.

#include "kumquatpitch/response-end.h"

#include <algorithm>

namespace kumquatpitch {

namespace {

/// Begins each response.
constexpr std::string_view ProtocolName = "HTTP/";
/// A round trip: bytes that a server wrote at once arrive within it.
constexpr Duration ShortHold = std::chrono::milliseconds(20);
/// Longer than the 200 ms after which a lost packet is sent again.
constexpr Duration LongHold = std::chrono::milliseconds(250);

ResponseDecision whole() { return ResponseDecision{}; }

ResponseDecision hold(Duration Time) {
  return ResponseDecision{ResponseEnd::Hold, Time, nullptr};
}

ResponseDecision broken(const char *Reason) {
  return ResponseDecision{ResponseEnd::Broken, Duration::zero(), Reason};
}

/// Everything up to the end of the connection counts as the body. A declared
/// server's response is taken unless something speaks against that end.
ResponseDecision decideUnframed(const ResponseEvidence &Evidence) {
  const SplicedResponseScan::Findings &Found = Evidence.Findings_;
  if (Evidence.AnnouncedEnd_ == AnnouncedEnd::KeepOpen)
    return broken("connection ended that was to stay open, in a response "
                  "without a length");
  if (Found.IsLikely_)
    return broken("response ends inside a second one");
  if (Found.HasStatusLine_)
    return broken("response without a length contains a status line");
  return whole();
}

ResponseDecision decideFramed(const ResponseEvidence &Evidence) {
  const SplicedResponseScan::Findings &Found = Evidence.Findings_;
  // Bytes put into a body push as many of its own out behind its end.
  if (Evidence.StrayBytes_ > 0)
    return broken("bytes follow the response that are no other one");
  if (Evidence.IsConnectionEnded_)
    return Found.IsLikely_ ? broken("response ends inside a second one")
                           : whole();
  if (Evidence.WasHeld_)
    return whole();
  if (Found.Verdict_ == SplicedResponseScan::Verdict::Undecided)
    return hold(Found.IsLikely_ ? LongHold : ShortHold);
  return Found.HasProtocolName_ ? hold(ShortHold) : whole();
}

} // namespace

void BytesBehindResponse::add(std::string_view Bytes) {
  Total_ += Bytes.size();
  if (Start_.empty())
    Bytes.remove_prefix(
        std::min(Bytes.find_first_not_of("\r\n"), Bytes.size()));
  Start_.append(Bytes.substr(0, ProtocolName.size() - Start_.size()));
}

std::size_t BytesBehindResponse::strayBytes() const {
  return ProtocolName.starts_with(Start_) ? 0 : Total_;
}

ResponseDecision decideResponseEnd(const ResponseEvidence &Evidence) {
  if (Evidence.Findings_.Verdict_ == SplicedResponseScan::Verdict::Spliced)
    return broken("second response inside the response");
  if (Evidence.HeadHoldsAnother_)
    return broken("part of another response in the head");
  return Evidence.Framing_ == BodyFraming::UntilClose ? decideUnframed(Evidence)
                                                      : decideFramed(Evidence);
}

const char *unprovableReason(BodyFraming Framing, bool IsUnframedAccepted) {
  return Framing == BodyFraming::UntilClose && !IsUnframedAccepted
             ? "response without a length, of which nothing proves that it is "
               "whole"
             : nullptr;
}

} // namespace kumquatpitch
