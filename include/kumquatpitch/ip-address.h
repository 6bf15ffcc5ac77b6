// Checks of IP addresses in text form. Pure functions.

#ifndef KUMQUATPITCH_IP_ADDRESS_H
#define KUMQUATPITCH_IP_ADDRESS_H

#include <string>

namespace kumquatpitch {

/// True for an IPv4 or IPv6 address.
bool isIpAddress(const std::string &Text);

/// True for an IPv4 address that one server can have: not the unspecified
/// address, which would reach this host, nor one for several receivers.
bool isServerAddress(const std::string &Text);

} // namespace kumquatpitch

#endif
