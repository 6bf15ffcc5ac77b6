// Decisions about callers' requests on one host.

#include "kumquatpitch/gateway-core.h"

#include "manual-time.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

static VirtualRoute route(const char *Prefix, bool Idempotent,
                          std::uint32_t Priority = 1) {
  VirtualRoute Made;
  Made.Name_ = Prefix;
  Made.Host_ = "h.example";
  Made.Prefix_ = Prefix;
  Made.Shares_ = {ServiceShare{ServiceName("desk"), 1}};
  Made.Idempotent_ = Idempotent;
  Made.Timeout_ = ms(2'000);
  Made.Objective_ = ms(1'000);
  Made.MaxTargets_ = 2;
  Made.Priority_ = Priority;
  return Made;
}

TEST_GROUP(GatewayCore) {
  SeededRandom Random_{3};
  GatewayCore Core_{GatewayTerms{HostId("h1"), FailureDomain("ikeja"), 0.7, 0.2,
                                 64, ms(10'000)},
                    Random_};
  std::int64_t Now_ = 100'000;

  void setup() override {
    RoutingConfig Config;
    Config.Version_ = 1;
    Config.Routes_ = {route("/look/", true), route("/book/", false, 0),
                      route("/swap/", false, 2), route("/split/", true)};
    Config.Routes_[3].Shares_ = {ServiceShare{ServiceName("desk"), 90},
                                 ServiceShare{ServiceName("room"), 10}};
    Core_.setTable(std::make_shared<const RouteTable>(Config));
    Core_.setGroups(
        {{ServiceName("desk"), {{HostId("h1"), FailureDomain("ikeja")}}}}, 1);
    useTargets(3);
  }

  void useTargets(int Count) {
    std::map<TargetId, TargetEntry> Targets;
    for (int Index = 0; Index < Count; ++Index) {
      TargetEntry Each;
      Each.Id_ = TargetId("t" + std::to_string(Index));
      Each.Service_ = ServiceName("desk");
      Each.Domain_ = FailureDomain("ikeja");
      Each.Slots_ = 3;
      Targets[Each.Id_] = Each;
    }
    Core_.setTargets(Targets, atMs(Now_));
  }

  std::shared_ptr<GatewayRequest> admit(const char *Path,
                                        std::int64_t LeftMs = 2'000) {
    const std::variant<GatewayRefusal, std::shared_ptr<GatewayRequest>>
        Admitted =
            Core_.admit(RequestHead{"h.example", Path, ms(LeftMs)}, atMs(Now_));
    CHECK(std::holds_alternative<std::shared_ptr<GatewayRequest>>(Admitted));
    return std::get<std::shared_ptr<GatewayRequest>>(Admitted);
  }

  GatewayAttempt place(const std::shared_ptr<GatewayRequest> &Request) {
    const Placement Placed = Core_.place(Request, atMs(Now_));
    CHECK(std::holds_alternative<GatewayAttempt>(Placed));
    return std::get<GatewayAttempt>(Placed);
  }

  GatewayDecision end(const std::shared_ptr<GatewayRequest> &Request,
                      const GatewayAttempt &Attempt, AttemptOutcome Outcome,
                      std::int64_t TookMs) {
    Now_ += TookMs;
    return Core_.attemptEnded(*Request, Attempt, Outcome, std::nullopt,
                              atMs(Now_));
  }

  /// Fills all slots; gives the requests that hold them.
  std::vector<std::pair<std::shared_ptr<GatewayRequest>, GatewayAttempt>>
  fill() {
    std::vector<std::pair<std::shared_ptr<GatewayRequest>, GatewayAttempt>>
        Held;
    for (;;) {
      const std::shared_ptr<GatewayRequest> Request = admit("/look/x");
      const Placement Placed = Core_.place(Request, atMs(Now_));
      if (!std::holds_alternative<GatewayAttempt>(Placed)) {
        Core_.withdraw(*Request);
        return Held;
      }
      Held.emplace_back(Request, std::get<GatewayAttempt>(Placed));
    }
  }
};

TEST(GatewayCore, UnknownRoutesAndMissingConfigurationsAreToldApart) {
  const std::variant<GatewayRefusal, std::shared_ptr<GatewayRequest>> Unknown =
      Core_.admit(RequestHead{"h.example", "/none/", {}}, atMs(Now_));
  CHECK_EQUAL(404, std::get<GatewayRefusal>(Unknown).Status_);
  GatewayCore Empty(GatewayTerms(), Random_);
  const std::variant<GatewayRefusal, std::shared_ptr<GatewayRequest>> NotYet =
      Empty.admit(RequestHead{"h.example", "/look/", {}}, atMs(Now_));
  CHECK_EQUAL(503, std::get<GatewayRefusal>(NotYet).Status_);
  CHECK(std::get<GatewayRefusal>(NotYet).RetryAfter_.has_value());
}

// Guards against a booking that runs twice.
TEST(GatewayCore, RequestsThatMayHaveRunAreNotSentAgain) {
  for (const AttemptOutcome Outcome :
       {AttemptOutcome::Broken, AttemptOutcome::Failure,
        AttemptOutcome::TimedOut}) {
    const std::shared_ptr<GatewayRequest> Request = admit("/book/x");
    const GatewayDecision Next = end(Request, place(Request), Outcome, 5);
    CHECK(Next.Step_ != GatewayStep::Resend);
    if (Next.Step_ == GatewayStep::Fail)
      CHECK(Next.Refusal_.Status_ != 503 && Next.Refusal_.Status_ != 429);
  }
}

// Guards against a host that has just started losing several bookings at each
// gray target before it ejects it.
TEST(GatewayCore, EarlyFailureEjectsBeforeLatenciesAreKnown) {
  const std::shared_ptr<GatewayRequest> Request = admit("/book/x");
  const GatewayAttempt First = place(Request);
  const GatewayDecision Next = end(Request, First, AttemptOutcome::Failure, 3);
  CHECK(Next.News_ == TargetNews::Failed);
  CHECK(Core_.balancer(ServiceName("desk"))->isEjected(First.Target_.Id_));
}

TEST(GatewayCore, RequestsThatDidNotRunAreSentToAnotherTarget) {
  const std::shared_ptr<GatewayRequest> Request = admit("/book/x");
  const GatewayAttempt First = place(Request);
  CHECK(end(Request, First, AttemptOutcome::Refused, 2).Step_ ==
        GatewayStep::Resend);
  const GatewayAttempt Second = place(Request);
  CHECK(Second.Target_.Id_ != First.Target_.Id_);
  // The route allows two targets; the refusal says that nothing has run.
  const GatewayDecision Last = end(Request, Second, AttemptOutcome::Refused, 2);
  CHECK(Last.Step_ == GatewayStep::Fail);
  CHECK_EQUAL(503, Last.Refusal_.Status_);
}

// Guards against "not run" being said of a request of which nothing is known.
TEST(GatewayCore, ARefusalAfterADoubtfulAttemptPromisesNothing) {
  const std::shared_ptr<GatewayRequest> Request = admit("/look/x");
  CHECK(end(Request, place(Request), AttemptOutcome::Broken, 2).Step_ ==
        GatewayStep::Resend);
  const GatewayDecision Last =
      end(Request, place(Request), AttemptOutcome::Refused, 2);
  CHECK(Last.Step_ == GatewayStep::Fail);
  CHECK_EQUAL(504, Last.Refusal_.Status_);
}

TEST(GatewayCore, ResendsStayWithinTheBudget) {
  int Resends = 0;
  for (int Count = 0; Count < 400; ++Count) {
    const std::shared_ptr<GatewayRequest> Request = admit("/look/x");
    const Placement Placed = Core_.place(Request, atMs(Now_));
    if (!std::holds_alternative<GatewayAttempt>(Placed)) {
      Core_.withdraw(*Request);
      Now_ += 10;
      continue;
    }
    const GatewayAttempt First = std::get<GatewayAttempt>(Placed);
    if (end(Request, First, AttemptOutcome::Broken, 10).Step_ ==
        GatewayStep::Resend)
      ++Resends;
  }
  // 400 requests within one window: 0.2 of them and half of 64.
  CHECK(Resends <= 400 / 5 + 32);
}

TEST(GatewayCore, SplitsHoldTheirWeights) {
  int Room = 0;
  for (int Count = 0; Count < 300; ++Count)
    if (admit("/split/x")->Service_ == ServiceName("room"))
      ++Room;
  CHECK(Room >= 29);
  CHECK(Room <= 31);
}

// Guards against every host sending its first request of a split to the same
// service.
TEST(GatewayCore, SplitsOfManyHostsHoldTheirWeightsTogether) {
  int Room = 0;
  for (int Host = 0; Host < 400; ++Host) {
    Core_.setTable(Core_.table());
    for (int Count = 0; Count < 3; ++Count)
      if (admit("/split/x")->Service_ == ServiceName("room"))
        ++Room;
  }
  CHECK(Room >= 60);
  CHECK(Room <= 180);
}

// Load: more requests than slots. Those of the more urgent kind, and among them
// those that can still meet their objective, go first.
TEST(GatewayCore, WaitingRequestsGoByWhatTheyCanStillEarn) {
  std::vector<std::pair<std::shared_ptr<GatewayRequest>, GatewayAttempt>> Held =
      fill();
  const std::shared_ptr<GatewayRequest> Late = admit("/book/late");
  CHECK(std::holds_alternative<WaitsForRoom>(Core_.place(Late, atMs(Now_))));
  Now_ += 990;
  const std::shared_ptr<GatewayRequest> Swap = admit("/swap/x");
  Core_.place(Swap, atMs(Now_));
  const std::shared_ptr<GatewayRequest> Book = admit("/book/x");
  Core_.place(Book, atMs(Now_));
  Now_ += 15;
  std::vector<const GatewayRequest *> Order;
  for (std::size_t Index = 0; Index < 3; ++Index) {
    Core_.attemptEnded(*Held[Index].first, Held[Index].second,
                       AttemptOutcome::Success, std::nullopt, atMs(Now_));
    for (const std::pair<std::shared_ptr<GatewayRequest>, Placement> &Each :
         Core_.release(atMs(Now_)))
      if (std::holds_alternative<GatewayAttempt>(Each.second))
        Order.push_back(Each.first.get());
  }
  CHECK_EQUAL(3, Order.size());
  CHECK(Order[0] == Book.get());
  CHECK(Order[1] == Swap.get());
  CHECK(Order[2] == Late.get());
}

// Load: a backlog that cannot be worked off. Whoever has no chance is refused
// at once, as not run, instead of waiting for the deadline.
TEST(GatewayCore, HopelessRequestsAreRefusedAtOnce) {
  std::vector<std::pair<std::shared_ptr<GatewayRequest>, GatewayAttempt>> Held =
      fill();
  for (std::size_t Index = 0; Index < 4; ++Index)
    end(Held[Index].first, Held[Index].second, AttemptOutcome::Success, 500);
  fill();
  for (int Count = 0; Count < 300; ++Count) {
    const std::shared_ptr<GatewayRequest> Request = admit("/book/x");
    Core_.place(Request, atMs(Now_));
  }
  std::size_t Refused = 0;
  for (const std::pair<std::shared_ptr<GatewayRequest>, Placement> &Each :
       Core_.release(atMs(Now_ + 10)))
    if (const GatewayRefusal *Why = std::get_if<GatewayRefusal>(&Each.second)) {
      CHECK_EQUAL(503, Why->Status_);
      CHECK(Why->RetryAfter_.has_value());
      ++Refused;
    }
  CHECK(Refused > 200);
  CHECK(Refused < 300);
}

// Load: all targets fail. Requests wait for a trial to succeed; one that may
// run again is sent at the end all the same, a booking is refused as not run.
TEST(GatewayCore, AllTargetsEjected) {
  for (int Index = 0; Index < 3; ++Index) {
    const std::shared_ptr<GatewayRequest> Request = admit("/book/x");
    end(Request, place(Request), AttemptOutcome::Broken, 1);
  }
  const std::shared_ptr<GatewayRequest> Look = admit("/look/x", 400);
  const std::shared_ptr<GatewayRequest> Book = admit("/book/x", 400);
  CHECK(std::holds_alternative<WaitsForRoom>(Core_.place(Look, atMs(Now_))));
  CHECK(std::holds_alternative<WaitsForRoom>(Core_.place(Book, atMs(Now_))));
  Now_ += 395;
  for (const std::pair<std::shared_ptr<GatewayRequest>, Placement> &Each :
       Core_.release(atMs(Now_)))
    if (Each.first == Book)
      CHECK_EQUAL(503, std::get<GatewayRefusal>(Each.second).Status_);
}

TEST(GatewayCore, SlowRepeatableRequestsAreHedgedOnce) {
  const std::shared_ptr<GatewayRequest> Request = admit("/look/x");
  const GatewayAttempt First = place(Request);
  CHECK(First.HedgeAt_.has_value());
  Now_ += 900;
  const std::optional<GatewayAttempt> Second =
      Core_.placeHedge(*Request, atMs(Now_));
  CHECK(Second.has_value());
  CHECK(Second->Target_.Id_ != First.Target_.Id_);
  CHECK_FALSE(Core_.placeHedge(*Request, atMs(Now_)).has_value());
  CHECK(end(Request, First, AttemptOutcome::Broken, 5).Step_ ==
        GatewayStep::Wait);
  CHECK(end(Request, *Second, AttemptOutcome::Success, 5).Step_ ==
        GatewayStep::Deliver);
}

// Guards against a path cut at one host being told as a target's failure.
TEST(GatewayCore, PathFaultsAreToldAsDoubts) {
  const std::shared_ptr<GatewayRequest> Request = admit("/book/x");
  const GatewayDecision Next =
      end(Request, place(Request), AttemptOutcome::NotConnected, 300);
  CHECK(Next.Step_ == GatewayStep::Resend);
  CHECK(Next.News_ == TargetNews::Doubtful);
}

// Guards against ejecting targets whose requests ran into their deadline.
TEST(GatewayCore, DeadlineFailuresAreNoEvidence) {
  const std::shared_ptr<GatewayRequest> Request = admit("/book/x", 500);
  const GatewayAttempt Attempt = place(Request);
  CHECK_FALSE(
      end(Request, Attempt, AttemptOutcome::Failure, 490).News_.has_value());
  CHECK_EQUAL(0, Core_.balancer(ServiceName("desk"))->ejectedCount());
}
