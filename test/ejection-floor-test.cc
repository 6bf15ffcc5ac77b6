// The floor, proved over all interleavings of small cases.

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

  /// Slot number I of a target belongs to one host, by rotation.
  unsigned slots(unsigned Host, unsigned Target) const {
    unsigned Count = 0;
    for (unsigned I = 0; I < SlotsOfTarget_; ++I)
      Count += (Target + I) % Hosts_ == Host ? 1 : 0;
    return Count;
  }

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

/// Explores every state that any order of events reaches. A state packs which
/// targets truly serve, and for each host its delayed view and its ejections.
class Exploration {
public:
  explicit Exploration(const FloorCase &Case)
      : Case_(Case), Width_(Case.Targets_), All_((1U << Width_) - 1),
        Seen_(std::size_t{1} << (Width_ * (1 + 2 * Case.Hosts_))) {
    for (unsigned H = 0; H < Case.Hosts_; ++H) {
      for (unsigned Key = 0; Key < 1U << (2 * Width_); ++Key)
        Rules_.push_back(rules(H, Key & All_, Key >> Width_));
      for (unsigned Mask = 0; Mask <= All_; ++Mask)
        Slots_.push_back(Case.slotsOf(H, Mask));
    }
  }

  /// States in which the promise is broken.
  std::size_t run() {
    std::uint32_t Start = All_;
    for (unsigned H = 0; H < Case_.Hosts_; ++H)
      Start |= All_ << viewAt(H);
    visit(Start);
    while (!Pending_.empty()) {
      const std::uint32_t State = Pending_.back();
      Pending_.pop_back();
      Broken_ += holds(State) ? 0 : 1;
      expand(State);
    }
    return Broken_;
  }

  std::size_t states() const { return States_; }

private:
  /// What the code under test answers in one host's view.
  struct Rules {
    unsigned MayEject_ = 0;
    unsigned EjectedAfterLearning_ = 0;
    unsigned Usable_ = 0;
    unsigned Kept_ = 0; ///< What the host must keep usable.
  };

  Rules rules(unsigned Host, unsigned View, unsigned Ejected) const {
    const FloorSnapshot Snapshot = snapshot(Case_, Host, View, Ejected);
    Rules Found;
    for (unsigned T = 0; T < Width_; ++T)
      if (mayEject(Case_.Floor_, Snapshot, targetId(T)))
        Found.MayEject_ |= 1U << T;
    Found.EjectedAfterLearning_ = Ejected;
    for (const TargetId &Each : requiredReinstatements(Case_.Floor_, Snapshot))
      Found.EjectedAfterLearning_ &= ~(1U << std::stoul(Each.str()));
    Found.Usable_ = Case_.slotsOf(Host, View & ~Ejected);
    Found.Kept_ = kept(Host, View);
    return Found;
  }

  /// Slots that a host must keep by its view: its part of the floor among the
  /// slots that serve, or all that serve where they are fewer than the floor.
  /// Computed here and not by the code under test.
  unsigned kept(unsigned Host, unsigned View) const {
    const unsigned Floor = Case_.Floor_ * Case_.SlotsOfTarget_;
    const unsigned Serving =
        static_cast<unsigned>(std::popcount(View)) * Case_.SlotsOfTarget_;
    const unsigned Own = Case_.slotsOf(Host, View);
    return Serving <= Floor ? Own : (Floor * Own + Serving - 1) / Serving;
  }

  unsigned viewAt(unsigned Host) const { return Width_ * (1 + 2 * Host); }
  unsigned ejectedAt(unsigned Host) const { return Width_ * (2 + 2 * Host); }

  unsigned slotsAt(unsigned Host, unsigned Mask) const {
    return Slots_[(Host << Width_) + Mask];
  }

  const Rules &rulesAt(std::uint32_t State, unsigned Host) const {
    const unsigned Key = State >> viewAt(Host) & ((1U << (2 * Width_)) - 1);
    return Rules_[(Host << (2 * Width_)) + Key];
  }

  bool holds(std::uint32_t State) const {
    const unsigned Serving = State & All_;
    unsigned Sum = 0;
    unsigned Promised = 0;
    bool ViewsAreCurrent = true;
    for (unsigned H = 0; H < Case_.Hosts_; ++H) {
      const Rules &Host = rulesAt(State, H);
      if (Host.Usable_ < Host.Kept_)
        return false;
      const unsigned View = State >> viewAt(H) & All_;
      const unsigned Ejected = State >> ejectedAt(H) & All_;
      const unsigned Stale = slotsAt(H, View & ~Serving);
      Sum += slotsAt(H, View & Serving & ~Ejected);
      Promised += Host.Kept_ - std::min(Host.Kept_, Stale);
      ViewsAreCurrent = ViewsAreCurrent && View == Serving;
    }
    const unsigned Floor =
        std::min(Case_.Floor_, static_cast<unsigned>(std::popcount(Serving))) *
        Case_.SlotsOfTarget_;
    return Sum >= Promised && (!ViewsAreCurrent || Sum >= Floor);
  }

