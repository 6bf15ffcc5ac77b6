// Request tokens: one spelling for each, errors found.

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
TEST(RequestToken, KeepsItsText) {
  const std::string Text = formatToken(Sample);
  STRCMP_EQUAL("k1.nuptial-desk.ikeja-07.1f2e3d4c5b6a7988.42.725d8c2bd575ee49",
               Text.c_str());
  CHECK(parseToken(Text).value() == Sample);
}

// Guards against a header that was cut, mistyped or joined to other text.
TEST(RequestToken, FindsEveryTruncationAndReplacedCharacter) {
  const std::string Text = formatToken(Sample);
  for (std::size_t At = 0; At < Text.size(); ++At) {
    CHECK(codeOf(Text.substr(0, At)) == ResultCode::TokenInvalid);
    for (int Code = 0; Code < 256; ++Code) {
      std::string Typed = Text;
      Typed[At] = static_cast<char>(Code);
      if (Typed != Text)
        CHECK(codeOf(Typed) == ResultCode::TokenInvalid);
    }
  }
  CHECK(codeOf(Text + " ") == ResultCode::TokenInvalid);
  CHECK(codeOf(Text + "." + Text) == ResultCode::TokenInvalid);
  CHECK(codeOf(Text + std::string(MaxTokenBytes, '0')) ==
        ResultCode::TokenInvalid);
}

// Guards against a bound that is too small for the longest names and numbers.
TEST(RequestToken, LongestTokenFits) {
  const std::string Longest(MaxNameBytes, 'z');
  const RequestToken Token{ServiceName(Longest), HostId(Longest), UINT64_MAX,
                           UINT64_MAX};
  CHECK(formatToken(Token).size() <= MaxTokenBytes);
  CHECK(parseToken(formatToken(Token)).value() == Token);
}

// Guards against a zeroed incarnation that would match an unset one.
TEST(RequestToken, RefusesIncarnationZero) {
  RequestToken Token = Sample;
  Token.Incarnation_ = 0;
  CHECK(codeOf(formatToken(Token)) == ResultCode::TokenInvalid);
}
