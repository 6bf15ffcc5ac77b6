// Tests what logs and counters tell of answers.

#include "kumquatpitch/call-report.h"

#include "log-pipe-fixture.h"

using namespace kumquatpitch;
using namespace kumquatpitch::test;

TEST_GROUP_BASE(CallReport, LogPipeFixture) {
  CallResult Result_;
  Metrics Metrics_;

  void setup() override {
    LogPipeFixture::setup();
    Result_.End_ = CallEnd::Answered;
    Result_.Answer_.Status_ = 200;
    Result_.Answer_.Headers_ = {{"Content-Length", "4"}};
    Result_.Answer_.Body_ = "body";
  }

  std::uint64_t counted(const std::string &Name) {
    countAnswer(Metrics_, Result_);
    return Metrics_.snapshot(Timers_.now()).Counters_[Name];
  }

  void checkText(const char *Expected) const {
    STRCMP_EQUAL(Expected, describeAnswer(Result_, "1,0,3").c_str());
  }
};

TEST(CallReport, PlainAnswerIsRoutine) {
  CHECK(isRoutineAnswer(Result_));
  checkText("status 200 load 1,0,3 length 4");
  CHECK_EQUAL(1, counted("answers_length"));
}

TEST(CallReport, AnswerThatEndsWithItsConnectionTellsWhatWasAnnounced) {
  Result_.Answer_.Headers_ = {{"Keep-Alive", "timeout=5"}};
  CHECK(!isRoutineAnswer(Result_));
  checkText("status 200 load 1,0,3 until_close 4 announced keep_open");
  CHECK_EQUAL(1, counted("answers_until_close_announced_keep_open"));
}

TEST(CallReport, AnswerWithStrayBytesIsNotRoutine) {
  Result_.StrayBytes_ = 17;
  CHECK(!isRoutineAnswer(Result_));
  checkText("status 200 load 1,0,3 length 4 stray 17");
  CHECK_EQUAL(1, counted("answers_with_stray_bytes"));
}

TEST(CallReport, HeldAnswerIsNotRoutine) {
  Result_.WasHeld_ = true;
  CHECK(!isRoutineAnswer(Result_));
  checkText("status 200 load 1,0,3 length 4 held");
  CHECK_EQUAL(1, counted("answers_held"));
}

TEST(CallReport, AnswerBehindAnotherRequestsIsNotRoutine) {
  Result_.SkippedResponses_ = 1;
  CHECK(!isRoutineAnswer(Result_));
  checkText("status 200 load 1,0,3 length 4 skipped 1");
}

TEST(CallReport, BytesOnAnIdleConnectionNameTheLastRequest) {
  EventLog Log(Timers_, Pipe_[1], LogLevel::Info);
  reportIdleBytes(
      Log, Metrics_,
      IdleBytes{Endpoint{"127.0.0.1", 9}, "id1", "HTTP/1.1 200 OK", 90});
  CHECK(flushAndRead(Log).find("attempt idle_bytes id=id1 address=127.0.0.1:9 "
                               "bytes=90 response=1") != std::string::npos);
  CHECK_EQUAL(1, Metrics_.snapshot(Timers_.now())
                     .Counters_["idle_connections_with_"
                                "bytes"]);
}
