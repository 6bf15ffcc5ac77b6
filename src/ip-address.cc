// Parsing with inet_pton(). See ip-address.h.

#include "kumquatpitch/ip-address.h"

#include <arpa/inet.h>
#include <cstdint>

namespace kumquatpitch {

bool isIpAddress(const std::string &Text) {
  in6_addr Ignored;
  return inet_pton(AF_INET, Text.c_str(), &Ignored) == 1 ||
         inet_pton(AF_INET6, Text.c_str(), &Ignored) == 1;
}

bool isServerAddress(const std::string &Text) {
  in_addr Address;
  // inet_pton() stops at a NUL byte.
  if (Text.find('\0') != std::string::npos ||
      inet_pton(AF_INET, Text.c_str(), &Address) != 1)
    return false;
  const std::uint32_t Bits = ntohl(Address.s_addr);
  // Multicast addresses and all above them, which are reserved.
  constexpr std::uint32_t FirstMulticast = 0xe0000000;
  return Bits != INADDR_ANY && Bits < FirstMulticast;
}

} // namespace kumquatpitch
