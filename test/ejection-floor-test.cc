// Tests of the ejection floor. An exhaustive search over all interleavings of
// events in small groups checks that the floor holds in every reachable
// state.

#include "kumquatpitch/ejection-floor.h"

#include <algorithm>
#include <bit>
#include <cstdint>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;

namespace {

/// A group of hosts, the slots of each at each target, and a floor.
struct FloorCase {
  unsigned Hosts_;
  unsigned Targets_;
  unsigned SlotsOfTarget_;
  unsigned Floor_;

  /// Slots of a host at a target. Slots are assigned to hosts by rotation.
  unsigned slots(unsigned Host, unsigned Target) const {
    unsigned Count = 0;
    for (unsigned I = 0; I < SlotsOfTarget_; ++I)
      Count += (Target + I) % Hosts_ == Host ? 1 : 0;
    return Count;
  }

  /// Slots of a host at a set of targets, which is a bit mask.
  unsigned slotsOf(unsigned Host, unsigned Mask) const {
    unsigned Count = 0;
    for (unsigned T = 0; T < Targets_; ++T)
      Count += (Mask >> T & 1) != 0 ? slots(Host, T) : 0;
    return Count;
  }
};

TargetId targetId(unsigned Target) { return TargetId(std::to_string(Target)); }

FloorSnapshot snapshot(const FloorCase &Case, unsigned Host, unsigned View,
                       unsigned Ejected) {
  FloorSnapshot Snapshot;
  for (unsigned T = 0; T < Case.Targets_; ++T)
    Snapshot.push_back({targetId(T), Case.slots(Host, T), (View >> T & 1) != 0,
                        (Ejected >> T & 1) != 0, 1.0 + T, Case.SlotsOfTarget_});
  return Snapshot;
}

/// Visits every state that some order of events reaches. A state packs bit
/// masks of targets: those that are actually serving and, for each host, those
/// that serve in its possibly outdated view and those that it has ejected.
class StateSearch {
public:
  explicit StateSearch(const FloorCase &Case)
      : Case_(Case), Width_(Case.Targets_), All_((1U << Width_) - 1),
        Visited_(std::size_t{1} << (Width_ * (1 + 2 * Case.Hosts_))) {
    for (unsigned H = 0; H < Case.Hosts_; ++H) {
      for (unsigned Key = 0; Key < 1U << (2 * Width_); ++Key)
        Decisions_.push_back(decide(H, Key & All_, Key >> Width_));
      for (unsigned Mask = 0; Mask <= All_; ++Mask)
        Slots_.push_back(Case.slotsOf(H, Mask));
    }
  }

  /// Returns the number of reachable states that violate the floor.
  std::size_t run() {
    std::uint32_t Start = All_;
    for (unsigned H = 0; H < Case_.Hosts_; ++H)
      Start |= All_ << viewAt(H);
    visit(Start);
    while (!Pending_.empty()) {
      const std::uint32_t State = Pending_.back();
      Pending_.pop_back();
      Violations_ += floorHolds(State) ? 0 : 1;
      expand(State);
    }
    return Violations_;
  }

  std::size_t stateCount() const { return StateCount_; }

private:
  /// Results of the code under test for one host's view and ejections.
  struct Decisions {
    unsigned MayEject_ = 0;
    unsigned EjectedAfterReinstatement_ = 0;
    unsigned Usable_ = 0;
    unsigned Required_ = 0; ///< Slots that must stay usable.
  };

  Decisions decide(unsigned Host, unsigned View, unsigned Ejected) const {
    const FloorSnapshot Snapshot = snapshot(Case_, Host, View, Ejected);
    Decisions Result;
    for (unsigned T = 0; T < Width_; ++T)
      if (mayEject(Case_.Floor_, Snapshot, targetId(T)))
        Result.MayEject_ |= 1U << T;
    Result.EjectedAfterReinstatement_ = Ejected;
    for (const TargetId &Target :
         requiredReinstatements(Case_.Floor_, Snapshot))
      Result.EjectedAfterReinstatement_ &= ~(1U << std::stoul(Target.str()));
    Result.Usable_ = Case_.slotsOf(Host, View & ~Ejected);
    Result.Required_ = requiredSlots(Host, View);
    return Result;
  }

