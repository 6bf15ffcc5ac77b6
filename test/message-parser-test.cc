// Tests of MessageParser: message boundaries, limits, and malformed or
// truncated messages.

#include "kumquatpitch/message-parser.h"

#include "odd-status-lines.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;

using Kind = MessageParser::Kind;
using ParseState = MessageParser::State;

static constexpr std::uint64_t HeadLimit = 200;
static constexpr std::uint64_t BodyLimit = 50;

TEST_GROUP(MessageParser) {
  MessageParser Requests_{Kind::Request, HeadLimit, BodyLimit};
  MessageParser Responses_{Kind::Response, HeadLimit, BodyLimit};
};

TEST(MessageParser, SplitsPipelinedRequests) {
  const std::string Bytes = "GET /a?b=1 HTTP/1.1\r\nHost: h\r\n\r\n"
                            "POST /c HTTP/1.1\r\nHost: h\r\n"
                            "Content-Length: 3\r\n\r\nxyz";
  const std::size_t Consumed = Requests_.feed(Bytes);
  CHECK(Requests_.state() == ParseState::Complete);
  CHECK_EQUAL(std::string("/a?b=1"), Requests_.take().Target_);
  CHECK_EQUAL(Bytes.size(), Consumed + Requests_.feed(Bytes.substr(Consumed)));
  const HttpMessage Second = Requests_.take();
  CHECK_EQUAL(std::string("POST"), Second.Method_);
  CHECK_EQUAL(std::string("xyz"), Second.Body_);
}

TEST(MessageParser, ParsesMessageFedByteByByte) {
  const std::string Bytes = "POST /c HTTP/1.1\r\nHost: h\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n"
                            "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n";
  for (const char Byte : Bytes)
    Requests_.feed(std::string_view(&Byte, 1));
  CHECK(Requests_.state() == ParseState::Complete);
  CHECK_EQUAL(std::string("abc"), Requests_.take().Body_);
}

TEST(MessageParser, RejectsMessagesOverSizeLimits) {
  Requests_.feed("GET /" + std::string(300, 'a') + " HTTP/1.1\r\n");
  CHECK(Requests_.state() == ParseState::Rejected);
  CHECK(Requests_.code() == ResultCode::RequestHeadTooLarge);
  MessageParser Long(Kind::Request, HeadLimit, BodyLimit);
  Long.feed("POST / HTTP/1.1\r\nContent-Length: 51\r\n\r\n");
  CHECK(Long.code() == ResultCode::RequestBodyTooLarge);
  MessageParser Chunked(Kind::Request, HeadLimit, BodyLimit);
  Chunked.feed("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n33\r\n" +
               std::string(51, 'a'));
  CHECK(Chunked.code() == ResultCode::RequestBodyTooLarge);
}

// Guards against heads that take many times their bytes in memory: each field
// takes two strings, however short it is.
TEST(MessageParser, RejectsMoreFieldsThanAHeadMayHave) {
  constexpr int MaxFields = 256;
  std::string Head = "GET / HTTP/1.1\r\n";
  for (int Field = 0; Field < MaxFields; ++Field)
    Head += "a:\r\n";
  MessageParser Most(Kind::Request, 10 * HeadLimit, BodyLimit);
  Most.feed(Head + "\r\n");
  CHECK(Most.state() == ParseState::Complete);
  MessageParser TooMany(Kind::Response, 10 * HeadLimit, BodyLimit);
  TooMany.feed("HTTP/1.1 200 OK\r\n" + Head.substr(Head.find('\n') + 1) +
               "a:\r\n");
  CHECK(TooMany.state() == ParseState::Rejected);
  CHECK(TooMany.code() == ResultCode::RequestHeadTooLarge);
}

