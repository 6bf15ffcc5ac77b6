// Selection of a target for an attempt: own slots, load, latency, ramps and
// draining. Called by HostCore for each attempt. Owns the counts of attempts in
// progress; does not judge health, which arrives as TargetAvailability.

#ifndef KUMQUATPITCH_TARGET_PICKER_H
#define KUMQUATPITCH_TARGET_PICKER_H

#include "kumquatpitch/attempt.h"
#include "kumquatpitch/name.h"
#include "kumquatpitch/random-source.h"
#include "kumquatpitch/service-entry.h"
#include "kumquatpitch/slot-plan.h"
#include "kumquatpitch/target-availability.h"
#include "kumquatpitch/time-point.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace kumquatpitch {

/// Time over which a cold target's share of work grows to its usual one.
constexpr Duration ColdRampTime = std::chrono::seconds(30);

/// One service's targets as one host uses them.
class TargetPicker {
public:
  /// `Random` must outlive the picker.
  explicit TargetPicker(RandomSource &Random) : Random_(Random) {}

  /// Takes over an entry and the parts that this host may use now. Attempts in
  /// progress keep counting. A target that is new since the first call, starts
  /// to serve or changes its address is cold.
  void setTargets(const ServiceEntry &Entry, const SlotShares &Own,
                  TimePoint Now);

  /// The better of two random targets that may get work, or none when no target
  /// has a free slot or all that have one are ramping up. Ramps open as time
  /// passes, so waiting work has to try again without an event of a target.
  std::optional<TargetId> pick(const std::vector<TargetId> &Excluded,
                               const TargetAvailability &Health, TimePoint Now);

  /// An attempt takes a slot of the target.
  void started(const TargetId &Id);

  /// An attempt that was started has ended. Marks the target as draining when
  /// the report says so.
  void ended(const TargetId &Id, const AttemptReport &Report, TimePoint Now);

  /// The target gets no new work from now on. The mark ends when the target
  /// starts to serve anew (see setTargets) or by clearDraining.
  void markDraining(const TargetId &Id, TimePoint Now);

  /// Ends the mark after proof that the target was restarted; it is cold then.
  void clearDraining(const TargetId &Id, TimePoint Now);

  /// Own slots that no attempt uses, of targets that are serving and not
  /// draining, whether healthy or not.
  std::uint32_t freeSlots() const;

  /// Attempts in progress at a target; 0 for an unknown one.
  std::uint32_t inProgress(const TargetId &Id) const;

private:
  struct State {
    Endpoint Address_;
    TargetState Listed_ = TargetState::Serving;
    std::uint32_t Slots_ = 0; ///< Own usable slots; 0 when not listed.
    std::uint32_t InProgress_ = 0;
    bool Draining_ = false;
    std::optional<TimePoint> ColdSince_;
    std::optional<double> Latency_; ///< Moving average in microseconds.
    TimePoint LatencyAt_;
    double Failures_ = 0; ///< Moving share of failed attempts, 0 to 1.
    TimePoint FailuresAt_;
    std::optional<double> Load_; ///< Last reported load from 0 to 1.
    TimePoint LoadAt_;
    TimePoint LastEnd_;
  };

  /// What a pick knows of a target that may get work.
  struct Candidate {
    const TargetId *Id_;
    const State *State_;
    double Share_; ///< Ramp share from 0 to 1.
    bool Excluded_;
  };

  /// What holds over the candidates, for what is not known of one of them.
  struct Typical {
    double Latency_ = 1; ///< Median.
    double Load_ = 0;    ///< Mean.
    double Share_ = 1;   ///< Mean.
  };

  static bool mayServe(const State &Target);
  static void noteOutcome(State &Target, const AttemptReport &Report,
                          TimePoint Now);
  static Typical typicalOf(const std::vector<Candidate> &Candidates);
  static double latencyOf(const State &Target, const Typical &Usual,
                          TimePoint Now);
  static double scoreOf(const State &Target, const Typical &Usual,
                        TimePoint Now);
  static bool rampAllows(const Candidate &Each, const Typical &Usual,
                         TimePoint Now);

  std::vector<Candidate> candidates(const std::vector<TargetId> &Excluded,
                                    const TargetAvailability &Health,
                                    TimePoint Now) const;

  RandomSource &Random_;
  bool HasEntry_ = false;
  /// Targets of the entry, and removed ones with attempts in progress.
  std::map<TargetId, State> States_;
};

} // namespace kumquatpitch

#endif
