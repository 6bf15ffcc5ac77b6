// Interface to the platform that a gateway runs on: its calls and its message
// formats. Implemented in platform/, and by fakes in tests.

#ifndef KUMQUATPITCH_GATEWAY_PLATFORM_H
#define KUMQUATPITCH_GATEWAY_PLATFORM_H

#include "kumquatpitch/gateway-front.h"
#include "kumquatpitch/published-state.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kumquatpitch {

/// A caller's query for the hosts that it should use.
struct AddressQuery {
  std::string VirtualHost_;
  Region Region_;        ///< Of the caller.
  FailureDomain Domain_; ///< Of the caller.

  bool operator==(const AddressQuery &) const = default;
};

class GatewayPlatform {
public:
  virtual ~GatewayPlatform() = default;

  virtual GatewayHeaders headers() const = 0;

  /// True if the request is the platform's readiness check of this host.
  virtual bool isReadinessCheck(const HttpMessage &Request) const = 0;

  /// Parses an address query; none for any other request.
  virtual std::optional<AddressQuery>
  parseAddressQuery(const HttpMessage &Request) const = 0;

  /// Formats the answer to an address query; `Ttl` is how long the caller may
  /// cache it.
  virtual HttpMessage makeAddressResponse(const std::vector<Endpoint> &Hosts,
                                          Duration Ttl) const = 0;

  /// Creates a reader for the store at `Store`.
  virtual std::unique_ptr<PublishedStateReader>
  openStore(HttpClient &Client, const Endpoint &Store) const = 0;
};

} // namespace kumquatpitch

#endif