// Guards against taking such a response for a success or an interim response.
TEST(MessageParser, RejectsResponseWithoutAValidStatus) {
  for (const char *StatusLine : test::OddStatusLines) {
    const std::string Bytes =
        "HTTP/1.1 " + std::string(StatusLine) + "\r\nContent-Length: 0\r\n\r\n";
    MessageParser Whole(Kind::Response, HeadLimit, BodyLimit);
    Whole.feed(Bytes);
    CHECK_TEXT(Whole.state() == ParseState::Rejected, StatusLine);
    CHECK(Whole.code() == ResultCode::RequestMalformed);
    CHECK(Whole.hasInvalidStatus());
    MessageParser Second(Kind::Response, HeadLimit, BodyLimit);
    Second.feed("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    CHECK_EQUAL(200, Second.take().Status_);
    for (const char Byte : Bytes)
      Second.feed(std::string_view(&Byte, 1));
    CHECK_TEXT(Second.state() == ParseState::Rejected, StatusLine);
  }
}

// Guards against request smuggling: with two lengths in a request, two parsers
// may disagree on where it ends.
TEST(MessageParser, RejectsRequestWithTwoLengths) {
  Requests_.feed("POST / HTTP/1.1\r\nContent-Length: 3\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
  CHECK(Requests_.state() == ParseState::Rejected);
  MessageParser Doubled(Kind::Request, HeadLimit, BodyLimit);
  Doubled.feed("POST / HTTP/1.1\r\nContent-Length: 3\r\n"
               "Content-Length: 4\r\n\r\nabcd");
  CHECK(Doubled.state() == ParseState::Rejected);
}

TEST(MessageParser, EndOfStreamCompletesResponseWithoutLength) {
  Responses_.feed("HTTP/1.1 200 OK\r\n\r\nwhole");
  CHECK(Responses_.state() == ParseState::Body);
  Responses_.finish();
  CHECK(Responses_.state() == ParseState::Complete);
  CHECK_EQUAL(std::string("whole"), Responses_.message().Body_);
}

// Guards against a truncated response that passes for a complete one.
TEST(MessageParser, RejectsTruncatedResponses) {
  Responses_.feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut");
  Responses_.finish();
  CHECK(Responses_.state() == ParseState::Rejected);
  MessageParser Chunked(Kind::Response, HeadLimit, BodyLimit);
  Chunked.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
               "3\r\ncut\r\n");
  Chunked.finish();
  CHECK(Chunked.state() == ParseState::Rejected);
}

TEST(MessageParser, HopByHopHeadersAreNotForwarded) {
  HttpMessage Message;
  Message.Method_ = "POST";
  Message.Target_ = "/a";
  Message.Headers_ = {{"Host", "h"},
                      {"Connection", "X-Own"},
                      {"X-Own", "1"},
                      {"Content-Length", "9"},
                      {"Expect", "100-continue"}};
  Message.Body_ = "xy";
  CHECK_EQUAL(std::string("POST /a HTTP/1.1\r\nHost: h\r\n"
                          "Content-Length: 2\r\n\r\nxy"),
              writeRequest(Message));
}

TEST(MessageParser, TellsTheFramingOfResponses) {
  const auto Framing = [](int Status, const HeaderFields &Headers) {
    HttpMessage Response;
    Response.Status_ = Status;
    Response.Headers_ = Headers;
    return std::string(bodyFramingName(bodyFraming(Response)));
  };
  STRCMP_EQUAL("length", Framing(200, {{"content-length", "3"}}).c_str());
  STRCMP_EQUAL("length", Framing(204, {}).c_str());
  STRCMP_EQUAL("chunked",
               Framing(200, {{"Transfer-Encoding", "chunked"}}).c_str());
  STRCMP_EQUAL("until_close", Framing(200, {}).c_str());
}

// Guards against reporting an answer that ends with its connection as chunked.
TEST(MessageParser, CodingsOtherThanChunkedDoNotTellTheEnd) {
  HttpMessage Response;
  Response.Status_ = 200;
  Response.Headers_ = {{"Transfer-Encoding", "gzip"}};
  CHECK(bodyFraming(Response) == BodyFraming::UntilClose);
  Response.Headers_ = {{"Transfer-Encoding", "gzip, Chunked"}};
  CHECK(bodyFraming(Response) == BodyFraming::Chunked);
}

// Guards against waiting for the body of a response to HEAD, against refusing
// it for the length of a body that does not follow, and against another length.
TEST(MessageParser, ResponseToHeadEndsWithItsHead) {
  MessageParser Parser(MessageParser::Kind::Response, 1'000, 10);
  Parser.expectNoBody();
  const std::string Head = "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n";
  CHECK_EQUAL(Head.size(), Parser.feed(Head));
  CHECK(Parser.state() == MessageParser::State::Complete);
  CHECK_EQUAL(0, Parser.bodyBytes());
  const HttpMessage Response = Parser.take();
  CHECK(bodyFraming(Response) == BodyFraming::Length);
  STRCMP_EQUAL(Head.c_str(), writeResponse(Response, false, true).c_str());
}

// Guards against taking a message whose length exceeds the limit for a complete
// one without a body.
TEST(MessageParser, MessageBeyondTheLimitIsNotComplete) {
  for (const MessageParser::Kind Parsed :
       {MessageParser::Kind::Request, MessageParser::Kind::Response}) {
    MessageParser Parser(Parsed, 1'000, 10);
    const bool IsRequest = Parsed == MessageParser::Kind::Request;
    Parser.feed(std::string(IsRequest ? "POST / HTTP/1.1\r\nHost: h\r\n"
                                      : "HTTP/1.1 200 OK\r\n") +
                "Content-Length: 5000\r\n\r\nbody");
    CHECK(Parser.state() == MessageParser::State::Rejected);
    CHECK(Parser.code() == ResultCode::RequestBodyTooLarge);
  }
}

// Guards against two readings of one head: the framing that is told has to be
// the one by which the body is read.
TEST(MessageParser, FramingIsTheOneOfTheParser) {
  const std::string Heads[] = {"Transfer-Encoding: chunked",
                               "Transfer-Encoding: chunked\t",
                               "Transfer-Encoding: ,chunked",
                               "Transfer-Encoding: chunked, chunked",
                               "Transfer-Encoding: c, chunked",
                               "Transfer-Encoding: gzip, chunked",
                               "Transfer-Encoding: gzip",
                               "Content-Length: 9",
                               "Content-Length: 9 ",
                               "X: y"};
  for (const std::string &Head : Heads) {
    MessageParser Cut(Kind::Response, HeadLimit, BodyLimit);
    Cut.feed("HTTP/1.1 200 OK\r\n" + Head + "\r\n\r\n5\r\ncut");
    CHECK_TEXT(Cut.state() == ParseState::Body, Head.c_str());
    const BodyFraming Framing = bodyFraming(Cut.message());
    Cut.finish();
    CHECK_TEXT((Cut.state() == ParseState::Complete) ==
                   (Framing == BodyFraming::UntilClose),
               Head.c_str());
  }
}
