// Tests the choice of the answers that are dropped.

#include "kumquatpitch/unread-answers.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;

TEST_GROUP(UnreadAnswers) {
  UnreadAnswers Answers_{100};
  std::string Dropped_;

  std::uint64_t add(char Name, std::size_t Bytes) {
    return Answers_.add(Bytes, [this, Name] { Dropped_.push_back(Name); });
  }
};

TEST(UnreadAnswers, OldestAreDroppedBeyondTheLimit) {
  add('a', 40);
  add('b', 40);
  add('c', 20);
  STRCMP_EQUAL("", Dropped_.c_str());
  add('d', 60);
  STRCMP_EQUAL("ab", Dropped_.c_str());
  CHECK_EQUAL(80, Answers_.bytes());
  CHECK_EQUAL(2, Answers_.dropped());
}

TEST(UnreadAnswers, AnswersThatWereReadDoNotCount) {
  const std::uint64_t Read = add('a', 90);
  Answers_.remove(Read);
  Answers_.remove(Read);
  add('b', 90);
  STRCMP_EQUAL("", Dropped_.c_str());
  CHECK_EQUAL(90, Answers_.bytes());
}

// Guards against an answer above the limit that no caller could ever get.
TEST(UnreadAnswers, NewestStaysWhateverItsSize) {
  add('a', 10);
  add('b', 500);
  STRCMP_EQUAL("a", Dropped_.c_str());
  CHECK_EQUAL(500, Answers_.bytes());
}
