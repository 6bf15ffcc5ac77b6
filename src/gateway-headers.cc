// Choice of the header fields that are passed on. See gateway-headers.h.

#include "kumquatpitch/gateway-headers.h"

#include "kumquatpitch/message-parser.h"

#include <algorithm>

namespace kumquatpitch {

/// True for fields that the sender's Connection cannot declare its own.
static bool isEndToEnd(std::string_view Name, const GatewayHeaders &Names) {
  const auto IsName = [Name](std::string_view Other) {
    return headerNamesEqual(Name, Other);
  };
  const std::string_view Standard[] = {
      "Host",           "Cache-Control", "Content-Encoding",
      "Content-Length", "Content-Type",  "Retry-After"};
  const std::string_view Own[] = {
      Names.RequestId_,       Names.DeadlineMs_,    Names.ExpectedTarget_,
      Names.AnswerSignature_, Names.NotRun_,        Names.TargetLoad_,
      Names.TargetRateLimit_, Names.TargetLeaving_, Names.Workspace_};
  return std::ranges::any_of(Standard, IsName) ||
         std::ranges::any_of(Own, IsName);
}

HeaderFields forwardedFields(const HeaderFields &Received,
                             const GatewayHeaders &Names) {
  HeaderFields Forwarded;
  std::ranges::copy_if(Received, std::back_inserter(Forwarded),
                       [&](const HeaderField &Field) {
                         return !isHopByHop(Field.first, Received) ||
                                isEndToEnd(Field.first, Names);
                       });
  return Forwarded;
}

} // namespace kumquatpitch
