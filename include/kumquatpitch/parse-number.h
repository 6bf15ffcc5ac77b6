// Parsing of a text that is one number and nothing else. Pure functions.

#ifndef KUMQUATPITCH_PARSE_NUMBER_H
#define KUMQUATPITCH_PARSE_NUMBER_H

#include <charconv>
#include <optional>
#include <string>

namespace kumquatpitch {

/// Parses all of `Text` as a decimal number; none if it is anything else or out
/// of the type's range.
template <class Number>
std::optional<Number> parseNumber(const std::string &Text) {
  Number Value = 0;
  const char *End = Text.data() + Text.size();
  const std::from_chars_result Parsed =
      std::from_chars(Text.data(), End, Value);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Value;
}

} // namespace kumquatpitch

#endif
