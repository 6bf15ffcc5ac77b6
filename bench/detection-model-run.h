// How the model of detection-model.h handles its events. Included by that
// header only.

#ifndef KUMQUATPITCH_BENCH_DETECTION_MODEL_RUN_H
#define KUMQUATPITCH_BENCH_DETECTION_MODEL_RUN_H

#include "detection-model.h"

namespace kumquatpitch::bench {

inline void Model::arrive(const Event &Next) {
  const Workload &Of = Settings_.Workloads_[Next.Key_.Service_];
  const double Rate = Of.RatePerSecond_ * RateFactor_ / HostCount;
  push(Next.Due_ + milliseconds(1000 * exponential() / Rate), Next);
  ++Requests_;
  std::deque<TimePoint> &Queue = Hosts_[Next.Host_].Queues_[Next.Key_.Service_];
  if (Queue.size() < MaxQueue)
    Queue.push_back(Now_ + Of.Deadline_);
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

/// The less busy of two random candidates with a free slot.
inline std::size_t Model::pick(std::size_t H, std::size_t Service) {
  Candidates_.clear();
  std::size_t Ramping = NoTarget;
  for (std::size_t T = 0; T < Targets_[Service].size(); ++T) {
    const Link &At = Hosts_[H].Links_[{Service, T}];
    if (At.Busy_ >= At.Slots_)
      continue;
    const double Share = Hosts_[H].Policy_->share({Service, T}, Now_);
    if (Share >= 1 || (Share > 0 && unit() < Share))
      Candidates_.push_back(T);
    else if (Share > 0)
      Ramping = T;
  }
  if (Candidates_.empty())
    return Ramping;
  const std::size_t First = Candidates_[Random_.below(Candidates_.size())];
  const std::size_t Second = Candidates_[Random_.below(Candidates_.size())];
  return Hosts_[H].Links_[{Service, First}].Busy_ <=
                 Hosts_[H].Links_[{Service, Second}].Busy_
             ? First
             : Second;
}

inline void Model::start(std::size_t H, TargetKey Key, TimePoint Deadline) {
  Link &At = Hosts_[H].Links_[Key];
  TargetModel &Of = target(Key);
  Attempt Made{H, Key, Now_, Deadline, false, false, false, false};
  Made.NewConnection_ =
      !At.Opened_ || Hosts_[H].Policy_->wantsNewConnection(Key, Now_);
  if (Made.NewConnection_)
    At.Opened_ = Now_;
  Made.Refused_ = RefusedPart_ > 0 && unit() < RefusedPart_;
  Made.Hung_ = Of.CutFrom_[H] || *At.Opened_ < Of.SilentBefore_[H] ||
               (Of.StallPart_ > 0 && unit() < Of.StallPart_);
  ++At.Busy_;
  const AttemptId Id = NextAttempt_++;
  Hosts_[H].Policy_->started(Key, Id, Made.NewConnection_, Now_);
  push(Now_ + (Made.Refused_ ? milliseconds(1) : latency(Key)),
       {EventKind::End, H, Key, Id});
  Attempts_.emplace(Id, Made);
}

/// One in 5,000 requests takes 0.5 to 3 s; the others follow a shifted
/// exponential distribution.
inline Duration Model::latency(TargetKey Key) {
  const Workload &Of = Settings_.Workloads_[Key.Service_];
  const TargetModel &At = target(Key);
  if (unit() < 1.0 / 5000)
    return milliseconds(500 + 2500 * unit());
  double Factor = LatencyFactor_;
  if (At.ColdFrom_ != TimePoint::min()) {
    const double Age =
        static_cast<double>(toMilliseconds(Now_ - At.ColdFrom_)) / 30'000;
    Factor *= 1 + 3 * std::max(0.0, 1 - Age);
  }
  const double Median = static_cast<double>(toMilliseconds(Of.Median_));
  return milliseconds(Median * Factor * (0.5 + 0.7 * exponential()));
}

inline void Model::end(AttemptId Id) {
  const std::map<AttemptId, Attempt>::iterator It = Attempts_.find(Id);
  if (It == Attempts_.end())
    return;
  const Attempt Done = It->second;
  if ((Done.Hung_ && !Done.Broken_) && Now_ < Done.Deadline_) {
    push(Done.Deadline_, {EventKind::End, Done.Host_, Done.Key_, Id});
    return;
  }
  AttemptEnd End = Done.Refused_ ? AttemptEnd::Refused : AttemptEnd::Answered;
  if (Done.Broken_)
    End = AttemptEnd::Broken;
  else if (Done.Hung_ || Now_ >= Done.Deadline_)
    End = AttemptEnd::TimedOut;
  finish(Id, Done, End);
}

inline void Model::finish(AttemptId Id, const Attempt &Done, AttemptEnd End) {
  Attempts_.erase(Id);
  HostModel &At = Hosts_[Done.Host_];
  Link &Used = At.Links_[Done.Key_];
  --Used.Busy_;
  if (End == AttemptEnd::TimedOut || End == AttemptEnd::Broken)
    Used.Opened_.reset();
  AttemptReport Report;
  Report.End_ = End;
  Report.Latency_ = Now_ - Done.Start_;
  Report.NewConnection_ = Done.NewConnection_;
  Report.HttpStatus_ = End == AttemptEnd::Answered ? 200 : 0;
  At.Policy_->ended(Done.Key_, Id, Report, Now_);
  dispatch(Done.Host_, Done.Key_.Service_);
}

inline void Model::tick(const Event &Next) {
  HostModel &At = Hosts_[Next.Host_];
  for (const Decision &Each : At.Policy_->tick(Next.Due_, Now_))
    apply(Next.Host_, Each);
  push(Now_ + Settings_.Tick_, Next);
  for (const std::pair<const TargetKey, TargetEvidence> &Report :
       At.Policy_->reports(Now_))
    for (std::size_t Peer = 0; Peer < HostCount; ++Peer)
      if (Peer != Next.Host_ && !At.PeersCut_ && !Hosts_[Peer].PeersCut_) {
        Messages_[NextMessage_] = {Next.Host_, Report.second};
        push(Now_ + Settings_.PeerDelay_,
             {EventKind::Report, Peer, Report.first, NextMessage_++});
      }
  for (std::size_t S = 0; S < Targets_.size(); ++S)
    dispatch(Next.Host_, S);
}

inline void Model::apply(std::size_t H, const Decision &Made) {
  const TargetModel &Of = target(Made.Key_);
  if (Made.Kind_ == DecisionKind::Eject) {
    const bool IsRight =
        Now_ < Of.SickUntil_ || (Of.CutFrom_[H] && !Hosts_[H].PeersCut_);
    Ejections_.push_back({H, Made.Key_, Now_, !IsRight});
    return;
  }
  Link &At = Hosts_[H].Links_[Made.Key_];
  if (At.Opened_ && *At.Opened_ < Made.OpenedBefore_)
    At.Opened_.reset();
  for (const AttemptId Each : Made.Attempts_) {
    const std::map<AttemptId, Attempt>::iterator It = Attempts_.find(Each);
    if (It == Attempts_.end())
      continue;
    const Attempt Closed = It->second;
    finish(Each, Closed, AttemptEnd::Broken);
  }
}

/// Probes run each second on a connection of their own and take at most half
/// a second.
inline void Model::probe(const Event &Next) {
  const TargetModel &Of = target(Next.Key_);
  Hosts_[Next.Host_].Policy_->probeEnded(
      Next.Key_, Of.ProbeOk_ && !Of.CutFrom_[Next.Host_], Now_);
  push(Now_ + std::chrono::seconds(1), Next);
}

} // namespace kumquatpitch::bench

#endif