  /// Slots that a host must keep usable by its view: the floor in proportion to
  /// its part of all serving slots, or all its serving slots when no more than
  /// the floor is serving. Computed independently of the code under test.
  unsigned requiredSlots(unsigned Host, unsigned View) const {
    const unsigned Floor = Case_.Floor_ * Case_.SlotsOfTarget_;
    const unsigned Serving =
        static_cast<unsigned>(std::popcount(View)) * Case_.SlotsOfTarget_;
    const unsigned OwnServing = Case_.slotsOf(Host, View);
    return Serving <= Floor ? OwnServing
                            : (Floor * OwnServing + Serving - 1) / Serving;
  }

  unsigned viewAt(unsigned Host) const { return Width_ * (1 + 2 * Host); }
  unsigned ejectedAt(unsigned Host) const { return Width_ * (2 + 2 * Host); }

  unsigned slotsAt(unsigned Host, unsigned Mask) const {
    return Slots_[(Host << Width_) + Mask];
  }

  const Decisions &decisionsAt(std::uint32_t State, unsigned Host) const {
    const unsigned Key = State >> viewAt(Host) & ((1U << (2 * Width_)) - 1);
    return Decisions_[(Host << (2 * Width_)) + Key];
  }

  /// True when each host keeps its share usable in its own view, and the slots
  /// that are actually usable reach the sum of these shares, each less the
  /// host's slots at targets that left without its knowledge. If all views are
  /// current, the usable slots have to reach the floor as well.
  bool floorHolds(std::uint32_t State) const {
    const unsigned Serving = State & All_;
    unsigned ActuallyUsable = 0;
    unsigned Guaranteed = 0;
    bool ViewsAreCurrent = true;
    for (unsigned H = 0; H < Case_.Hosts_; ++H) {
      const Decisions &Host = decisionsAt(State, H);
      if (Host.Usable_ < Host.Required_)
        return false;
      const unsigned View = State >> viewAt(H) & All_;
      const unsigned Ejected = State >> ejectedAt(H) & All_;
      const unsigned Outdated = slotsAt(H, View & ~Serving);
      ActuallyUsable += slotsAt(H, View & Serving & ~Ejected);
      Guaranteed += Host.Required_ - std::min(Host.Required_, Outdated);
      ViewsAreCurrent = ViewsAreCurrent && View == Serving;
    }
    const unsigned Floor =
        std::min(Case_.Floor_, static_cast<unsigned>(std::popcount(Serving))) *
        Case_.SlotsOfTarget_;
    return ActuallyUsable >= Guaranteed &&
           (!ViewsAreCurrent || ActuallyUsable >= Floor);
  }

  /// Visits the successors of a state, one for each event.
  void expand(std::uint32_t State) {
    for (unsigned T = 0; T < Width_; ++T) {
      const std::uint32_t Bit = 1U << T;
      visit(State ^ Bit); // A target leaves or starts.
      for (unsigned H = 0; H < Case_.Hosts_; ++H) {
        updateView(State, H, Bit);
        if ((decisionsAt(State, H).MayEject_ & Bit) != 0)
          visit(State | Bit << ejectedAt(H));
        visit(State & ~(Bit << ejectedAt(H))); // The ejection expires.
      }
    }
  }

  /// The host learns the actual state of one target and reinstates at once the
  /// targets that the floor requires.
  void updateView(std::uint32_t State, unsigned Host, std::uint32_t Bit) {
    const std::uint32_t Updated =
        (State & ~(Bit << viewAt(Host))) | (State & Bit) << viewAt(Host);
    const std::uint32_t Ejected =
        decisionsAt(Updated, Host).EjectedAfterReinstatement_;
    visit((Updated & ~(All_ << ejectedAt(Host))) | Ejected << ejectedAt(Host));
  }

