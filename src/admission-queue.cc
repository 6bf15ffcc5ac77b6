// Load shedding on arrival and dropping by deadline. See admission-queue.h.

#include "kumquatpitch/admission-queue.h"

#include <algorithm>
#include <cmath>

namespace kumquatpitch {

namespace {

/// Weight of a new service time in the moving averages.
constexpr double ServiceTimeWeight = 0.05;

/// The typical service time is the mean plus this many deviations. About nine
/// of ten requests are served within it, so few run only to miss their
/// deadline.
constexpr double TypicalDeviations = 1.5;

/// When drops by estimate have left a slot idle for this long, the next request
/// runs regardless of the estimate. Otherwise an estimate that is too high
/// would never be corrected.
constexpr Duration MaxStarvation = std::chrono::milliseconds(100);

Duration microseconds(double Span) {
  return Duration(static_cast<Duration::rep>(Span));
}

} // namespace

void AdmissionQueue::setTerms(const QueueTerms &Terms, std::uint32_t Slots) {
  Terms_ = Terms;
  Slots_ = std::max<std::uint32_t>(Slots, 1);
}

double AdmissionQueue::typicalServiceTime() const {
  return MeanServiceTime_.value_or(0) +
         TypicalDeviations * ServiceTimeDeviation_;
}

Duration AdmissionQueue::estimatedWait() const {
  return microseconds(static_cast<double>(Waiting_.size()) *
                      MeanServiceTime_.value_or(0) / Slots_);
}

std::optional<ResultCode>
AdmissionQueue::dropReason(const WaitingRequest &Request, TimePoint Now) const {
  const double Needed = isStarved(Now) ? 0 : typicalServiceTime();
  if (Now + microseconds(Needed) >= Request.Deadline_)
    return ResultCode::DeadlinePassed;
  if (Now - Request.Arrival_ > Terms_.MaxWait_)
    return ResultCode::QueueWaitTooLong;
  return std::nullopt;
}

bool AdmissionQueue::isStarved(TimePoint Now) const {
  return StarvedSince_ && Now - *StarvedSince_ >= MaxStarvation;
}

ResultCode AdmissionQueue::offer(QueueKey Key, TimePoint Deadline,
                                 TimePoint Now) {
  if (Now >= Deadline)
    return ResultCode::DeadlinePassed;
  if (Waiting_.size() >= Terms_.MaxRequests_)
    dropExpired(Now);
  const Duration Wait = estimatedWait();
  const TimePoint End = Now + Wait + microseconds(typicalServiceTime());
  if (!Waiting_.empty() && (Wait > Terms_.MaxWait_ || End > Deadline))
    return ResultCode::QueueWaitTooLong;
  if (Waiting_.size() >= Terms_.MaxRequests_)
    return ResultCode::QueueFull;
  Waiting_.push_back({Key, Now, Deadline});
  return ResultCode::Ok;
}

std::optional<QueueKey> AdmissionQueue::next(TimePoint Now) {
  while (!Waiting_.empty()) {
    const WaitingRequest First = Waiting_.front();
    Waiting_.pop_front();
    const std::optional<ResultCode> Reason = dropReason(First, Now);
    if (Reason) {
      drop(First, *Reason, Now);
      continue;
    }
    ResetEstimate_ = ResetEstimate_ || isStarved(Now);
    DroppedEarly_ = false;
    StarvedSince_.reset();
    return First.Key_;
  }
  if (DroppedEarly_ && !StarvedSince_)
    StarvedSince_ = Now;
  return std::nullopt;
}

void AdmissionQueue::drop(const WaitingRequest &Request, ResultCode Reason,
                          TimePoint Now) {
  Dropped_.push_back({Request.Key_, Reason});
  if (Now < Request.Deadline_)
    DroppedEarly_ = true;
}

void AdmissionQueue::dropExpired(TimePoint Now) {
  std::deque<WaitingRequest> Remaining;
  for (const WaitingRequest &Request : Waiting_) {
    const std::optional<ResultCode> Reason = dropReason(Request, Now);
    if (Reason)
      drop(Request, *Reason, Now);
    else
      Remaining.push_back(Request);
  }
  Waiting_.swap(Remaining);
}

std::vector<DroppedRequest> AdmissionQueue::takeDropped(TimePoint Now) {
  dropExpired(Now);
  std::vector<DroppedRequest> Result;
  Result.swap(Dropped_);
  return Result;
}

void AdmissionQueue::remove(QueueKey Key) {
  const auto HasKey = [Key](const WaitingRequest &Request) {
    return Request.Key_ == Key;
  };
  Waiting_.erase(std::remove_if(Waiting_.begin(), Waiting_.end(), HasKey),
                 Waiting_.end());
}

void AdmissionQueue::recordServiceTime(Duration Span) {
  const double Sample = static_cast<double>(Span.count());
  if (ResetEstimate_) {
    MeanServiceTime_ = Sample;
    ServiceTimeDeviation_ = 0;
    ResetEstimate_ = false;
    return;
  }
  const double Mean = MeanServiceTime_.value_or(Sample);
  ServiceTimeDeviation_ +=
      ServiceTimeWeight * (std::abs(Sample - Mean) - ServiceTimeDeviation_);
  MeanServiceTime_ = Mean + ServiceTimeWeight * (Sample - Mean);
}

} // namespace kumquatpitch
