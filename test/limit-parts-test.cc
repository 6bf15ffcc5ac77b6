// Tests of the delegation of parts. A search over all interleavings of offers,
// questions, withdrawals, restarts and waiting, with messages that are lost,
// doubled and late, checks that no part is in use at two coordinators.

#include "kumquatpitch/admission/limit-parts.h"

#include "manual-time.h"

#include <array>
#include <string>
#include <utility>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

namespace {

const HostId HolderId("holder");
const std::array<HostId, 2> Coordinators{HostId("c0"), HostId("c1")};

/// What the search takes out of the protocol, to show that it finds the fault.
enum class Mutation : std::uint8_t {
  None,
  NoSettleTime,  ///< A restarted host offers its part at once.
  FreesAtChange, ///< A holder forgets its delegation when it turns away.
  CountsReceipt, ///< Coordinators count the term from the answer's receipt.
};

/// One holder and two coordinators. The newest messages stay in the network, so
/// each may be delivered never, late or several times.
struct World {
  LimitPartHolder Holder_{HolderId};
  std::vector<LimitPartLedger> Ledgers_;
  std::set<AddressedPartOffer> Offers_;
  std::set<LimitPartQuestion> Questions_;
  TimePoint Now_;
  TimePoint SettlesAt_;
  std::array<Incarnation, 2> Incarnations_{1, 1};

  bool operator==(const World &) const = default;
  std::strong_ordering operator<=>(const World &) const = default;
};

LimitPartLedger makeLedger(std::size_t Index, Incarnation Life) {
  LimitPartLedger Ledger(Coordinators[Index], Life);
  Ledger.setHolders({HolderId});
  return Ledger;
}

World start() {
  World First;
  First.Ledgers_ = {makeLedger(0, 1), makeLedger(1, 1)};
  First.Holder_.setDivisor(1);
  First.Now_ = atMs(0);
  First.SettlesAt_ = atMs(0);
  // The first coordinator has the part, and its answers are still under way.
  for (int Round = 0; Round < 2; ++Round)
    for (const AddressedPartOffer &Sent :
         First.Holder_.offers(Coordinators[0], First.Now_)) {
      First.Offers_.insert(Sent);
      const LimitPartQuestion Question =
          First.Ledgers_[0].onOffer(Sent.Offer_, true, First.Now_);
      First.Questions_.insert(Question);
      First.Holder_.onQuestion(Question, First.Now_);
    }
  return First;
}

struct SearchCase {
  unsigned Events_;
  bool HasRestarts_;
  Mutation Fault_ = Mutation::None;
};

class Search {
public:
  explicit Search(SearchCase Case) : Case_(Case) {}

  /// Visits all states within the case's number of events, or ends at the first
  /// fault.
  void run() {
    visit(start());
    for (unsigned Step = 0; Step < Case_.Events_; ++Step)
      for (const World *Current : std::exchange(Next_, {}))
        if (Violations_ == 0)
          expand(*Current);
  }

  std::size_t stateCount() const { return Visited_.size(); }
  std::size_t violations() const { return Violations_; }

private:
  /// Keeps the newest messages to each coordinator and of each.
  static void limitMessages(World &State) {
    constexpr std::size_t MaxOffers = 6;
    constexpr std::size_t MaxQuestions = 5;
    while (State.Offers_.size() > MaxOffers)
      State.Offers_.erase(State.Offers_.begin());
    while (State.Questions_.size() > MaxQuestions)
      State.Questions_.erase(State.Questions_.begin());
  }

  void visit(World State) {
    limitMessages(State);
    const auto Added = Visited_.insert(std::move(State));
    if (!Added.second)
      return;
    double Sum = 0;
    for (const LimitPartLedger &Ledger : Added.first->Ledgers_)
      Sum += Ledger.share(Added.first->Now_);
    Violations_ += Sum > 1 ? 1 : 0;
    Next_.push_back(&*Added.first);
  }

  void expand(const World &Current) {
    for (std::size_t Index = 0; Index < 2; ++Index) {
      offerTo(Current, Index);
      if (Case_.HasRestarts_)
        restartCoordinator(Current, Index);
    }
    if (Case_.HasRestarts_)
      restartHolder(Current);
    World Later = Current;
    Later.Now_ += LimitPartTerm / 2;
    visit(Later);
    for (const AddressedPartOffer &Sent : Current.Offers_)
      deliver(Current, Sent);
    for (const LimitPartQuestion &Sent : Current.Questions_) {
      World After = Current;
      After.Holder_.onQuestion(Sent, Current.Now_);
      visit(After);
    }
  }

  void offerTo(const World &Current, std::size_t Index) {
    if (Current.Now_ < Current.SettlesAt_)
      return;
    World After = Current;
    if (Case_.Fault_ == Mutation::FreesAtChange) {
      After.Holder_ = LimitPartHolder(HolderId);
      After.Holder_.setDivisor(1);
      for (const LimitPartQuestion &Sent : Current.Questions_)
        if (Sent.From_ == Coordinators[Index])
          deliverTo(After, Sent);
    }
    for (const AddressedPartOffer &Sent :
         After.Holder_.offers(Coordinators[Index], Current.Now_))
      After.Offers_.insert(Sent);
    visit(After);
  }

  static void deliverTo(World &State, const LimitPartQuestion &Sent) {
    State.Holder_.offers(Sent.From_, State.Now_);
    State.Holder_.onQuestion(Sent, State.Now_);
  }

