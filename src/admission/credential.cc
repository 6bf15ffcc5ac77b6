// Parsing of the Authorization header. See credential.h.

#include "kumquatpitch/admission/credential.h"

#include <algorithm>
#include <string_view>

namespace kumquatpitch {

static bool equalsIgnoringCase(std::string_view Left, std::string_view Right) {
  const auto ToLower = [](char C) {
    return C >= 'A' && C <= 'Z' ? static_cast<char>(C - 'A' + 'a') : C;
  };
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [&](char First, char Second) {
                      return ToLower(First) == ToLower(Second);
                    });
}

static std::string_view withoutOuterSpaces(std::string_view Text) {
  const std::size_t Begin = Text.find_first_not_of(" \t");
  if (Begin == std::string_view::npos)
    return {};
  return Text.substr(Begin, Text.find_last_not_of(" \t") - Begin + 1);
}

static Credential parseValue(std::string_view Value) {
  constexpr std::string_view Scheme = "Bearer";
  const Credential Malformed{CredentialState::Malformed, {}};
  const std::string_view Text = withoutOuterSpaces(Value);
  const std::size_t Space = Text.find(' ');
  if (Space == std::string_view::npos ||
      !equalsIgnoringCase(Text.substr(0, Space), Scheme))
    return Malformed;
  const std::string_view Key = withoutOuterSpaces(Text.substr(Space));
  const bool IsVisible = std::all_of(
      Key.begin(), Key.end(), [](char C) { return C > ' ' && C < '\x7f'; });
  if (Key.empty() || !IsVisible)
    return Malformed;
  return Credential{CredentialState::Present, digestOf(Key)};
}

Credential
credentialOf(const std::vector<std::pair<std::string, std::string>> &Headers) {
  Credential Found;
  for (const std::pair<std::string, std::string> &Header : Headers) {
    if (!equalsIgnoringCase(Header.first, "Authorization"))
      continue;
    if (Found.State_ != CredentialState::Missing)
      return Credential{CredentialState::Malformed, {}};
    Found = parseValue(Header.second);
  }
  return Found;
}

} // namespace kumquatpitch
