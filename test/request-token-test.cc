// Format and parsing of request tokens, and detection of damaged ones.

#include "kumquatpitch/request-token.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;

static const RequestToken Sample{ServiceName("nuptial-desk"),
                                 HostId("ikeja-07"), 0x1f2e3d4c5b6a7988, 42};

static ResultCode codeOf(const std::string &Text) {
  return handleFailure(
      [&]() -> Result<ResultCode> {
        Result<RequestToken> Parsed = parseToken(Text);
        if (!Parsed)
          return Parsed.error();
        return ResultCode::Ok;
      },
      [](const Failure &Cause) { return Cause.Code_; });
}

TEST_GROUP(RequestToken){};

// Guards against a changed format or hash, which would invalidate the tokens
// that callers hold during a rolling upgrade.
TEST(RequestToken, FormatIsStable) {
  const std::string Text = formatToken(Sample);
  STRCMP_EQUAL("k1.nuptial-desk.ikeja-07.1f2e3d4c5b6a7988.42.725d8c2bd575ee49",
               Text.c_str());
  CHECK(parseToken(Text).value() == Sample);
}

// Guards against accepting a header that was truncated, mistyped or joined to
// other text.
TEST(RequestToken, RejectsEveryTruncationAndReplacedCharacter) {
  const std::string Text = formatToken(Sample);
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    CHECK(codeOf(Text.substr(0, Index)) == ResultCode::TokenInvalid);
    for (int Code = 0; Code < 256; ++Code) {
      std::string Altered = Text;
      Altered[Index] = static_cast<char>(Code);
      if (Altered != Text)
        CHECK(codeOf(Altered) == ResultCode::TokenInvalid);
    }
  }
  CHECK(codeOf(Text + " ") == ResultCode::TokenInvalid);
  CHECK(codeOf(Text + "." + Text) == ResultCode::TokenInvalid);
  CHECK(codeOf(Text + std::string(MaxTokenBytes, '0')) ==
        ResultCode::TokenInvalid);
}

// Guards against a bound that is too small for the longest names and numbers.
TEST(RequestToken, LongestTokenIsWithinTheLimit) {
  const std::string Longest(MaxNameBytes, 'z');
  const RequestToken Token{ServiceName(Longest), HostId(Longest), UINT64_MAX,
                           UINT64_MAX};
  CHECK(formatToken(Token).size() <= MaxTokenBytes);
  CHECK(parseToken(formatToken(Token)).value() == Token);
}

// Guards against a token with incarnation 0, which would match an unset one.
TEST(RequestToken, RejectsIncarnationZero) {
  RequestToken Token = Sample;
  Token.Incarnation_ = 0;
  CHECK(codeOf(formatToken(Token)) == ResultCode::TokenInvalid);
}
