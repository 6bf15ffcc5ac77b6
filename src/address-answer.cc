// Formats address responses as JSON. See address-answer.h.

#include "kumquatpitch/address-answer.h"

#include <nlohmann/json.hpp>

namespace kumquatpitch {

std::string formatAddressAnswer(const AddressAnswer &Answer) {
  nlohmann::json Hosts = nlohmann::json::array();
  for (const AddressOption &Option : Answer.Hosts_) {
    nlohmann::json Host = {{"host", Option.Host_.str()},
                           {"failure_domain", Option.Domain_.str()},
                           {"address", Option.Address_.Address_},
                           {"port", Option.Address_.Port_}};
    if (!Option.Token_.empty())
      Host["token"] = Option.Token_;
    Hosts.push_back(std::move(Host));
  }
  const nlohmann::json Document = {{"service", Answer.Service_.str()},
                                   {"config_version", Answer.ConfigVersion_},
                                   {"keep_ms", AddressAnswerTtl.count()},
                                   {"hosts", std::move(Hosts)}};
  return Document.dump() + "\n";
}

} // namespace kumquatpitch
