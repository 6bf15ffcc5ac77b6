// Framing of requests: what two readers could understand differently is
// refused.

#include "kumquatpitch/http-framing.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;

static const std::string Get = "GET /rota HTTP/1.1\r\nHost: a\r\n\r\n";

static FramingState stateAfter(HttpFramer &Framer, const std::string &Bytes) {
  Framer.append(Bytes);
  return Framer.limitBody(100);
}

static ResultCode codeFor(const std::string &Bytes) {
  HttpFramer Framer;
  stateAfter(Framer, Bytes);
  return Framer.code();
}

static std::string withHeader(const std::string &Line) {
  return "POST /rota HTTP/1.1\r\nHost: a\r\n" + Line + "\r\n\r\n";
}

TEST_GROUP(HttpFraming){};

TEST(HttpFraming, FramesARequestWithoutABody) {
  HttpFramer Framer;
  CHECK(stateAfter(Framer, Get) == FramingState::Complete);
  CHECK(Framer.method() == "GET");
  CHECK(Framer.target() == "/rota");
}

// Guards against framing that depends on how the bytes were cut into segments.
TEST(HttpFraming, FramesByteByByte) {
  const std::string Bytes = "POST /b HTTP/1.1\r\nTransfer-Encoding: "
                            "chunked\r\n\r\n3\r\nabc\r\nA\r\n0123456789\r\n0\r"
                            "\n\r\n";
  HttpFramer Framer;
  for (const char C : Bytes) {
    CHECK(Framer.state() != FramingState::Complete);
    stateAfter(Framer, std::string(1, C));
  }
  CHECK(Framer.state() == FramingState::Complete);
  STRCMP_EQUAL("abc0123456789", Framer.body().c_str());
}

TEST(HttpFraming, KeepsAPipelinedRequest) {
  HttpFramer Framer;
  stateAfter(Framer, "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nxy" + Get);
  STRCMP_EQUAL("xy", Framer.body().c_str());
  Framer.next();
  CHECK(Framer.limitBody(100) == FramingState::Complete);
  CHECK(Framer.target() == "/rota");
}

TEST(HttpFraming, RefusesAmbiguousLengths) {
  static const char *const Cases[] = {
      "Content-Length: 2\r\nContent-Length: 2",
      "Content-Length: 2\r\nTransfer-Encoding: chunked",
      "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
      "Transfer-Encoding: gzip, chunked",
      "Transfer-Encoding: identity",
      "Content-Length: +2",
      "Content-Length: 0x2",
      "Content-Length: 2, 2",
      "Content-Length: ",
      "Content-Length: 99999999999999999999",
      "Content-Length : 2",
      " Content-Length: 2",
      "Host: b\n",
      "Host: b\rX: c",
      "X: a\n b: c"};
  for (const char *Lines : Cases)
    CHECK_TEXT(codeFor(withHeader(Lines)) == ResultCode::RequestMalformed,
               Lines);
}

TEST(HttpFraming, RefusesMalformedRequestLines) {
  for (const char *Line :
       {"GET  / HTTP/1.1", "GET / HTTP/2.0", "GET /", "GET / a HTTP/1.1",
        "GET http://a/ HTTP/1.1", "G(T / HTTP/1.1", " GET / HTTP/1.1"})
    CHECK_TEXT(codeFor(std::string(Line) + "\r\n\r\n") ==
                   ResultCode::RequestMalformed,
               Line);
  CHECK(codeFor("GET / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n") ==
        ResultCode::RequestMalformed);
}

TEST(HttpFraming, RefusesMalformedChunks) {
  const std::string Head =
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const char *Chunks : {"x\r\n", "3;a=b\r\nabc\r\n", "3\r\nabcd\r\n",
                             "-1\r\n", "0\r\nTrailer: a\r\n\r\n"})
    CHECK_TEXT(codeFor(Head + Chunks) == ResultCode::RequestMalformed, Chunks);
}

TEST(HttpFraming, BoundsHeadAndBody) {
  CHECK(codeFor("GET / HTTP/1.1\r\nX: " + std::string(MaxHeadBytes, 'a')) ==
        ResultCode::RequestHeadTooLarge);
  CHECK(codeFor(withHeader("Content-Length: 101")) ==
        ResultCode::RequestBodyTooLarge);
  CHECK(codeFor(withHeader("Transfer-Encoding: chunked") + "65\r\n") ==
        ResultCode::RequestBodyTooLarge);
}

// Guards against `not-run` for a resend whose first copy ran: a refusal before
// the registry was asked proves nothing about a request with a token.
TEST(HttpFraming, NoticesATokenAlsoInRefusedRequests) {
  HttpFramer Framer;
  stateAfter(Framer, withHeader("kumquatpitch-TOKEN: k1"));
  CHECK(Framer.mayBeResend());
  HttpFramer Refused;
  stateAfter(Refused,
             withHeader("Kumquatpitch-Token: k1\r\nContent-Length: x"));
  CHECK(Refused.state() == FramingState::Rejected);
  CHECK(Refused.mayBeResend());
  HttpFramer Plain;
  stateAfter(Plain, Get);
  CHECK_FALSE(Plain.mayBeResend());
}
