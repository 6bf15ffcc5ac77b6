// Parsing of the declared services. See unframed-services.h.

#include "kumquatpitch/unframed-services.h"

#include "kumquatpitch/http-text.h"

#include <string>

namespace kumquatpitch {

std::optional<UnframedServices> UnframedServices::parse(std::string_view Text) {
  UnframedServices Parsed;
  if (trimWhitespace(Text).empty())
    return Parsed;
  while (true) {
    const std::size_t Comma = Text.find(',');
    const std::string_view Item = trimWhitespace(Text.substr(0, Comma));
    if (Item == "*")
      Parsed.IsEveryService_ = true;
    else if (isValidName(Item))
      Parsed.Services_.insert(ServiceName(std::string(Item)));
    else
      return std::nullopt;
    if (Comma == std::string_view::npos)
      return Parsed;
    Text.remove_prefix(Comma + 1);
  }
}

} // namespace kumquatpitch
