// Selection of a target for an attempt by this host's slots, load, latency,
// ramps and draining. HostCore calls it for each attempt. It owns the counts of
// attempts in progress; health is decided elsewhere and passed in as
// TargetAvailability.

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

/// Time over which the work of a cold target, one that has just started, ramps
/// up to its full share.
constexpr Duration ColdRampPeriod = std::chrono::seconds(30);

/// Picks among one service's targets on behalf of one host.
class TargetPicker {
public:
  /// `Random` must outlive the picker.
  explicit TargetPicker(RandomSource &Random) : Random_(Random) {}

  /// Applies an entry and the slots and connections that this host may use now.
  /// Attempts in progress stay counted. After the first call, a target that is
  /// new, begins to serve or changes its address counts as cold.
  void setTargets(const ServiceEntry &Entry, const SlotShares &OwnShares,
                  TimePoint Now);

  /// Returns the better of two random eligible targets, or none when no target
  /// has a free slot or the ramps of all that have one allow no attempt yet.
  /// Ramps advance with time alone, so the caller has to retry waiting work
  /// even when no attempt ends and no target changes.
  std::optional<TargetId> pick(const std::vector<TargetId> &Excluded,
                               const TargetAvailability &Health, TimePoint Now);

  /// Counts a new attempt, which occupies a slot of the target.
  void attemptStarted(const TargetId &Id);

  /// Releases the slot of an attempt and records its outcome. Marks the target
  /// as draining when the report says so.
  void attemptEnded(const TargetId &Id, const AttemptReport &Report,
                    TimePoint Now);

  /// Stops new attempts at the target until clearDraining() is called, or until
  /// an entry makes it serve again or changes its address (see setTargets).
  void markDraining(const TargetId &Id, TimePoint Now);

  /// Ends draining after proof that the target was restarted, and makes the
  /// target cold. Has no effect on a target that is not draining.
  void clearDraining(const TargetId &Id, TimePoint Now);

  /// Number of this host's unused slots at targets that are serving and not
  /// draining, whether healthy or not.
  std::uint32_t freeSlots() const;

  /// Attempts in progress at a target; 0 for an unknown one.
  std::uint32_t inProgress(const TargetId &Id) const;

private:
  struct TargetRecord {
    Endpoint Address_;
    TargetState ListedState_ = TargetState::Serving;
    std::uint32_t Slots_ = 0; ///< This host may use; 0 when not listed.
    std::uint32_t InProgress_ = 0;
    bool Draining_ = false;
    std::optional<TimePoint> ColdSince_; ///< Empty when never cold.
    std::optional<double> Latency_;      ///< Moving average in microseconds.
    TimePoint LatencyAt_;
    double Failures_ = 0; ///< Moving share of failed attempts, 0 to 1.
    TimePoint FailuresAt_;
    std::optional<double> Load_; ///< Last reported load from 0 to 1.
    TimePoint LoadAt_;
    TimePoint LastEnd_;
  };

  /// A serving, usable target with slots of this host, during one pick.
  struct Candidate {
    const TargetId *Id_;
    const TargetRecord *Record_;
    double Share_;  ///< Ramp share from 0 to 1.
    bool Excluded_; ///< By the caller of pick().
  };

  /// Averages over all candidates. They stand in for values that a candidate
  /// lacks or that are too old.
  struct Averages {
    double Latency_ = 1; ///< Median.
    double Load_ = 0;    ///< Mean.
    double Share_ = 1;   ///< Mean.
  };

  static bool isServing(const TargetRecord &Target);
  static void recordOutcome(TargetRecord &Target, const AttemptReport &Report,
                            TimePoint Now);
  static Averages averagesOf(const std::vector<Candidate> &Candidates);
  static double latencyOf(const TargetRecord &Target, const Averages &Average,
                          TimePoint Now);
  static double costOf(const TargetRecord &Target, const Averages &Average,
                       TimePoint Now);
  static bool rampAllows(const Candidate &Target, const Averages &Average,
                         TimePoint Now);

  std::vector<Candidate> findCandidates(const std::vector<TargetId> &Excluded,
                                        const TargetAvailability &Health,
                                        TimePoint Now) const;

  RandomSource &Random_;
  bool HasEntry_ = false;
  /// Targets of the entry, and removed ones with attempts in progress.
  std::map<TargetId, TargetRecord> Records_;
};

} // namespace kumquatpitch

#endif
