// Syntax elements of HTTP/1.1 heads. See http-text.h.

#include "kumquatpitch/http-text.h"

#include <algorithm>

namespace kumquatpitch {

static bool isTokenCharacter(char C) {
  constexpr std::string_view Punctuation = "!#$%&'*+-.^_`|~";
  return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
         (C >= '0' && C <= '9') ||
         Punctuation.find(C) != std::string_view::npos;
}

static char toLower(char C) {
  return C >= 'A' && C <= 'Z' ? static_cast<char>(C - 'A' + 'a') : C;
}

bool isToken(std::string_view Text) {
  return !Text.empty() &&
         std::all_of(Text.begin(), Text.end(), isTokenCharacter);
}

std::string_view trimWhitespace(std::string_view Text) {
  const std::size_t First = Text.find_first_not_of(" \t");
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(" \t") - First + 1);
}

bool listContains(std::string_view List, std::string_view Name) {
  const auto IsSame = [](char Left, char Right) {
    return toLower(Left) == toLower(Right);
  };
  std::size_t Start = 0;
  while (Start <= List.size()) {
    const std::size_t Comma = std::min(List.find(',', Start), List.size());
    const std::string_view Item =
        trimWhitespace(List.substr(Start, Comma - Start));
    if (std::equal(Item.begin(), Item.end(), Name.begin(), Name.end(), IsSame))
      return true;
    Start = Comma + 1;
  }
  return false;
}

} // namespace kumquatpitch
