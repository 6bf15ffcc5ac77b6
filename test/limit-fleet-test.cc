// Tests of the workspaces' limits over a fleet, in virtual time: what a
// workspace gets of its limit under the loads that move it between hosts, and
// that it gets no more, also while hosts are lost or cut off.

#include "limit-fleet.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

namespace {

constexpr Duration Window = std::chrono::seconds(5);

/// What the rule allows in a window, with the tolerance of LimitFleet.
double allowedInWindow(double Rate, double Burst) {
  return (Rate * toSeconds(Window) + Burst) * 1.25 + 20;
}

void checkServed(LimitFleet &Fleet, TimePoint From, double Rate,
                 double MinShare) {
  const double Limit = Rate * toSeconds(Fleet.now() - From);
  const double Ran = static_cast<double>(Fleet.ranSince(From));
  const std::string Message = std::to_string(Ran) + " of " +
                              std::to_string(Limit) + " served, " +
                              std::to_string(Fleet.messages()) + " messages";
  CHECK_TEXT(Ran >= MinShare * Limit, Message.c_str());
}

void checkWithin(const LimitFleet &Fleet, double Allowed) {
  const std::string Message = std::to_string(Fleet.mostInWindow(Window)) +
                              " in a window of " + std::to_string(Allowed);
  CHECK_TEXT(static_cast<double>(Fleet.mostInWindow(Window)) <= Allowed,
             Message.c_str());
}

/// Rate, burst, the tokens that outlive the window, and one more.
double limitInWindow(double Rate, double Burst) {
  return Rate * toSeconds(Window + LimitTokenLifetime) + Burst + 1;
}

} // namespace

TEST_GROUP(LimitFleet){};

