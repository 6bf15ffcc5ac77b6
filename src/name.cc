// Syntax check of names. See name.h.

#include "kumquatpitch/name.h"

#include <algorithm>

namespace kumquatpitch {

static bool isNameCharacter(char Character) {
  return (Character >= 'a' && Character <= 'z') ||
         (Character >= '0' && Character <= '9') || Character == '-';
}

bool isValidName(std::string_view Text) {
  if (Text.empty() || Text.size() > MaxNameBytes || Text.front() == '-')
    return false;
  return std::all_of(Text.begin(), Text.end(), isNameCharacter);
}

} // namespace kumquatpitch
