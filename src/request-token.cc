// Formats and parses request tokens. See request-token.h.

#include "kumquatpitch/request-token.h"

#include <charconv>
#include <cinttypes>
#include <cstdio>
#include <optional>
#include <xxhash.h>

namespace kumquatpitch {

namespace {

constexpr std::string_view FormatPrefix = "k1";
constexpr int Decimal = 10;
constexpr int Hexadecimal = 16;

/// Removes and returns the text up to the next '.', or all of it.
std::string_view consumeField(std::string_view &Text) {
  const std::size_t Dot = Text.find('.');
  const std::string_view Field = Text.substr(0, Dot);
  Text.remove_prefix(Dot == std::string_view::npos ? Text.size() : Dot + 1);
  return Field;
}

std::optional<std::uint64_t> parseNumber(std::string_view Text, int Base) {
  std::uint64_t Value = 0;
  const char *const End = Text.data() + Text.size();
  const std::from_chars_result Parsed =
      std::from_chars(Text.data(), End, Value, Base);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Value;
}

std::string hexDigits(std::uint64_t Value) {
  char Text[17];
  std::snprintf(Text, sizeof(Text), "%016" PRIx64, Value);
  return Text;
}

} // namespace

std::string formatToken(const RequestToken &Token) {
  std::string Text(FormatPrefix);
  Text += '.' + Token.Service_.str() + '.' + Token.Host_.str() + '.' +
          hexDigits(Token.Incarnation_) + '.' + std::to_string(Token.Epoch_);
  return Text + '.' + hexDigits(XXH3_64bits(Text.data(), Text.size()));
}

Result<RequestToken> parseToken(std::string_view Text) {
  if (Text.size() > MaxTokenBytes)
    return fail(ResultCode::TokenInvalid, "token is too long");
  std::string_view Rest = Text;
  if (consumeField(Rest) != FormatPrefix)
    return fail(ResultCode::TokenInvalid, "token has an unknown format");
  const std::string_view Service = consumeField(Rest);
  const std::string_view Host = consumeField(Rest);
  if (!isValidName(Service) || !isValidName(Host))
    return fail(ResultCode::TokenInvalid, "token has an invalid name");
  const std::optional<std::uint64_t> IncarnationNumber =
      parseNumber(consumeField(Rest), Hexadecimal);
  const std::optional<std::uint64_t> Epoch =
      parseNumber(consumeField(Rest), Decimal);
  if (!IncarnationNumber || *IncarnationNumber == 0 || !Epoch)
    return fail(ResultCode::TokenInvalid, "token has an invalid number");
  RequestToken Token{ServiceName(std::string(Service)),
                     HostId(std::string(Host)), *IncarnationNumber, *Epoch};
  // The comparison checks the checksum and also rejects leading zeros, another
  // letter case and trailing text.
  if (formatToken(Token) != Text)
    return fail(ResultCode::TokenInvalid, "token's checksum does not match");
  return Token;
}

} // namespace kumquatpitch
