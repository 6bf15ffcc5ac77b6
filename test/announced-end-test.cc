// Tests what a response's head says about the end of its connection.

#include "kumquatpitch/announced-end.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;

TEST_GROUP(AnnouncedEnd){
    static std::string announced(const HeaderFields &Headers,
                                 bool IsHttp10 = false){HttpMessage Response;
Response.Headers_ = Headers;
Response.IsHttp10_ = IsHttp10;
return announcedEndName(announcedEnd(Response));
}
}
;

TEST(AnnouncedEnd, IsReadFromConnectionAndKeepAlive) {
  CHECK_EQUAL(std::string("nothing"), announced({{"Content-Type", "a"}}));
  CHECK_EQUAL(std::string("close"), announced({{"connection", "x, Close"}}));
  CHECK_EQUAL(std::string("keep_open"),
              announced({{"Connection", "keep-alive"}}));
  CHECK_EQUAL(std::string("keep_open"),
              announced({{"Keep-Alive", "timeout=5"}}));
  CHECK_EQUAL(std::string("close"), announced({{"Keep-Alive", "timeout=5"},
                                               {"Connection", "close"}}));
}

TEST(AnnouncedEnd, Http10ClosesUnlessItSaysOtherwise) {
  CHECK_EQUAL(std::string("close"), announced({}, true));
  CHECK_EQUAL(std::string("keep_open"),
              announced({{"Connection", "keep-alive"}}, true));
}
