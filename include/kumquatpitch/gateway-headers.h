// Names of the header fields that the gateway reads and sets, and which fields
// of a received message it passes on. Used by GatewayFront in both directions.

#ifndef KUMQUATPITCH_GATEWAY_HEADERS_H
#define KUMQUATPITCH_GATEWAY_HEADERS_H

#include "kumquatpitch/http-message.h"

#include <string>
#include <string_view>

namespace kumquatpitch {

/// Names of the headers that callers, hosts and backend servers use.
struct GatewayHeaders {
  std::string RequestId_ = "Kumquatpitch-Request-Id";
  std::string DeadlineMs_ = "Kumquatpitch-Deadline-Ms";
  std::string ExpectedTarget_ = "Kumquatpitch-Target";
  std::string AnswerSignature_ = "Kumquatpitch-Answer-Signature";
  std::string NotRun_ = "Kumquatpitch-Not-Run";
  std::string TargetLoad_ = "Kumquatpitch-Target-Load";
  std::string TargetRateLimit_ = "Kumquatpitch-Target-Rate-Limit";
  std::string TargetLeaving_ = "Kumquatpitch-Target-Leaving";
  std::string Workspace_ = "Kumquatpitch-Workspace";

  bool operator==(const GatewayHeaders &) const = default;
};

/// The fields of a received message that are passed on: all but those of its
/// connection, Connection itself included. A sender names further ones of these
/// in Connection (RFC 9110 section 7.6.1), but cannot name the gateway's own or
/// those that are meant for the last recipient. Fields that are added to the
/// result cannot be taken away by the sender.
HeaderFields forwardedFields(const HeaderFields &Received,
                             const GatewayHeaders &Names);

} // namespace kumquatpitch

#endif
