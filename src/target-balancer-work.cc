// Choice of a target by the work that is expected of requests. Answers one load
// pattern: short and long requests share targets, so that two targets with
// equally many requests are free at very different times. See
// target-balancer.h.

#include "kumquatpitch/target-balancer.h"

#include <algorithm>
#include <cmath>

namespace kumquatpitch {

namespace {

/// Weight of a new sample in the slowness of a target.
constexpr double SlownessWeight = 0.2;
/// Largest slowness that one answer counts with. A few requests in a hundred
/// take many times their expected work at any target.
constexpr double MaxSlownessSample = 3;
/// Weight of a new sample in the means over all targets of the service.
constexpr double ServiceMeanWeight = 0.05;
/// Least part of an attempt's time that counts as work, as its wait at the
/// target is only an estimate.
constexpr double MinRunShare = 0.25;
/// As for the choice by count: some targets slow down when nearly full.
constexpr double SpreadCost = 0.15;

} // namespace

/// Other hosts' requests at the target. The older a report is, the less it says
/// about this target, and the more the mean of all targets holds (Dahlin,
/// "Interpreting stale load information", 2000). A third of the excess is left
/// after the mean work of a request. The mean counts with no more than all
/// slots, so that requests are sent again when all reports are old.
double TargetBalancer::peerLoadByWork(const State &Target,
                                      TimePoint Now) const {
  const double Slots = Target.Entry_.Slots_;
  const double Mean = std::min(1.0, PeerLoadPerSlot_) * Slots;
  const double AgeUs = static_cast<double>((Now - Target.PeerLoadAt_).count());
  constexpr double OldMeans = 12; // exp(-12) is nothing.
  if (AgeUs > OldMeans * MeanWorkUs_)
    return Mean;
  return Mean + (Target.PeerLoad_ - Mean) * std::exp(-AgeUs / MeanWorkUs_);
}

void TargetBalancer::recordPeerLoad(State &Target, double Load, TimePoint Now) {
  Target.PeerLoad_ = Load;
  Target.PeerLoadAt_ = Now;
  const double Slots = std::max<double>(1, Target.Entry_.Slots_);
  PeerLoadPerSlot_ += (Load / Slots - PeerLoadPerSlot_) * ServiceMeanWeight;
}

/// The requests in the slots end at the sum of their rates, each the inverse of
/// the time that it is expected to take yet. Of own attempts that time is
/// known; those of other hosts have the mean work.
double TargetBalancer::expectedWaitUs(const State &Target, double Load,
                                      double Slowness, TimePoint Now) const {
  const double Slots = std::max<double>(1, Target.Entry_.Slots_);
  const double Own = static_cast<double>(Target.Running_.size());
  const double Departures = Load + 1 - Slots;
  if (Departures <= 0)
    return 0;
  const double Rate = Target.Running_.endRate(MeanWorkUs_, Slowness, Now) +
                      std::max(0.0, Load - Own) / MeanWorkUs_;
  // Those that wait at the target do not end before they have a slot.
  const double SlotShare = Load > Slots ? Slots / Load : 1;
  return Rate > 0 ? Departures / (Rate * SlotShare) : 0;
}

/// The wait of a request that is sent to the target now.
Duration TargetBalancer::expectedWait(const State &Target,
                                      TimePoint Now) const {
  const double Slowness = slowness(Target, Now);
  return Duration(static_cast<Duration::rep>(
      expectedWaitUs(Target, load(Target, Now), Slowness, Now) * Slowness));
}

void TargetBalancer::recordExpectedWork(const WorkEstimate &Work) {
  const double WorkUs =
      std::max<double>(1, static_cast<double>(Work.mean().count()));
  MeanWorkUs_ += (WorkUs - MeanWorkUs_) * ServiceMeanWeight;
}

double TargetBalancer::completionTime(const State &Target,
                                      const WorkEstimate &Work, double Load,
                                      double Slowness, TimePoint Now) const {
  const double Slots = std::max<double>(1, Target.Entry_.Slots_);
  const double WorkUs =
      Work.isKnown() ? static_cast<double>(Work.mean().count()) : MeanWorkUs_;
  return Slowness *
         (SpreadCost * Load / Slots +
          (WorkUs + expectedWaitUs(Target, Load, Slowness, Now)) / MeanWorkUs_);
}

/// Time for which the attempt has probably had a slot.
Duration TargetBalancer::runTime(const OwnAttempt &Attempt, TimePoint StartedAt,
                                 TimePoint Now) {
  const Duration Least(static_cast<Duration::rep>(
      static_cast<double>((Now - StartedAt).count()) * MinRunShare));
  return std::max(Least, Now - Attempt.RunsFrom_);
}

std::optional<Duration> TargetBalancer::workDone(const TargetId &Id,
                                                 TimePoint StartedAt,
                                                 TimePoint Now) const {
  const std::map<TargetId, State>::const_iterator It = States_.find(Id);
  if (It == States_.end())
    return std::nullopt;
  const std::optional<OwnAttempt> Attempt = It->second.Running_.find(StartedAt);
  if (!Attempt)
    return std::nullopt;
  const double Factor = ServiceSlowness_ / slowness(It->second, Now);
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(runTime(*Attempt, StartedAt, Now).count()) * Factor));
}

/// Records how the time of an answer compares with the usual time of its route.
/// That is measured, so that wrong estimates do not make targets look slow.
void TargetBalancer::recordSpeed(State &Target,
                                 const std::optional<OwnAttempt> &Attempt,
                                 TimePoint StartedAt, Duration Usual,
                                 TimePoint Now) {
  const bool HasEstimate = Attempt && Attempt->Work_.isKnown();
  const Duration Taken =
      HasEstimate ? runTime(*Attempt, StartedAt, Now) : Now - StartedAt;
  double Sample =
      static_cast<double>(Taken.count()) / static_cast<double>(Usual.count());
  if (HasEstimate)
    Sample = std::min(Sample, MaxSlownessSample);
  const double Before = slowness(Target, Now);
  Target.Slowness_ = Before + (Sample - Before) * SlownessWeight;
  Target.SlownessAt_ = Now;
  ServiceSlowness_ += (Before - ServiceSlowness_) * ServiceMeanWeight;
}

} // namespace kumquatpitch
