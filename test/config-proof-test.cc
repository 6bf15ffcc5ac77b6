// Tests what a host learns from reads of the store about how recent its
// configuration is, and when it reads only for that.

#include "kumquatpitch/admission/config-proof.h"

#include "manual-time.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

TEST_GROUP(ConfigProof) {
  ConfigProof Proof_{ms(5'000)};

  void read(std::int64_t SentMs, std::int64_t EndedMs, std::uint64_t Version,
            std::uint64_t Era = 1) {
    Proof_.readEnded(ConfigReading{atMs(SentMs), Era, Version}, atMs(EndedMs));
  }
};

// Guards against counting from the end of a slow read: a withdrawal may have
// been confirmed while its answer was on the way.
TEST(ConfigProof, CountsFromTheSendingOfTheRead) {
  CHECK_FALSE(Proof_.provenAt().has_value());
  Proof_.setVersion(3);
  read(100, 900, 3);
  CHECK(Proof_.provenAt() == atMs(100));
  CHECK(Proof_.age(atMs(1'000)) == ms(900));
}

TEST(ConfigProof, EarlierReadsChangeNothing) {
  Proof_.setVersion(3);
  read(500, 510, 3);
  read(100, 900, 3);
  CHECK(Proof_.provenAt() == atMs(500));
}

// Guards against taking the copy of a restored store for the newest state while
// the operator has not yet written again what the copy does not have.
TEST(ConfigProof, RestoredStoreProvesNothingUntilItIsWrittenAgain) {
  Proof_.setVersion(3);
  read(100, 110, 3);
  read(1'000, 1'010, 3, 2);
  read(3'209, 3'220, 3, 2);
  CHECK(Proof_.provenAt() == atMs(100));
  read(3'210, 3'220, 3, 2);
  CHECK(Proof_.provenAt() == atMs(3'210));
}

// Guards against the same on a host that has just started.
TEST(ConfigProof, FirstReadOfARestoredStoreProvesNothing) {
  Proof_.setVersion(3);
  read(0, 10, 3, 2);
  CHECK_FALSE(Proof_.provenAt().has_value());
  read(2'300, 2'310, 3, 2);
  CHECK(Proof_.provenAt() == atMs(2'300));
}

TEST(ConfigProof, StoreWithAnOlderConfigurationProvesNothing) {
  Proof_.setVersion(3);
  read(100, 110, 2);
  CHECK_FALSE(Proof_.provenAt().has_value());
}

TEST(ConfigProof, ReadIsNeededFromHalfOfTheRevocationTimeOn) {
  CHECK(Proof_.needsRead(atMs(0)));
  Proof_.setVersion(3);
  read(100, 110, 3);
  CHECK_FALSE(Proof_.needsRead(atMs(2'599)));
  CHECK(Proof_.needsRead(atMs(2'600)));
}

// Guards against a host that reads without a pause because its reads prove
// nothing.
TEST(ConfigProof, ReadsForAProofArePaced) {
  Proof_.readStarted(atMs(0));
  CHECK_FALSE(Proof_.needsRead(atMs(1'249)));
  CHECK(Proof_.needsRead(atMs(1'250)));
}

TEST(ConfigProof, NoReadIsNeededWithoutARevocationTime) {
  CHECK_FALSE(ConfigProof(Duration::zero()).needsRead(atMs(60'000)));
}
