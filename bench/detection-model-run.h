// The event handlers of the model in detection-model.h. Only that header
// includes this file.

#ifndef KUMQUATPITCH_BENCH_DETECTION_MODEL_RUN_H
#define KUMQUATPITCH_BENCH_DETECTION_MODEL_RUN_H

#include "detection-model.h"

namespace kumquatpitch::bench {

inline void Model::arrive(const Event &Next) {
  const Workload &Offered = Settings_.Workloads_[Next.Key_.Service_];
  const double Rate = Offered.RatePerSecond_ * RateFactor_ / HostCount;
  push(Next.Due_ + milliseconds(1000 * exponential() / Rate), Next);
  ++Requests_;
  std::deque<TimePoint> &Queue = Hosts_[Next.Host_].Queues_[Next.Key_.Service_];
  if (Queue.size() < MaxQueueLength)
    Queue.push_back(Now_ + Offered.Deadline_);
  dispatch(Next.Host_, Next.Key_.Service_);
}

inline void Model::dispatch(std::size_t H, std::size_t Service) {
  std::deque<TimePoint> &Queue = Hosts_[H].Queues_[Service];
  while (!Queue.empty()) {
    if (Queue.front() <= Now_) {
      Queue.pop_front();
      continue;
    }
    const std::size_t Target = pick(H, Service);
    if (Target == NoTarget)
      return;
    start(H, {Service, Target}, Queue.front());
    Queue.pop_front();
  }
}

/// Draws two random usable targets with a free slot and returns the one with
/// fewer slots in use.
inline std::size_t Model::pick(std::size_t H, std::size_t Service) {
  Candidates_.clear();
  std::size_t RampingTarget = NoTarget;
  for (std::size_t T = 0; T < Targets_[Service].size(); ++T) {
    const Link &HostLink = Hosts_[H].Links_[{Service, T}];
    if (HostLink.SlotsInUse_ >= HostLink.Slots_)
      continue;
    const double Share = Hosts_[H].Policy_->share({Service, T}, Now_);
    if (Share >= 1 || (Share > 0 && uniform() < Share))
      Candidates_.push_back(T);
    else if (Share > 0)
      RampingTarget = T;
  }
  if (Candidates_.empty())
    return RampingTarget;
  const std::size_t First = Candidates_[Random_.below(Candidates_.size())];
  const std::size_t Second = Candidates_[Random_.below(Candidates_.size())];
  return Hosts_[H].Links_[{Service, First}].SlotsInUse_ <=
                 Hosts_[H].Links_[{Service, Second}].SlotsInUse_
             ? First
             : Second;
}

inline void Model::start(std::size_t H, TargetKey Key, TimePoint Deadline) {
  Link &HostLink = Hosts_[H].Links_[Key];
  TargetModel &ChosenTarget = target(Key);
  Attempt NewAttempt{H, Key, Now_, Deadline, false, false, false, false};
  NewAttempt.NewConnection_ =
      !HostLink.OpenedAt_ || Hosts_[H].Policy_->wantsNewConnection(Key, Now_);
  if (NewAttempt.NewConnection_)
    HostLink.OpenedAt_ = Now_;
  NewAttempt.IsRefused_ = RefusedFraction_ > 0 && uniform() < RefusedFraction_;
  NewAttempt.IsHung_ = ChosenTarget.CutFrom_[H] ||
                       *HostLink.OpenedAt_ < ChosenTarget.SilentBefore_[H] ||
                       (ChosenTarget.StallFraction_ > 0 &&
                        uniform() < ChosenTarget.StallFraction_);
  ++HostLink.SlotsInUse_;
  const AttemptId Id = NextAttempt_++;
  Hosts_[H].Policy_->started(Key, Id, NewAttempt.NewConnection_, Now_);
  push(Now_ + (NewAttempt.IsRefused_ ? milliseconds(1) : latency(Key)),
       {EventKind::End, H, Key, Id});
  Attempts_.emplace(Id, NewAttempt);
}

/// Draws a service time: one in 5,000 requests takes 0.5 to 3 s; the others
/// follow a shifted exponential distribution.
inline Duration Model::latency(TargetKey Key) {
  const Workload &Offered = Settings_.Workloads_[Key.Service_];
  const TargetModel &ChosenTarget = target(Key);
  if (uniform() < 1.0 / 5000)
    return milliseconds(500 + 2500 * uniform());
  double Factor = LatencyFactor_;
  if (ChosenTarget.ColdFrom_ != TimePoint::min()) {
    const double Age =
        static_cast<double>(toMilliseconds(Now_ - ChosenTarget.ColdFrom_)) /
        30'000;
    Factor *= 1 + 3 * std::max(0.0, 1 - Age);
  }
  const double Median = static_cast<double>(toMilliseconds(Offered.Median_));
  return milliseconds(Median * Factor * (0.5 + 0.7 * exponential()));
}

inline void Model::end(AttemptId Id) {
  const std::map<AttemptId, Attempt>::iterator It = Attempts_.find(Id);
  if (It == Attempts_.end())
    return;
  const Attempt Ended = It->second;
  if ((Ended.IsHung_ && !Ended.IsBroken_) && Now_ < Ended.Deadline_) {
    push(Ended.Deadline_, {EventKind::End, Ended.Host_, Ended.Key_, Id});
    return;
  }
  AttemptEnd End =
      Ended.IsRefused_ ? AttemptEnd::Refused : AttemptEnd::Answered;
  if (Ended.IsBroken_)
    End = AttemptEnd::Broken;
  else if (Ended.IsHung_ || Now_ >= Ended.Deadline_)
    End = AttemptEnd::TimedOut;
  finish(Id, Ended, End);
}

inline void Model::finish(AttemptId Id, const Attempt &Ended, AttemptEnd End) {
  Attempts_.erase(Id);
  HostModel &Host = Hosts_[Ended.Host_];
  Link &HostLink = Host.Links_[Ended.Key_];
  --HostLink.SlotsInUse_;
  if (End == AttemptEnd::TimedOut || End == AttemptEnd::Broken)
    HostLink.OpenedAt_.reset();
  AttemptReport Report;
  Report.End_ = End;
  Report.Latency_ = Now_ - Ended.Start_;
  Report.NewConnection_ = Ended.NewConnection_;
  Report.HttpStatus_ = End == AttemptEnd::Answered ? 200 : 0;
  Host.Policy_->ended(Ended.Key_, Id, Report, Now_);
  dispatch(Ended.Host_, Ended.Key_.Service_);
}

inline void Model::tick(const Event &Next) {
  HostModel &Host = Hosts_[Next.Host_];
  for (const Decision &HostDecision : Host.Policy_->tick(Next.Due_, Now_))
    apply(Next.Host_, HostDecision);
  push(Now_ + Settings_.Tick_, Next);
  for (const std::pair<const TargetKey, TargetEvidence> &Report :
       Host.Policy_->reports(Now_))
    for (std::size_t Peer = 0; Peer < HostCount; ++Peer)
      if (Peer != Next.Host_ && !Host.PeerTrafficCut_ &&
          !Hosts_[Peer].PeerTrafficCut_) {
        Messages_[NextMessage_] = {Next.Host_, Report.second};
        push(Now_ + Settings_.PeerDelay_,
             {EventKind::Report, Peer, Report.first, NextMessage_++});
      }
  for (std::size_t S = 0; S < Targets_.size(); ++S)
    dispatch(Next.Host_, S);
}

inline void Model::apply(std::size_t H, const Decision &HostDecision) {
  const TargetModel &DecidedTarget = target(HostDecision.Key_);
  if (HostDecision.Kind_ == DecisionKind::Eject) {
    const bool IsCorrect =
        Now_ < DecidedTarget.FaultyUntil_ ||
        (DecidedTarget.CutFrom_[H] && !Hosts_[H].PeerTrafficCut_);
    Ejections_.push_back({H, HostDecision.Key_, Now_, !IsCorrect});
    return;
  }
  Link &HostLink = Hosts_[H].Links_[HostDecision.Key_];
  if (HostLink.OpenedAt_ && *HostLink.OpenedAt_ < HostDecision.OpenedBefore_)
    HostLink.OpenedAt_.reset();
  for (const AttemptId Id : HostDecision.Attempts_) {
    const std::map<AttemptId, Attempt>::iterator It = Attempts_.find(Id);
    if (It == Attempts_.end())
      continue;
    const Attempt Closed = It->second;
    finish(Id, Closed, AttemptEnd::Broken);
  }
}

/// Health checks run every second on a separate connection and take at
/// most half a second.
inline void Model::probe(const Event &Next) {
  const TargetModel &ProbedTarget = target(Next.Key_);
  Hosts_[Next.Host_].Policy_->probeEnded(
      Next.Key_, ProbedTarget.ProbeOk_ && !ProbedTarget.CutFrom_[Next.Host_],
      Now_);
  push(Now_ + std::chrono::seconds(1), Next);
}

} // namespace kumquatpitch::bench

#endif
