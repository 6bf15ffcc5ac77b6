// Tests the decision on responses that may have ended.

#include "kumquatpitch/response-end.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;

TEST_GROUP(ResponseEnd) {
  using Verdict = SplicedResponseScan::Verdict;

  ResponseEvidence Evidence_;

  void checkEnd(ResponseEnd Expected) const {
    CHECK_EQUAL(static_cast<int>(Expected),
                static_cast<int>(decideResponseEnd(Evidence_).End_));
  }
};

TEST(ResponseEnd, AnotherResponseBehindIsNotStray) {
  BytesBehindResponse Copy;
  Copy.add("HT");
  CHECK_EQUAL(0, Copy.strayBytes());
  Copy.add("TP/1.1 200 OK");
  CHECK_EQUAL(0, Copy.strayBytes());
  CHECK_EQUAL(15, Copy.total());
  BytesBehindResponse Rest;
  Rest.add("HTT");
  Rest.add("ail");
  CHECK_EQUAL(6, Rest.strayBytes());
}

TEST(ResponseEnd, PlainResponseIsWhole) {
  checkEnd(ResponseEnd::Whole);
  Evidence_.IsConnectionEnded_ = true;
  checkEnd(ResponseEnd::Whole);
}

TEST(ResponseEnd, SecondResponseBreaksAnyFraming) {
  Evidence_.Findings_.Verdict_ = Verdict::Spliced;
  Evidence_.WasHeld_ = true;
  for (const BodyFraming Framing :
       {BodyFraming::Length, BodyFraming::Chunked, BodyFraming::UntilClose}) {
    Evidence_.Framing_ = Framing;
    checkEnd(ResponseEnd::Broken);
  }
}

TEST(ResponseEnd, UndecidedResponseIsHeld) {
  Evidence_.Findings_.Verdict_ = Verdict::Undecided;
  checkEnd(ResponseEnd::Hold);
  const Duration ShortTime = decideResponseEnd(Evidence_).HoldTime_;
  Evidence_.Findings_.IsLikely_ = true;
  checkEnd(ResponseEnd::Hold);
  CHECK(decideResponseEnd(Evidence_).HoldTime_ > ShortTime);
  Evidence_.WasHeld_ = true;
  checkEnd(ResponseEnd::Whole);
}

TEST(ResponseEnd, EndInsideALikelySecondOneBreaks) {
  Evidence_.Findings_.Verdict_ = Verdict::Undecided;
  Evidence_.IsConnectionEnded_ = true;
  checkEnd(ResponseEnd::Whole);
  Evidence_.Findings_.IsLikely_ = true;
  checkEnd(ResponseEnd::Broken);
}

// Guards against counting bytes of another response as a part of the body: the
// body's own last bytes then follow its end.
TEST(ResponseEnd, BytesBehindTheResponseBreak) {
  Evidence_.StrayBytes_ = 1;
  checkEnd(ResponseEnd::Broken);
  Evidence_.WasHeld_ = true;
  checkEnd(ResponseEnd::Broken);
}

TEST(ResponseEnd, LineBreaksBehindAreNotStray) {
  BytesBehindResponse Breaks;
  Breaks.add("\r\n");
  CHECK_EQUAL(0, Breaks.strayBytes());
  Breaks.add("\r\nHTTP/1.1 200");
  CHECK_EQUAL(0, Breaks.strayBytes());
}

// Guards against taking the fields of another response that broke off in the
// head.
TEST(ResponseEnd, HeadThatHoldsAnotherBreaks) {
  Evidence_.HeadHoldsAnother_ = true;
  checkEnd(ResponseEnd::Broken);
}

TEST(ResponseEnd, BodyWithTheProtocolsNameIsHeld) {
  Evidence_.Findings_.HasProtocolName_ = true;
  Evidence_.Findings_.HasStatusLine_ = true;
  checkEnd(ResponseEnd::Hold);
  Evidence_.WasHeld_ = true;
  checkEnd(ResponseEnd::Whole);
  Evidence_.Framing_ = BodyFraming::UntilClose;
  checkEnd(ResponseEnd::Broken);
}

// Guards against taking any end of a connection for the end of an answer
// without a length.
TEST(ResponseEnd, EndThatWasNotToBeExpectedBreaks) {
  Evidence_.Framing_ = BodyFraming::UntilClose;
  Evidence_.IsConnectionEnded_ = true;
  checkEnd(ResponseEnd::Whole);
  Evidence_.AnnouncedEnd_ = AnnouncedEnd::KeepOpen;
  checkEnd(ResponseEnd::Broken);
}

// Guards against taking the end of a connection for a proof.
TEST(ResponseEnd, OnlyADeclaredServerEndsResponsesWithTheConnection) {
  CHECK(unprovableReason(BodyFraming::UntilClose, false) != nullptr);
  POINTERS_EQUAL(nullptr, unprovableReason(BodyFraming::UntilClose, true));
  for (const BodyFraming Framing : {BodyFraming::Length, BodyFraming::Chunked})
    POINTERS_EQUAL(nullptr, unprovableReason(Framing, false));
}
