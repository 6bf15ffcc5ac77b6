// What a gateway needs of the platform it runs on: its calls and formats.
// platform/ implements it; tests own stand-ins.

#ifndef KUMQUATPITCH_GATEWAY_PLATFORM_H
#define KUMQUATPITCH_GATEWAY_PLATFORM_H

#include "kumquatpitch/gateway-front.h"
#include "kumquatpitch/published-state.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kumquatpitch {

/// A caller's question which hosts to use.
struct AddressQuestion {
  std::string VirtualHost_;
  Region Region_;        ///< Of the caller.
  FailureDomain Domain_; ///< Of the caller.

  bool operator==(const AddressQuestion &) const = default;
};

class GatewayPlatform {
public:
  virtual ~GatewayPlatform() = default;

  virtual GatewayHeaders headers() const = 0;

  /// True for the platform's question whether the host is ready.
  virtual bool isReadinessCall(const HttpMessage &Request) const = 0;

  /// Reads a question for hosts; none for another call.
  virtual std::optional<AddressQuestion>
  addressQuestion(const HttpMessage &Request) const = 0;

  /// Writes the answer to it; `Keep` is how long it may be kept.
  virtual HttpMessage addressAnswer(const std::vector<Endpoint> &Hosts,
                                    Duration Keep) const = 0;

  /// Makes a reader of the store at `Store`.
  virtual std::unique_ptr<PublishedStateReader>
  openStore(HttpClient &Client, const Endpoint &Store) const = 0;
};

} // namespace kumquatpitch

#endif
