// Tests of the search for a second response inside one.

#include "kumquatpitch/spliced-response.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;

TEST_GROUP(SplicedResponse) {
  using Verdict = SplicedResponseScan::Verdict;

  const std::string Head_ = "HTTP/1.1 200 OK\r\nRequest-Id: id1\r\n"
                            "Content-Length: 9\r\n\r\n";
  const std::string Whole_ = Head_ + "some body";
  CarriedRequestIds Carried_;
  SplicedResponseScan Scan_;

  void setup() override { Carried_.add("id1"); }

  Verdict scan(const std::string &Bytes) {
    Scan_.begin("request-id", Carried_);
    Scan_.feed(Bytes);
    return Scan_.verdict();
  }

  /// The verdict on a response that ends with `Body`, if `After` follows.
  Verdict scanBefore(const std::string &Body, const std::string &After) {
    scan(Head_ + Body);
    Scan_.feedAfterEnd(After);
    return Scan_.verdict();
  }

  static void checkEqual(Verdict Expected, Verdict Actual,
                         const std::string &Case) {
    CHECK_EQUAL_TEXT(static_cast<int>(Expected), static_cast<int>(Actual),
                     Case.c_str());
  }
};

TEST(SplicedResponse, OwnHeadIsNoSecondOne) {
  checkEqual(Verdict::Whole, scan(Whole_), "plain");
  checkEqual(Verdict::Whole, scan("\r\n" + Whole_), "after a line break");
}

// Guards against missing a second response behind any byte of the first, and
// in reads of any size.
TEST(SplicedResponse, SecondResponseIsFoundAnywhere) {
  for (std::size_t Cut = 1; Cut < Whole_.size(); ++Cut)
    for (const std::size_t Size : {1, 2, 7, 1'000}) {
      const std::string Bytes = Whole_.substr(0, Cut) + Whole_;
      Scan_.begin("Request-Id", Carried_);
      for (std::size_t At = 0; At < Bytes.size(); At += Size)
        Scan_.feed(std::string_view(Bytes).substr(At, Size));
      checkEqual(Verdict::Spliced, Scan_.verdict(),
                 "cut after " + Whole_.substr(0, Cut));
      CHECK_EQUAL(Cut, Scan_.secondOffset());
    }
}

// Guards against missing one whose first bytes alone fill the body.
TEST(SplicedResponse, SecondResponseBehindTheEndIsFound) {
  for (std::size_t Size = 1; Size < Head_.find("id1"); ++Size) {
    checkEqual(Verdict::Undecided, scan(Head_ + Whole_.substr(0, Size)),
               "before the end");
    CHECK_EQUAL(Size >= 5, Scan_.findings().IsLikely_);
    checkEqual(Verdict::Spliced,
               scanBefore(Whole_.substr(0, Size), Whole_.substr(Size)),
               "behind the end");
    CHECK_EQUAL(Head_.size(), Scan_.secondOffset());
  }
}

TEST(SplicedResponse, ResponseBehindTheEndIsNoPartOfTheBody) {
  checkEqual(Verdict::Whole, scanBefore("body", Whole_), "whole body");
  checkEqual(Verdict::Whole, scanBefore("body H", Whole_), "one byte");
  checkEqual(Verdict::Whole, scanBefore("body HTTP", "/x"), "other bytes");
  checkEqual(Verdict::Undecided, scanBefore("body H", "TT"), "still undecided");
}

// Guards against failing bodies that quote a response.
TEST(SplicedResponse, QuotedResponseIsNoSecondOne) {
  for (const char *Quote :
       {"HTTP/1.1 200 OK\r\nRequest-Id: 9c41d07be2a35f68\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nRequest-Id: id1\r\n",
        "HTTP/1.1 is a protocol\r\nRequest-Id: id1\r\n",
        "GET /id1 HTTP/1.1\r\nRequest-Id: id1\r\n\r\n",
        "HTTP/1.1 200 OK\nThe first line.\nRequest-Id: id1\n"})
    checkEqual(Verdict::Whole, scan(Head_ + Quote), Quote);
}

TEST(SplicedResponse, WithoutAnIdNothingIsFound) {
  Scan_.begin("", Carried_);
  Scan_.feed(Whole_ + Whole_);
  checkEqual(Verdict::Whole, Scan_.verdict(), "no header");
  CHECK(Scan_.findings().HasStatusLine_);
}
