// Tests AdmissionQueue: bounds, load shedding, and the order in which requests
// are dropped.

#include "kumquatpitch/admission-queue.h"

#include "manual-time.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

TEST_GROUP(AdmissionQueue) {
  AdmissionQueue Queue_;

  void setup() override { Queue_.setTerms({4, ms(100)}, 1); }

  /// Makes the typical service time equal to `Span`.
  void setTypicalServiceTime(Duration Span) {
    for (int I = 0; I < 200; ++I)
      Queue_.recordServiceTime(Span);
  }

  void checkOffer(ResultCode Expected, QueueKey Key, TimePoint Deadline,
                  TimePoint Now) {
    STRCMP_EQUAL(resultCodeName(Expected),
                 resultCodeName(Queue_.offer(Key, Deadline, Now)));
  }
};

TEST(AdmissionQueue, IsFirstInFirstOut) {
  for (QueueKey Key = 1; Key <= 3; ++Key)
    checkOffer(ResultCode::Ok, Key, atMs(1000), atMs(0));
  Queue_.remove(2);
  CHECK(Queue_.next(atMs(1)) == QueueKey{1});
  CHECK(Queue_.next(atMs(1)) == QueueKey{3});
  CHECK(!Queue_.next(atMs(1)));
}

// Guards against a queue that grows beyond the contract's limit.
TEST(AdmissionQueue, RefusesRequestsWhenFull) {
  for (QueueKey Key = 1; Key <= 4; ++Key)
    checkOffer(ResultCode::Ok, Key, atMs(1000), atMs(0));
  checkOffer(ResultCode::QueueFull, 5, atMs(1000), atMs(0));
}

// Guards against refusing a request because the queue is full of requests that
// will miss their deadline anyway. Those are dropped, oldest first.
TEST(AdmissionQueue, DropsLateRequestsBeforeRefusingOthers) {
  setTypicalServiceTime(ms(10));
  Queue_.setTerms({4, ms(100)}, 10);
  const int Deadlines[] = {30, 1000, 31, 1000};
  for (QueueKey Key = 0; Key < 4; ++Key)
    checkOffer(ResultCode::Ok, Key, atMs(Deadlines[Key]), atMs(0));
  checkOffer(ResultCode::Ok, 4, atMs(1000), atMs(22));
  const std::vector<DroppedRequest> Dropped = Queue_.takeDropped(atMs(22));
  CHECK_EQUAL(2, Dropped.size());
  CHECK((Dropped[0] == DroppedRequest{0, ResultCode::DeadlinePassed}));
  CHECK((Dropped[1] == DroppedRequest{2, ResultCode::DeadlinePassed}));
  CHECK(Queue_.next(atMs(22)) == QueueKey{1});
}

// Guards against queueing requests whose estimated wait is already too long for
// the contract or for their deadline.
TEST(AdmissionQueue, ShedsOnEstimatedWait) {
  setTypicalServiceTime(ms(40));
  checkOffer(ResultCode::DeadlinePassed, 1, atMs(5), atMs(5));
  checkOffer(ResultCode::Ok, 1, atMs(1000), atMs(0));
  checkOffer(ResultCode::QueueWaitTooLong, 2, atMs(60), atMs(0));
  checkOffer(ResultCode::Ok, 3, atMs(1000), atMs(0));
  checkOffer(ResultCode::Ok, 4, atMs(1000), atMs(0));
  checkOffer(ResultCode::QueueWaitTooLong, 5, atMs(1000), atMs(0));
}

// Guards against a request that waits longer than the contract allows because
// the estimate was too low.
TEST(AdmissionQueue, DropsAfterTheContractsMaxWait) {
  checkOffer(ResultCode::Ok, 1, atMs(1000), atMs(0));
  CHECK(Queue_.takeDropped(atMs(100)).empty());
  const std::vector<DroppedRequest> Dropped = Queue_.takeDropped(atMs(101));
  CHECK_EQUAL(1, Dropped.size());
  CHECK((Dropped[0] == DroppedRequest{1, ResultCode::QueueWaitTooLong}));
}

// Guards against occupying a slot with a request that cannot end in time.
TEST(AdmissionQueue, DoesNotRunRequestsThatWouldMissTheirDeadline) {
  setTypicalServiceTime(ms(40));
  checkOffer(ResultCode::Ok, 1, atMs(60), atMs(0));
  CHECK(!Queue_.next(atMs(30)));
  CHECK_EQUAL(1, Queue_.takeDropped(atMs(30)).size());
}

// Guards against an estimate measured during a stall that keeps all requests
// from running and so is never corrected.
TEST(AdmissionQueue, RecoversFromTooHighAnEstimate) {
  setTypicalServiceTime(ms(2000));
  QueueKey Key = 0;
  int Ran = 0;
  for (int Now = 0; Now < 1000; Now += 10) {
    Queue_.offer(++Key, atMs(Now + 500), atMs(Now));
    Queue_.takeDropped(atMs(Now));
    if (!Queue_.next(atMs(Now)))
      continue;
    ++Ran;
    Queue_.recordServiceTime(ms(5));
  }
  CHECK(Ran >= 85);
}