  void visit(std::uint32_t State) {
    if (Visited_[State])
      return;
    Visited_[State] = true;
    ++StateCount_;
    Pending_.push_back(State);
  }

  FloorCase Case_;
  unsigned Width_;
  unsigned All_;
  std::vector<bool> Visited_;
  std::vector<Decisions> Decisions_; ///< By host, ejections and view.
  std::vector<unsigned> Slots_;      ///< By host and set of targets.
  std::vector<std::uint32_t> Pending_;
  std::size_t StateCount_ = 0;
  std::size_t Violations_ = 0;
};

void checkCase(const FloorCase &Case) {
  StateSearch Search(Case);
  const std::size_t Violations = Search.run();
  const std::string Message =
      std::to_string(Case.Hosts_) + " hosts, " + std::to_string(Case.Targets_) +
      " targets, " + std::to_string(Case.SlotsOfTarget_) + " slots, floor " +
      std::to_string(Case.Floor_) + ": " + std::to_string(Violations) + " of " +
      std::to_string(Search.stateCount()) + " states violate the floor";
  CHECK_TEXT(Violations == 0, Message.c_str());
}

} // namespace

TEST_GROUP(EjectionFloor){};

// Guards against an order of ejections, departures, starts, delayed updates of
// a host's view and reinstatements that takes a host below its share.
TEST(EjectionFloor, FloorHoldsInAllInterleavings) {
  for (unsigned Hosts = 1; Hosts <= 3; ++Hosts)
    for (unsigned Targets = 1; Targets <= 4 && Hosts * Targets < 12; ++Targets)
      for (unsigned Slots = 1; Slots <= 3; ++Slots)
        for (unsigned Floor = 0; Floor <= Targets; ++Floor)
          checkCase({Hosts, Targets, Slots, Floor});
}

// The largest case, in a test of its own since it has two orders of magnitude
// more states than the others.
TEST(EjectionFloor, FloorHoldsInAllInterleavingsOfThreeHostsAndFourTargets) {
  checkCase({3, 4, 2, 2});
}

// Guards against a shortage that outlasts an outdated view. A host that has not
// learned that a target left may eject another one, so that too few slots are
// usable; it has to reinstate that target as soon as it learns of the
// departure.
TEST(EjectionFloor, ReinstatesWhenAHostLearnsOfADeparture) {
  const FloorCase Case{1, 2, 1, 1};
  CHECK(mayEject(1, snapshot(Case, 0, 0b11, 0b00), targetId(1)));
  const std::vector<TargetId> Required =
      requiredReinstatements(1, snapshot(Case, 0, 0b10, 0b10));
  CHECK(Required == std::vector<TargetId>{targetId(1)});
}

// Guards against a target with a high score that is reinstated before one with
// a lower score.
TEST(EjectionFloor, ReinstatesTheLowestScoreFirst) {
  const FloorCase Case{1, 4, 1, 2};
  const std::vector<TargetId> Required =
      requiredReinstatements(2, snapshot(Case, 0, 0b1110, 0b1110));
  CHECK((Required == std::vector<TargetId>{targetId(1), targetId(2)}));
}

// Guards against shares that are rounded down: the fractions of a slot that
// three hosts drop would together leave the service one slot below its floor.
TEST(EjectionFloor, RoundsTheShareUp) {
  const FloorCase Case{3, 6, 2, 4};
  CHECK_EQUAL(3, floorShare(4, snapshot(Case, 0, 0b111111, 0)));
}

TEST(EjectionFloor, DoesNotEjectNonServingEjectedOrUnknownTargets) {
  const FloorCase Case{1, 3, 1, 0};
  CHECK_FALSE(mayEject(0, snapshot(Case, 0, 0b011, 0), targetId(2)));
  CHECK_FALSE(mayEject(0, snapshot(Case, 0, 0b111, 0b100), targetId(2)));
  CHECK_FALSE(mayEject(0, snapshot(Case, 0, 0b111, 0), targetId(7)));
}