// Answers the load of a small workspace whose requests reach all hosts.
TEST(LimitFleet, OneASecondOverNinetySevenHostsGetsItsLimit) {
  LimitFleet Fleet(97, 1, 1, 0);
  const TimePoint From = Fleet.now();
  Fleet.play(ms(60'000), 2, [&] { return Fleet.random(Fleet.size()); });
  checkServed(Fleet, From, 1, 0.95);
  checkWithin(Fleet, limitInWindow(1, 1));
}

TEST(LimitFleet, OneASecondGetsItsLimitWithLoss) {
  LimitFleet Fleet(97, 1, 1, 0.05);
  const TimePoint From = Fleet.now();
  Fleet.play(ms(60'000), 2, [&] { return Fleet.random(Fleet.size()); });
  checkServed(Fleet, From, 1, 0.90);
  checkWithin(Fleet, allowedInWindow(1, 1));
}

// Answers the load of a workspace that moves from one host to another, as after
// a kill or a change of the hosts that callers are given.
TEST(LimitFleet, LoadThatMovesToAnotherHostGetsItsLimit) {
  LimitFleet Fleet(97, 20, 20, 0);
  const TimePoint From = Fleet.now();
  for (std::size_t Second = 0; Second < 20; ++Second)
    Fleet.play(ms(1'000), 30, [&] { return 40 + Second; });
  checkServed(Fleet, From, 20, 0.95);
  checkWithin(Fleet, limitInWindow(20, 20));
}

TEST(LimitFleet, LoadThatMovesGetsItsLimitWithLoss) {
  LimitFleet Fleet(97, 20, 20, 0.05);
  const TimePoint From = Fleet.now();
  for (std::size_t Second = 0; Second < 20; ++Second)
    Fleet.play(ms(1'000), 30, [&] { return 40 + Second; });
  checkServed(Fleet, From, 20, 0.90);
  checkWithin(Fleet, allowedInWindow(20, 20));
}

// Answers the load of a workspace at seven times its limit while the fleet is
// split and heals.
TEST(LimitFleet, HotWorkspaceStaysWithinItsLimitThroughASplit) {
  LimitFleet Fleet(40, 50, 50, 0);
  const auto AnyHost = [&] { return Fleet.random(Fleet.size()); };
  const TimePoint From = Fleet.now();
  Fleet.play(ms(4'000), 350, AnyHost);
  for (std::size_t Index = 0; Index < 14; ++Index)
    Fleet.setSide(Index, 1);
  Fleet.play(ms(1'500), 350, AnyHost);
  Fleet.detect();
  Fleet.play(ms(10'500), 350, AnyHost);
  for (std::size_t Index = 0; Index < 14; ++Index)
    Fleet.setSide(Index, 0);
  Fleet.detect();
  Fleet.play(ms(6'000), 350, AnyHost);
  checkServed(Fleet, From, 50, 0.90);
  checkWithin(Fleet, allowedInWindow(50, 50));
}

// Answers the loss of the coordinator under the usual load of a workspace.
TEST(LimitFleet, LossOfTheCoordinatorStaysWithinTheLimit) {
  LimitFleet Fleet(30, 32, 32, 0);
  const auto CallerHost = [&] { return 20 + Fleet.random(6); };
  Fleet.play(ms(3'000), 20, CallerHost);
  const TimePoint From = Fleet.now();
  Fleet.kill(0);
  Fleet.play(ms(1'500), 20, CallerHost);
  Fleet.detect();
  Fleet.play(ms(3'500), 20, CallerHost);
  Fleet.restart(0);
  Fleet.detect();
  Fleet.play(ms(5'000), 20, CallerHost);
  // Offered 20 a second; the aim is 95 in 100 of them.
  checkServed(Fleet, From, 20, 0.95);
  checkWithin(Fleet, allowedInWindow(32, 32));
}

// Guards against hosts that use more than the whole limit while all of them
// restart.
TEST(LimitFleet, RestartOfAllHostsKeepsThePartsWithinTheWhole) {
  LimitFleet Fleet(30, 20, 20, 0);
  const auto AnyHost = [&] { return Fleet.random(Fleet.size()); };
  Fleet.play(ms(2'000), 140, AnyHost);
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
    Fleet.restart(Index);
  Fleet.detect();
  for (int Step = 0; Step < 60; ++Step) {
    Fleet.play(ms(100), 140, AnyHost);
    CHECK(Fleet.totalShare() <= 1 + 1e-9);
  }
  checkWithin(Fleet, allowedInWindow(20, 20));
  const TimePoint From = Fleet.now();
  Fleet.play(ms(4'000), 140, AnyHost);
  checkServed(Fleet, From, 20, 0.95);
}

// Guards against a lowered limit that binds later than one window.
TEST(LimitFleet, LowerLimitBindsAfterOneWindow) {
  LimitFleet Fleet(30, 40, 40, 0);
  const auto AnyHost = [&] { return Fleet.random(Fleet.size()); };
  Fleet.play(ms(3'000), 100, AnyHost);
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
    Fleet.setLimit(Index, 10, 10);
  Fleet.play(Window, 100, AnyHost);
  const TimePoint From = Fleet.now();
  Fleet.play(Window, 100, AnyHost);
  CHECK(static_cast<double>(Fleet.ranSince(From)) <= limitInWindow(10, 10));
}

// Guards against an order of losses, splits, suspensions and restarts that
// lets three hosts together pass the limit. Each seed is another order.
TEST(LimitFleet, RandomFaultsKeepThreeHostsWithinTheLimit) {
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed) {
    LimitFleet Fleet(3, 40, 40, 0.1, Seed);
    for (int Step = 0; Step < 30; ++Step) {
      const std::size_t Host = Fleet.random(3);
      switch (Fleet.random(6)) {
      case 0:
        Fleet.kill(Host);
        break;
      case 1:
        Fleet.restart(Host);
        break;
      case 2:
        Fleet.setSide(Host, static_cast<int>(Fleet.random(2)));
        break;
      case 3:
        if (Fleet.isRunning(Host))
          Fleet.setSuspended(Host, true);
        break;
      case 4:
        if (Fleet.isRunning(Host))
          Fleet.setSuspended(Host, false);
        break;
      default:
        Fleet.detect();
        break;
      }
      for (int Part = 0; Part < 4; ++Part) {
        Fleet.play(ms(100), 280, [&] { return Fleet.random(3); });
        CHECK(Fleet.totalShare() <= 1 + 1e-9);
      }
    }
    checkWithin(Fleet, allowedInWindow(40, 40));
  }
}