  void expand(std::uint32_t State) {
    for (unsigned T = 0; T < Width_; ++T) {
      const std::uint32_t Bit = 1U << T;
      visit(State ^ Bit); // A target leaves or starts.
      for (unsigned H = 0; H < Case_.Hosts_; ++H) {
        learn(State, H, Bit);
        if ((rulesAt(State, H).MayEject_ & Bit) != 0)
          visit(State | Bit << ejectedAt(H));
        visit(State & ~(Bit << ejectedAt(H))); // The ejection's time is over.
      }
    }
  }

  /// The host's view of one target catches up, and it reinstates at once.
  void learn(std::uint32_t State, unsigned Host, std::uint32_t Bit) {
    const std::uint32_t Learned =
        (State & ~(Bit << viewAt(Host))) | (State & Bit) << viewAt(Host);
    const std::uint32_t Ejected = rulesAt(Learned, Host).EjectedAfterLearning_;
    visit((Learned & ~(All_ << ejectedAt(Host))) | Ejected << ejectedAt(Host));
  }

  void visit(std::uint32_t State) {
    if (Seen_[State])
      return;
    Seen_[State] = true;
    ++States_;
    Pending_.push_back(State);
  }

  FloorCase Case_;
  unsigned Width_;
  unsigned All_;
  std::vector<bool> Seen_;
  std::vector<Rules> Rules_;    ///< By host, ejections and view.
  std::vector<unsigned> Slots_; ///< By host and set of targets.
  std::vector<std::uint32_t> Pending_;
  std::size_t States_ = 0;
  std::size_t Broken_ = 0;
};

void checkCase(const FloorCase &Case) {
  Exploration Explored(Case);
  const std::size_t Broken = Explored.run();
  const std::string Name =
      std::to_string(Case.Hosts_) + " hosts, " + std::to_string(Case.Targets_) +
      " targets, " + std::to_string(Case.SlotsOfTarget_) + " slots, floor " +
      std::to_string(Case.Floor_) + ": " + std::to_string(Broken) + " of " +
      std::to_string(Explored.states()) + " states broken";
  CHECK_TEXT(Broken == 0, Name.c_str());
}

} // namespace

TEST_GROUP(EjectionFloor){};

// Guards against any order of ejections, departures, starts, late news and
// reinstatements that takes a host below its share.
TEST(EjectionFloor, HoldsInAllInterleavings) {
  for (unsigned Hosts = 1; Hosts <= 3; ++Hosts)
    for (unsigned Targets = 1; Targets <= 4 && Hosts * Targets < 12; ++Targets)
      for (unsigned Slots = 1; Slots <= 3; ++Slots)
        for (unsigned Floor = 0; Floor <= Targets; ++Floor)
          checkCase({Hosts, Targets, Slots, Floor});
}

// The largest case apart, since it has two orders of magnitude more states.
TEST(EjectionFloor, HoldsInAllInterleavingsOfThreeHostsAndFourTargets) {
  checkCase({3, 4, 2, 2});
}

// A host that has not heard of a departure may eject within its own view, so
// that too few slots serve until it hears. Guards against that lasting longer.
TEST(EjectionFloor, ReinstatesOnNewsOfADeparture) {
  const FloorCase Case{1, 2, 1, 1};
  CHECK(mayEject(1, snapshot(Case, 0, 0b11, 0b00), targetId(1)));
  const std::vector<TargetId> Required =
      requiredReinstatements(1, snapshot(Case, 0, 0b10, 0b10));
  CHECK(Required == std::vector<TargetId>{targetId(1)});
}

// Guards against the worst target coming back first.
TEST(EjectionFloor, ReinstatesTheLeastBadFirst) {
  const FloorCase Case{1, 4, 1, 2};
  const std::vector<TargetId> Required =
      requiredReinstatements(2, snapshot(Case, 0, 0b1110, 0b1110));
  CHECK((Required == std::vector<TargetId>{targetId(1), targetId(2)}));
}

// Guards against a share that is rounded down: three hosts would each leave
// out a part of a slot and miss the floor by one.
TEST(EjectionFloor, RoundsTheShareUp) {
  const FloorCase Case{3, 6, 2, 4};
  CHECK_EQUAL(3, floorShare(4, snapshot(Case, 0, 0b111111, 0)));
}

TEST(EjectionFloor, EjectsNothingThatIsNotServing) {
  const FloorCase Case{1, 3, 1, 0};
  CHECK_FALSE(mayEject(0, snapshot(Case, 0, 0b011, 0), targetId(2)));
  CHECK_FALSE(mayEject(0, snapshot(Case, 0, 0b111, 0b100), targetId(2)));
  CHECK_FALSE(mayEject(0, snapshot(Case, 0, 0b111, 0), targetId(7)));
}
