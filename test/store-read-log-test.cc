// Tests which lines reads of the store leave.

#include "kumquatpitch/store-read-log.h"

#include "log-pipe-fixture.h"

using namespace kumquatpitch;
using namespace kumquatpitch::test;

TEST_GROUP_BASE(StoreReadLog, LogPipeFixture){};

// Guards against entries that are left out without a trace, and against a line
// for each listing.
TEST(StoreReadLog, UnusableEntryIsLoggedOncePerRevision) {
  EventLog Log(Timers_, Pipe_[1], LogLevel::Info);
  StoreReadLog Reads(Log);
  PublishedRead Read;
  Read.Status_ = ReadStatus::Ok;
  Read.Unusable_ = {
      UnusableEntry{TargetId("odd"), 412, std::string(100'000, 'x')}};
  Reads.write(Read, true);
  const std::string First = flushAndRead(Log);
  CHECK(First.find("warning targets entry_unusable target=odd revision=412") !=
        std::string::npos);
  CHECK(First.size() < 1'000);
  Reads.write(Read, true);
  CHECK(flushAndRead(Log).find("entry_unusable") == std::string::npos);
  Read.Unusable_[0].Revision_ = 413;
  Reads.write(Read, false);
  CHECK(flushAndRead(Log).find("revision=413") != std::string::npos);
}

TEST(StoreReadLog, LossAndReturnAreLogged) {
  EventLog Log(Timers_, Pipe_[1], LogLevel::Info);
  StoreReadLog Reads(Log);
  PublishedRead Read;
  Read.Status_ = ReadStatus::Failed;
  Reads.write(Read, false);
  Reads.write(Read, false);
  Read.Status_ = ReadStatus::Ok;
  Reads.write(Read, false);
  const std::string Lines = flushAndRead(Log);
  const std::size_t Lost = Lines.find("store lost status=failed");
  CHECK(Lost != std::string::npos);
  CHECK_EQUAL(std::string::npos, Lines.find("store lost", Lost + 1));
  CHECK(Lines.find("store regained status=ok") > Lost);
}
