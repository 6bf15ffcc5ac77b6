// Tests one host's part of a target's rate limit, and its announcement.

#include "kumquatpitch/target-rate-limit.h"

#include "manual-time.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

TEST_GROUP(TargetRateLimit) {
  TargetRateLimit Limit_;

  /// Sends a request whenever it is allowed, every 10 ms; returns their number.
  int sendAllAllowed(std::int64_t FromMs, std::int64_t ToMs) {
    int Sent = 0;
    for (std::int64_t Ms = FromMs; Ms < ToMs; Ms += 10)
      if (Limit_.allowsAttempt(atMs(Ms))) {
        Limit_.attemptStarted(atMs(Ms));
        ++Sent;
      }
    return Sent;
  }
};

TEST(TargetRateLimit, AllowsAllAttemptsWithoutALimit) {
  CHECK_EQUAL(100, sendAllAllowed(0, 1'000));
}

TEST(TargetRateLimit, KeepsItsPartInAnySpan) {
  Limit_.setShare(1.0 / 3, atMs(0));
  Limit_.recordAnswer(6, atMs(0));
  CHECK_EQUAL(0, sendAllAllowed(0, 400));
  CHECK_EQUAL(20, sendAllAllowed(400, 10'400));
  // After a pause, the requests of one second are added, not all of them.
  const int SentAfterPause = sendAllAllowed(20'000, 21'010);
  CHECK_EQUAL(2 + 2, SentAfterPause);
}

// Guards against two hosts that both use one part while they learn at different
// times that it has passed from one to the other.
TEST(TargetRateLimit, NewPartBeginsEmpty) {
  Limit_.setShare(0, atMs(0));
  Limit_.recordAnswer(1, atMs(0));
  CHECK_EQUAL(0, sendAllAllowed(0, 5'000));
  Limit_.setShare(1, atMs(5'000));
  CHECK_EQUAL(0, sendAllAllowed(5'000, 5'990));
  CHECK_EQUAL(1, sendAllAllowed(5'990, 6'500));
}

// Guards against a target that names a limit of 0 and is never asked again.
TEST(TargetRateLimit, TargetThatTakesNothingIsAskedNowAndThen) {
  Limit_.recordAnswer(0, atMs(0));
  const int Sent = sendAllAllowed(0, 60'000);
  CHECK(Sent >= 5 && Sent <= 6);
}

TEST(TargetRateLimit, EndsWithAnAnswerThatNamesNone) {
  Limit_.recordAnswer(1, atMs(0));
  CHECK_FALSE(Limit_.allowsAttempt(atMs(10)));
  Limit_.recordAnswer(NoRateLimit, atMs(20));
  CHECK_EQUAL(10, sendAllAllowed(20, 120));
}

TEST(TargetRateLimit, UpdatesOfPeersCountByTheirAge) {
  Limit_.recordAnswer(NoRateLimit, atMs(1'000));
  Limit_.recordPeer(2, ms(500), atMs(1'400));
  CHECK(Limit_.perSecond(atMs(1'400)) == NoRateLimit);
  Limit_.recordPeer(2, ms(100), atMs(1'400));
  CHECK_EQUAL(2, Limit_.perSecond(atMs(1'400)));
  Limit_.recordPeer(NoRateLimit, ms(200), atMs(1'450));
  CHECK_EQUAL(2, Limit_.perSecond(atMs(1'450)));
}

TEST(TargetRateLimit, AnnouncesAChangeOnce) {
  CHECK_FALSE(Limit_.takeUpdate(atMs(0)).has_value());
  Limit_.recordAnswer(2, atMs(100));
  CHECK(Limit_.takeUpdate(atMs(150)) == ms(50));
  Limit_.recordAnswer(2, atMs(200));
  CHECK_FALSE(Limit_.takeUpdate(atMs(250)).has_value());
  Limit_.recordAnswer(NoRateLimit, atMs(300));
  CHECK(Limit_.takeUpdate(atMs(300)) == ms(0));
}

// Guards against a datagram from every host when all of them learn the limit
// from their own answers.
TEST(TargetRateLimit, DoesNotRepeatWhatAPeerAnnounced) {
  Limit_.recordAnswer(2, atMs(100));
  Limit_.recordPeer(2, ms(80), atMs(120));
  CHECK_FALSE(Limit_.takeUpdate(atMs(200)).has_value());
}

// Guards against hosts that avoid a target for long because they missed the end
// of its limit, or that ask it because they have forgotten the limit.
TEST(TargetRateLimit, RepeatsWhatItsAnswersName) {
  Limit_.recordAnswer(2, atMs(0));
  CHECK(Limit_.takeUpdate(atMs(0)).has_value());
  CHECK_FALSE(Limit_.takeUpdate(atMs(2'500)).has_value()); // No newer answer.
  Limit_.recordAnswer(2, atMs(2'600));
  CHECK(Limit_.takeUpdate(atMs(2'700)) == ms(100));
  Limit_.recordAnswer(NoRateLimit, atMs(3'000));
  CHECK(Limit_.takeUpdate(atMs(3'000)).has_value());
  Limit_.recordAnswer(NoRateLimit, atMs(5'100));
  CHECK(Limit_.takeUpdate(atMs(5'100)).has_value());
  Limit_.recordAnswer(NoRateLimit, atMs(20'000));
  CHECK_FALSE(Limit_.takeUpdate(atMs(20'000)).has_value());
}

// Guards against a target that stays unused because the hosts with a part have
// no requests for it. The others ask it one after the other.
TEST(TargetRateLimit, LimitExpiresInTurnAtHostsWithoutPart) {
  Limit_.setShare(0, atMs(0));
  Limit_.setRank(1, 3);
  Limit_.recordPeer(1, ms(0), atMs(50));
  TargetRateLimit Next;
  Next.setShare(0, atMs(0));
  Next.setRank(2, 3);
  Next.recordPeer(1, ms(0), atMs(50));
  CHECK_FALSE(Limit_.allowsAttempt(atMs(10'000)));
  CHECK(Limit_.allowsAttempt(atMs(10'600)));
  CHECK_FALSE(Next.allowsAttempt(atMs(10'600)));
  // The first one learns that the limit still holds, and announces it.
  Limit_.recordAnswer(1, atMs(10'700));
  CHECK_FALSE(Limit_.allowsAttempt(atMs(10'700)));
  CHECK(Limit_.takeUpdate(atMs(10'800)).has_value());
}
