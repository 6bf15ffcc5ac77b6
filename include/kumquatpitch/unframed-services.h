// Names the services whose answers may end with their connection instead of by
// a length or a last chunk, as the operator declares in the settings. Nothing
// on a connection tells such an answer from one that was cut, so that the
// answers of all other services need one of the two. Used by GatewayFront; no
// I/O.

#ifndef KUMQUATPITCH_UNFRAMED_SERVICES_H
#define KUMQUATPITCH_UNFRAMED_SERVICES_H

#include "kumquatpitch/name.h"

#include <optional>
#include <set>
#include <string_view>

namespace kumquatpitch {

class UnframedServices {
public:
  /// No service.
  UnframedServices() = default;

  /// Reads a comma-separated list of services, or `*` for all. Nothing if an
  /// item is not a valid name.
  static std::optional<UnframedServices> parse(std::string_view Text);

  bool contains(const ServiceName &Service) const {
    return IsEveryService_ || Services_.count(Service) > 0;
  }

  bool operator==(const UnframedServices &) const = default;

private:
  bool IsEveryService_ = false;
  std::set<ServiceName> Services_;
};

} // namespace kumquatpitch

#endif
