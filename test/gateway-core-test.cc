// Tests of one host's decisions about callers' requests: routing, resends,
// queueing, refusals and hedging.

#include "kumquatpitch/gateway-core.h"

#include "manual-time.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

static VirtualRoute route(const char *Prefix, bool Idempotent,
                          std::uint32_t Priority = 1) {
  VirtualRoute Route;
  Route.Name_ = Prefix;
  Route.Host_ = "h.example";
  Route.Prefix_ = Prefix;
  Route.Shares_ = {ServiceShare{ServiceName("desk"), 1}};
  Route.Kind_ = Idempotent ? RouteKind::Idempotent : RouteKind::AtMostOnce;
  Route.Timeout_ = ms(2'000);
  Route.Objective_ = ms(1'000);
  Route.MaxTargets_ = 2;
  Route.Priority_ = Priority;
  return Route;
}

TEST_GROUP(GatewayCore) {
  SeededRandom Random_{3};
  GatewayCore Core_{GatewayOptions{HostId("h1"), FailureDomain("ikeja"), 0.7,
                                   0.2, 64, ms(10'000)},
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
    Core_.setCallerHosts(
        {{ServiceName("desk"), {{HostId("h1"), FailureDomain("ikeja")}}}}, 1,
        atMs(Now_));
    useTargets(3);
  }

  void useTargets(int Count) {
    std::map<TargetId, TargetEntry> Targets;
    for (int Index = 0; Index < Count; ++Index) {
      TargetEntry Entry;
      Entry.Id_ = TargetId("t" + std::to_string(Index));
      Entry.Service_ = ServiceName("desk");
      Entry.Domain_ = FailureDomain("ikeja");
      Entry.Slots_ = 3;
      Targets[Entry.Id_] = Entry;
    }
    Core_.setTargets(Targets, atMs(Now_));
  }

  std::shared_ptr<GatewayRequest> admit(const char *Path,
                                        std::int64_t TimeLeftMs = 2'000) {
    const std::variant<GatewayRefusal, std::shared_ptr<GatewayRequest>>
        Admitted = Core_.admit(RequestHead{"h.example", Path, ms(TimeLeftMs)},
                               atMs(Now_));
    CHECK(std::holds_alternative<std::shared_ptr<GatewayRequest>>(Admitted));
    return std::get<std::shared_ptr<GatewayRequest>>(Admitted);
  }

  GatewayAttempt place(const std::shared_ptr<GatewayRequest> &Request) {
    const Placement Placed = Core_.place(Request, atMs(Now_));
    CHECK(std::holds_alternative<GatewayAttempt>(Placed));
    return std::get<GatewayAttempt>(Placed);
  }

  GatewayDecision endAttempt(const std::shared_ptr<GatewayRequest> &Request,
                             const GatewayAttempt &Attempt,
                             AttemptOutcome Outcome, std::int64_t DurationMs) {
    Now_ += DurationMs;
    return Core_.attemptEnded(*Request, Attempt, Outcome, TargetReport(),
                              atMs(Now_));
  }

  /// Fills all slots and returns the requests that occupy them.
  std::vector<std::pair<std::shared_ptr<GatewayRequest>, GatewayAttempt>>
  fillSlots() {
    std::vector<std::pair<std::shared_ptr<GatewayRequest>, GatewayAttempt>>
        Held;
    for (;;) {
      const std::shared_ptr<GatewayRequest> Request = admit("/look/x");
      const Placement Placed = Core_.place(Request, atMs(Now_));
      if (!std::holds_alternative<GatewayAttempt>(Placed)) {
        Core_.removeFromQueue(*Request, atMs(Now_));
        return Held;
      }
      Held.emplace_back(Request, std::get<GatewayAttempt>(Placed));
    }
  }
};

TEST(GatewayCore, DistinguishesUnknownRouteFromMissingConfiguration) {
  const std::variant<GatewayRefusal, std::shared_ptr<GatewayRequest>> Unknown =
      Core_.admit(RequestHead{"h.example", "/none/", {}}, atMs(Now_));
  CHECK_EQUAL(404, std::get<GatewayRefusal>(Unknown).Status_);
  GatewayCore Empty(GatewayOptions(), Random_);
  const std::variant<GatewayRefusal, std::shared_ptr<GatewayRequest>> NotYet =
      Empty.admit(RequestHead{"h.example", "/look/", {}}, atMs(Now_));
  CHECK_EQUAL(503, std::get<GatewayRefusal>(NotYet).Status_);
  CHECK(std::get<GatewayRefusal>(NotYet).RetryAfter_.has_value());
}

// Guards against executing a booking (a request that is not idempotent) twice.
TEST(GatewayCore, NonIdempotentRequestThatMayHaveRunIsNotResent) {
  for (const AttemptOutcome Outcome :
       {AttemptOutcome::Broken, AttemptOutcome::Failure,
        AttemptOutcome::TimedOut}) {
    const std::shared_ptr<GatewayRequest> Request = admit("/book/x");
    const GatewayDecision Next =
        endAttempt(Request, place(Request), Outcome, 5);
    CHECK(Next.Step_ != GatewayStep::Resend);
    if (Next.Step_ == GatewayStep::Fail)
      CHECK(Next.Refusal_.Status_ != 503 && Next.Refusal_.Status_ != 429);
  }
}

// Guards against a host that has just started and has measured no latency yet:
// it must eject a gray target at its first early failure instead of losing
// several bookings at it.
TEST(GatewayCore, EarlyFailureEjectsTargetBeforeLatencyIsMeasured) {
  const std::shared_ptr<GatewayRequest> Request = admit("/book/x");
  const GatewayAttempt First = place(Request);
  const GatewayDecision Next =
      endAttempt(Request, First, AttemptOutcome::Failure, 3);
  CHECK(Next.Observation_ == TargetObservation::Failed);
  CHECK(Core_.balancer(ServiceName("desk"))->isEjected(First.Target_.Id_));
}

TEST(GatewayCore, RefusedRequestIsResentToAnotherTarget) {
  const std::shared_ptr<GatewayRequest> Request = admit("/book/x");
  const GatewayAttempt First = place(Request);
  CHECK(endAttempt(Request, First, AttemptOutcome::Refused, 2).Step_ ==
        GatewayStep::Resend);
  const GatewayAttempt Second = place(Request);
  CHECK(Second.Target_.Id_ != First.Target_.Id_);
  // The route allows two targets. Status 503 says that the request did not run.
  const GatewayDecision Last =
      endAttempt(Request, Second, AttemptOutcome::Refused, 2);
  CHECK(Last.Step_ == GatewayStep::Fail);
  CHECK_EQUAL(503, Last.Refusal_.Status_);
}

// Guards against reporting "not run" for a request whose first attempt broke
// off and may have run.
// Also guards against a timeout that is reported with time left.
TEST(GatewayCore, RefusalAfterBrokenAttemptDoesNotClaimNotRun) {
  const std::shared_ptr<GatewayRequest> Request = admit("/look/x");
  CHECK(endAttempt(Request, place(Request), AttemptOutcome::Broken, 2).Step_ ==
        GatewayStep::Resend);
  const GatewayDecision Last =
      endAttempt(Request, place(Request), AttemptOutcome::Refused, 2);
  CHECK(Last.Step_ == GatewayStep::Fail);
  CHECK(Last.Refusal_.Code_ == ResultCode::BackendBroken);
  CHECK_EQUAL(502, Last.Refusal_.Status_);
}

TEST(GatewayCore, RefusalAfterTheDeadlineIsATimeout) {
  const std::shared_ptr<GatewayRequest> Request = admit("/look/x");
  const GatewayDecision Last =
      endAttempt(Request, place(Request), AttemptOutcome::TimedOut, 2'000);
  CHECK(Last.Step_ == GatewayStep::Fail);
  CHECK(Last.Refusal_.Code_ == ResultCode::BackendTimeout);
}

TEST(GatewayCore, ResendsStayWithinTheBudget) {
  int Resends = 0;
  for (int Count = 0; Count < 400; ++Count) {
    const std::shared_ptr<GatewayRequest> Request = admit("/look/x");
    const Placement Placed = Core_.place(Request, atMs(Now_));
    if (!std::holds_alternative<GatewayAttempt>(Placed)) {
      Core_.removeFromQueue(*Request, atMs(Now_));
      Now_ += 10;
      continue;
    }
    const GatewayAttempt First = std::get<GatewayAttempt>(Placed);
    if (endAttempt(Request, First, AttemptOutcome::Broken, 10).Step_ ==
        GatewayStep::Resend)
      ++Resends;
  }
  // 400 requests within one window: 0.2 times the requests plus half of the
  // slack of 64.
  CHECK(Resends <= 400 / 5 + 32);
}

TEST(GatewayCore, SplitRouteFollowsItsWeights) {
  int Room = 0;
  for (int Count = 0; Count < 300; ++Count)
    if (admit("/split/x")->Service_ == ServiceName("room"))
      ++Room;
  CHECK(Room >= 29);
  CHECK(Room <= 31);
}

// Guards against every host sending its first requests of a split route to the
// same service, which starves the services with small weights.
TEST(GatewayCore, SplitRouteFollowsItsWeightsAcrossManyHosts) {
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

// With more requests than slots, requests that can still meet their latency
// objective are placed first, and among those the ones of higher priority.
TEST(GatewayCore, QueuedRequestsAreOrderedByObjectiveAndPriority) {
  std::vector<std::pair<std::shared_ptr<GatewayRequest>, GatewayAttempt>> Held =
      fillSlots();
  const std::shared_ptr<GatewayRequest> Late = admit("/book/late");
  CHECK(std::holds_alternative<QueuedForTarget>(Core_.place(Late, atMs(Now_))));
  Now_ += 990;
  const std::shared_ptr<GatewayRequest> Swap = admit("/swap/x");
  Core_.place(Swap, atMs(Now_));
  const std::shared_ptr<GatewayRequest> Book = admit("/book/x");
  Core_.place(Book, atMs(Now_));
  Now_ += 15;
  std::vector<const GatewayRequest *> PlacedOrder;
  for (std::size_t Index = 0; Index < 3; ++Index) {
    Core_.attemptEnded(*Held[Index].first, Held[Index].second,
                       AttemptOutcome::Success, TargetReport(), atMs(Now_));
    for (const std::pair<std::shared_ptr<GatewayRequest>, Placement> &Entry :
         Core_.placeQueuedRequests(atMs(Now_)))
      if (std::holds_alternative<GatewayAttempt>(Entry.second))
        PlacedOrder.push_back(Entry.first.get());
  }
  CHECK_EQUAL(3, PlacedOrder.size());
  CHECK(PlacedOrder[0] == Book.get());
  CHECK(PlacedOrder[1] == Swap.get());
  CHECK(PlacedOrder[2] == Late.get());
}

// With a backlog that is too long to drain in time, requests that cannot meet
// their deadline are refused at once, as not run, instead of waiting for it.
TEST(GatewayCore, RequestsThatCannotMeetTheirDeadlineAreRefusedAtOnce) {
  std::vector<std::pair<std::shared_ptr<GatewayRequest>, GatewayAttempt>> Held =
      fillSlots();
  for (std::size_t Index = 0; Index < 4; ++Index)
    endAttempt(Held[Index].first, Held[Index].second, AttemptOutcome::Success,
               500);
  fillSlots();
  std::size_t Refused = 0;
  for (int Count = 0; Count < 300; ++Count) {
    const Placement Placed = Core_.place(admit("/book/x"), atMs(Now_));
    if (const GatewayRefusal *Refusal = std::get_if<GatewayRefusal>(&Placed)) {
      CHECK_EQUAL(503, Refusal->Status_);
      CHECK(Refusal->RetryAfter_.has_value());
      ++Refused;
    }
  }
  CHECK(Refused > 200);
  CHECK(Refused < 300);
}

// Guards against refusing requests of a route without a latency objective while
// as many arrive as the targets take: they may wait until their deadline.
TEST(GatewayCore, RequestWithoutObjectiveWaitsUntilItsDeadline) {
  RoutingConfig Config;
  Config.Routes_ = {route("/look/", true), route("/plain/", false)};
  Config.Routes_[1].Objective_ = Duration::zero();
  Core_.setTable(std::make_shared<const RouteTable>(Config));
  fillSlots();
  for (int Count = 0; Count < 100; ++Count)
    admit("/look/x");
  const Placement Placed = Core_.place(admit("/plain/x"), atMs(Now_));
  CHECK(std::holds_alternative<QueuedForTarget>(Placed));
}

// With all targets ejected, a booking that cannot wait for a trial is refused
// at once as not run. An idempotent request is sent to an ejected target
// instead, and again to another one while the resend budget allows it.
TEST(GatewayCore, BookingIsRefusedAsNotRunWhenAllTargetsAreEjected) {
  for (int Index = 0; Index < 3; ++Index) {
    const std::shared_ptr<GatewayRequest> Request = admit("/book/x");
    endAttempt(Request, place(Request), AttemptOutcome::Broken, 1);
  }
  const Placement Book = Core_.place(admit("/book/x", 200), atMs(Now_));
  CHECK_EQUAL(503, std::get<GatewayRefusal>(Book).Status_);
  // The mean latency is 200 ms until it is known, and each of nine slots is
  // taken to serve 15% of its requests: 6.75 requests a second.
  CHECK(*std::get<GatewayRefusal>(Book).RetryAfter_ >= ms(145));
  const std::shared_ptr<GatewayRequest> Look = admit("/look/x", 200);
  const GatewayAttempt First = place(Look);
  CHECK(endAttempt(Look, First, AttemptOutcome::Broken, 1).Step_ ==
        GatewayStep::Resend);
  CHECK(place(Look).Target_.Id_ != First.Target_.Id_);
}

// With the other targets full, an idempotent request that cannot wait is sent
// to an ejected one, and once only.
TEST(GatewayCore, LastResortIsNotRepeatedWhileTargetsAreOnlyFull) {
  const std::shared_ptr<GatewayRequest> Failed = admit("/book/x");
  endAttempt(Failed, place(Failed), AttemptOutcome::Broken, 1);
  fillSlots();
  const std::shared_ptr<GatewayRequest> Look = admit("/look/x", 150);
  endAttempt(Look, place(Look), AttemptOutcome::Broken, 1);
  const Placement Second = Core_.place(Look, atMs(Now_));
  CHECK(std::holds_alternative<GatewayRefusal>(Second));
}

TEST(GatewayCore, SlowIdempotentRequestIsHedgedOnce) {
  const std::shared_ptr<GatewayRequest> Request = admit("/look/x");
  const GatewayAttempt First = place(Request);
  CHECK(First.HedgeAt_.has_value());
  Now_ += 900;
  const std::optional<GatewayAttempt> Second =
      Core_.placeHedge(*Request, atMs(Now_));
  CHECK(Second.has_value());
  CHECK(Second->Target_.Id_ != First.Target_.Id_);
  CHECK_FALSE(Core_.placeHedge(*Request, atMs(Now_)).has_value());
  CHECK(endAttempt(Request, First, AttemptOutcome::Broken, 5).Step_ ==
        GatewayStep::Wait);
  CHECK(endAttempt(Request, *Second, AttemptOutcome::Success, 5).Step_ ==
        GatewayStep::Deliver);
}

// Guards against reporting a target as failed to the other hosts when only the
// network path from this host is broken.
TEST(GatewayCore, ConnectFailureIsReportedAsDoubtful) {
  const std::shared_ptr<GatewayRequest> Request = admit("/book/x");
  const GatewayDecision Next =
      endAttempt(Request, place(Request), AttemptOutcome::NotConnected, 300);
  CHECK(Next.Step_ == GatewayStep::Resend);
  CHECK(Next.Observation_ == TargetObservation::SuspectedFailure);
}

// Guards against ejecting targets whose requests ran into their deadline.
TEST(GatewayCore, FailureAtTheDeadlineDoesNotEjectTarget) {
  const std::shared_ptr<GatewayRequest> Request = admit("/book/x", 500);
  const GatewayAttempt Attempt = place(Request);
  CHECK_FALSE(endAttempt(Request, Attempt, AttemptOutcome::Failure, 490)
                  .Observation_.has_value());
  CHECK_EQUAL(0, Core_.balancer(ServiceName("desk"))->ejectedCount());
}

// Guards against hosts ejecting a busy target because requests that waited
// there for long ran into their deadline.
TEST(GatewayCore, TimeoutAtAnsweringTargetIsNotReported) {
  useTargets(1);
  const std::shared_ptr<GatewayRequest> Slow = admit("/book/x");
  const GatewayAttempt SlowAttempt = place(Slow);
  Now_ += 1'000;
  const std::shared_ptr<GatewayRequest> Quick = admit("/book/x");
  endAttempt(Quick, place(Quick), AttemptOutcome::Success, 200);
  CHECK_FALSE(endAttempt(Slow, SlowAttempt, AttemptOutcome::TimedOut, 700)
                  .Observation_.has_value());
}

// Guards against taking a request in a planned stop that the end of the process
// would cut.
TEST(GatewayCore, StopRefusesRequestsThatMayOutlastIt) {
  Core_.beginStop(atMs(Now_ + 1'000));
  CHECK(std::holds_alternative<GatewayAttempt>(
      Core_.place(admit("/look/x", 1'000), atMs(Now_))));
  for (const char *Path : {"/look/x", "/book/x"}) {
    const Placement Placed = Core_.place(admit(Path, 1'001), atMs(Now_));
    CHECK(std::get<GatewayRefusal>(Placed) ==
          makeRefusal(ResultCode::HostLeaving, OtherHostRetryAfter));
  }
}

TEST(GatewayCore, StopRefusesQueuedRequestsThatMayOutlastIt) {
  fillSlots();
  const std::shared_ptr<GatewayRequest> Long = admit("/book/x", 2'000);
  const std::shared_ptr<GatewayRequest> Short = admit("/book/x", 1'900);
  CHECK(
      std::holds_alternative<QueuedForTarget>(Core_.place(Short, atMs(Now_))));
  CHECK(std::holds_alternative<QueuedForTarget>(Core_.place(Long, atMs(Now_))));
  Core_.beginStop(atMs(Now_ + 1'900));
  const std::vector<std::pair<std::shared_ptr<GatewayRequest>, Placement>>
      Placed = Core_.placeQueuedRequests(atMs(Now_));
  CHECK_EQUAL(1, Placed.size());
  CHECK(Placed.front().first == Long);
  CHECK(std::get<GatewayRefusal>(Placed.front().second).Code_ ==
        ResultCode::HostLeaving);
}

TEST(GatewayCore, StopResendsNoRequestThatMayOutlastIt) {
  const std::shared_ptr<GatewayRequest> NotRun = admit("/look/x");
  const std::shared_ptr<GatewayRequest> MayHaveRun = admit("/look/x");
  const GatewayAttempt First = place(NotRun);
  const GatewayAttempt Second = place(MayHaveRun);
  Core_.beginStop(atMs(Now_ + 1'000));
  const GatewayDecision Refused =
      endAttempt(NotRun, First, AttemptOutcome::Refused, 5);
  CHECK(Refused.Step_ == GatewayStep::Fail);
  CHECK(Refused.Refusal_.Code_ == ResultCode::HostLeaving);
  const GatewayDecision Broken =
      endAttempt(MayHaveRun, Second, AttemptOutcome::Broken, 5);
  CHECK(Broken.Step_ == GatewayStep::Fail);
  CHECK(Broken.Refusal_.Code_ == ResultCode::BackendBroken);
}

TEST(GatewayCore, StopHedgesNoRequestThatMayOutlastIt) {
  const std::shared_ptr<GatewayRequest> Long = admit("/look/x", 2'000);
  const std::shared_ptr<GatewayRequest> Short = admit("/look/x", 1'000);
  place(Long);
  place(Short);
  Core_.beginStop(atMs(Now_ + 1'000));
  CHECK(Core_.placeHedge(*Short, atMs(Now_)).has_value());
  CHECK_FALSE(Core_.placeHedge(*Long, atMs(Now_)).has_value());
}