  void deliver(const World &Current, const AddressedPartOffer &Sent) {
    const std::size_t Index = Sent.To_ == Coordinators[0] ? 0 : 1;
    World After = Current;
    LimitPartLedger &Ledger = After.Ledgers_[Index];
    if (Case_.Fault_ == Mutation::CountsReceipt && Sent.Offer_.Question_ > 0 &&
        !Sent.Offer_.IsWithdrawal_) {
      LimitPartOffer Hello = Sent.Offer_;
      Hello.Coordinator_ = 0;
      const LimitPartQuestion Fresh = Ledger.onOffer(Hello, true, Current.Now_);
      LimitPartOffer Renewed = Sent.Offer_;
      Renewed.Question_ = Fresh.Question_;
      After.Questions_.insert(Ledger.onOffer(Renewed, true, Current.Now_));
    } else {
      After.Questions_.insert(Ledger.onOffer(Sent.Offer_, true, Current.Now_));
    }
    visit(After);
  }

  void restartCoordinator(const World &Current, std::size_t Index) {
    World After = Current;
    const Incarnation Life = ++After.Incarnations_[Index];
    After.Ledgers_[Index] = makeLedger(Index, Life);
    if (Life <= 2)
      visit(After);
  }

  void restartHolder(const World &Current) {
    World After = Current;
    After.Holder_ = LimitPartHolder(HolderId);
    After.Holder_.setDivisor(1);
    if (Case_.Fault_ != Mutation::NoSettleTime)
      After.SettlesAt_ = Current.Now_ + LimitPartTerm + LimitPartDriftMargin;
    visit(After);
  }

  SearchCase Case_;
  std::set<World> Visited_;
  std::vector<const World *> Next_; ///< Visited but not expanded yet.
  std::size_t Violations_ = 0;
};

void checkSearch(const SearchCase &Case) {
  Search All(Case);
  All.run();
  const std::string Message = std::to_string(All.violations()) + " of " +
                              std::to_string(All.stateCount()) +
                              " states use a part twice";
  CHECK_TEXT((All.violations() == 0) == (Case.Fault_ == Mutation::None),
             Message.c_str());
}

} // namespace

TEST_GROUP(LimitParts){};

TEST(LimitParts, NoPartIsUsedTwiceInAnyInterleaving) {
  checkSearch({9, false});
}

TEST(LimitParts, NoPartIsUsedTwiceWithRestarts) { checkSearch({8, true}); }

TEST(LimitParts, SearchFindsAMissingSettleTime) {
  checkSearch({7, true, Mutation::NoSettleTime});
}

TEST(LimitParts, SearchFindsAForgottenDelegation) {
  checkSearch({7, true, Mutation::FreesAtChange});
}

TEST(LimitParts, SearchFindsATermThatIsCountedFromReceipt) {
  checkSearch({9, false, Mutation::CountsReceipt});
}

// Guards against a change of coordinator that leaves the part unused for the
// rest of the term.
TEST(LimitParts, WithdrawalFreesThePartInOneRoundTrip) {
  LimitPartHolder Holder(HolderId);
  Holder.setDivisor(1);
  LimitPartLedger First = makeLedger(0, 1);
  LimitPartLedger Second = makeLedger(1, 1);
  const auto Exchange = [&](const HostId &Receiver, TimePoint Now) {
    for (const AddressedPartOffer &Sent : Holder.offers(Receiver, Now))
      Holder.onQuestion((Sent.To_ == Coordinators[0] ? First : Second)
                            .onOffer(Sent.Offer_, true, Now),
                        Now);
  };
  Exchange(Coordinators[0], atMs(0));
  Exchange(Coordinators[0], atMs(1));
  DOUBLES_EQUAL(1, First.share(atMs(2)), 1e-9);
  Exchange(Coordinators[1], atMs(2));
  DOUBLES_EQUAL(0, First.share(atMs(3)), 1e-9);
  Exchange(Coordinators[1], atMs(3));
  DOUBLES_EQUAL(1, Second.share(atMs(4)), 1e-9);
}

// Guards against a release that was under way for long and frees a part that
// has been delegated again since.
TEST(LimitParts, LateReleaseDoesNotFreeANewDelegation) {
  LimitPartHolder Holder(HolderId);
  Holder.setDivisor(1);
  Holder.offers(Coordinators[0], atMs(0));
  Holder.onQuestion({Coordinators[0], 1, 5, false}, atMs(0));
  Holder.offers(Coordinators[0], atMs(0));
  Holder.onQuestion({Coordinators[0], 1, 3, true}, atMs(1));
  CHECK_FALSE(Holder.isFree(atMs(1)));
  Holder.onQuestion({Coordinators[0], 1, 5, true}, atMs(1));
  CHECK(Holder.isFree(atMs(1)));
}

// Guards against an answer to the coordinator's previous incarnation, which
// numbered its questions alike.
TEST(LimitParts, AnswerToAPreviousIncarnationIsIgnored) {
  LimitPartLedger Ledger = makeLedger(0, 2);
  const std::uint64_t Question =
      Ledger.onOffer({HolderId, 0, 0, 0, false}, true, atMs(0)).Question_;
  Ledger.onOffer({HolderId, 1, Question, 1, false}, true, atMs(0));
  DOUBLES_EQUAL(0, Ledger.share(atMs(0)), 1e-9);
  Ledger.onOffer({HolderId, 2, Question, 1, false}, true, atMs(0));
  DOUBLES_EQUAL(1, Ledger.share(atMs(0)), 1e-9);
}

// Guards against a host that owns a part only in its own view.
TEST(LimitParts, PartsOfHostsThatAreNoHoldersDoNotCount) {
  LimitPartLedger Ledger = makeLedger(0, 1);
  Ledger.setHolders({HostId("other")});
  const std::uint64_t Question =
      Ledger.onOffer({HolderId, 0, 0, 0, false}, true, atMs(0)).Question_;
  Ledger.onOffer({HolderId, 1, Question, 1, false}, true, atMs(0));
  DOUBLES_EQUAL(0, Ledger.share(atMs(0)), 1e-9);
}
