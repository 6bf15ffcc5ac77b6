// Checks the syntax of names. See name.h.

#include "kumquatpitch/name.h"

#include <algorithm>

namespace kumquatpitch {

static bool isNameCharacter(char C) {
  return (C >= 'a' && C <= 'z') || (C >= '0' && C <= '9') || C == '-';
}

bool isValidName(std::string_view Text) {
  if (Text.empty() || Text.size() > MaxNameBytes || Text.front() == '-')
    return false;
  return std::all_of(Text.begin(), Text.end(), isNameCharacter);
}

} // namespace kumquatpitch
