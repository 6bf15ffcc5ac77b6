// HttpFramer: framing of requests and rejection of ambiguous ones.

#include "kumquatpitch/http-framing.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;

static const std::string Get = "GET /rota HTTP/1.1\r\nHost: a\r\n\r\n";

static FramingState appendWithLimit(HttpFramer &Framer,
                                    const std::string &Bytes) {
  Framer.append(Bytes);
  return Framer.limitBody(100);
}

static ResultCode rejectionCode(const std::string &Bytes) {
  HttpFramer Framer;
  appendWithLimit(Framer, Bytes);
  return Framer.code();
}

static std::string withHeader(const std::string &Line) {
  return "POST /rota HTTP/1.1\r\nHost: a\r\n" + Line + "\r\n\r\n";
}

TEST_GROUP(HttpFraming){};

TEST(HttpFraming, FramesARequestWithoutABody) {
  HttpFramer Framer;
  CHECK(appendWithLimit(Framer, Get) == FramingState::Complete);
  CHECK(Framer.method() == "GET");
  CHECK(Framer.target() == "/rota");
}

// Guards against framing that depends on how the bytes are split into TCP
// segments.
TEST(HttpFraming, FramesARequestThatArrivesByteByByte) {
  const std::string Bytes = "POST /b HTTP/1.1\r\nTransfer-Encoding: "
                            "chunked\r\n\r\n3\r\nabc\r\nA\r\n0123456789\r\n0\r"
                            "\n\r\n";
  HttpFramer Framer;
  for (const char C : Bytes) {
    CHECK(Framer.state() != FramingState::Complete);
    appendWithLimit(Framer, std::string(1, C));
  }
  CHECK(Framer.state() == FramingState::Complete);
  STRCMP_EQUAL("abc0123456789", Framer.body().c_str());
}

TEST(HttpFraming, BuffersAPipelinedRequest) {
  HttpFramer Framer;
  appendWithLimit(Framer,
                  "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nxy" + Get);
  STRCMP_EQUAL("xy", Framer.body().c_str());
  Framer.next();
  CHECK(Framer.limitBody(100) == FramingState::Complete);
  CHECK(Framer.target() == "/rota");
}

TEST(HttpFraming, RejectsAmbiguousLengths) {
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
    CHECK_TEXT(rejectionCode(withHeader(Lines)) == ResultCode::RequestMalformed,
               Lines);
}

TEST(HttpFraming, RejectsMalformedRequestLines) {
  for (const char *Line :
       {"GET  / HTTP/1.1", "GET / HTTP/2.0", "GET /", "GET / a HTTP/1.1",
        "GET http://a/ HTTP/1.1", "G(T / HTTP/1.1", " GET / HTTP/1.1"})
    CHECK_TEXT(rejectionCode(std::string(Line) + "\r\n\r\n") ==
                   ResultCode::RequestMalformed,
               Line);
  CHECK(rejectionCode("GET / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n") ==
        ResultCode::RequestMalformed);
}

TEST(HttpFraming, RejectsMalformedChunks) {
  const std::string Head =
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const char *Chunks : {"x\r\n", "3;a=b\r\nabc\r\n", "3\r\nabcd\r\n",
                             "-1\r\n", "0\r\nTrailer: a\r\n\r\n"})
    CHECK_TEXT(rejectionCode(Head + Chunks) == ResultCode::RequestMalformed,
               Chunks);
}

TEST(HttpFraming, RejectsTooLargeHeadAndBody) {
  CHECK(
      rejectionCode("GET / HTTP/1.1\r\nX: " + std::string(MaxHeadBytes, 'a')) ==
      ResultCode::RequestHeadTooLarge);
  CHECK(rejectionCode(withHeader("Content-Length: 101")) ==
        ResultCode::RequestBodyTooLarge);
  CHECK(rejectionCode(withHeader("Transfer-Encoding: chunked") + "65\r\n") ==
        ResultCode::RequestBodyTooLarge);
}

// Guards against reporting `not-run` for a resend whose first copy ran: when a
// request with a token is rejected before the registry was checked, its first
// copy may have run.
TEST(HttpFraming, DetectsATokenInAcceptedAndRejectedRequests) {
  HttpFramer Framer;
  appendWithLimit(Framer, withHeader("kumquatpitch-TOKEN: k1"));
  CHECK(Framer.mayBeResend());
  HttpFramer RejectedFramer;
  appendWithLimit(RejectedFramer,
                  withHeader("Kumquatpitch-Token: k1\r\nContent-Length: x"));
  CHECK(RejectedFramer.state() == FramingState::Rejected);
  CHECK(RejectedFramer.mayBeResend());
  HttpFramer Plain;
  appendWithLimit(Plain, Get);
  CHECK_FALSE(Plain.mayBeResend());
}
