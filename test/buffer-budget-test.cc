// Tests the bound of buffers that several holders use together.

#include "kumquatpitch/buffer-budget.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;

TEST_GROUP(BufferBudget) {
  BufferBudget Budget_{100};
  std::uint64_t First_ = 0;
  std::uint64_t Second_ = 0;
};

TEST(BufferBudget, HoldersTogetherStayWithinTheLimit) {
  CHECK(Budget_.resize(First_, 60));
  CHECK_FALSE(Budget_.resize(Second_, 41));
  CHECK_EQUAL(0, Second_);
  CHECK(Budget_.resize(Second_, 40));
  CHECK_EQUAL(100, Budget_.held());
}

// Guards against bytes that stay counted after their holder has given them up.
TEST(BufferBudget, ReleasedBytesAreFreeAgain) {
  CHECK(Budget_.resize(First_, 100));
  CHECK(Budget_.resize(First_, 10));
  CHECK(Budget_.resize(Second_, 90));
  CHECK(Budget_.resize(First_, 0));
  CHECK_EQUAL(90, Budget_.held());
}

// Guards against sums that wrap around.
TEST(BufferBudget, HugeLengthsAreRefused) {
  CHECK(Budget_.resize(First_, 1));
  CHECK_FALSE(Budget_.resize(Second_, UINT64_MAX));
  Budget_.setLimit(0);
  CHECK_FALSE(Budget_.resize(First_, 2));
  CHECK(Budget_.resize(First_, 1));
}
