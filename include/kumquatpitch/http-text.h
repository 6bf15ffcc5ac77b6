// Syntax elements of HTTP/1.1 heads. Used by the parsers and scanners of heads.

#ifndef KUMQUATPITCH_HTTP_TEXT_H
#define KUMQUATPITCH_HTTP_TEXT_H

#include <string_view>

namespace kumquatpitch {

/// True for a token of RFC 9110 section 5.6.2, such as a header's name.
bool isToken(std::string_view Text);

/// The text without spaces and tabs at both ends.
std::string_view trimWhitespace(std::string_view Text);

/// True if the comma-separated list contains the name, ignoring case.
bool listContains(std::string_view List, std::string_view Name);

} // namespace kumquatpitch

#endif
