// Tests of StatusLineCheck: which statuses are valid, in whole lines and byte
// by byte.

#include "kumquatpitch/status-line.h"

#include "odd-status-lines.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;

TEST_GROUP(StatusLineCheck){};

static bool isInvalid(const std::string &Bytes) {
  StatusLineCheck Whole;
  Whole.feed(Bytes);
  StatusLineCheck ByteByByte;
  for (const char Byte : Bytes)
    ByteByByte.feed(std::string_view(&Byte, 1));
  CHECK_EQUAL(Whole.isInvalid(), ByteByByte.isInvalid());
  return Whole.isInvalid();
}

TEST(StatusLineCheck, StatusesFrom100To599AreValid) {
  for (int Status = 100; Status <= 599; ++Status)
    CHECK_EQUAL(Status == 101,
                isInvalid("HTTP/1.1 " + std::to_string(Status) + " X\r\n"));
}

TEST(StatusLineCheck, OtherStatusesAreInvalid) {
  for (const char *Status : test::OddStatusLines)
    CHECK_TEXT(isInvalid("HTTP/1.1 " + std::string(Status) + "\r\n"), Status);
}

TEST(StatusLineCheck, ReasonIsNotChecked) {
  for (const char *Line :
       {"HTTP/1.1 200\r\n", "HTTP/1.0 404 Not Found\r\n", "HTTP/1.1 200 000 1",
        "\r\n\r\nHTTP/1.1 200 OK\r\nX: 000\r\n\r\nHTTP/1.1 000 X\r\n"})
    CHECK_FALSE(isInvalid(Line));
}

TEST(StatusLineCheck, UnfinishedStatusIsNotInvalidYet) {
  for (const char *Line : {"", "\r\n", "HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1 2",
                           "HTTP/1.1 20", "HTTP/1.1 200"})
    CHECK_FALSE(isInvalid(Line));
}

// A server may stop inside the line; the request need not wait for the rest.
TEST(StatusLineCheck, InvalidStatusIsKnownBeforeTheEndOfTheLine) {
  for (const char *Line : {"HTTP/1.1 000", "HTTP/1.1 600", "HTTP/1.1 20 ",
                           "HTTP/1.1 -", "HTTP/1.1 2000", "HTTP/1.1 101"})
    CHECK_TEXT(isInvalid(Line), Line);
}
